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

func modelRequest(m sr.Manifest, w sr.Workspace, p *requests.GeneratePayload) (sr.Request, error) {
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
	if !serves(m, sr.KindModel, p.Model) {
		return req, newProblem("missing", fmt.Sprintf("model %.*q is not in the manifest", maxNameBytes, p.Model), sr.OutcomeNotRun)
	}
	return withTier(m, w, req, value(p.Tier), p.Deadline)
}

func callRequest(m sr.Manifest, w sr.Workspace, p *requests.CallPayload) (sr.Request, error) {
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
	spec, ok := m.Services[p.Service]
	if !ok || !serves(m, sr.KindCall, p.Service) {
		return req, newProblem("missing", fmt.Sprintf("service %.*q is not in the manifest", maxNameBytes, p.Service), sr.OutcomeNotRun)
	}
	req.Repeatable = slices.Contains(spec.Repeatable, p.Operation)
	return withTier(m, w, req, "", p.Deadline)
}

// withTier sets the tier, by default the workspace's own, and the budget, by
// default the tier's.
func withTier(m sr.Manifest, w sr.Workspace, req sr.Request, name string, deadline int) (sr.Request, error) {
	own := m.Tiers[w.Tier]
	tier := own
	if name != "" {
		named, ok := m.Tiers[name]
		if !ok {
			return req, newProblem("missing", fmt.Sprintf("tier %.*q is not in the manifest", maxNameBytes, name), sr.OutcomeNotRun)
		}
		tier = named
	}
	if tier.Rank.Outranks(own.Rank) {
		return req, newProblem("forbidden", fmt.Sprintf("tier %q is above the workspace's own tier %q", tier.Name, own.Name), sr.OutcomeNotRun)
	}
	req.Tier = tier.Rank
	req.Budget = tier.Budget
	if deadline == 0 {
		return req, nil
	}
	if deadline < 0 || int64(deadline) > maxBudget.Milliseconds() {
		return req, invalid("deadline is %d, expected 1 to %d milliseconds", deadline, maxBudget.Milliseconds())
	}
	req.Budget = time.Duration(deadline) * time.Millisecond
	return req, nil
}

func serves(m sr.Manifest, kind sr.Kind, target string) bool {
	for _, e := range m.Endpoints {
		if e.Kind == kind && e.Target == target {
			return true
		}
	}
	return false
}

func invalid(format string, args ...any) *requests.Problem {
	return newProblem("invalid", fmt.Sprintf(format, args...), sr.OutcomeNotRun)
}
