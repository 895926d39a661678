package srforward

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// errUnusable means that the endpoint, the key or the view was no longer usable when the
// request was about to be sent.
var errUnusable = errors.New("no longer usable")

// errUnusableEndpoint is errUnusable if the endpoint leaves, has gone or is evacuated. The queue
// may not know that yet.
var errUnusableEndpoint = errors.WithMessage(errUnusable, "endpoint")

// errStaleView is errUnusable if the view is too old to decide. It may soon be current again.
var errStaleView = errors.WithMessage(errUnusable, "view")

// errSuspectPart means that the request or a part of its prompt became suspected of crashing
// endpoints before the request was sent.
var errSuspectPart = errors.New("request or part of its prompt is suspected")

// outcome is the result of one attempt.
type outcome uint8

const (
	// outcomeEnded: the client has received its final answer, or, with an error, cannot
	// receive one.
	outcomeEnded outcome = iota + 1
	// outcomeNotRun: the endpoint has rejected the request without running it.
	outcomeNotRun
	// outcomeUnsent: no byte was sent to the endpoint.
	outcomeUnsent
	// outcomeMayRun: the request may have run, and the client has no final answer.
	outcomeMayRun
	// outcomeCut: the client has received a part of an answer and cannot receive the
	// rest.
	outcomeCut
)

// attempt is one attempt to run the request at an endpoint.
type attempt struct {
	outcome  outcome
	endpoint string
	result   srdispatch.Result
	// answer and body are an error answer of the endpoint. They are passed on if no
	// further attempt is made.
	answer *srupstream.Answer
	body   []byte
	err    error
	// takeover and silence handle an endpoint that falls silent.
	takeover *takeover
	silence  *srupstream.Silence
	peer     srupstream.Peer
	// events reads a stream whose first event has been waited for, nil for others.
	events *eventReader
	// resume is the event after which the endpoint was asked to go on, "" for the first one.
	resume string
	// sent is when the attempt began.
	sent time.Time
	// broken is set when the connection ended before the answer is known to have ended,
	// sound once the answer has gone on for soundAfter or is known to have ended.
	broken bool
	sound  bool
	// framing and end tell how the endpoint's answer is framed and how it ended.
	framing srupstream.Framing
	end     answerEnd
}

// answerEnd is how an endpoint's answer ended.
type answerEnd uint8

const (
	// endComplete: the length or the last chunk shows that the answer is complete.
	endComplete answerEnd = iota + 1
	// endClosed: the connection was closed, and nothing shows whether the answer is
	// complete.
	endClosed
	// endBroken: the answer is known to be incomplete.
	endBroken
)

// endOf returns the end of an answer whose body was read up to io.EOF.
func endOf(a *srupstream.Answer) answerEnd {
	if a.Framing == srupstream.FramingClose {
		return endClosed
	}
	return endComplete
}

// String returns the name of the end in logs, "" for none.
func (e answerEnd) String() string {
	names := []string{"", "complete", "closed", "broken"}
	return names[e]
}

// markUnanswered records that no answer arrived. That counts as a failure of the
// endpoint unless ctx has ended, since the endpoint may not be the cause then.
func (t *attempt) markUnanswered(ctx context.Context) {
	t.result.Unknown = ctx.Err() != nil
	t.result.Failed = !t.result.Unknown
}

// markGivenUp records that this instance ended the attempt because of a silence, if so. The
// silence has been reported.
func (t *attempt) markGivenUp() {
	if t.takeover.gaveUp() {
		t.result.Failed, t.result.Unknown, t.broken = false, true, false
	}
}

// markRan records for how long the endpoint had the request, if it was sent.
func (t *attempt) markRan() {
	if !t.result.Unsent && !t.sent.IsZero() {
		t.result.Ran = time.Since(t.sent)
	}
}

// run attempts the request at one endpoint after the other until it has ended.
func (q *request) run() {
	q.limits.countRequest(time.Now(), q.service)
	queue := q.queues.get(q.service)
	// held is the endpoint whose slot the current attempt has. A panic must not keep the slot.
	held := ""
	defer func() {
		if held != "" {
			queue.release(held, srdispatch.Result{Unknown: true, Prompt: q.inbound.Prompt})
		}
	}()
	var last attempt
	for {
		var t attempt
		if s := q.next; s != nil {
			q.next, held = nil, s.attempt.endpoint
			t = q.continueWith(s)
		} else {
			d, err := queue.acquire(q.ctx, q.ask(), q.logWaiting)
			if err != nil {
				q.giveUp(last)
				return
			}
			if d.Kind == srdispatch.Refused {
				q.refuseByQueue(d, last)
				return
			}
			held = d.Endpoint
			q.logPlaced(d)
			t = q.attempt(d.Endpoint)
		}
		t.markGivenUp()
		held = ""
		t.markRan()
		queue.release(t.endpoint, t.result)
		q.observeAttempt(t)
		if q.next != nil {
			q.keepFormer(t.endpoint)
			last = t
			continue
		}
		switch t.outcome {
		case outcomeEnded:
			if t.err != nil {
				// A normal return would complete the answer.
				panic(http.ErrAbortHandler)
			}
			return
		case outcomeCut:
			q.abort(t, reasonBroken)
		}
		if t.answer != nil {
			q.errorAnswer = &t
		}
		last = t
		if q.ctx.Err() != nil {
			q.giveUp(last)
			return
		}
		if errors.Is(t.err, errSuspectPart) {
			q.refuseSuspectPart(last)
			return
		}
		stale := q.headerSent && errors.Is(t.err, errStaleView)
		if stale {
			q.attempts--
		}
		if reason := q.noRetryReason(t); reason != "" {
			q.fail(last, reason)
			return
		}
		q.Log.Failed("again", srlog.Request, q.inbound.ID, srlog.Endpoint, t.endpoint, srlog.Attempt, q.attempts, srlog.Error, errorText(t.err), srlog.State, t.outcome.String(), srlog.Events, q.eventsSent,
			srlog.Framing, t.framing.String(), srlog.End, t.end.String())
		q.awaitCheck()
		if stale {
			// If the deadline passes meanwhile, the next attempt notices.
			_ = srtimer.Wait(q.ctx, staleViewDelay)
		}
	}
}

// ask returns the request's ask for a slot.
func (q *request) ask() srdispatch.Ask {
	a := srdispatch.Ask{
		Route:    q.route.Rank,
		Target:   q.start.Add(q.route.Target - q.elapsed),
		Deadline: q.deadline,
		Returned: q.elapsed > 0,
		Resumed:  q.headerSent,
		Prompt:   q.inbound.Prompt,
		Length:   q.inbound.Length,
		Avoid:    q.avoid,
		Patience: q.route.Patience(),
	}
	if q.runsExhausted() {
		a.Only = q.former
	}
	if q.workspace.HasRank {
		a.Workspace = q.workspace.Rank
	}
	a.WorkspaceName, a.Weight = q.workspace.Name, weight(q.workspace.Allowance)
	if len(q.inbound.Parts) > 0 {
		a.LastPart = srsuspect.Part(q.inbound.Parts[len(q.inbound.Parts)-1].ID)
	}
	return a
}

// usualTokens is the number of tokens that a request counts as in the weight of a workspace whose
// allowance is in requests. A prompt of a page has about as many.
const usualTokens = 1000

// weight returns the weight of a workspace when slots are divided: its allowance in tokens per
// second, 0 when it has none.
func weight(allowance sr.Quota) float64 {
	if allowance.Tokens {
		return allowance.Rate
	}
	return allowance.Rate * usualTokens
}

// logWaiting logs that the request waits for an endpoint with a free slot.
func (q *request) logWaiting(queue int) {
	q.Log.Served("waits", srlog.Request, q.inbound.ID, srlog.Service, q.service, srlog.Queue, queue, srlog.Attempt, q.attempts+1)
}

func (q *request) logPlaced(d srdispatch.Decision) {
	q.grantedAt = time.Time{}
	if d.Granted {
		q.grantedAt = q.Clock()
	}
	q.stats.observe("wait", d.Waited)
	q.Log.Served("placed",
		srlog.Request, q.inbound.ID, srlog.Route, q.route.Name, srlog.Workspace, q.workspace.Name, srlog.Endpoint, d.Endpoint,
		srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running, srlog.Attempt, q.attempts+1,
		srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
}

// attempt makes an attempt at one endpoint.
func (q *request) attempt(id string) attempt {
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	t, a := q.send(ctx, id, func() error { return nil })
	if a == nil {
		return t
	}
	defer a.Body.Close()
	return q.handleAnswer(t, a)
}

// send sends the request to one endpoint. Without an answer it returns nil, and why.
// beforeWrite is called right before the first byte, once the request may be sent.
func (q *request) send(ctx context.Context, id string, beforeWrite func() error) (attempt, *srupstream.Answer) {
	e, ok := q.view.State().Endpoints[id]
	if !ok {
		q.avoid = append(q.avoid, id)
		return attempt{outcome: outcomeUnsent, endpoint: id, err: errUnusableEndpoint, result: srdispatch.Result{Unsent: true, Prompt: q.inbound.Prompt}}, nil
	}
	q.attempts++
	t := attempt{
		endpoint: id,
		peer:     srupstream.Peer{ID: id, Address: e.Address, Born: e.Born},
		takeover: q.watchForSilence(ctx, id),
		resume:   q.lastEvent,
		sent:     time.Now(),
		result:   srdispatch.Result{Prompt: q.inbound.Prompt},
	}
	t.silence = t.takeover.silence()
	t.silence.Ended = func() {
		t.takeover.ended = true
		q.observeBreak(t.peer, t.sent)
	}
	r := q.upstreamRequest(id)
	r.Silence, r.Held = t.silence, q.heldAnswer
	runs := q.possibleRuns
	a, err := q.Upstream.Send(ctx, t.peer, r, q.checkAndLog(t.peer, func() error {
		if err := beforeWrite(); err != nil {
			return err
		}
		q.possibleRuns++
		return nil
	}))
	t.err = err
	switch {
	case errors.Is(err, errUnusable), errors.Is(err, errSuspectPart), errors.Is(err, errRetryBudget):
		t.outcome, t.result.Unsent = outcomeUnsent, true
		if errors.Is(err, errUnusableEndpoint) {
			q.avoid = append(q.avoid, id)
		}
		return t, nil
	case errors.Is(err, sr.ErrNotSent):
		q.possibleRuns = runs
		t.outcome = outcomeUnsent
		// An endpoint that could not be reached by the deadline has failed, so only the
		// client's context counts here.
		t.markUnanswered(q.r.Context())
		q.avoid = append(q.avoid, id)
		return t, nil
	case err != nil:
		t.outcome, t.broken = outcomeMayRun, !isUnheld(err)
		t.markUnanswered(q.ctx)
		q.observeUnheld(&t, err)
		q.avoid = append(q.avoid, id)
		return t, nil
	}
	q.observeReply(t.peer, a)
	return t, a
}

// upstreamRequest returns the request as it is sent to an endpoint.
func (q *request) upstreamRequest(id string) srupstream.Request {
	return srupstream.Request{
		ID:     q.inbound.ID,
		Method: q.r.Method,
		URI:    q.uri(),
		Host:   q.r.Host,
		Header: q.Codec.EndpointHeader(q.r.Header, sr.ForwardInfo{
			Endpoint:  id,
			Workspace: q.workspace.Name,
			Left:      time.Until(q.deadline),
			Resume:    q.lastEvent,
		}),
		Body:    q.body,
		HasBody: q.hasBody,
	}
}

// checkUsable returns a function that checks, right before the first byte is sent,
// whether the endpoint, the view and the key are still usable. They may have changed while
// the request waited or the process was suspended.
func (q *request) checkUsable(peer srupstream.Peer) func() error {
	return func() error {
		st := q.view.State()
		if !st.Usable(peer.ID, q.Clock()) {
			return errUnusableEndpoint
		}
		if st.Endpoints[peer.ID].Born != peer.Born {
			return errors.Wrap(errUnusable, "endpoint has restarted")
		}
		if q.queues.get(q.service).paused(peer.ID) {
			return errors.Wrap(errUnusable, "endpoint is paused")
		}
		if !q.grantedAt.IsZero() && q.Clock().Sub(q.grantedAt) > grantTimeout {
			return errors.Wrap(errUnusable, "slot is no longer granted")
		}
		if q.superseded() {
			return errStaleView
		}
		if !q.keyed {
			return nil
		}
		if w, ok := st.Workspace(q.inbound.Key); !ok || w.Name != q.workspace.Name {
			return errors.Wrap(errUnusable, "key")
		}
		if !q.keysCurrent() {
			return errors.Wrap(errStaleView, "key")
		}
		return nil
	}
}

// checkAndLog is checkUsable, followed by a further check, with a log line about the
// result.
func (q *request) checkAndLog(peer srupstream.Peer, further func() error) func() error {
	check := q.checkUsable(peer)
	return func() error {
		err := check()
		if err == nil && q.crashes.admit(time.Now(), q.suspectable()).Blocked {
			err = errSuspectPart
		}
		if err == nil {
			err = further()
		}
		line := q.Log.Served
		if err != nil {
			line = q.Log.Failed
		}
		position, age := q.view.AsOf(q.Clock())
		line("sent", srlog.Request, q.inbound.ID, srlog.Endpoint, peer.ID, srlog.Attempt, q.attempts, srlog.Left, time.Until(q.deadline),
			srlog.Version, q.version, srlog.Era, position.Era, srlog.Revision, position.Revision, srlog.Age, age, srlog.Error, errorText(err))
		return err
	}
}

// noRetryReason returns the reason why the request must not be attempted again, ""
// if it may be.
func (q *request) noRetryReason(t attempt) string {
	switch {
	case q.attempts >= maxAttempts:
		return reasonAttempts
	case t.outcome == outcomeMayRun && !q.route.Repeatable(), !q.canResume():
		return reasonBroken
	case t.outcome == outcomeMayRun && q.runsExhausted() && len(q.former) == 0:
		return reasonBroken
	case t.outcome == outcomeUnsent:
		return ""
	case !q.limits.allowRetry(time.Now(), q.service):
		return reasonRetryBudget
	}
	return ""
}

// runsExhausted reports whether the request may run at no further endpoint.
func (q *request) runsExhausted() bool { return q.possibleRuns >= max(q.route.Attempts, 1) }

// keepFormer lets a request return to an endpoint that was given up because of a silence.
// It has run there already, and the prompt is cached there.
func (q *request) keepFormer(endpoint string) {
	q.avoid = slices.DeleteFunc(q.avoid, func(id string) bool { return id == endpoint })
	q.former = append(q.former, endpoint)
}

// refuseByQueue ends a request that the queue refused.
func (q *request) refuseByQueue(d srdispatch.Decision, last attempt) {
	q.Log.Failed("turned-away", srlog.Request, q.inbound.ID, srlog.Reason, d.Reason, srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running,
		srlog.Others, d.Others, srlog.Usable, d.Usable, srlog.Out, d.Out, srlog.Paused, d.Paused, srlog.After, d.After, srlog.Attempt, q.attempts)
	if q.possibleRuns > 0 || q.headerSent {
		q.fail(last, d.Reason)
		return
	}
	q.refuse(refusal{status: http.StatusServiceUnavailable, reason: d.Reason, retryAfter: d.After})
}

// refuseSuspectPart ends a request that became suspected after it was admitted.
func (q *request) refuseSuspectPart(last attempt) {
	ref := q.blockedPart(q.crashes.check(time.Now(), q.suspectable()))
	if ref == nil || q.possibleRuns > 0 || q.headerSent {
		q.fail(last, reasonSuspectPart)
		return
	}
	q.refuse(*ref)
}

// giveUp ends a request whose deadline has passed, whose client has disconnected, or whose
// instance is about to end.
func (q *request) giveUp(last attempt) {
	if q.r.Context().Err() != nil {
		if q.closing.Load() {
			q.abort(last, reasonDraining)
		}
		q.stats.count("ended." + reasonClientGone)
		q.outcomes.record(q, outcomeLeft, "")
		q.Log.Failed("client-gone", srlog.Request, q.inbound.ID, srlog.Attempt, q.attempts, srlog.Total, time.Since(q.start))
		q.refund()
		panic(http.ErrAbortHandler)
	}
	if q.ending.Err() != nil && time.Now().Before(q.deadline) {
		q.fail(last, reasonDraining)
		return
	}
	q.fail(last, reasonTimeout)
}

// fail ends a request that gets no further attempt. It aborts an answer that has
// begun. Otherwise the client gets an endpoint's own error answer, also that of an earlier
// attempt, or, without one, a status that states whether the request may have run.
func (q *request) fail(last attempt, reason string) {
	if !q.headerSent && last.err != nil {
		q.Log.Failed("attempt-failed", srlog.Request, q.inbound.ID, srlog.Endpoint, last.endpoint, srlog.Attempt, q.attempts, srlog.Reason, reason,
			srlog.State, last.outcome.String(), srlog.Framing, last.framing.String(), srlog.End, last.end.String(), srlog.Error, errorText(last.err))
	}
	switch {
	case q.headerSent:
		q.abort(last, reason)
	case q.errorAnswer != nil:
		if err := q.writeAnswer(*q.errorAnswer, q.errorAnswer.answer, q.errorAnswer.body); err != nil {
			panic(http.ErrAbortHandler)
		}
	case q.possibleRuns > 0 && (reason == reasonTimeout || reason == reasonDraining):
		q.writeRefusal(refusal{status: http.StatusGatewayTimeout, reason: reason})
	case q.possibleRuns > 0:
		q.writeRefusal(refusal{status: http.StatusBadGateway, reason: reason})
	case reason == reasonTimeout:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason})
	default:
		after := cmp.Or(q.queues.get(q.service).pauseDelay(q.deadline), shortRetryAfter)
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after})
	}
}

// abort closes the client's connection in the middle of the answer, since nothing
// else tells the client that the answer is incomplete. It does not return.
func (q *request) abort(last attempt, reason string) {
	q.stats.count("broken." + reason)
	q.outcomes.record(q, outcomeFailed, reason)
	q.Log.Failed("broken-off", srlog.Request, q.inbound.ID, srlog.Reason, reason, srlog.Endpoint, last.endpoint, srlog.Events, q.eventsSent,
		srlog.Framing, last.framing.String(), srlog.End, last.end.String(), srlog.Error, errorText(last.err), srlog.Total, time.Since(q.start), srlog.Route, q.route.Name)
	panic(http.ErrAbortHandler)
}

// String returns the name of the outcome in logs.
func (o outcome) String() string {
	names := []string{"", "ended", "not-run", "unsent", "may-run", "cut"}
	return names[o]
}

// maxErrorText is the maximum size in bytes of an error in a log line. Errors quote what
// endpoints send, and many lines may wait to be written.
const maxErrorText = 512

func errorText(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxErrorText)], "")
}
