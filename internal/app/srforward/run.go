package srforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// errUnusable means that the endpoint, the key or the view was no longer usable when the
// request was about to be sent.
var errUnusable = errors.New("no longer usable")

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
	// stall detects an endpoint that hangs.
	stall *stallTimer
	peer  srupstream.Peer
	sent  time.Time
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

// run attempts the request at one endpoint after the other until it has ended.
func (q *request) run() {
	q.limits.countRequest(time.Now(), q.service)
	queue := q.queues.get(q.service)
	var last attempt
	for {
		d, err := queue.acquire(q.ctx, q.ask(), q.logWaiting)
		if err != nil {
			q.giveUp(last)
			return
		}
		if d.Kind == srdispatch.Refused {
			q.refuseByQueue(d, last)
			return
		}
		q.logPlaced(d)
		t := q.attempt(d.Endpoint)
		queue.release(d.Endpoint, t.result)
		q.observeAttempt(t)
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
		last = t
		if q.ctx.Err() != nil {
			q.giveUp(last)
			return
		}
		if errors.Is(t.err, errSuspectPart) {
			q.refuseSuspectPart(last)
			return
		}
		if reason := q.noRetryReason(t); reason != "" {
			q.fail(last, reason)
			return
		}
		q.Log.Failed("again", srlog.Request, q.inbound.ID, srlog.Endpoint, t.endpoint, srlog.Attempt, q.attempts, srlog.Error, errorText(t.err), srlog.State, t.outcome.String(), srlog.Events, q.eventsSent,
			srlog.Framing, t.framing.String(), srlog.End, t.end.String())
		q.awaitCheck()
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
		Avoid:    q.avoid,
	}
	if q.workspace.HasRank {
		a.Workspace = q.workspace.Rank
	}
	if len(q.inbound.Parts) > 0 {
		a.LastPart = q.inbound.Parts[len(q.inbound.Parts)-1].ID
	}
	return a
}

// logWaiting logs that the request waits for an endpoint with a free slot.
func (q *request) logWaiting(queue int) {
	q.Log.Served("waits", srlog.Request, q.inbound.ID, srlog.Service, q.service, srlog.Queue, queue, srlog.Attempt, q.attempts+1)
}

func (q *request) logPlaced(d srdispatch.Decision) {
	q.stats.observe("wait", d.Waited)
	q.Log.Served("placed",
		srlog.Request, q.inbound.ID, srlog.Route, q.route.Name, srlog.Workspace, q.workspace.Name, srlog.Endpoint, d.Endpoint,
		srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running, srlog.Attempt, q.attempts+1,
		srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
}

// attempt sends the request to one endpoint.
func (q *request) attempt(id string) attempt {
	st := q.view.State()
	e, ok := st.Endpoints[id]
	if !ok {
		return attempt{outcome: outcomeUnsent, endpoint: id, err: errUnusable, result: srdispatch.Result{Unsent: true, Prompt: q.inbound.Prompt}}
	}
	q.attempts++
	sent := time.Now()
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	stall := q.watchForStall(id, cancel)
	defer stall.disarm()
	peer := srupstream.Peer{ID: id, Address: e.Address, Born: e.Born}
	a, err := q.Upstream.Send(ctx, peer, q.upstreamRequest(id), q.checkAndLog(id))
	t := attempt{endpoint: id, err: err, stall: stall, peer: peer, sent: sent, result: srdispatch.Result{Prompt: q.inbound.Prompt}}
	switch {
	case errors.Is(err, errUnusable), errors.Is(err, errSuspectPart):
		t.outcome, t.result.Unsent = outcomeUnsent, true
		return t
	case errors.Is(err, sr.ErrNotSent):
		t.outcome = outcomeUnsent
		// An endpoint that could not be reached by the deadline has failed, so only the
		// client's context counts here.
		t.markUnanswered(q.r.Context())
		q.avoid = append(q.avoid, id)
		return t
	case err != nil:
		q.possibleRuns++
		t.outcome, t.broken = outcomeMayRun, true
		t.markUnanswered(q.ctx)
		q.avoid = append(q.avoid, id)
		return t
	}
	defer a.Body.Close()
	return q.handleAnswer(t, a)
}

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

// watchForStall handles an endpoint that sends nothing for some time. If the request
// may be attempted elsewhere, this attempt is cancelled. Otherwise it continues,
// and the endpoint is ejected for other requests.
func (q *request) watchForStall(endpoint string, cancel context.CancelFunc) *stallTimer {
	wait := min(max(stallTargets*q.route.Target, minStall), maxStall)
	number := q.attempts
	canRetry := q.route.Repeatable() && q.possibleRuns+1 < max(q.route.Attempts, 1)
	return newStallTimer(wait, func(silent time.Duration) {
		q.stats.count("endpoint.silent")
		q.Log.Failed("endpoint-silent", srlog.Request, q.inbound.ID, srlog.Endpoint, endpoint, srlog.Attempt, number, srlog.After, silent, srlog.Outcome, choose(canRetry, "moved", "waits on"))
		if canRetry {
			cancel()
			return
		}
		q.queues.get(q.service).endpointSilent(endpoint)
	})
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
func (q *request) checkUsable(id string) func() error {
	return func() error {
		st := q.view.State()
		if !st.Usable(id, q.Clock()) {
			return errors.Wrap(errUnusable, "endpoint")
		}
		if q.superseded() {
			return errors.Wrap(errUnusable, "view")
		}
		if !q.keyed {
			return nil
		}
		if w, ok := st.Workspace(q.inbound.Key); !ok || w.Name != q.workspace.Name || !q.keysCurrent() {
			return errors.Wrap(errUnusable, "key")
		}
		return nil
	}
}

// checkAndLog is checkUsable with a log line about the result.
func (q *request) checkAndLog(id string) func() error {
	check := q.checkUsable(id)
	return func() error {
		err := check()
		if err == nil && q.crashes.admit(time.Now(), q.suspectable()).Blocked {
			err = errSuspectPart
		}
		line := q.Log.Served
		if err != nil {
			line = q.Log.Failed
		}
		position, age := q.view.AsOf(q.Clock())
		line("sent", srlog.Request, q.inbound.ID, srlog.Endpoint, id, srlog.Attempt, q.attempts, srlog.Left, time.Until(q.deadline),
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
	case t.outcome == outcomeMayRun && !q.route.Repeatable():
		return reasonBroken
	case t.outcome == outcomeMayRun && q.possibleRuns >= max(q.route.Attempts, 1):
		return reasonBroken
	case t.outcome == outcomeUnsent:
		return ""
	case !q.limits.allowRetry(time.Now(), q.service):
		return reasonRetryBudget
	}
	return ""
}

// refuseByQueue ends a request that the queue refused.
func (q *request) refuseByQueue(d srdispatch.Decision, last attempt) {
	q.Log.Failed("turned-away", srlog.Request, q.inbound.ID, srlog.Reason, d.Reason, srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running,
		srlog.Others, d.Others, srlog.Usable, d.Usable, srlog.Out, d.Out, srlog.After, d.After, srlog.Attempt, q.attempts)
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

// giveUp ends a request whose deadline has passed or whose client has disconnected.
func (q *request) giveUp(last attempt) {
	if q.r.Context().Err() != nil {
		q.stats.count("ended." + reasonClientGone)
		q.Log.Failed("client-gone", srlog.Request, q.inbound.ID, srlog.Attempt, q.attempts, srlog.Total, time.Since(q.start))
		q.refund()
		panic(http.ErrAbortHandler)
	}
	q.fail(last, reasonTimeout)
}

// fail ends a request that gets no further attempt. It aborts an answer that has
// begun. Otherwise the client gets the endpoint's own error answer or, without one,
// a status that states whether the request may have run.
func (q *request) fail(last attempt, reason string) {
	if !q.headerSent && last.err != nil {
		q.Log.Failed("attempt-failed", srlog.Request, q.inbound.ID, srlog.Endpoint, last.endpoint, srlog.Attempt, q.attempts, srlog.Reason, reason,
			srlog.State, last.outcome.String(), srlog.Framing, last.framing.String(), srlog.End, last.end.String(), srlog.Error, errorText(last.err))
	}
	switch {
	case q.headerSent:
		q.abort(last, reason)
	case last.answer != nil:
		if err := q.writeAnswer(last, last.answer, last.body); err != nil {
			panic(http.ErrAbortHandler)
		}
	case q.possibleRuns > 0 && reason == reasonTimeout:
		q.writeRefusal(refusal{status: http.StatusGatewayTimeout, reason: reason})
	case q.possibleRuns > 0:
		q.writeRefusal(refusal{status: http.StatusBadGateway, reason: reason})
	case reason == reasonTimeout:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason})
	default:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: shortRetryAfter})
	}
}

// abort closes the client's connection in the middle of the answer, since nothing
// else tells the client that the answer is incomplete. It does not return.
func (q *request) abort(last attempt, reason string) {
	q.stats.count("broken." + reason)
	q.Log.Failed("broken-off", srlog.Request, q.inbound.ID, srlog.Reason, reason, srlog.Endpoint, last.endpoint, srlog.Events, q.eventsSent,
		srlog.Framing, last.framing.String(), srlog.End, last.end.String(), srlog.Error, errorText(last.err), srlog.Total, time.Since(q.start), srlog.Route, q.route.Name)
	panic(http.ErrAbortHandler)
}

// String returns the name of the outcome in logs.
func (o outcome) String() string {
	names := []string{"", "ended", "not-run", "unsent", "may-run", "cut"}
	return names[o]
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
