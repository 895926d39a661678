package srentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// callTimeout bounds a call that was sent: it is not cancelled with its
// budget, since it may not be repeated.
const callTimeout = 2 * time.Minute

// startCall sends one call to a plain service and records its answer.
func (e *Entry) startCall(r *srrequest.Request, g granted) tryResult {
	if !r.MarkSent(g.lease.Endpoint, "") {
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return tryResult{ended: true}
	}
	e.note(r.Ticket, "send", "to %s", g.lease.Endpoint)
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
		return e.notTaken(r, g, err)
	}
	e.count("dispatches")
	if err != nil {
		return e.callBroke(r, g, err)
	}
	e.end(r, sr.Status{Outcome: sr.OutcomeComplete, Code: answer.Code, Body: answer.Body})
	e.release(r, g, sr.Release{Result: sr.ReleaseDone, Total: time.Since(sent)})
	return tryResult{ended: true}
}

// callBroke handles a call that may have run. Only a repeatable operation is
// tried again.
func (e *Entry) callBroke(r *srrequest.Request, g granted, err error) tryResult {
	e.count("calls.broken")
	e.note(r.Ticket, "broken", "%s: %v", g.lease.Endpoint, err)
	if r.Request.Repeatable {
		r.MarkRetry()
		e.release(r, g, sr.Release{Result: sr.ReleaseLost})
		return tryResult{}
	}
	e.end(r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "the connection to the service broke; the call may have run"})
	e.release(r, g, sr.Release{Result: sr.ReleaseLost})
	return tryResult{ended: true}
}
