package srforward

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// request is one client request with its state.
type request struct {
	*Instance
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Time
	inbound sr.Inbound
	route   sr.Route
	// service is the one selected from the route's services.
	service   string
	workspace sr.RoutedWorkspace
	// keyed is set if the route requires a key and the request has a valid one.
	keyed bool
	// version is the version of the routing configuration.
	version uint64
	// elapsed is for how long the client has retried the request, 0 for a new one.
	elapsed time.Duration
	// deadline is set by the timeout of the client or of the route, whichever is
	// shorter.
	deadline time.Time
	body     []byte
	hasBody  bool
	// unread is set while a body may still arrive.
	unread bool
	// identity is what the request has in common with one that comes again, variant with one
	// that comes again in the same form.
	identity string
	variant  string
	// held is the memory reserved for what the client sent, heldAnswer that for what the
	// endpoints sent.
	held       *srmemory.Reservation
	heldAnswer *srmemory.Reservation
	// cost is what the request took from its workspace's quota.
	cost float64

	// attempts counts the endpoints that the request was sent to, possibleRuns those
	// that may run it now or may have run it, from the first byte on.
	attempts     int
	possibleRuns int
	// breaks counts the attempts whose connection broke.
	breaks int
	// checked is closed when the endpoint of the last of them has been checked, nil when the
	// next attempt need not wait for that.
	checked <-chan struct{}
	// avoid lists the endpoints of failed attempts.
	avoid []string
	// former lists the endpoints that were given up because of a silence. The request may
	// return to them when it may run at no further endpoint.
	former []string
	// next is the attempt that has taken over the request from a silent endpoint, nil for
	// none.
	next *successor
	// grantedAt is when a coordinator granted the slot of the last attempt, zero when this
	// instance placed it alone.
	grantedAt time.Time
	// errorAnswer is the last attempt with an error answer of its endpoint, nil for none.
	errorAnswer *attempt
	// headerSent is set once the header has been sent to the client.
	headerSent bool
	// endsWithConnection is set if the answer to the client has neither a length nor
	// chunks.
	endsWithConnection bool
	// lastEvent is the id of the last event sent to the client, "" if it had none.
	lastEvent  string
	eventsSent int
	// idGaps is set unless each id of an event is one more than that of the event before.
	idGaps    bool
	firstByte time.Duration
}

// refusal is an error response of this instance.
type refusal struct {
	status int
	// reason is a stable word for logs and counters.
	reason string
	// retryAfter is when the client may retry, 0 when unstated.
	retryAfter time.Duration
	// err tells more about the reason in the log, nil for nothing.
	err error
}

// Reasons of refusals; srdispatch defines further ones.
const (
	reasonHeader     = "header"
	reasonHeaderSize = "header-size"
	reasonHeaderSlow = "header-slow"
	reasonDraining   = "draining"
	reasonNoRouting  = "no-routing"
	reasonNoRoute    = "no-route"
	reasonNoKey      = "no-key"
	// reasonJoining: the instance starts, and has not learned yet what the others know.
	reasonJoining = "joining"
	// reasonStaleView: a newer configuration may have the route or the key, or another
	// instance has a newer view and this one is too old to decide.
	reasonStaleView = "stale-view"
	// reasonUnconfirmedKey: the key may have been removed since the view was last
	// confirmed.
	reasonUnconfirmedKey = "unproved-key"
	reasonBodySize       = "body-size"
	reasonBodySlow       = "body-slow"
	reasonBodyBroken     = "body-broken"
	reasonMemory         = "memory"
	reasonQuota          = "allowance"
	reasonTimeout        = "timeout"
	reasonRetryBudget    = "retry-budget"
	reasonAttempts       = "tries"
	// reasonBroken: the request may have run, and must not be attempted again.
	reasonBroken     = "broken"
	reasonClientGone = "client-gone"
	// reasonSuspectPart: the request or a part of its prompt is suspected of crashing
	// endpoints.
	reasonSuspectPart = "suspect-part"
)

// shortRetryAfter is when a client may retry after a refusal whose cause is
// temporary, such as an instance that is still starting.
const shortRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler for clients.
func (n *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut := true
	defer func() { n.countEnd(cut) }()
	n.serve(w, r)
	// A request that is cut ends with a panic.
	cut = false
}

// serve answers a request, or panics with http.ErrAbortHandler if its client gets no complete
// answer.
func (n *Instance) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{Instance: n, w: w, r: r, ctx: r.Context(), start: time.Now(), held: n.memory.Hold(), heldAnswer: n.memory.Hold(), unread: r.ContentLength != 0}
	defer q.held.Release()
	defer q.heldAnswer.Release()
	if ref := q.admit(); ref != nil {
		q.refuse(*ref)
		return
	}
	q.logAdmitted()
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	defer context.AfterFunc(n.ending, cancel)()
	q.ctx = ctx
	q.run()
}

// recoverRequest is deferred by the handler of clients. A panic is logged, and the client is told
// that the request has failed, unless its answer has begun: net/http closes the connection then.
func (n *Instance) recoverRequest(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		in, _ := n.Codec.Inbound(r.Header)
		n.stats.count("panics")
		n.Log.State("panic", srlog.Request, in.ID, srlog.Error, fmt.Sprint(v), srlog.Stack, string(debug.Stack()))
		if !srdownstream.HasBegun(w) {
			// An endpoint may still run the request.
			clear(w.Header())
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// admit reads and checks the request before it is queued.
func (q *request) admit() *refusal {
	q.awaitJoin()
	st := q.view.State()
	in, err := q.Codec.Inbound(q.r.Header)
	q.inbound = in
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: reasonHeader}
	}
	if ref := q.refusesAll(st, q.hasJoined()); ref != nil {
		return ref
	}
	size, lines := headerSize(q.r)
	if maxHeader := st.Routing.Limits.Header; maxHeader > 0 && size > maxHeader {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderSize}
	}
	if cost := srmemory.HeaderCost(size, lines+len(in.Parts)); !q.held.Grow(cost) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonMemory, retryAfter: shortRetryAfter, err: q.held.Refusal(cost)}
	}
	if ref := q.resolve(st); ref != nil {
		return ref
	}
	if ref := q.readBody(st.Routing.Limits); ref != nil {
		return ref
	}
	if q.refusing.Load() {
		// The rest of the grace time may be too short for a request whose body arrived late.
		return refuseDraining()
	}
	q.identity, q.variant = q.identify(), q.identifyVariant()
	if ref := q.blockedPart(q.crashes.check(time.Now(), q.suspectable())); ref != nil {
		return ref
	}
	return q.spendQuota()
}

// refusesAll returns the refusal that every request gets now, nil if the instance serves.
func (n *Instance) refusesAll(st *srview.State, joined bool) *refusal {
	switch {
	case n.refusing.Load():
		return refuseDraining()
	case st.Routing == nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRouting, retryAfter: shortRetryAfter}
	case !joined:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonJoining, retryAfter: shortRetryAfter}
	case n.superseded():
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonStaleView, retryAfter: shortRetryAfter}
	}
	return nil
}

// awaitJoin waits until the instance that starts has joined, joinTimeout from its start at most.
// A client that is refused meanwhile comes back later than that.
func (q *request) awaitJoin() {
	for !q.hasJoined() && time.Since(q.startedAt) < joinTimeout {
		if srtimer.Wait(q.ctx, joinTick) != nil {
			return
		}
	}
}

// refuseDraining returns the refusal of a request that arrives when the process is about to
// end.
func refuseDraining() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: shortRetryAfter}
}

func (q *request) logAdmitted() {
	q.Log.Served("admitted",
		srlog.Request, q.inbound.ID, srlog.Route, q.route.Name, srlog.Rank, q.route.Rank, srlog.Service, q.service, srlog.Workspace, q.workspace.Name,
		srlog.Cost, q.cost, srlog.Waited, time.Since(q.start), srlog.Left, time.Until(q.deadline),
		srlog.Parts, formatParts(q.sharedParts()), srlog.Identity, q.identity, srlog.Variant, q.variant, srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
}

// resolve determines the route, the service and the workspace.
func (q *request) resolve(st *srview.State) *refusal {
	q.version = st.Routing.Version
	route, ok := st.Routing.Match(hostname(q.r.Host), q.r.URL.EscapedPath())
	if !ok {
		return q.refuseUnknown(http.StatusNotFound, reasonNoRoute)
	}
	q.route = route
	q.setDeadline()
	if st.Routing.Keyed && (!route.Public || q.inbound.Key != "") {
		w, ok := st.Workspace(q.inbound.Key)
		if !ok && !route.Public {
			return q.refuseUnknown(http.StatusUnauthorized, reasonNoKey)
		}
		q.workspace, q.keyed = w, ok && !route.Public
	}
	if q.keyed && !q.keysCurrent() {
		return refuseUnconfirmedKey()
	}
	q.service = q.chooseService(route.Services)
	return nil
}

func refuseUnconfirmedKey() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnconfirmedKey, retryAfter: shortRetryAfter}
}

// refuseUnknown refuses a route or key that the configuration lacks. While a newer
// configuration may have it, the refusal asks the client to retry.
func (q *request) refuseUnknown(status int, reason string) *refusal {
	if !q.configCurrent() {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonStaleView, retryAfter: shortRetryAfter}
	}
	return &refusal{status: status, reason: reason}
}

func (q *request) setDeadline() {
	q.elapsed = q.clientTimeouts.elapsed(q.route.Name, q.inbound.Timeout)
	left := q.route.Timeout
	if q.inbound.Timeout > 0 && q.inbound.Timeout < left {
		left = q.inbound.Timeout
	}
	q.deadline = q.start.Add(left)
}

// chooseService selects one of a route's services at random by their weights.
func (q *request) chooseService(list []sr.WeightedService) string {
	total := 0
	for _, s := range list {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(list) == 0 {
			return ""
		}
		return list[0].Service
	}
	draw := q.random.intN(total)
	for _, s := range list {
		if draw -= max(s.Weight, 0); draw < 0 {
			return s.Service
		}
	}
	return list[len(list)-1].Service
}

// quotaWaitRatio is the fraction of the time to the latency target for which a
// request waits for its workspace's quota; the rest is left for the endpoint.
const quotaWaitRatio = 0.4

// spendQuota takes the request's cost from the workspace's quota. It waits
// if that is short enough to meet the latency target, since a refused client would
// retry too late for it.
func (q *request) spendQuota() *refusal {
	if !q.keyed {
		return nil
	}
	cost, maxWait := q.quotaCost()
	ok, wait, level := q.limits.acquire(time.Now(), q.workspace.Name, cost, maxWait)
	if !ok {
		q.Log.Failed("over-allowance", srlog.Request, q.inbound.ID, srlog.Workspace, q.workspace.Name, srlog.Rank, q.route.Rank, srlog.Cost, cost, srlog.Level, level, srlog.After, wait)
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: wait}
	}
	q.cost = cost
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	defer context.AfterFunc(q.ending, cancel)()
	// If the client disconnects or the grace time ends meanwhile, run notices.
	_ = srtimer.Wait(ctx, wait)
	return nil
}

// quotaCost returns the request's cost and for how long it may wait for that.
func (q *request) quotaCost() (cost float64, maxWait time.Duration) {
	return q.workspace.Allowance.Cost(q.inbound.Prompt + q.inbound.Output),
		max(time.Duration(float64(q.route.Target-q.elapsed)*quotaWaitRatio), 0)
}

// refuse ends a request that has not run and will not run.
func (q *request) refuse(ref refusal) {
	q.refund()
	q.refuseBody()
	q.writeRefusal(ref)
}

// refund returns the cost of a request that no endpoint may have run.
func (q *request) refund() {
	if q.cost > 0 && q.possibleRuns == 0 {
		q.limits.refund(time.Now(), q.workspace.Name, q.cost)
	}
}

// writeRefusal logs, counts and writes an error response of this instance.
func (q *request) writeRefusal(ref refusal) {
	q.stats.count("refused." + ref.reason)
	q.outcomes.record(q, choose(ref.status == http.StatusBadGateway || ref.status == http.StatusGatewayTimeout, outcomeFailed, outcomeRefused), ref.reason)
	q.Log.Failed("refused",
		srlog.Request, q.inbound.ID, srlog.Status, ref.status, srlog.Reason, ref.reason, srlog.Route, q.route.Name,
		srlog.Service, q.service, srlog.Workspace, q.workspace.Name, srlog.After, ref.retryAfter, srlog.Attempt, q.attempts,
		srlog.Total, time.Since(q.start), srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()), srlog.Error, errorText(ref.err))
	h := q.w.Header()
	if ref.retryAfter > 0 {
		q.Codec.SetRetryAfter(h, ref.retryAfter)
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	q.w.WriteHeader(ref.status)
}

// headerSize returns the size of a request's first line and header in bytes, and the number of
// lines.
func headerSize(r *http.Request) (bytes, lines int) {
	// Each line has a colon, a space and a line end besides its name and value.
	const lineOverhead = 4
	bytes = len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			bytes += len(name) + len(v) + lineOverhead
		}
	}
	return bytes, lines
}

// hostname strips the port of a Host header.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}
