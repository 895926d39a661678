package srcaller

import (
	"math"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

// problemNames maps errors to the names of refusals and their outcomes.
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

// statusNames maps the names of refusals to those of the caller interface.
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

// ofTicket says unknown of a given ticket when a refusal came before the
// ticket's issuer looked at its record, or when the issuer found the ticket to
// be somebody else's: the request may have run through another instance.
func ofTicket(err error, ticket *string) error {
	var p *requests.Problem
	if value(ticket) == "" || !errors.As(err, &p) {
		return err
	}
	switch p.Name {
	case "overloaded", "unauthorized", "invalid", "missing":
		return newProblem(p.Name, p.Reason, sr.OutcomeUnknown)
	}
	return err
}

// problemOf turns an error of the entry into a refusal.
func problemOf(err error) *requests.Problem {
	for _, p := range problemNames {
		if errors.Is(err, p.err) {
			return newProblem(p.name, err.Error(), p.outcome)
		}
	}
	return newProblem("unknown-outcome", err.Error(), sr.OutcomeUnknown)
}

// problemOfStatus turns the status of a request without an answer into a
// refusal.
func problemOfStatus(s sr.Status) *requests.Problem {
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
