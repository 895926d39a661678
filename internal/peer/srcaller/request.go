package srcaller

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
)

const (
	// maxTokens is the largest number of tokens that a caller may request.
	maxTokens = 32768
	// maxBudget is the largest time budget that a caller may set as the deadline.
	maxBudget = 10 * time.Minute
	// maxNameBytes is the maximum length of the name of an operation. In refusals, names
	// of models, services and tiers are truncated to it.
	maxNameBytes = 128
)

// Names of the refusals that depend on the manifest in force.
const (
	refusalMissing   = "missing"
	refusalForbidden = "forbidden"
)

// modelRequest builds a model request and checks the input that can be checked without
// the manifest.
func modelRequest(w sr.Workspace, p *requests.GeneratePayload) (sr.Request, error) {
	req := sr.Request{
		Kind:      sr.KindModel,
		Workspace: w.Name,
		Target:    p.Model,
		Body:      p.Prompt,
		Tokens:    p.Tokens,
	}
	if p.Prompt == "" {
		return req, invalid("prompt is empty")
	}
	if p.Tokens < 1 || p.Tokens > maxTokens {
		return req, invalid("tokens is %d, expected 1 to %d", p.Tokens, maxTokens)
	}
	return req, checkDeadline(p.Deadline)
}

// callRequest builds a call of a plain service and checks the input that can be checked
// without the manifest.
func callRequest(w sr.Workspace, p *requests.CallPayload) (sr.Request, error) {
	req := sr.Request{
		Kind:      sr.KindCall,
		Workspace: w.Name,
		Target:    p.Service,
		Operation: p.Operation,
		Body:      valueOrEmpty(p.Body),
	}
	if p.Operation == "" || len(p.Operation) > maxNameBytes {
		return req, invalid("operation has %d bytes, expected 1 to %d", len(p.Operation), maxNameBytes)
	}
	return req, checkDeadline(p.Deadline)
}

func checkDeadline(deadline int) error {
	if deadline < 0 || int64(deadline) > maxBudget.Milliseconds() {
		return invalid("deadline is %d, expected 0 to %d milliseconds", deadline, maxBudget.Milliseconds())
	}
	return nil
}

// applyManifest sets the fields of a request that come from the manifest. The refusal
// that it returns is recorded under the request's ticket, since another instance may
// have a different manifest and may already have accepted the same request.
func applyManifest(m sr.Manifest, w sr.Workspace, req sr.Request, tier string, deadline int) (sr.Request, sr.Refusal) {
	req.Repeatable = req.Kind == sr.KindCall && slices.Contains(m.Services[req.Target].Repeatable, req.Operation)
	ownTier := m.Tiers[w.Tier]
	requestedTier := ownTier
	if tier != "" {
		requestedTier = m.Tiers[tier]
	}
	req.Tier = requestedTier.Rank
	req.Budget = requestedTier.Budget
	if deadline > 0 {
		req.Budget = time.Duration(deadline) * time.Millisecond
	}
	switch {
	case !serves(m, req.Kind, req.Target):
		return req, refusal(refusalMissing, "%.*q is not in the manifest", maxNameBytes, req.Target)
	case requestedTier.Rank == 0:
		return req, refusal(refusalMissing, "tier %.*q is not in the manifest", maxNameBytes, tier)
	case requestedTier.Rank.Outranks(ownTier.Rank):
		return req, refusal(refusalForbidden, "tier %q is above the workspace's own tier %q", tier, ownTier.Name)
	}
	return req, sr.Refusal{}
}

// serves reports whether the manifest has an endpoint of this kind and target.
func serves(m sr.Manifest, kind sr.Kind, target string) bool {
	for _, e := range m.Endpoints {
		if e.Kind == kind && e.Target == target {
			return true
		}
	}
	return false
}

func refusal(name, format string, args ...any) sr.Refusal {
	return sr.Refusal{Name: name, Reason: fmt.Sprintf(format, args...)}
}

func invalid(format string, args ...any) *requests.Problem {
	return newProblem("invalid", fmt.Sprintf(format, args...), sr.OutcomeNotRun)
}
