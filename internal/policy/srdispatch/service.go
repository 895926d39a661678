// Package srdispatch decides, for the requests of one service, which of them wait, which
// are refused, and which endpoint a request is sent to. It does no input or output: the
// time is an argument, and the caller carries out the decisions.
//
// # Usage
//
//	s := srdispatch.New(srdispatch.Options{Seed: seed})
//	s.Configure(now, endpoints)
//	for _, d := range s.Add(now, ask) { ... }
//	for _, d := range s.Release(now, endpoint, srdispatch.Result{...}) { ... }
//	for _, d := range s.Tick(now) { ... }
//
// Load patterns and how they are handled:
//
//   - More work than slots. Endpoints admit requests in order of arrival and ignore
//     ranks, so requests queue here, ordered by rank, and an endpoint gets no more
//     requests than it has slots (endpoint.go).
//   - A burst of which only a part can be served in time. A request that would wait past
//     its objective is refused on arrival instead of after a wait (refuse.go).
//   - A burst or an overload whose refused callers return once. With Options.Fair, late asks
//     wait by the patience of their callers, those that would just miss their objective are
//     kept, and callers return when slots are left free (late.go, refuse.go).
//   - A higher rank that asks for the whole capacity. Each lower rank is still served a
//     small share of its requests (order.go).
//   - One workspace with many times its usual requests, or with long prompts. With Options.Fair,
//     the asks of one rank are ordered between the workspaces by the work that each has got
//     (fair.go).
//   - More instances than slots. Each endpoint is shared by a few instances, which use
//     their slots without coordination. Other instances use it only when their own
//     endpoints are full and at least half of its slots are known to be free (share.go).
//   - An endpoint that rejects requests or fails them at once. It looks idle and would
//     attract all requests, so it is ejected for an increasing time, unless most
//     endpoints fail (health.go).
//   - An endpoint that states when it accepts requests again. It gets none until then,
//     whatever its health. When all endpoints do, requests that cannot wait so long are
//     refused at once, to return after the first pause (pause.go).
//   - An endpoint that hangs. Each request there keeps its slot up to its deadline, so
//     the endpoint is ejected as soon as one request has waited too long, while that
//     request goes on waiting (ReportSilent).
//   - A stream whose endpoint fell silent and was given up, and whose next endpoint failed
//     too. When no further endpoint may run it, it returns to the first one as soon as that
//     has a free slot, or is refused at once when that has left (Ask.Only).
//   - Endpoints of one service that differ several-fold in speed. A request that can
//     still be in time goes to an endpoint where its answer is expected to start in time;
//     a request that is already late goes to a slow one (start.go, place.go).
//   - An endpoint that slows down long before it is full, or for a time. It gets no more
//     requests than it is known to take well (internal/policy/srlimit).
//   - Answers whose lengths differ a hundredfold, at endpoints that differ in speed. A long one goes
//     where it is expected to end by its deadline (length.go, place.go).
//   - A prompt of ten times the usual size among small ones. An endpoint processes prompts in
//     order of arrival, so what is placed there next starts late. The tokens that are ahead, from
//     all instances, count towards the cost of an endpoint (start.go, place.go).
//   - Prompts that share parts. A request goes to the endpoint that its last part hashes
//     to, as long as that endpoint has a free slot (place.go).
package srdispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// Ask is a request that needs an endpoint.
type Ask struct {
	// ID is unique in the process.
	ID uint64
	// Workspace and Route are ranks; a lower one comes first. Workspace takes precedence.
	Workspace int
	Route     int
	// Target is the objective: when the answer, or its first event, is late.
	Target time.Time
	// Deadline is when the request expires.
	Deadline time.Time
	// Returned marks a request that was refused before and that its caller sends again.
	Returned bool
	// Resumed marks a stream that has started and is continued.
	Resumed bool
	// WorkspaceName is the name of the workspace, "" for none, Weight its weight when slots
	// are divided between the workspaces of a rank.
	WorkspaceName string
	Weight        float64
	// Patience is how long the caller waits for the start of an answer that is late, 0 when
	// unknown.
	Patience time.Duration
	// Domain is the failure domain of the instance that has the request, "" for the one of
	// the service.
	Domain string
	// LastPart is the ID of the last part of the prompt, "" when it has no parts.
	LastPart string
	// Prompt is the size of the prompt in tokens, 0 when unknown.
	Prompt int
	// Length is the expected number of generated tokens, 0 when unknown.
	Length int
	// Avoid lists endpoints that rejected or did not finish the request.
	Avoid []string
	// Only lists the endpoints that may get the request, whatever their health, empty for all.
	Only []string
}

// Endpoint describes a usable endpoint.
type Endpoint struct {
	ID     string
	Domain string
	// Born is the start time of the endpoint, which distinguishes its incarnations.
	Born int64
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Share is the number of slots that this instance may use regardless of the other
	// instances. With 0 it may only use slots that they are known to leave free, with
	// ShareOfCoordinator all of these.
	Share int
	// ColdRate limits the requests per second while the endpoint is cold; 0 means no
	// limit. Share divides it by the number of instances that share the endpoint.
	ColdRate float64
}

// ShareOfCoordinator is the share in an endpoint of which only this Service grants slots.
const ShareOfCoordinator = -1

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decision.
const (
	// Placed: the request goes to Endpoint.
	Placed DecisionKind = iota + 1
	// Refused: the request is refused with Reason.
	Refused
)

// Reasons of a refusal.
const (
	// ReasonFull: the request would wait past its objective.
	ReasonFull = "full"
	// ReasonLate: the request has waited up to its limit.
	ReasonLate = "late"
	// ReasonPaused: all endpoints have asked for a pause that is longer than the request may
	// wait.
	ReasonPaused = "paused"
	// ReasonEmpty: the service has no usable endpoint.
	ReasonEmpty = "empty"
)

// Decision ends the wait of one ask.
type Decision struct {
	Ask      uint64
	Kind     DecisionKind
	Endpoint string
	// Granted marks a slot that the coordinator of a group has granted.
	Granted bool
	Reason  string
	// After is the time after which a refused caller may return.
	After time.Duration
	// Waited is how long the ask has waited.
	Waited time.Duration
	// Queue is the number of waiting asks, Running the number of requests in flight from
	// this instance.
	Queue   int
	Running int
	// Usable is the number of usable endpoints, Out the number of those that are ejected
	// or being probed, Paused the number of those that are paused, Others the number of
	// requests known to be in flight there from other instances.
	Usable int
	Out    int
	Paused int
	Others int
}

// Options configure a Service.
type Options struct {
	Seed uint64
	// Domain is the failure domain of this instance.
	Domain string
	// Fair divides slots between the workspaces of a rank by their weights.
	Fair bool
}

// Service schedules the requests of one service. It is not safe for concurrent use.
type Service struct {
	opts Options
	rand *rand.Rand
	// pcg is the source of rand.
	pcg *rand.PCG
	// endpoints holds the usable endpoints, and the unusable ones that have requests in
	// flight or are paused, by ID. endpointIDs lists the usable ones.
	endpoints   map[string]*endpoint
	endpointIDs []string
	// peerLoad is the load from the other instances.
	peerLoad map[string]Load
	queue    []*queuedAsk
	// ranks is indexed by rankKey.
	ranks      map[int]*rank
	throughput throughput
	limiter    *srlimit.Limiter
	// learner returns what learns about an endpoint, of the limiter.
	learner func(slots int) learner
	// lengths is what is known of the events of streams.
	lengths lengths
	// lastReturn is the latest return time scheduled for a refused caller.
	lastReturn time.Time
	// running is the number of requests in flight from this instance.
	running       int
	healthChanges []HealthChange
}

// New returns a Service without endpoints.
func New(o Options) *Service {
	l := srlimit.New()
	pcg := rand.NewPCG(o.Seed, o.Seed)
	return &Service{
		opts:      o,
		rand:      rand.New(pcg),
		pcg:       pcg,
		limiter:   l,
		learner:   func(slots int) learner { return l.Add(slots) },
		endpoints: make(map[string]*endpoint),
		ranks:     make(map[int]*rank),
	}
}

// Configure sets the usable endpoints.
func (s *Service) Configure(now time.Time, list []Endpoint) []Decision {
	usable := make(map[string]bool, len(list))
	s.endpointIDs = s.endpointIDs[:0]
	for _, e := range list {
		usable[e.ID] = true
		s.endpointIDs = append(s.endpointIDs, e.ID)
		known, ok := s.endpoints[e.ID]
		if !ok {
			known = &endpoint{learned: s.learner(e.Slots)}
			known.setPeerLoad(s.peerLoad[e.ID])
			s.endpoints[e.ID] = known
		}
		known.configure(now, e)
	}
	for id, e := range s.endpoints {
		e.usable = usable[id]
		if e.forgettable(now) {
			s.forget(id)
		}
	}
	return s.dispatch(now)
}

// forget removes an endpoint and what was learned of it.
func (s *Service) forget(id string) {
	if e, ok := s.endpoints[id].learned.(*srlimit.Endpoint); ok {
		s.limiter.Remove(e)
	}
	delete(s.endpoints, id)
}

// Load is what other instances have at an endpoint.
type Load struct {
	// Running is the number of requests in flight.
	Running int
	// Pending is the number of prompt tokens whose answers have not started.
	Pending int
}

// SetPeerLoad sets the load from the other instances, by endpoint. The map must not change later.
func (s *Service) SetPeerLoad(now time.Time, load map[string]Load) []Decision {
	s.peerLoad = load
	for id, e := range s.endpoints {
		e.setPeerLoad(load[id])
	}
	return s.dispatch(now)
}

// Add queues an ask.
func (s *Service) Add(now time.Time, a Ask) []Decision {
	w, out := s.enqueue(now, a)
	if slices.Contains(s.queue, w) {
		out = append(out, s.admit(now, w)...)
	}
	return out
}

// enqueue queues an ask and places as many asks as possible.
func (s *Service) enqueue(now time.Time, a Ask) (*queuedAsk, []Decision) {
	w := s.newQueuedAsk(now, a)
	r := s.rank(now, a)
	r.addArrival(now)
	s.insert(w)
	return w, s.dispatch(now)
}

// Withdraw removes an ask whose caller has left.
func (s *Service) Withdraw(id uint64) {
	if i := slices.IndexFunc(s.queue, func(w *queuedAsk) bool { return w.ID == id }); i >= 0 {
		key := s.queue[i].key
		s.remove(i)
		s.arrange(key)
	}
}

// AnswerStarted records that an answer has started. first is the time since the request
// was sent, prompt the number of its prompt tokens, which the endpoint has now processed.
func (s *Service) AnswerStarted(now time.Time, id string, prompt int, first time.Duration) {
	e, ok := s.endpoints[id]
	if !ok {
		return
	}
	e.learned.Started(now, prompt, max(e.pendingTokens, prompt), first)
	e.pendingTokens = max(e.pendingTokens-prompt, 0)
	s.trackHealth(now, e, e.answerStarted)
}

// ReportSilent records that a request has waited too long for an endpoint to answer.
// The request itself goes on waiting.
func (s *Service) ReportSilent(now time.Time, id string) {
	if e, ok := s.endpoints[id]; ok {
		s.trackHealth(now, e, func() { e.observe(now, Result{Failed: true}) })
	}
}

// Result is the outcome of a request at an endpoint.
type Result struct {
	// NotRun reports that the endpoint rejected the request.
	NotRun bool
	// Gone reports that the address now belongs to another endpoint.
	Gone bool
	// Failed reports that the answer broke off or never came.
	Failed bool
	// Error reports that the endpoint answered with an error.
	Error bool
	// Unknown reports that the caller left before the endpoint answered.
	Unknown bool
	// Unsent reports that the request was placed but not sent.
	Unsent bool
	// Prompt is the size of the prompt in tokens when the answer never started, else 0.
	Prompt int
	// Pace is the time per event of a stream, or the time of a whole answer.
	Pace time.Duration
	// Events is the number of events of a whole stream, Length the number of generated tokens
	// that was expected of it. Both are 0 when unknown.
	Events int
	Length int
	// Ran is the time for which the endpoint had the request, 0 when unknown.
	Ran time.Duration
}

// Release releases the slot of a request and records its result.
func (s *Service) Release(now time.Time, id string, r Result) []Decision {
	e, ok := s.endpoints[id]
	if !ok {
		return nil
	}
	s.throughput.advance(now, s.running)
	s.throughput.completions++
	s.running--
	s.lengths.observe(r.Events, r.Length)
	s.trackHealth(now, e, func() { e.finishRequest(now, r) })
	if e.forgettable(now) {
		s.forget(id)
	}
	return s.dispatch(now)
}

// trackHealth runs step and records a HealthChange when step ejects the endpoint or
// marks it as recovered.
func (s *Service) trackHealth(now time.Time, e *endpoint, step func()) {
	before, failed := e.failures, e.failed
	step()
	switch {
	case e.failures > before:
		s.healthChanges = append(s.healthChanges, HealthChange{Endpoint: e.ID, Out: true, For: e.ejectedUntil.Sub(now), Failures: e.failures})
	case failed && !e.failed:
		s.healthChanges = append(s.healthChanges, HealthChange{Endpoint: e.ID})
	}
}

// HealthChanges returns and clears the health changes since the last call.
func (s *Service) HealthChanges() []HealthChange {
	out := s.healthChanges
	s.healthChanges = nil
	return out
}

// Tick places asks at endpoints that have become available, and refuses those that have reached
// their wait limit.
func (s *Service) Tick(now time.Time) []Decision {
	// An ask whose limit has passed while the process was suspended may still be placed.
	out := s.dispatch(now)
	out = append(out, s.expire(now)...)
	return append(out, s.dispatch(now)...)
}

// Next returns when Tick should be called, which is when the first ask cannot be in time any
// more or reaches its wait limit, and whether any ask waits.
func (s *Service) Next() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	next := s.nextChange(s.queue[0])
	for _, w := range s.queue[1:] {
		if t := s.nextChange(w); t.Before(next) {
			next = t
		}
	}
	return next, true
}

// AddLoad stores the load from this instance, by endpoint.
func (s *Service) AddLoad(into map[string]Load) {
	for id, e := range s.endpoints {
		if e.ownInFlight > 0 {
			into[id] = Load{Running: e.ownInFlight, Pending: e.pendingTokens}
		}
	}
}

// Adopt records a request in flight that this Service has not placed, so that its end is
// reported by Release. It returns false if the endpoint is not known.
func (s *Service) Adopt(now time.Time, id string, prompt int) bool {
	if _, ok := s.endpoints[id]; !ok {
		return false
	}
	s.assign(now, id, Ask{Prompt: prompt})
	return true
}

// Free returns the number of slots that a request could get now.
func (s *Service) Free(now time.Time) int {
	n := 0
	for _, id := range s.endpointIDs {
		if e := s.endpoints[id]; e.available(now) && e.healthy(now) {
			n += e.freeSlots()
		}
	}
	return n
}

// Unhealthy returns the usable endpoints that get no requests: the paused ones first, then those
// that are ejected, unless most are.
func (s *Service) Unhealthy(now time.Time) []string {
	var paused, ejected []string
	skip := s.skipsUnhealthy(now)
	for _, id := range s.endpointIDs {
		switch e := s.endpoints[id]; {
		case e.paused(now):
			paused = append(paused, id)
		case skip && !e.healthy(now):
			ejected = append(ejected, id)
		}
	}
	return append(paused, ejected...)
}

// Waiting returns the number of waiting asks.
func (s *Service) Waiting() int { return len(s.queue) }

// maxSkipped is the number of asks that may be passed over, which bounds the time that a long
// queue takes. Blocked ones do not count.
const maxSkipped = 32

// dispatch places as many asks as possible, in order. An ask that gets no endpoint is passed
// over, since another one may fit an available endpoint that this one must avoid, or where it
// would start late.
func (s *Service) dispatch(now time.Time) []Decision {
	var out []Decision
	i, skipped := 0, 0
	// inOrder is set when an ask was passed over. The others are tried from the head of the queue.
	inOrder := false
	for i < len(s.queue) && s.anyAvailable(now) {
		if !inOrder {
			i = s.nextIndex(now)
		}
		w := s.queue[i]
		if !s.blocked(now, w.Ask) {
			if id := s.place(now, w); id != "" {
				s.remove(i)
				s.assign(now, id, w.Ask)
				s.charge(now, w)
				out = append(out, s.complete(now, w, Decision{Kind: Placed, Endpoint: id}))
				continue
			}
			if skipped++; skipped > maxSkipped {
				break
			}
		}
		if inOrder || i == 0 {
			i++
		} else {
			i = 0
		}
		inOrder = true
	}
	if len(s.queue) > 0 && s.probeLimits(now) {
		return append(out, s.dispatch(now)...)
	}
	return out
}

// blocked reports whether an ask gets no endpoint whatever the load of the others: its deadline
// has passed, or it may get certain endpoints only, and none of them is available. Such asks are
// cheap to pass over.
func (s *Service) blocked(now time.Time, a Ask) bool {
	if !now.Before(a.Deadline) {
		return true
	}
	return len(a.Only) > 0 && !slices.ContainsFunc(a.Only, func(id string) bool {
		e, ok := s.endpoints[id]
		return ok && e.available(now)
	})
}

// anyAvailable reports whether any endpoint is available.
func (s *Service) anyAvailable(now time.Time) bool {
	for _, id := range s.endpointIDs {
		if s.endpoints[id].available(now) {
			return true
		}
	}
	return false
}

// assign records that an ask is placed at an endpoint.
func (s *Service) assign(now time.Time, id string, a Ask) {
	s.throughput.advance(now, s.running)
	e := s.endpoints[id]
	e.addRequest(now, a.Prompt)
	s.running++
}

// complete fills in the fields of a decision that describe the ask and the current load.
func (s *Service) complete(now time.Time, w *queuedAsk, d Decision) Decision {
	d.Ask = w.ID
	d.Waited = now.Sub(w.queuedAt)
	d.Queue = len(s.queue)
	d.Running = s.running
	d.Usable = len(s.endpointIDs)
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		d.Others += e.peerInFlight
		if !e.healthy(now) {
			d.Out++
		}
		if e.paused(now) {
			d.Paused++
		}
	}
	return d
}
