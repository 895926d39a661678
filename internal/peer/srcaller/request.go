package srcaller

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
)

const (
	// maxTokens is the most tokens that one request may ask for.
	maxTokens = 32768
	// maxBudget is the longest budget that a caller may ask for.
	maxBudget = 10 * time.Minute
	// maxNameBytes is the longest name of a model, service or operation.
	maxNameBytes = 128
)

// Names of the refusals that depend on the manifest.
const (
	refusalMissing   = "missing"
	refusalForbidden = "forbidden"
)

// modelRequest checks what does not depend on the manifest.
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

// callRequest checks what does not depend on the manifest.
func callRequest(w sr.Workspace, p *requests.CallPayload) (sr.Request, error) {
	req := sr.Request{
		Kind:      sr.KindCall,
		Workspace: w.Name,
		Target:    p.Service,
		Operation: p.Operation,
		Body:      value(p.Body),
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

// complete fills in what the manifest says of a request. Its refusal is
// recorded under the request's ticket, since another instance may have another
// manifest and may have accepted the same request.
func complete(m sr.Manifest, w sr.Workspace, req sr.Request, tier string, deadline int) (sr.Request, sr.Refusal) {
	req.Repeatable = req.Kind == sr.KindCall && slices.Contains(m.Services[req.Target].Repeatable, req.Operation)
	own := m.Tiers[w.Tier]
	chosen := own
	if tier != "" {
		chosen = m.Tiers[tier]
	}
	req.Tier = chosen.Rank
	req.Budget = chosen.Budget
	if deadline > 0 {
		req.Budget = time.Duration(deadline) * time.Millisecond
	}
	switch {
	case !serves(m, req.Kind, req.Target):
		return req, refusal(refusalMissing, "%.*q is not in the manifest", maxNameBytes, req.Target)
	case chosen.Rank == 0:
		return req, refusal(refusalMissing, "tier %.*q is not in the manifest", maxNameBytes, tier)
	case chosen.Rank.Outranks(own.Rank):
		return req, refusal(refusalForbidden, "tier %q is above the workspace's own tier %q", tier, own.Name)
	}
	return req, sr.Refusal{}
}

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
