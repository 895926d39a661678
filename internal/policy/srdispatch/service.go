// Package srdispatch decides, for the requests of one service, which waits, which
// is turned away, and which endpoint a request is sent to. It is pure: the time
// is an argument, and the caller carries the decisions out.
//
// # Usage
//
//	s := srdispatch.New(srdispatch.Options{Seed: seed})
//	s.Configure(now, endpoints)
//	for _, d := range s.Add(now, ask) { ... }
//	for _, d := range s.Done(now, endpoint, srdispatch.Result{...}) { ... }
//	for _, d := range s.Tick(now) { ... }
//
// Load patterns and their answers:
//
//   - More work than slots. Engines admit in order of arrival and know no ranks,
//     so work waits here, in one order, and an endpoint gets no more than its
//     slots (endpoint.go).
//   - A burst of which only a part can be served in time. What would wait past
//     its objective is turned away on arrival, not after a wait (refuse.go).
//   - A lower rank that would get nothing for as long as a higher one asks for
//     everything. Each rank keeps a small part of its requests (order.go).
//   - More instances than slots. Each endpoint is shared by a few instances, which
//     use its slots without asking; the others take only what is known to stand
//     half empty, when their own endpoints are full (share.go).
//   - An endpoint that rejects or fails at once looks idle and attracts all
//     requests. It is left out for a growing time, unless most are (health.go).
//   - An endpoint that hangs holds each request up to its deadline. It is left out
//     as soon as one has waited for too long, while the request waits on
//     (Silent).
//   - Endpoints of one service that differ several-fold in speed. What can still be
//     in time goes where its answer is expected to begin in time; what is late
//     already takes the slow ones (speed.go, place.go).
//   - Prompts that share parts. A request goes where its last part was hashed
//     to, as long as there is room (place.go).
package srdispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Ask is a request that wants an endpoint.
type Ask struct {
	// ID is unique in the process.
	ID uint64
	// Workspace goes before Route: the rank of the caller, and of the route.
	Workspace int
	Route     int
	// Target is when the answer, or its first event, is late.
	Target time.Time
	// Until is when the request is of no use any more.
	Until time.Time
	// Returned marks a request that was refused before and came back.
	Returned bool
	// Resumed marks a stream that has begun and goes on.
	Resumed bool
	// Last names the last part of the prompt, "" when there is none.
	Last string
	// Prompt is its size in tokens, 0 when unstated.
	Prompt int
	// Avoid lists endpoints that did not take or finish the request.
	Avoid []string
}

// Endpoint is an endpoint that may be used.
type Endpoint struct {
	ID     string
	Domain string
	// Slots is how many requests it runs at once.
	Slots int
	// Share is the number of slots that this instance may use whatever the others
	// do, 0 when it may only take what they are known to leave free.
	Share int
	// Cold is how many requests a second it may get while it is cold, from this
	// instance once Share has divided it, 0 for no limit.
	Cold float64
}

// DecisionKind tells decisions apart.
type DecisionKind uint8

// Kinds of decision.
const (
	// Placed: the request goes to Endpoint.
	Placed DecisionKind = iota + 1
	// Refused: the request is turned away.
	Refused
)

// Reasons of a refusal.
const (
	// ReasonFull: it would wait past its objective.
	ReasonFull = "full"
	// ReasonLate: it has waited up to its objective.
	ReasonLate = "late"
	// ReasonEmpty: the service has no usable endpoint.
	ReasonEmpty = "empty"
)

// Decision ends the wait of one ask.
type Decision struct {
	Ask      uint64
	Kind     DecisionKind
	Endpoint string
	Reason   string
	// After is when a refused caller may come back.
	After time.Duration
	// Waited is how long the ask has waited.
	Waited time.Duration
	// Queue is the number of asks that wait, Running those in flight here.
	Queue   int
	Running int
	// Usable is the number of usable endpoints, Out of those left out, Others the
	// requests that other instances are known to have there.
	Usable int
	Out    int
	Others int
}

// Options configure a Service.
type Options struct {
	Seed uint64
	// Domain is the failure domain of this instance.
	Domain string
}

// Service is used by one goroutine at a time.
type Service struct {
	opts      Options
	rand      *rand.Rand
	endpoints map[string]*endpoint
	order     []string
	queue     []*waiting
	ranks     map[int]*rank
	flow      flow
	starts    starts
	returns   time.Time
	running   int
	verdicts  []Verdict
}

// New returns a Service without endpoints.
func New(o Options) *Service {
	return &Service{
		opts:      o,
		rand:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		endpoints: make(map[string]*endpoint),
		ranks:     make(map[int]*rank),
	}
}

// Configure sets the usable endpoints.
func (s *Service) Configure(now time.Time, list []Endpoint) []Decision {
	usable := make(map[string]bool, len(list))
	s.order = s.order[:0]
	for _, e := range list {
		usable[e.ID] = true
		s.order = append(s.order, e.ID)
		known, ok := s.endpoints[e.ID]
		if !ok {
			known = &endpoint{}
			s.endpoints[e.ID] = known
		}
		known.set(now, e)
	}
	for id, e := range s.endpoints {
		e.usable = usable[id]
		if !e.usable && e.mine == 0 {
			delete(s.endpoints, id)
		}
	}
	return s.run(now)
}

// Peers takes the requests that the other instances have in flight.
func (s *Service) Peers(now time.Time, running map[string]int) []Decision {
	for id, e := range s.endpoints {
		e.others = running[id]
	}
	return s.run(now)
}

// Add queues an ask.
func (s *Service) Add(now time.Time, a Ask) []Decision {
	w := &waiting{Ask: a, since: now}
	r := s.rank(a)
	r.arrive(now)
	s.insert(w)
	out := s.run(now)
	if slices.Contains(s.queue, w) {
		out = append(out, s.admit(now, w)...)
	}
	return out
}

// Withdraw drops an ask whose caller has left.
func (s *Service) Withdraw(id uint64) {
	if i := slices.IndexFunc(s.queue, func(w *waiting) bool { return w.ID == id }); i >= 0 {
		s.remove(i)
	}
}

// Began tells that an answer has begun: its prompt has been read.
func (s *Service) Began(now time.Time, id string, prompt int, first time.Duration) {
	e, ok := s.endpoints[id]
	if !ok {
		return
	}
	s.starts.observe(float64(max(e.pending, prompt)), first.Seconds()/e.speed(s.medianPace()))
	e.pending = max(e.pending-prompt, 0)
	s.judge(now, e, e.works)
}

// Silent tells that a request has waited for too long for an endpoint to answer,
// and goes on waiting.
func (s *Service) Silent(now time.Time, id string) {
	if e, ok := s.endpoints[id]; ok {
		s.judge(now, e, func() { e.observe(now, Result{Failed: true}) })
	}
}

// Result tells how a request fared at an endpoint.
type Result struct {
	// NotRun reports that the endpoint rejected the request.
	NotRun bool
	// Gone reports that another endpoint has its address.
	Gone bool
	// Failed reports that it broke off or did not answer.
	Failed bool
	// Error reports that it answered with a failure of its own.
	Error bool
	// Unknown reports that its caller left before it answered.
	Unknown bool
	// Unsent reports that this instance did not send the request after all.
	Unsent bool
	// Prompt is the size of a prompt whose answer never began, in tokens.
	Prompt int
	// Pace is the time for each event of a stream, or of the whole answer.
	Pace time.Duration
}

// Done gives the slot of a request back.
func (s *Service) Done(now time.Time, id string, r Result) []Decision {
	e, ok := s.endpoints[id]
	if !ok {
		return nil
	}
	s.flow.pass(now, s.running)
	s.flow.ends++
	s.running--
	s.judge(now, e, func() { e.done(now, r) })
	if !e.usable && e.mine == 0 {
		delete(s.endpoints, id)
	}
	return s.run(now)
}

// judge notes what a step changes in the judgement of an endpoint.
func (s *Service) judge(now time.Time, e *endpoint, step func()) {
	before, failed := e.failures, e.failed
	step()
	switch {
	case e.failures > before:
		s.verdicts = append(s.verdicts, Verdict{Endpoint: e.ID, Out: true, For: e.outUntil.Sub(now), Failures: e.failures})
	case failed && !e.failed:
		s.verdicts = append(s.verdicts, Verdict{Endpoint: e.ID})
	}
}

// Verdicts returns those since the last call.
func (s *Service) Verdicts() []Verdict {
	out := s.verdicts
	s.verdicts = nil
	return out
}

// Tick refuses what has waited for too long and tries endpoints that are due.
func (s *Service) Tick(now time.Time) []Decision {
	out := s.expire(now)
	return append(out, s.run(now)...)
}

// Next returns when Tick should be called, and whether it should.
func (s *Service) Next() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	next := s.giveUp(s.queue[0])
	for _, w := range s.queue[1:] {
		if t := s.giveUp(w); t.Before(next) {
			next = t
		}
	}
	return next, true
}

// Running returns the requests in flight of this instance by endpoint.
func (s *Service) Running(into map[string]int) {
	for id, e := range s.endpoints {
		if e.mine > 0 {
			into[id] = e.mine
		}
	}
}

// Waiting returns the number of asks that wait.
func (s *Service) Waiting() int { return len(s.queue) }

// run places what can be placed, in order.
func (s *Service) run(now time.Time) []Decision {
	var out []Decision
	median := s.medianPace()
	skipped := 0
	for skipped < len(s.queue) {
		i := s.head(now)
		if skipped > 0 {
			i = skipped
		}
		w := s.queue[i]
		id := s.place(now, w, median)
		if id == "" {
			// Others may have room where this ask may not go.
			skipped++
			if !s.hasRoom(now) {
				break
			}
			continue
		}
		s.remove(i)
		s.take(now, id, w.Ask)
		s.rank(w.Ask).serve(now)
		out = append(out, s.decide(now, w, Decision{Kind: Placed, Endpoint: id}))
	}
	return out
}

// hasRoom reports whether any endpoint is open.
func (s *Service) hasRoom(now time.Time) bool {
	for _, id := range s.order {
		if s.endpoints[id].open(now) {
			return true
		}
	}
	return false
}

func (s *Service) take(now time.Time, id string, a Ask) {
	s.flow.pass(now, s.running)
	e := s.endpoints[id]
	e.take(now)
	e.pending += a.Prompt
	s.running++
}

func (s *Service) decide(now time.Time, w *waiting, d Decision) Decision {
	d.Ask = w.ID
	d.Waited = now.Sub(w.since)
	d.Queue = len(s.queue)
	d.Running = s.running
	d.Usable = len(s.order)
	for _, id := range s.order {
		e := s.endpoints[id]
		d.Others += e.others
		if !e.sound(now) {
			d.Out++
		}
	}
	return d
}
