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

// errChanged means that the endpoint or the key was found unusable right before
// the send.
var errChanged = errors.New("endpoint or key is not usable any more")

// outcome says what became of one try.
type outcome uint8

const (
	// ended: the client has its final answer, or cannot get one.
	ended outcome = iota + 1
	// notRun: the endpoint has not run the request.
	notRun
	// unsent: no byte went out.
	unsent
	// mayRun: it may have run, and nothing final has gone to the client.
	mayRun
	// cut: a part of an answer has gone to the client, and the rest cannot.
	cut
)

// try is what one endpoint made of the request.
type try struct {
	outcome  outcome
	endpoint string
	result   srdispatch.Result
	// answer is an endpoint's own failure, kept for the case that it is the last.
	answer *srupstream.Answer
	body   []byte
	err    error
	// silence watches for an endpoint that hangs.
	silence *stall
}

// lost notes that no answer came, which says nothing of the endpoint when ctx, the
// caller's time, is over.
func (t *try) lost(ctx context.Context) {
	t.result.Unknown = ctx.Err() != nil
	t.result.Failed = !t.result.Unknown
}

// run offers the request to endpoints until it has its final answer.
func (q *request) run() {
	q.limits.request(time.Now(), q.service)
	queue := q.queues.of(q.service)
	var last try
	for {
		d, err := queue.acquire(q.ctx, q.ask(), q.waits)
		if err != nil {
			q.giveUp(last)
			return
		}
		if d.Kind == srdispatch.Refused {
			q.turnAway(d, last)
			return
		}
		q.placed(d)
		t := q.try(d.Endpoint)
		queue.done(d.Endpoint, t.result)
		switch t.outcome {
		case ended:
			return
		case cut:
			q.breakOff(reasonBroken, t.endpoint, t.err)
		}
		last = t
		if q.ctx.Err() != nil {
			q.giveUp(last)
			return
		}
		if reason := q.mayTryAgain(t); reason != "" {
			q.fail(last, reason)
			return
		}
		q.Log.Failed("again", srlog.Request, q.in.ID, srlog.Endpoint, t.endpoint, srlog.Attempt, q.tries, srlog.Error, errorText(t.err), srlog.State, t.outcome.String(), srlog.Events, q.events)
	}
}

// ask describes the request to the queue.
func (q *request) ask() srdispatch.Ask {
	a := srdispatch.Ask{
		Route:    q.route.Rank,
		Target:   q.start.Add(q.route.Target - q.elapsed),
		Until:    q.deadline,
		Returned: q.elapsed > 0,
		Resumed:  q.begun,
		Prompt:   q.in.Prompt,
		Avoid:    q.avoid,
	}
	if q.workspace.HasRank {
		a.Workspace = q.workspace.Rank
	}
	if len(q.in.Parts) > 0 {
		a.Last = q.in.Parts[len(q.in.Parts)-1].ID
	}
	return a
}

// waits notes that no endpoint has room yet.
func (q *request) waits(queue int) {
	q.Log.Served("waits", srlog.Request, q.in.ID, srlog.Service, q.service, srlog.Queue, queue, srlog.Attempt, q.tries+1)
}

func (q *request) placed(d srdispatch.Decision) {
	q.figures.observe("wait", d.Waited)
	q.Log.Served("placed",
		srlog.Request, q.in.ID, srlog.Route, q.route.Name, srlog.Workspace, q.workspace.Name, srlog.Endpoint, d.Endpoint,
		srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running, srlog.Attempt, q.tries+1,
		srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
}

// try sends the request to one endpoint.
func (q *request) try(id string) try {
	st := q.view.State()
	e, ok := st.Endpoints[id]
	if !ok {
		return try{outcome: unsent, endpoint: id, err: errChanged, result: srdispatch.Result{Unsent: true, Prompt: q.in.Prompt}}
	}
	q.tries++
	sent := time.Now()
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	silence := q.watch(id, cancel)
	defer silence.disarm()
	a, err := q.Upstream.Send(ctx, srupstream.Peer{ID: id, Address: e.Address, Born: e.Born}, q.onward(id), q.checked(id))
	t := try{endpoint: id, err: err, silence: silence, result: srdispatch.Result{Prompt: q.in.Prompt}}
	switch {
	case errors.Is(err, errChanged):
		t.outcome, t.result.Unsent = unsent, true
		return t
	case errors.Is(err, sr.ErrNotSent):
		t.outcome = unsent
		t.lost(q.r.Context())
		q.avoid = append(q.avoid, id)
		return t
	case err != nil:
		q.runs++
		t.outcome = mayRun
		t.lost(q.ctx)
		q.avoid = append(q.avoid, id)
		return t
	}
	defer a.Body.Close()
	return q.take(t, a, sent)
}

const (
	// silentTargets is how many objectives a request waits for an answer to begin
	// or to go on before its endpoint is taken to hang.
	silentTargets = 3
	// leastSilent keeps short objectives from repeating requests that merely wait.
	leastSilent = 600 * time.Millisecond
	// mostSilent leaves time for a second try before streaming clients leave; a
	// stream that has begun is given that long, since moving it costs its prompt.
	mostSilent = 1200 * time.Millisecond
)

// watch acts on an endpoint that sends nothing for a time: the try ends if the
// request may go to another endpoint, and otherwise goes on while the endpoint is
// left out for others.
func (q *request) watch(endpoint string, cancel context.CancelFunc) *stall {
	wait := min(max(silentTargets*q.route.Target, leastSilent), mostSilent)
	attempt := q.tries
	movable := q.route.Repeatable() && q.runs+1 < max(q.route.Attempts, 1)
	return newStall(wait, func(silent time.Duration) {
		q.figures.count("endpoint.silent")
		q.Log.Failed("endpoint-silent", srlog.Request, q.in.ID, srlog.Endpoint, endpoint, srlog.Attempt, attempt, srlog.After, silent, srlog.Outcome, stateOf(movable, "moved", "waits on"))
		if movable {
			cancel()
			return
		}
		q.queues.of(q.service).silent(endpoint)
	})
}

// onward is the request as an endpoint gets it.
func (q *request) onward(id string) srupstream.Request {
	uri := q.r.RequestURI
	if q.r.URL.IsAbs() {
		uri = q.r.URL.RequestURI()
	}
	return srupstream.Request{
		ID:     q.in.ID,
		Method: q.r.Method,
		URI:    uri,
		Host:   q.r.Host,
		Header: q.Wire.Onward(q.r.Header, sr.Onward{
			Endpoint:  id,
			Workspace: q.workspace.Name,
			Left:      time.Until(q.deadline),
			Resume:    q.lastEvent,
		}),
		Body:    q.body,
		HasBody: q.hasBody,
	}
}

// check looks again, right before the first byte, at what may have changed
// while the request waited or the process stood still.
func (q *request) check(id string) func() error {
	return func() error {
		st := q.view.State()
		if !st.Usable(id, q.Clock()) {
			return errors.Wrap(errChanged, "endpoint")
		}
		if !q.keyed {
			return nil
		}
		if w, ok := st.Workspace(q.in.Key); !ok || w.Name != q.workspace.Name || !q.proved() {
			return errors.Wrap(errChanged, "key")
		}
		return nil
	}
}

// checked is check with a line about its outcome.
func (q *request) checked(id string) func() error {
	check := q.check(id)
	return func() error {
		err := check()
		line := q.Log.Served
		if err != nil {
			line = q.Log.Failed
		}
		line("sent", srlog.Request, q.in.ID, srlog.Endpoint, id, srlog.Attempt, q.tries, srlog.Left, time.Until(q.deadline),
			srlog.Age, q.view.Age(q.Clock()), srlog.Error, errorText(err))
		return err
	}
}

// mayTryAgain returns why the request may not be offered to another endpoint,
// "" when it may.
func (q *request) mayTryAgain(t try) string {
	switch {
	case q.tries >= mostTries:
		return reasonTries
	case t.outcome == mayRun && !q.route.Repeatable():
		return reasonBroken
	case t.outcome == mayRun && q.runs >= max(q.route.Attempts, 1):
		return reasonBroken
	case t.outcome == unsent:
		return ""
	case !q.limits.again(time.Now(), q.service):
		return reasonBudget
	}
	return ""
}

// turnAway ends a request that got no endpoint.
func (q *request) turnAway(d srdispatch.Decision, last try) {
	q.Log.Failed("turned-away", srlog.Request, q.in.ID, srlog.Reason, d.Reason, srlog.Waited, d.Waited, srlog.Queue, d.Queue, srlog.Running, d.Running,
		srlog.Others, d.Others, srlog.Usable, d.Usable, srlog.Out, d.Out, srlog.After, d.After, srlog.Attempt, q.tries)
	if q.runs > 0 || q.begun {
		q.fail(last, d.Reason)
		return
	}
	q.refuse(refusal{status: http.StatusServiceUnavailable, reason: d.Reason, after: d.After})
}

// giveUp ends a request whose time is over or whose client has left.
func (q *request) giveUp(last try) {
	if q.r.Context().Err() != nil {
		q.figures.count("ended." + reasonGone)
		q.Log.Failed("client-gone", srlog.Request, q.in.ID, srlog.Attempt, q.tries, srlog.Total, time.Since(q.start))
		q.refund()
		panic(http.ErrAbortHandler)
	}
	q.fail(last, reasonTimeout)
}

// fail gives the client the truest answer that is left.
func (q *request) fail(last try, reason string) {
	switch {
	case q.begun:
		q.breakOff(reason, last.endpoint, last.err)
	case last.answer != nil:
		q.passOn(last.answer, last.body, last.endpoint)
	case q.runs > 0 && reason == reasonTimeout:
		q.answer(refusal{status: http.StatusGatewayTimeout, reason: reason})
	case q.runs > 0:
		q.answer(refusal{status: http.StatusBadGateway, reason: reason})
	case reason == reasonTimeout:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason})
	default:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, after: laterSoon})
	}
}

// breakOff breaks the client's connection: only that tells that the answer is not
// whole.
func (q *request) breakOff(reason, endpoint string, err error) {
	q.figures.count("broken." + reason)
	q.Log.Failed("broken-off", srlog.Request, q.in.ID, srlog.Reason, reason, srlog.Endpoint, endpoint, srlog.Events, q.events, srlog.Error, errorText(err), srlog.Total, time.Since(q.start), srlog.Route, q.route.Name)
	panic(http.ErrAbortHandler)
}

// String names the outcome in logs.
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
