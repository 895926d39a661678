package srentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// callTimeout bounds a call to a plain service. A call is not cancelled at the
// request's deadline, because a cancelled call may have run and only a
// repeatable one may be retried.
const callTimeout = 2 * time.Minute

// startCall sends a call to a plain service once and records its answer.
func (e *Entry) startCall(r *srrequest.Request, g grantedLease) attemptResult {
	if !r.MarkSent(g.lease.Endpoint, "") {
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return attemptResult{ended: true}
	}
	e.recordStep(r.Ticket, "send", "to %s", g.lease.Endpoint)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := e.deps.Service.Call(ctx, g.lease.Address, sr.Call{
		Service:   r.Request.Target,
		Operation: r.Request.Operation,
		ID:        r.Ticket,
		Workspace: r.Request.Workspace,
		Body:      r.Request.Body,
		StartBy:   g.expires,
	})
	if errors.Is(err, sr.ErrNotSent) || errors.Is(err, sr.ErrNotTaken) {
		return e.handleNotTaken(r, g, err)
	}
	e.count("dispatches")
	if err != nil {
		return e.handleBrokenCall(r, g, err)
	}
	e.recordOutcome(r, sr.Status{Outcome: sr.OutcomeComplete, Code: answer.Code, Body: answer.Body})
	e.release(r, g, sr.Release{Result: sr.ReleaseDone, Total: time.Since(sent)})
	return attemptResult{ended: true}
}

// countMalformed counts an answer of an endpoint that was malformed.
func (e *Entry) countMalformed(err error) {
	if errors.Is(err, sr.ErrMalformed) {
		e.count("answers.malformed")
	}
}

// handleBrokenCall handles a call that may have run. It is retried only if its
// operation is repeatable.
func (e *Entry) handleBrokenCall(r *srrequest.Request, g grantedLease, err error) attemptResult {
	e.count("calls.broken")
	e.countMalformed(err)
	e.recordStep(r.Ticket, "broken", "%s: %v", g.lease.Endpoint, err)
	if r.Request.Repeatable {
		r.MarkRetry()
		e.release(r, g, sr.Release{Result: sr.ReleaseLost})
		return attemptResult{}
	}
	e.recordOutcome(r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "the connection to the service broke; the call may have run"})
	e.release(r, g, sr.Release{Result: sr.ReleaseLost})
	return attemptResult{ended: true}
}
