package srentry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

// ExplainAnywhere returns the recorded decisions for a ticket of any instance. If
// another instance issued the ticket, the call is relayed to it.
func (e *Entry) ExplainAnywhere(ctx context.Context, ticket string) (sr.Explanation, error) {
	t, err := srticket.Parse(ticket)
	if err != nil {
		return sr.Explanation{}, err
	}
	if t.Issuer == e.deps.Self {
		return e.Explain(ctx, ticket)
	}
	return e.deps.Peers.Peer(t.Issuer.Address).Explain(ctx, ticket)
}

// Explain returns the recorded decisions for a ticket that was issued here.
func (e *Entry) Explain(_ context.Context, ticket string) (sr.Explanation, error) {
	t, err := srticket.Parse(ticket)
	if err != nil {
		return sr.Explanation{}, err
	}
	if t.Issuer != e.deps.Self {
		return sr.Explanation{}, errors.Wrap(sr.ErrNotIssuer, "srentry: explain")
	}
	steps, err := e.deps.Record.Steps(ticket)
	if err != nil {
		return sr.Explanation{}, err
	}
	return sr.Explanation{
		Ticket:   ticket,
		Instance: e.deps.Self.Address,
		Summary:  e.summary(ticket, steps),
		Steps:    steps,
	}, nil
}

// Revoke cancels the request that runs under a lease in favour of a higher
// tier. A lease that is not held is ignored.
func (e *Entry) Revoke(_ context.Context, r sr.Revoke) error {
	if e.heldLeases.revoke(r) {
		e.count("revoked")
	}
	return nil
}

// summary describes the outcome of a request, how long it waited and how often
// it was sent.
func (e *Entry) summary(ticket string, steps []sr.Step) string {
	took := steps[len(steps)-1].At.Sub(steps[0].At).Round(time.Millisecond)
	waited := took
	sends := 0
	for _, step := range steps {
		if step.Step == "send" {
			sends++
			waited = step.At.Sub(steps[0].At).Round(time.Millisecond)
		}
	}
	r, ok := e.table.Get(ticket)
	if !ok {
		return fmt.Sprintf("The record of the request is gone; it was sent %d times and its steps span %s.", sends, took)
	}
	s := r.Status()
	if s.State != sr.StateEnded {
		return fmt.Sprintf("The request is %s after %s.", s.State, time.Since(r.Arrived).Round(time.Millisecond))
	}
	if sends == 0 {
		return fmt.Sprintf("The request was refused after %s and never sent: %s.", took, s.Reason)
	}
	text := fmt.Sprintf("The request was sent %d time(s), waited %s for an endpoint, and ended %s after %s.", sends, waited, s.Outcome, took)
	if s.Reason != "" {
		text += " " + s.Reason
	}
	return text
}
