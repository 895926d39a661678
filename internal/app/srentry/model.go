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
	// maxResumeAttempts is the maximum number of attempts to resume a stream without
	// receiving a further token.
	maxResumeAttempts = 5
	// resumePause is the longest pause before a broken stream is resumed.
	resumePause = 100 * time.Millisecond
	// cancelTimeout bounds the call that cancels a stream at its endpoint.
	cancelTimeout = 2 * time.Second
)

// answer is the state of a model answer that is copied from an endpoint to the
// request's record.
type answer struct {
	r      *srrequest.Request
	lease  sr.Lease
	stream string
	// notifyBroken notifies the pool's owner, once, that the connection broke.
	notifyBroken func()
	sentAt       time.Time
	// firstToken is the time from dispatch to the first token.
	firstToken time.Duration
	tokens     int
	// lost is set when the stream could not be resumed.
	lost bool
}

// startModel dispatches a model request and receives its whole answer.
func (e *Entry) startModel(ctx context.Context, r *srrequest.Request, g grantedLease, held *heldLease) attemptResult {
	name := e.deps.Stream()
	receipt := srticket.EncodeReceipt(sr.Receipt{Endpoint: g.lease.Endpoint, Stream: name})
	if !r.MarkSent(g.lease.Endpoint, receipt) {
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return attemptResult{ended: true}
	}
	a := &answer{r: r, lease: g.lease, stream: name, sentAt: time.Now()}
	a.notifyBroken = sync.OnceFunc(func() { e.notifyOwner(r, g, sr.Release{Result: sr.ReleaseInterrupted}) })
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go cancelOnRevoke(ctx, cancel, held)

	e.recordStep(r.Ticket, "send", "to %s, stream %s", g.lease.Endpoint, name[:min(len(name), 8)])
	stream, err := e.deps.Engine.Dispatch(ctx, g.lease.Address, sr.Dispatch{
		Stream:    name,
		Workspace: r.Request.Workspace,
		Model:     r.Request.Target,
		Prompt:    r.Request.Body,
		Tokens:    r.Request.Tokens,
		StartBy:   g.expires,
	})
	if errors.Is(err, sr.ErrNotSent) || errors.Is(err, sr.ErrNotTaken) {
		return e.handleNotTaken(r, g, err)
	}
	e.count("dispatches")
	e.notifyTaken(r, g, stream, err)
	e.receiveAnswer(ctx, a, stream, err)
	e.release(r, g, a.finalRelease(r.Status()))
	return attemptResult{ended: true}
}

// handleNotTaken handles a request that was not sent or that its endpoint did not
// take: it cannot have run, so it may be retried elsewhere.
func (e *Entry) handleNotTaken(r *srrequest.Request, g grantedLease, err error) attemptResult {
	e.count("dispatches.refused")
	e.recordStep(r.Ticket, "not-taken", "%s: %v", g.lease.Endpoint, err)
	r.MarkNotTaken()
	e.release(r, g, sr.Release{Result: sr.ReleaseRefused})
	return attemptResult{}
}

// notifyTaken notifies the pool's owner that the endpoint has taken the request.
func (e *Entry) notifyTaken(r *srrequest.Request, g grantedLease, stream sr.Stream, err error) {
	if err == nil {
		e.notifyOwner(r, g, sr.Release{Result: sr.ReleaseTaken, Start: stream.Start()})
	}
}

// notifyOwner notifies the pool's owner of a change to a lease that stays in use, if
// the owner asked for confirmations. A lost message is not sent again: the
// owner also learns the state from the endpoint's load reports.
func (e *Entry) notifyOwner(r *srrequest.Request, g grantedLease, update sr.Release) {
	if g.lease.Confirm {
		e.active.Go(func() { e.sendRelease(r, g, e.completeRelease(g, update)) })
	}
}

// receiveAnswer reads a stream to its end and resumes it when its connection breaks.
func (e *Entry) receiveAnswer(ctx context.Context, a *answer, stream sr.Stream, err error) {
	failures := 0
	for {
		before := a.tokens
		ended := false
		e.countMalformed(err)
		if err == nil {
			ended, err = e.readStream(ctx, a, stream)
		}
		if ended {
			return
		}
		if ctx.Err() != nil {
			e.cutShort(a, stopReason(ctx))
			return
		}
		a.notifyBroken()
		if a.tokens > before {
			failures = 0
		}
		failures++
		if failures > maxResumeAttempts || cannotResume(err) {
			a.lost = true
			e.cutShort(a, fmt.Sprintf("the answer broke off and could not be resumed: %v", err))
			return
		}
		e.count("resumes")
		_ = sleep(ctx, jitter(resumePause))
		stream, err = e.deps.Engine.Resume(ctx, a.lease.Address, a.stream, a.tokens)
	}
}

// readStream copies the part of an answer that one connection delivers.
func (e *Entry) readStream(ctx context.Context, a *answer, stream sr.Stream) (ended bool, err error) {
	defer stream.Close()
	if err := e.appendReceipt(a); err != nil {
		return false, err
	}
	return e.copyTokens(ctx, a, stream)
}

// cannotResume reports whether no further attempt to resume can succeed.
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
			return false, errors.Wrapf(sr.ErrConnectionLost, "srentry: token %d follows token %d", token.Seq, a.tokens)
		}
		if token.End {
			e.endAnswer(a, token)
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
		a.firstToken = time.Since(a.sentAt)
		e.recordStep(a.r.Ticket, "first-token", "after %s at %s", a.firstToken.Round(time.Millisecond), a.lease.Endpoint)
	}
	a.tokens++
	return a.r.Append(sr.Event{
		Seq:    token.Seq + 1,
		Type:   sr.EventText,
		Ticket: a.r.Ticket,
		Text:   token.Text,
	})
}

func (e *Entry) endAnswer(a *answer, token sr.Token) {
	if token.Cut != "" {
		e.recordOutcome(a.r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "the endpoint ended the answer early: " + token.Cut})
		return
	}
	e.recordOutcome(a.r, sr.Status{Outcome: sr.OutcomeComplete})
}

// cutShort cancels an incomplete answer at the endpoint and records its end.
func (e *Entry) cutShort(a *answer, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := e.deps.Engine.Cancel(ctx, a.lease.Address, a.stream); err != nil {
		e.count("cancels.failed")
		e.recordStep(a.r.Ticket, "cancel", "%s did not confirm: %v", a.lease.Endpoint, err)
	}
	e.recordOutcome(a.r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: reason})
}

// finalRelease returns the release that reports the end of the request to the
// pool's owner.
func (a *answer) finalRelease(s sr.Status) sr.Release {
	rel := sr.Release{Result: sr.ReleaseDone, First: a.firstToken, Total: time.Since(a.sentAt), Tokens: a.tokens}
	switch {
	case a.lost:
		rel.Result = sr.ReleaseLost
	case s.Outcome != sr.OutcomeComplete:
		rel.Result = sr.ReleaseCancelled
	}
	return rel
}

var errRevoked = errors.New("the slot was given to a higher tier")

func cancelOnRevoke(ctx context.Context, cancel context.CancelCauseFunc, held *heldLease) {
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
