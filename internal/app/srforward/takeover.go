package srforward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

const (
	// An endpoint that has sent nothing for stallTargets times the route's latency
	// target counts as hanging. The time is at least minStall and at most maxStall.
	stallTargets = 3
	// minStall prevents retries of requests with a short latency target that merely
	// wait at their endpoint.
	minStall = 600 * time.Millisecond
	// maxStall leaves time for a second attempt before streaming clients disconnect.
	// A stream that has begun always gets this long, since another endpoint would
	// have to process its prompt again.
	maxStall = 1200 * time.Millisecond
)

var (
	// errTakenOver means that another endpoint goes on with the request.
	errTakenOver = errors.New("taken over by another endpoint")
	// errRetryBudget means that the retry budget of the service is used up.
	errRetryBudget = errors.New("retry budget used up")
)

// takeover handles an endpoint that falls silent during an attempt. Where the request may
// be attempted elsewhere, another endpoint is asked to go on with it. The silent one is given
// up once that one answers, a stream with a further event. Until then it keeps the request,
// and goes on if it can. A stream begins to run with its first event, so both do not work on it
// for longer than that takes. Other requests that may be repeated may run at both.
type takeover struct {
	q        *request
	endpoint string
	// ctx is the context of the attempt. It also ends when another endpoint, during whose
	// silence the attempt was made, goes on.
	ctx context.Context
	// attempt is the number of the attempt.
	attempt int
	// reported is the number of events at the last report of a silence, -1 for none.
	reported int
	// givenUp is set once the attempt has ended for another one.
	givenUp bool
	// ended is set once the endpoint has ended the connection while others were asked.
	ended bool
}

// watchForSilence returns what handles the silence of an endpoint during an attempt with ctx.
func (q *request) watchForSilence(ctx context.Context, endpoint string) *takeover {
	return &takeover{q: q, endpoint: endpoint, ctx: ctx, attempt: q.attempts, reported: -1}
}

// silence returns the handler for the connection to the endpoint.
func (o *takeover) silence() *srupstream.Silence {
	return &srupstream.Silence{
		After:  min(max(stallTargets*o.q.route.Target, minStall), maxStall),
		Handle: o.handle,
	}
}

// gaveUp reports whether the attempt has ended for another one.
func (o *takeover) gaveUp() bool { return o != nil && o.givenUp }

// mayMove reports whether the request may run at one more endpoint.
func (o *takeover) mayMove() bool {
	q := o.q
	return q.route.Repeatable() && q.canResume() && !q.runsExhausted() && q.attempts < maxAttempts
}

// handle reports a silence once, and looks for another endpoint. ctx ends when the silent
// one goes on.
func (o *takeover) handle(ctx context.Context, silent time.Duration) error {
	q := o.q
	mayMove := o.mayMove()
	if o.reported != q.eventsSent {
		o.reported = q.eventsSent
		q.stats.count("endpoint.silent")
		q.Log.Failed("endpoint-silent", srlog.Request, q.inbound.ID, srlog.Endpoint, o.endpoint, srlog.Attempt, o.attempt, srlog.After, silent,
			srlog.Outcome, choose(mayMove, "asks others", "waits on"))
		q.queues.get(q.service).endpointSilent(o.endpoint)
		q.avoid = append(q.avoid, o.endpoint)
	}
	if !mayMove {
		return nil
	}
	reason := o.askOthers(ctx)
	switch {
	case o.givenUp:
		return errTakenOver
	case q.ctx.Err() != nil:
		return nil
	}
	q.stats.count("takeover.failed")
	q.Log.Failed("stays", srlog.Request, q.inbound.ID, srlog.Endpoint, o.endpoint, srlog.Attempt, q.attempts, srlog.Events, q.eventsSent, srlog.Reason, reason)
	return nil
}

// Reasons why a silent endpoint keeps its request, in addition to those of refusals.
const (
	// reasonWentOn: it went on before another one took over.
	reasonWentOn = "went-on"
	// reasonUnusable: another endpoint, the view or the key was no longer usable.
	reasonUnusable = "unusable"
)

// askOthers sends the request to other endpoints until one answers, which becomes q.next.
// It returns why none does. goesOn ends when the silent endpoint goes on.
func (o *takeover) askOthers(goesOn context.Context) (reason string) {
	q := o.q
	ctx, cancel := context.WithCancel(q.ctx)
	stopGoesOn, stopAttempt := context.AfterFunc(goesOn, cancel), context.AfterFunc(o.ctx, cancel)
	// detach keeps ctx from ending for either cause. It returns false if it has ended for one.
	detach := func() bool {
		goesOnStopped, attemptStopped := stopGoesOn(), stopAttempt()
		return goesOnStopped && attemptStopped
	}
	takenOver := false
	defer func() {
		if !takenOver {
			detach()
			cancel()
		}
	}()
	queue := q.queues.get(q.service)
	for range maxAttempts {
		if !o.mayMove() {
			return reasonAttempts
		}
		d, err := queue.acquire(ctx, q.ask(), q.logWaiting)
		switch {
		case err != nil:
			return reasonWentOn
		case d.Kind == srdispatch.Refused:
			return d.Reason
		}
		q.logPlaced(d)
		avoided := len(q.avoid)
		t, a := q.attemptTakeover(ctx, d.Endpoint)
		answers := a != nil && q.acceptsTakeover(a) && q.awaitEvent(ctx, &t, a)
		if q.next != nil {
			// The other one fell silent too, and a third one has taken over from it.
			o.givenUp = true
			return q.endTakeover(d.Endpoint, t, a)
		}
		// The other attempt is no longer cancelled when the silent endpoint goes on.
		if answers && detach() {
			o.givenUp, takenOver = true, true
			q.next = &successor{attempt: t, answer: a, cancel: cancel}
			q.Log.Failed("taken-over", srlog.Request, q.inbound.ID, srlog.Endpoint, d.Endpoint, srlog.Former, o.endpoint, srlog.Attempt, q.attempts, srlog.Events, q.eventsSent)
			return ""
		}
		if answers || ctx.Err() != nil {
			// The silent endpoint went on, which says nothing about this one.
			t.result.Unknown, t.result.Failed, t.broken = true, false, false
			q.avoid = q.avoid[:avoided]
			reason = reasonWentOn
		}
		reason = cmp.Or(reason, q.endTakeover(d.Endpoint, t, a))
		if reason != "" {
			return reason
		}
	}
	return reasonAttempts
}

// attemptTakeover sends the request to another endpoint.
func (q *request) attemptTakeover(ctx context.Context, id string) (attempt, *srupstream.Answer) {
	return q.send(ctx, id, func() error {
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(errUnusable, "no longer needed")
		case !q.limits.allowRetry(time.Now(), q.service):
			return errRetryBudget
		}
		return nil
	})
}

// acceptsTakeover reports whether an answer can replace that of the silent endpoint.
func (q *request) acceptsTakeover(a *srupstream.Answer) bool {
	if a.Reply.NotRun || a.Reply.Unproven || !a.Reply.FromEndpoint {
		return false
	}
	if q.route.Kind == sr.RouteStream {
		return isEventStream(a)
	}
	return a.Status < http.StatusInternalServerError
}

// awaitEvent waits until a stream has an event that goes on after what the client has. Without
// one it says nothing about what the silent endpoint may still send, such as the end.
func (q *request) awaitEvent(ctx context.Context, t *attempt, a *srupstream.Answer) bool {
	if q.route.Kind != sr.RouteStream {
		return true
	}
	t.silence.Progress()
	events := newEventReader(a.Body, q.heldAnswer, q.inbound.Output)
	event, err := events.next()
	if err == nil && q.headerSent {
		err = q.checkContinuation(eventID(event), true)
	}
	if err != nil {
		events.release()
		t.err = err
		t.result.Failed = ctx.Err() == nil && err != io.EOF && !errors.Is(err, errNotContinuation)
		t.broken = t.result.Failed && !isUnheld(err)
		return false
	}
	events.again = true
	t.events = events
	return true
}

// endTakeover ends an attempt that does not take over, at the endpoint id. a is its answer,
// nil for none. It returns why no further attempt is made, "" if another one may be.
func (q *request) endTakeover(id string, t attempt, a *srupstream.Answer) (reason string) {
	switch {
	case a != nil && a.Reply.NotRun:
		q.possibleRuns--
		t.result.NotRun, t.result.Gone = true, a.Reply.Misdirected
		q.avoid = append(q.avoid, id)
	case a != nil:
		t.result.Error = a.Status >= http.StatusInternalServerError || a.Reply.Unproven
		reason = reasonBroken
	case t.outcome == outcomeMayRun:
		reason = reasonBroken
	case errors.Is(t.err, errRetryBudget):
		reason = reasonRetryBudget
	case t.outcome == outcomeUnsent && !errors.Is(t.err, sr.ErrNotSent):
		reason = reasonUnusable
	}
	if a != nil {
		_ = a.Body.Close()
	}
	if t.events != nil {
		t.events.release()
	}
	if t.outcome == outcomeUnsent && t.takeover != nil {
		// The silent endpoint still has the request, so this does not count.
		q.attempts--
	}
	t.markGivenUp()
	t.markRan()
	q.queues.get(q.service).release(id, t.result)
	q.observeAttempt(t)
	return reason
}

// successor is an attempt that has taken over a request.
type successor struct {
	attempt attempt
	answer  *srupstream.Answer
	cancel  context.CancelFunc
}

// continueWith passes on the answer of an attempt that has taken over the request.
func (q *request) continueWith(s *successor) attempt {
	defer s.cancel()
	defer s.answer.Body.Close()
	return q.handleAnswer(s.attempt, s.answer)
}
