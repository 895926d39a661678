package srentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

const (
	// resumeTries is how often a broken stream is resumed without progress.
	resumeTries = 5
	// resumePause is the pause before a broken stream is resumed.
	resumePause = 100 * time.Millisecond
	// cancelTimeout bounds the cancellation of a stream.
	cancelTimeout = 2 * time.Second
)

// answer is a model answer on its way from an endpoint to its record.
type answer struct {
	r      *srrequest.Request
	lease  sr.Lease
	stream string
	broke  func()
	sent   time.Time
	first  time.Duration
	tokens int
	// lost is set when the endpoint no longer continues the answer.
	lost bool
}

// startModel dispatches a model request and follows its answer to the end.
func (e *Entry) startModel(ctx context.Context, r *srrequest.Request, g granted, held *holding) tryResult {
	name := e.deps.Stream()
	receipt := srticket.EncodeReceipt(sr.Receipt{Endpoint: g.lease.Endpoint, Stream: name})
	if !r.MarkSent(g.lease.Endpoint, receipt) {
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return tryResult{ended: true}
	}
	a := &answer{r: r, lease: g.lease, stream: name, sent: time.Now()}
	a.broke = sync.OnceFunc(func() { e.tell(r, g, sr.Release{Result: sr.ReleaseDoubt}) })
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go cancelOnRevoke(ctx, cancel, held)

	e.note(r.Ticket, "send", "to %s, stream %s", g.lease.Endpoint, name[:min(len(name), 8)])
	stream, err := e.deps.Engine.Dispatch(ctx, g.lease.Address, sr.Dispatch{
		Stream:    name,
		Workspace: r.Request.Workspace,
		Model:     r.Request.Target,
		Prompt:    r.Request.Body,
		Tokens:    r.Request.Tokens,
		StartBy:   g.expires,
	})
	if errors.Is(err, sr.ErrNotSent) || errors.Is(err, sr.ErrNotTaken) {
		return e.notTaken(r, g, err)
	}
	e.count("dispatches")
	e.tellTaken(r, g, stream, err)
	e.receive(ctx, a, stream, err)
	e.release(r, g, a.released(r.Status()))
	return tryResult{ended: true}
}

// notTaken puts a request back that its endpoint has certainly not taken.
func (e *Entry) notTaken(r *srrequest.Request, g granted, err error) tryResult {
	e.count("dispatches.refused")
	e.note(r.Ticket, "not-taken", "%s: %v", g.lease.Endpoint, err)
	r.MarkNotTaken()
	e.release(r, g, sr.Release{Result: sr.ReleaseRefused})
	return tryResult{}
}

// tellTaken tells the pool's owner that the endpoint has taken the request.
func (e *Entry) tellTaken(r *srrequest.Request, g granted, stream sr.Stream, err error) {
	if err == nil {
		e.tell(r, g, sr.Release{Result: sr.ReleaseTaken, Start: stream.Start()})
	}
}

// tell sends the pool's owner news of a lease that goes on, when it asked for
// them. One that does not arrive is made good by load reports.
func (e *Entry) tell(r *srrequest.Request, g granted, news sr.Release) {
	if g.lease.Confirm {
		e.active.Go(func() { e.send(r, g, e.named(g, news)) })
	}
}

// receive follows a stream, resuming it when its connection breaks.
func (e *Entry) receive(ctx context.Context, a *answer, stream sr.Stream, err error) {
	failures := 0
	for {
		before := a.tokens
		ended := false
		if err == nil {
			ended, err = e.follow(ctx, a, stream)
		}
		if ended {
			return
		}
		if ctx.Err() != nil {
			e.cutShort(a, stopReason(ctx))
			return
		}
		a.broke()
		if a.tokens > before {
			failures = 0
		}
		failures++
		if failures > resumeTries || cannotResume(err) {
			a.lost = true
			e.cutShort(a, fmt.Sprintf("the answer broke off and could not be resumed: %v", err))
			return
		}
		e.count("resumes")
		_ = sleep(ctx, jitter(resumePause))
		stream, err = e.deps.Engine.Resume(ctx, a.lease.Address, a.stream, a.tokens)
	}
}

// follow takes one connection's part of an answer.
func (e *Entry) follow(ctx context.Context, a *answer, stream sr.Stream) (ended bool, err error) {
	defer stream.Close()
	if err := e.appendReceipt(a); err != nil {
		return false, err
	}
	return e.copyTokens(ctx, a, stream)
}

// cannotResume reports whether another try to resume is of no use.
func cannotResume(err error) bool {
	return errors.Is(err, sr.ErrNoStream) || errors.Is(err, sr.ErrInvalid)
}

// copyTokens appends a stream's tokens to the record until the stream ends.
func (e *Entry) copyTokens(ctx context.Context, a *answer, stream sr.Stream) (ended bool, err error) {
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			return false, err
		}
		if token.Seq <= a.tokens {
			continue
		}
		if token.Seq != a.tokens+1 {
			return false, errors.Wrapf(sr.ErrBroken, "srentry: token %d follows token %d", token.Seq, a.tokens)
		}
		if token.End {
			e.endModel(a, token)
			return true, nil
		}
		if err := e.appendToken(a, token); err != nil {
			return false, err
		}
	}
}

func (e *Entry) appendReceipt(a *answer) error {
	if a.r.Status().Events > 0 {
		return nil
	}
	status := a.r.Status()
	return a.r.Append(sr.Event{
		Seq:      1,
		Type:     sr.EventReceipt,
		Ticket:   a.r.Ticket,
		Receipt:  status.Receipt,
		Endpoint: status.Endpoint,
	})
}

func (e *Entry) appendToken(a *answer, token sr.Token) error {
	if a.tokens == 0 {
		a.first = time.Since(a.sent)
		e.note(a.r.Ticket, "first-token", "after %s at %s", a.first.Round(time.Millisecond), a.lease.Endpoint)
	}
	a.tokens++
	return a.r.Append(sr.Event{
		Seq:    token.Seq + 1,
		Type:   sr.EventText,
		Ticket: a.r.Ticket,
		Text:   token.Text,
	})
}

func (e *Entry) endModel(a *answer, token sr.Token) {
	if token.Cut != "" {
		e.end(a.r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "the endpoint ended the answer early: " + token.Cut})
		return
	}
	e.end(a.r, sr.Status{Outcome: sr.OutcomeComplete})
}

// cutShort ends an answer that is not whole and cancels it at the endpoint.
func (e *Entry) cutShort(a *answer, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := e.deps.Engine.Cancel(ctx, a.lease.Address, a.stream); err != nil {
		e.count("cancels.failed")
		e.note(a.r.Ticket, "cancel", "%s did not confirm: %v", a.lease.Endpoint, err)
	}
	e.end(a.r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: reason})
}

// released describes the end of the request for the pool's owner.
func (a *answer) released(s sr.Status) sr.Release {
	rel := sr.Release{Result: sr.ReleaseDone, First: a.first, Total: time.Since(a.sent), Tokens: a.tokens}
	switch {
	case a.lost:
		rel.Result = sr.ReleaseLost
	case s.Outcome != sr.OutcomeComplete:
		rel.Result = sr.ReleaseCut
	}
	return rel
}

var errRevoked = errors.New("the slot was given to a higher tier")

func cancelOnRevoke(ctx context.Context, cancel context.CancelCauseFunc, held *holding) {
	select {
	case <-held.revoked:
		cancel(errors.Wrapf(errRevoked, "tier %d", held.forTier))
	case <-ctx.Done():
	}
}

func stopReason(ctx context.Context) string {
	cause := context.Cause(ctx)
	if errors.Is(cause, errRevoked) {
		return cause.Error()
	}
	return "the budget of the request has ended"
}
