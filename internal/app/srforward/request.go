package srforward

import (
	"context"
	"net/http"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// request is one client request on its way.
type request struct {
	*Instance
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	start time.Time
	in    sr.Inbound
	route sr.Route
	// service is the one chosen of the route's services.
	service   string
	workspace sr.RoutedWorkspace
	keyed     bool
	version   uint64
	// elapsed is how long the client has tried before, 0 when that does not show.
	elapsed time.Duration
	// deadline is when the client or the route gives the request up.
	deadline time.Time
	body     []byte
	hasBody  bool
	// reserved is the memory that the body holds, in bytes.
	reserved int64
	cost     float64

	// tries counts endpoints that were asked, runs those that may have run it.
	tries int
	runs  int
	avoid []string
	// begun is set once the header has gone to the client.
	begun bool
	// lastEvent is the id of the last event that the client has been sent.
	lastEvent string
	events    int
	firstByte time.Duration
}

// refusal is an answer of this instance's own.
type refusal struct {
	status int
	// reason is a stable word for logs and counters.
	reason string
	after  time.Duration
}

// Reasons of refusals; srdispatch has further ones.
const (
	reasonHeader     = "header"
	reasonHeaderSize = "header-size"
	reasonHeaderSlow = "header-slow"
	reasonDraining   = "draining"
	reasonUnknown    = "no-routing"
	reasonNoRoute    = "no-route"
	reasonNoKey      = "no-key"
	reasonStale      = "stale-view"
	reasonUnproved   = "unproved-key"
	reasonBodySize   = "body-size"
	reasonBodySlow   = "body-slow"
	reasonBodyBroken = "body-broken"
	reasonMemory     = "memory"
	reasonAllowance  = "allowance"
	reasonTimeout    = "timeout"
	reasonBudget     = "retry-budget"
	reasonTries      = "tries"
	reasonBroken     = "broken"
	reasonGone       = "client-gone"
)

// laterSoon is when a caller may come back after a state that passes soon, such as
// an instance that starts.
const laterSoon = 500 * time.Millisecond

// ServeHTTP implements http.Handler for clients.
func (n *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.running.Add(1)
	defer n.running.Add(-1)
	q := &request{Instance: n, w: w, r: r, ctx: r.Context(), start: time.Now()}
	defer func() { n.memory.give(q.reserved) }()
	if ref := q.admit(); ref != nil {
		q.refuse(*ref)
		return
	}
	q.admitted()
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	q.ctx = ctx
	q.run()
}

// admit reads and checks the request up to its place in a queue.
func (q *request) admit() *refusal {
	st := q.view.State()
	in, err := q.Wire.Inbound(q.r.Header)
	q.in = in
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonHeader}
	case q.refusing.Load():
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, after: laterSoon}
	case st.Routing == nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnknown, after: laterSoon}
	}
	if most := st.Routing.Limits.Header; most > 0 && headerSize(q.r) > most {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderSize}
	}
	if ref := q.resolve(st); ref != nil {
		return ref
	}
	if ref := q.read(st.Routing.Limits); ref != nil {
		return ref
	}
	return q.allow()
}

func (q *request) admitted() {
	q.Log.Served("admitted",
		srlog.Request, q.in.ID, srlog.Route, q.route.Name, srlog.Rank, q.route.Rank, srlog.Service, q.service, srlog.Workspace, q.workspace.Name,
		srlog.Cost, q.cost, srlog.Waited, time.Since(q.start), srlog.Left, time.Until(q.deadline),
		srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
}

// resolve finds the route, the service and the workspace.
func (q *request) resolve(st *srview.State) *refusal {
	q.version = st.Routing.Version
	route, ok := st.Routing.Match(hostname(q.r.Host), q.r.URL.EscapedPath())
	if !ok {
		return q.unknown(http.StatusNotFound, reasonNoRoute)
	}
	q.route = route
	q.setDeadline()
	if st.Routing.Keyed && (!route.Public || q.in.Key != "") {
		w, ok := st.Workspace(q.in.Key)
		if !ok && !route.Public {
			return q.unknown(http.StatusUnauthorized, reasonNoKey)
		}
		q.workspace, q.keyed = w, ok && !route.Public
	}
	if q.keyed && !q.proved() {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnproved, after: laterSoon}
	}
	q.service = q.choose(route.Services)
	return nil
}

// unknown refuses a name that the configuration lacks, unless a newer one may
// hold it.
func (q *request) unknown(status int, reason string) *refusal {
	if !q.fresh() {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonStale, after: laterSoon}
	}
	return &refusal{status: status, reason: reason}
}

func (q *request) setDeadline() {
	q.elapsed = q.patience.elapsed(q.route.Name, q.in.Patience)
	left := q.route.Timeout
	if q.in.Patience > 0 && q.in.Patience < left {
		left = q.in.Patience
	}
	q.deadline = q.start.Add(left)
}

// choose draws one of a route's services by their weights.
func (q *request) choose(list []sr.WeightedService) string {
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
	at := q.random.below(total)
	for _, s := range list {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return list[len(list)-1].Service
}

// allowancePart is the part of the time to the objective for which a request
// waits for its workspace's allowance; the rest is for its endpoint.
const allowancePart = 0.4

// allow takes the request's cost from the workspace's allowance. A short wait
// still meets the objective, where a refused caller would come back late.
func (q *request) allow() *refusal {
	if !q.keyed {
		return nil
	}
	cost := q.workspace.Allowance.Cost(q.in.Prompt + q.in.Output)
	patience := max(time.Duration(float64(q.route.Target-q.elapsed)*allowancePart), 0)
	ok, wait, level := q.limits.take(time.Now(), q.workspace.Name, cost, patience)
	if !ok {
		q.Log.Failed("over-allowance", srlog.Request, q.in.ID, srlog.Workspace, q.workspace.Name, srlog.Rank, q.route.Rank, srlog.Cost, cost, srlog.Level, level, srlog.After, wait)
		return &refusal{status: http.StatusTooManyRequests, reason: reasonAllowance, after: wait}
	}
	q.cost = cost
	// A client that leaves meanwhile is noticed by run.
	_ = srtimer.Wait(q.ctx, wait)
	return nil
}

// refuse answers for this instance. The request has not run and will not.
func (q *request) refuse(ref refusal) {
	q.refund()
	q.answer(ref)
}

// refund gives the cost back of a request that no endpoint may have run.
func (q *request) refund() {
	if q.cost > 0 && q.runs == 0 {
		q.limits.refund(time.Now(), q.workspace.Name, q.cost)
	}
}

// answer writes an answer of this instance's own.
func (q *request) answer(ref refusal) {
	q.figures.count("refused." + ref.reason)
	q.Log.Failed("refused",
		srlog.Request, q.in.ID, srlog.Status, ref.status, srlog.Reason, ref.reason, srlog.Route, q.route.Name,
		srlog.Service, q.service, srlog.Workspace, q.workspace.Name, srlog.After, ref.after, srlog.Attempt, q.tries,
		srlog.Total, time.Since(q.start), srlog.Version, q.version, srlog.Age, q.view.Age(q.Clock()))
	h := q.w.Header()
	if ref.after > 0 {
		q.Wire.Later(h, ref.after)
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	q.w.WriteHeader(ref.status)
}

// headerSize returns the bytes of a request's first line and header.
func headerSize(r *http.Request) int {
	// Each line has a colon, a space and a line end beside its texts.
	const extra = 4
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + extra
		}
	}
	return n
}

// hostname strips the port of a Host header.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}
