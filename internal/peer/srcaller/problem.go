package srcaller

import (
	"math"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

// problemNames maps errors to the names and the outcomes of refusals. The first error
// that matches applies.
var problemNames = []struct {
	err     error
	name    string
	outcome sr.Outcome
}{
	{sr.ErrIssuerGone, "issuer-gone", sr.OutcomeUnknown},
	{sr.ErrNotIssuer, "unknown-outcome", sr.OutcomeUnknown},
	{sr.ErrUnreachable, "unknown-outcome", sr.OutcomeUnknown},
	{sr.ErrConnectionLost, "unknown-outcome", sr.OutcomeUnknown},
	{sr.ErrExpired, "expired", sr.OutcomeUnknown},
	{sr.ErrConflict, "conflict", sr.OutcomeUnknown},
	{sr.ErrOverloaded, "overloaded", sr.OutcomeUnknown},
	{sr.ErrDraining, "draining", sr.OutcomeNotRun},
	{sr.ErrMissing, "missing", sr.OutcomeNotRun},
	{sr.ErrInvalid, "invalid", sr.OutcomeNotRun},
}

// statusNames maps the names of recorded refusals to those of the caller interface.
var statusNames = map[string]string{
	refusalMissing:         refusalMissing,
	refusalForbidden:       refusalForbidden,
	sradmit.NameRate:       "limited",
	sradmit.NameQueue:      "limited",
	sradmit.NameRetries:    "overloaded",
	sradmit.NameWorkspaces: "overloaded",
	sr.RefusalEmpty:        "overloaded",
	sr.RefusalFloor:        "overloaded",
	sr.RefusalLate:         "overloaded",
	"unknown-outcome":      "unknown-outcome",
	"draining":             "draining",
	"cut":                  "unknown-outcome",
	sr.RefusalNotOwner:     "overloaded",
	sr.RefusalWaiting:      "overloaded",
	sr.RefusalWithdrawn:    "overloaded",
	sr.RefusalOverloaded:   "overloaded",
}

func newProblem(name, reason string, outcome sr.Outcome) *requests.Problem {
	return &requests.Problem{Name: name, Reason: reason, Outcome: string(outcome)}
}

// withUnknownOutcome changes the outcome of a refusal to "unknown" when the caller gave
// a ticket and the refusal was made before the ticket's issuer looked up its record,
// or because the ticket belongs to another workspace. In both cases the request may
// have run through another instance.
func withUnknownOutcome(err error, ticket *string) error {
	var p *requests.Problem
	if valueOrEmpty(ticket) == "" || !errors.As(err, &p) {
		return err
	}
	switch p.Name {
	case "overloaded", "unauthorized", "invalid", "missing":
		return newProblem(p.Name, p.Reason, sr.OutcomeUnknown)
	}
	return err
}

// newProblemFromError converts an error of the Entry into a refusal.
func newProblemFromError(err error) *requests.Problem {
	for _, p := range problemNames {
		if errors.Is(err, p.err) {
			return newProblem(p.name, err.Error(), p.outcome)
		}
	}
	return newProblem("unknown-outcome", err.Error(), sr.OutcomeUnknown)
}

// newProblemFromStatus converts the status of a request without an answer into a
// refusal.
func newProblemFromStatus(s sr.Status) *requests.Problem {
	name, ok := statusNames[s.Name]
	if !ok {
		name = "unknown-outcome"
	}
	p := newProblem(name, s.Reason, s.Outcome)
	if s.Retry > 0 {
		seconds := int(math.Ceil(s.Retry.Seconds()))
		p.Retry = &seconds
	}
	return p
}
