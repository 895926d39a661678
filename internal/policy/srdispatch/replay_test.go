package srdispatch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// simulation replays a load against one Service and simulated engines. An engine runs
// requests in its slots, in order of arrival, at its own speed.
type simulation struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	s       *srdispatch.Service
	engines map[string]*engine
	asks    map[uint64]*ask
	lastID  uint64
	decided map[uint64]srdispatch.Decision
	// refused is called for each refusal.
	refused func(*ask, srdispatch.Decision)
}

type engine struct {
	slots int
	// speed is a factor on the work of a request; higher is slower.
	speed float64
	// fails makes the engine reject every request; hangs makes it answer none.
	fails   bool
	hangs   bool
	running []*ask
	waiting []*ask
	// peak is the highest number of requests at the engine.
	peak int
}

type ask struct {
	srdispatch.Ask
	kind string
	work time.Duration
	// events is the number of events of a stream, 0 for ten.
	events   int
	started  time.Time
	finishes time.Time
	endpoint string
	done     bool
}

const step = time.Millisecond

func newSimulation(t *testing.T, engines ...*engine) *simulation {
	return newSimulationOf(t, srdispatch.Options{Seed: 1, Domain: "a"}, engines...)
}

func newSimulationOf(t *testing.T, o srdispatch.Options, engines ...*engine) *simulation {
	sim := &simulation{
		t: t, rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(0, 0),
		s:       srdispatch.New(o),
		engines: make(map[string]*engine), asks: make(map[uint64]*ask), decided: make(map[uint64]srdispatch.Decision),
	}
	var list []srdispatch.Endpoint
	for i, e := range engines {
		id := fmt.Sprintf("e%d", i)
		sim.engines[id] = e
		list = append(list, srdispatch.Endpoint{ID: id, Domain: "a", Slots: e.slots, Share: e.slots})
	}
	sim.apply(sim.s.Configure(sim.now, list))
	return sim
}

// add adds an ask of a kind, with target as the time to its objective.
func (sim *simulation) add(kind string, rank int, target, work time.Duration) uint64 {
	return sim.ask(&ask{kind: kind, work: work, Ask: srdispatch.Ask{Route: rank, Target: sim.now.Add(target), Deadline: sim.now.Add(10 * time.Second), Prompt: 100}})
}

func (sim *simulation) ask(a *ask) uint64 {
	sim.lastID++
	a.ID = sim.lastID
	sim.asks[a.ID] = a
	sim.apply(sim.s.Add(sim.now, a.Ask))
	return a.ID
}

// apply carries out decisions and checks that no ask is decided twice.
func (sim *simulation) apply(list []srdispatch.Decision) {
	for _, d := range list {
		_, twice := sim.decided[d.Ask]
		assert.Assert(sim.t, !twice, "ask %d was decided twice", d.Ask)
		sim.decided[d.Ask] = d
		if d.Kind != srdispatch.Placed {
			if sim.refused != nil {
				sim.refused(sim.asks[d.Ask], d)
			}
			continue
		}
		a, e := sim.asks[d.Ask], sim.engines[d.Endpoint]
		a.endpoint = d.Endpoint
		if e.fails {
			sim.apply(sim.s.Release(sim.now, d.Endpoint, srdispatch.Result{NotRun: true, Prompt: a.Prompt}))
			continue
		}
		e.waiting = append(e.waiting, a)
	}
}

// advance runs the simulation for d and calls each at every step.
func (sim *simulation) advance(d time.Duration, each func()) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		if each != nil {
			each()
		}
		for _, id := range slices.Sorted(maps.Keys(sim.engines)) {
			sim.runEngine(id, sim.engines[id])
		}
		sim.apply(sim.s.Tick(sim.now))
	}
}

func (sim *simulation) runEngine(id string, e *engine) {
	e.peak = max(e.peak, len(e.running)+len(e.waiting))
	for _, a := range slices.Clone(e.running) {
		if sim.now.Before(a.finishes) {
			continue
		}
		a.done = true
		e.running = slices.DeleteFunc(e.running, func(o *ask) bool { return o == a })
		r := srdispatch.Result{Pace: a.finishes.Sub(a.started) / 10}
		if a.events > 0 {
			r = srdispatch.Result{Pace: a.finishes.Sub(a.started) / time.Duration(a.events), Events: a.events, Length: a.Length}
		}
		sim.apply(sim.s.Release(sim.now, id, r))
	}
	for !e.hangs && len(e.waiting) > 0 && len(e.running) < e.slots {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		a.started = sim.now
		a.finishes = sim.now.Add(time.Duration(float64(a.work) * e.speed))
		e.running = append(e.running, a)
		sim.s.AnswerStarted(sim.now, id, a.Prompt, 30*time.Millisecond)
	}
}

// share returns the fraction of the asks of a kind that were served, and the fraction
// that started in time.
func (sim *simulation) share(kind string) (served, inTime float64) {
	var n, started, early int
	for _, a := range sim.asks {
		if a.kind != kind {
			continue
		}
		n++
		if a.endpoint != "" && !a.started.IsZero() {
			started++
			if !a.started.After(a.Target) {
				early++
			}
		}
	}
	return float64(started) / float64(n), float64(early) / float64(n)
}

func healthy(n, slots int) []*engine {
	var out []*engine
	for range n {
		out = append(out, &engine{slots: slots, speed: 1})
	}
	return out
}

// TestEnginesGetNoMoreThanTheirSlots offers three times the work that fits. Engines admit
// in order of arrival, so requests that an engine queued could no longer be ordered.
func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	sim := newSimulation(t, healthy(3, 4)...)
	sim.advance(3*time.Second, func() {
		if sim.now.UnixMilli()%5 == 0 {
			sim.add("work", 1, 250*time.Millisecond, 200*time.Millisecond)
		}
	})
	for id, e := range sim.engines {
		assert.Assert(t, e.peak <= e.slots, "%s had %d", id, e.peak)
	}
	sim.advance(time.Second, nil)
	served, inTime := sim.share("work")
	assert.Assert(t, served > 0.25)
	// Requests that cannot be in time are refused instead of being served late.
	assert.Equal(t, served, inTime)
}

// TestUrgentWorkSurvivesOverload checks that urgent work, which needs half of the slots,
// is served while other work asks for three times all of them.
func TestUrgentWorkSurvivesOverload(t *testing.T) {
	sim := newSimulation(t, healthy(3, 4)...)
	sim.advance(4*time.Second, func() {
		if sim.now.UnixMilli()%33 == 0 {
			sim.add("urgent", 0, 400*time.Millisecond, 200*time.Millisecond)
		}
		if sim.now.UnixMilli()%5 == 0 {
			sim.add("other", 1, 250*time.Millisecond, 200*time.Millisecond)
		}
	})
	sim.advance(time.Second, nil)
	_, urgent := sim.share("urgent")
	assert.Assert(t, urgent >= 0.99, "%v", urgent)
}

// TestNoRankStarves checks that a lower rank with few requests is served while a higher
// rank asks for more than the whole capacity.
func TestNoRankStarves(t *testing.T) {
	sim := newSimulation(t, healthy(3, 4)...)
	sim.advance(6*time.Second, func() {
		if sim.now.UnixMilli()%8 == 0 {
			sim.add("high", 0, 400*time.Millisecond, 200*time.Millisecond)
		}
		if sim.now.UnixMilli()%50 == 0 {
			sim.add("low", 2, 250*time.Millisecond, 20*time.Millisecond)
		}
	})
	sim.advance(time.Second, nil)
	high, _ := sim.share("high")
	low, _ := sim.share("low")
	all := (high*750 + low*120) / 870
	// Requirement: no kind is served less than a quarter as often as all kinds.
	assert.Assert(t, low >= all/4, "low %v of %v", low, all)
	assert.Assert(t, high > low)
}

// TestRejectingEndpointDoesNotAttractTheTraffic guards against choosing an endpoint that
// rejects requests because it looks the least loaded.
func TestRejectingEndpointDoesNotAttractTheTraffic(t *testing.T) {
	engines := healthy(4, 4)
	engines[0].fails = true
	sim := newSimulation(t, engines...)
	sim.advance(3*time.Second, func() {
		if sim.now.UnixMilli()%20 == 0 {
			sim.add("work", 1, 250*time.Millisecond, 150*time.Millisecond)
		}
	})
	served, _ := sim.share("work")
	assert.Assert(t, served >= 0.9, "%v", served)
}

// TestHangingEndpointIsEjectedOnSilence covers requests that must not run twice, so each
// one keeps its slot at a hanging endpoint until its deadline. Only ReportSilent
// ejects the endpoint for other requests; without it the endpoint gets as many
// requests as it has slots, again and again.
func TestHangingEndpointIsEjectedOnSilence(t *testing.T) {
	stuckRequests := func(reported bool) (n int) {
		const silent, deadline = 600 * time.Millisecond, 4 * time.Second
		engines := healthy(4, 6)
		engines[0].hangs = true
		sim := newSimulation(t, engines...)
		sent := make(map[*ask]time.Time)
		sim.advance(60*time.Second, func() {
			if sim.now.UnixMilli()%20 == 0 {
				sim.add("once", 1, 300*time.Millisecond, 240*time.Millisecond)
			}
			for _, a := range slices.Clone(engines[0].waiting) {
				since, ok := sent[a]
				switch {
				case !ok:
					sent[a] = sim.now
					n++
				case reported && sim.now.Sub(since) == silent:
					sim.s.ReportSilent(sim.now, "e0")
				case sim.now.Sub(since) == deadline:
					engines[0].waiting = slices.DeleteFunc(engines[0].waiting, func(o *ask) bool { return o == a })
					sim.apply(sim.s.Release(sim.now, "e0", srdispatch.Result{Unknown: true, Prompt: a.Prompt}))
				}
			}
		})
		served, _ := sim.share("once")
		t.Logf("silence reported %v: %d stuck, %.3f served", reported, n, served)
		return n
	}
	reported, unreported := stuckRequests(true), stuckRequests(false)
	assert.Assert(t, 2*reported < unreported, "%d %d", reported, unreported)
}

// TestEndpointThatGoesSilentInMidAnswerIsEjectedForLonger covers an endpoint that starts
// every answer and ends none: a started answer alone does not show that it works.
func TestEndpointThatGoesSilentInMidAnswerIsEjectedForLonger(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "mute", Domain: "a", Slots: 40, Share: 40}, {ID: "b", Slots: 40, Share: 40}})
	var out []time.Duration
	for id := uint64(1); len(out) < 6; id++ {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second), Avoid: []string{"b"}})
		assert.Equal(t, d[0].Endpoint, "mute")
		s.AnswerStarted(now, "mute", 0, 50*time.Millisecond)
		now = now.Add(time.Second)
		s.ReportSilent(now, "mute")
		for _, c := range s.HealthChanges() {
			if c.Out {
				out = append(out, c.For)
			}
		}
		now = now.Add(out[len(out)-1])
	}
	assert.DeepEqual(t, out, []time.Duration{
		200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		1600 * time.Millisecond, 3200 * time.Millisecond, 3200 * time.Millisecond,
	})
	// An answer that ends halves the failures.
	s.Release(now, "mute", srdispatch.Result{})
	s.ReportSilent(now, "mute")
	assert.Equal(t, s.HealthChanges()[1].For, 1600*time.Millisecond)
}

// TestEndpointIsUsedAgainWhenAnAnswerStarts: after a rejected request, the next one is a
// stream of many seconds. The endpoint must be used again before the stream ends.
func TestEndpointIsUsedAgainWhenAnAnswerStarts(t *testing.T) {
	engines := healthy(1, 4)
	engines[0].fails = true
	sim := newSimulation(t, engines...)
	sim.add("rejected", 1, 250*time.Millisecond, 10*time.Second)
	engines[0].fails = false
	sim.advance(300*time.Millisecond, nil)
	for range 4 {
		sim.add("stream", 1, 250*time.Millisecond, 10*time.Second)
		sim.advance(20*time.Millisecond, nil)
	}
	assert.Equal(t, len(engines[0].running), 4)
}

// TestProbeThatWasNotSentIsRepeated checks that an endpoint gets a new probe when the
// request that was to probe it after a failure is not sent.
func TestProbeThatWasNotSentIsRepeated(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "a", Slots: 4, Share: 4}, {ID: "b", Slots: 4, Share: 4}})
	add := func(id uint64, avoid ...string) string {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Deadline: now.Add(time.Second), Avoid: avoid})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	assert.Equal(t, add(1, "b"), "a")
	s.Release(now, "a", srdispatch.Result{NotRun: true})
	now = now.Add(time.Second)
	assert.Equal(t, add(2, "b"), "a")
	s.Release(now, "a", srdispatch.Result{Unsent: true})
	// Two requests at b make a the better endpoint again.
	add(3, "a")
	add(4, "a")
	assert.Equal(t, add(5), "a")
}

// TestGoneEndpointIsEjectedForTheMaximum checks that an endpoint whose address now
// belongs to another one is ejected for the longest time at its first failure.
func TestGoneEndpointIsEjectedForTheMaximum(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "gone", Domain: "a", Slots: 4, Share: 4}, {ID: "b", Slots: 4, Share: 4}, {ID: "c", Slots: 4, Share: 4}})
	placed := func(id uint64, now time.Time) string {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Deadline: now.Add(time.Second)})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	assert.Equal(t, placed(1, now), "gone")
	s.Release(now, "gone", srdispatch.Result{NotRun: true, Gone: true})
	for i := range uint64(3) {
		assert.Assert(t, placed(i+2, now.Add(2*time.Second)) != "gone")
	}
}

// TestNoEndpointIsEjectedWhenMostFail: when most endpoints fail, ejecting them would only
// stop the service.
func TestNoEndpointIsEjectedWhenMostFail(t *testing.T) {
	engines := healthy(4, 4)
	for _, e := range engines[:3] {
		e.fails = true
	}
	sim := newSimulation(t, engines...)
	for range 40 {
		sim.add("work", 1, 250*time.Millisecond, 50*time.Millisecond)
		sim.advance(10*time.Millisecond, nil)
	}
	for _, e := range engines {
		e.fails = false
	}
	sim.advance(5*time.Millisecond, nil)
	for range 8 {
		sim.add("after", 1, 250*time.Millisecond, 50*time.Millisecond)
	}
	sim.advance(10*time.Millisecond, nil)
	served, _ := sim.share("after")
	assert.Equal(t, served, 1.0)
}

// TestFreshAsksPrecedeReturnedOnes checks the order within one rank: asks that can still
// be in time precede those of returned callers.
func TestFreshAsksPrecedeReturnedOnes(t *testing.T) {
	sim := newSimulation(t, healthy(1, 1)...)
	sim.add("first", 0, time.Second, 50*time.Millisecond)
	returned := sim.ask(&ask{kind: "returned", work: 50 * time.Millisecond, Ask: srdispatch.Ask{Target: sim.now.Add(-time.Second), Deadline: sim.now.Add(5 * time.Second), Returned: true}})
	fresh := sim.add("fresh", 0, time.Second, 50*time.Millisecond)
	sim.advance(200*time.Millisecond, nil)
	assert.Assert(t, sim.asks[fresh].started.Before(sim.asks[returned].started))
	assert.Assert(t, sim.asks[returned].done)
}

// TestRefusedCallersReturnSpreadOut checks that callers refused in one burst of a hundred
// are not told to return at the same time.
func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	sim := newSimulation(t, healthy(1, 2)...)
	for range 100 {
		sim.add("burst", 1, 250*time.Millisecond, 100*time.Millisecond)
	}
	sim.advance(500*time.Millisecond, nil)
	perHalfSecond := make(map[int]int)
	n := 0
	for _, d := range sim.decided {
		if d.Kind != srdispatch.Refused {
			continue
		}
		n++
		assert.Assert(t, d.After > 0)
		// Callers do not wait for more than a third of the time they have left.
		assert.Assert(t, d.After <= 10*time.Second/3)
		perHalfSecond[int(d.After/(500*time.Millisecond))]++
	}
	assert.Assert(t, n > 50)
	for half, returning := range perHalfSecond {
		assert.Assert(t, returning <= n*6/10, "%d of %d in half second %d", returning, n, half)
	}
}

// TestSlowEndpointsTakeLateAsks: an endpoint ten times slower than the others cannot
// start an answer in time, so it gets only asks that are already late.
func TestSlowEndpointsTakeLateAsks(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	list := []srdispatch.Endpoint{{ID: "slow", Domain: "a", Slots: 8, Share: 8}, {ID: "b", Domain: "a", Slots: 8, Share: 8}, {ID: "c", Domain: "a", Slots: 8, Share: 8}}
	s.Configure(now, list)
	id := uint64(0)
	add := func(target time.Duration) string {
		id++
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(target), Deadline: now.Add(10 * time.Second), Prompt: 1000})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	for range 20 {
		for _, at := range []string{add(time.Second), add(time.Second), add(time.Second)} {
			first, pace := 50*time.Millisecond, 10*time.Millisecond
			if at == "slow" {
				first, pace = 500*time.Millisecond, 100*time.Millisecond
			}
			s.AnswerStarted(now, at, 1000, first)
			s.Release(now, at, srdispatch.Result{Pace: pace})
		}
		now = now.Add(100 * time.Millisecond)
	}
	for range 6 {
		assert.Assert(t, add(250*time.Millisecond) != "slow")
	}
	assert.Equal(t, add(-time.Second), "slow")
}

// TestColdEndpointIsRateLimited limits a cold endpoint to ten requests a second.
func TestColdEndpointIsRateLimited(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "cold", Slots: 50, Share: 50, ColdRate: 10}})
	placed := 0
	for i := range uint64(1000) {
		for _, d := range s.Add(now, srdispatch.Ask{ID: i, Target: now.Add(time.Second), Deadline: now.Add(time.Second)}) {
			if d.Kind == srdispatch.Placed {
				placed++
				s.Release(now, d.Endpoint, srdispatch.Result{})
			}
		}
		for _, d := range s.Tick(now) {
			if d.Kind == srdispatch.Placed {
				placed++
				s.Release(now, d.Endpoint, srdispatch.Result{})
			}
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, placed <= 11, "%d", placed)
	assert.Assert(t, placed >= 9, "%d", placed)
}

// shares returns the total slots shared at each endpoint, the slots of each instance, and
// the total cold rate at each endpoint.
func shares(instances, endpoints, slots int, cold float64) (byEndpoint, byInstance []int, rates []float64) {
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("10.0.0.%d:8003", i))
	}
	byEndpoint, rates = make([]int, endpoints), make([]float64, endpoints)
	for i, self := range names {
		var list []srdispatch.Endpoint
		for e := range endpoints {
			list = append(list, srdispatch.Endpoint{ID: fmt.Sprint("e", e), Slots: slots, ColdRate: cold})
		}
		srdispatch.NewSharing(self).SetShares(list, append(slices.Clone(names[:i]), names[i+1:]...))
		own := 0
		for e := range list {
			own += list[e].Share
			byEndpoint[e] += list[e].Share
			if list[e].Share > 0 {
				rates[e] += list[e].ColdRate
			}
		}
		byInstance = append(byInstance, own)
	}
	return byEndpoint, byInstance, rates
}

// TestManyInstancesShareAnEndpoint covers 69 instances and 90 endpoints of 8 slots. An
// equal share of at least one slot each would let 69 requests run at once.
func TestManyInstancesShareAnEndpoint(t *testing.T) {
	byEndpoint, byInstance, rates := shares(69, 90, 8, 20)
	for e, sum := range byEndpoint {
		assert.Assert(t, sum == 8, "endpoint %d: %d", e, sum)
		assert.Assert(t, rates[e] <= 1.25*20, "endpoint %d: %v a second", e, rates[e])
	}
	for i, own := range byInstance {
		assert.Assert(t, own > 0, "instance %d has no endpoint", i)
	}
}

// TestFewEndpointsAreSharedByMore covers 69 instances and 6 endpoints of 6 slots. With
// two slots for each instance that shares an endpoint, 51 instances would have no
// endpoint.
func TestFewEndpointsAreSharedByMore(t *testing.T) {
	byEndpoint, byInstance, _ := shares(69, 6, 6, 0)
	for e, sum := range byEndpoint {
		// Half of the total that one slot for each instance would give.
		assert.Assert(t, sum <= 69/2, "endpoint %d: %d", e, sum)
	}
	for i, own := range byInstance {
		assert.Assert(t, own > 0, "instance %d has no endpoint", i)
	}
}

// TestFewInstancesShareEqually checks that few instances get equal shares of at least one
// slot, and that these are no more than the slots of an endpoint if there are enough.
func TestFewInstancesShareEqually(t *testing.T) {
	byEndpoint, byInstance, rates := shares(7, 12, 17, 23)
	for e, sum := range byEndpoint {
		assert.Equal(t, sum, 17, "endpoint %d", e)
	}
	for _, own := range byInstance {
		assert.Assert(t, own >= 12*2 && own <= 12*3, "%d", own)
	}
	for _, rate := range rates {
		assert.Assert(t, rate < 23.01, "%v", rate)
	}
	_, byInstance, _ = shares(7, 3, 4, 0)
	assert.DeepEqual(t, byInstance, []int{3, 3, 3, 3, 3, 3, 3})
}

// TestUnsharedEndpointTakesOneAtATime checks that an instance sends one request at a time
// to an endpoint without a share, and only while the endpoint is at least half free and
// not cold.
func TestUnsharedEndpointTakesOneAtATime(t *testing.T) {
	now := time.Unix(0, 0)
	placed := func(e srdispatch.Endpoint, others int) int {
		s := srdispatch.New(srdispatch.Options{})
		s.Configure(now, []srdispatch.Endpoint{e})
		s.SetPeerLoad(now, map[string]srdispatch.Load{e.ID: {Running: others}})
		n := 0
		for i := range uint64(5) {
			for _, d := range s.Add(now, srdispatch.Ask{ID: i, Target: now.Add(time.Second), Deadline: now.Add(time.Second)}) {
				if d.Kind == srdispatch.Placed {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8}, 4), 1)
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8}, 5), 0)
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8, ColdRate: 5}, 0), 0)
}

// newPair returns a Service with the endpoints a and b, and a function that adds an ask and
// returns the decision about it, if there is one.
func newPair(now *time.Time) (s *srdispatch.Service, list []srdispatch.Endpoint, add func(target time.Duration, avoid ...string) srdispatch.Decision) {
	s = srdispatch.New(srdispatch.Options{Seed: 1})
	list = []srdispatch.Endpoint{{ID: "a", Slots: 40, Share: 40, Born: 1}, {ID: "b", Slots: 40, Share: 40, Born: 1}}
	s.Configure(*now, list)
	id := uint64(0)
	return s, list, func(target time.Duration, avoid ...string) srdispatch.Decision {
		id++
		d := s.Add(*now, srdispatch.Ask{ID: id, Target: now.Add(target), Deadline: now.Add(9 * time.Second), Avoid: avoid})
		if len(d) == 0 {
			return srdispatch.Decision{}
		}
		return d[0]
	}
}

// TestPausedEndpointGetsNothing covers an endpoint that rejects a request and asks for a
// pause of 2 s. Neither its own health, which recovers with an earlier request, nor that of
// the other endpoint, nor a shorter pause brings it back sooner.
func TestPausedEndpointGetsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	s, list, add := newPair(&now)
	for range 3 {
		assert.Equal(t, add(time.Second, "b").Endpoint, "a")
	}
	s.Release(now, "a", srdispatch.Result{NotRun: true})
	assert.Equal(t, s.Pause(now, "a", 1, 2*time.Second), 2*time.Second)
	assert.Equal(t, s.Pause(now, "a", 1, time.Second), 2*time.Second)
	s.AnswerStarted(now, "a", 0, 0)
	s.Release(now, "a", srdispatch.Result{})
	for ; now.Before(time.Unix(2, 0)); now = now.Add(10 * time.Millisecond) {
		assert.Assert(t, s.Paused(now, "a"))
		if d := add(time.Second); d.Kind == srdispatch.Placed {
			assert.Equal(t, d.Endpoint, "b")
			s.Release(now, "b", srdispatch.Result{Failed: true})
		}
		// An evacuation that is taken back does not end the pause.
		s.Configure(now, list[1:])
		s.Configure(now, list)
		for _, d := range s.Tick(now) {
			assert.Assert(t, d.Endpoint != "a", "%v", now)
		}
	}
	assert.Assert(t, !s.Paused(now, "a"))
	assert.Equal(t, add(time.Second, "b").Endpoint, "a")
}

// TestNextIncarnationIsNotPaused checks that a pause ends with the incarnation that asked
// for it, also when it is reported after the next one has registered.
func TestNextIncarnationIsNotPaused(t *testing.T) {
	now := time.Unix(0, 0)
	s, list, add := newPair(&now)
	assert.Equal(t, add(time.Second, "b").Endpoint, "a")
	s.Pause(now, "a", 1, time.Hour)
	assert.Equal(t, add(time.Second, "b").Kind, srdispatch.DecisionKind(0))
	list[0].Born = 2
	assert.Equal(t, s.Configure(now, list)[0].Endpoint, "a")
	assert.Equal(t, s.Pause(now, "a", 1, time.Hour), time.Duration(0))
	assert.Equal(t, add(time.Second, "b").Endpoint, "a")
}

// TestCallersReturnAfterThePauseOfAllEndpoints checks that an ask waits for the end of the
// pause if it may, and that its caller is told to return after it otherwise.
func TestCallersReturnAfterThePauseOfAllEndpoints(t *testing.T) {
	now := time.Unix(0, 0)
	s, _, add := newPair(&now)
	assert.Equal(t, add(time.Second).Kind, srdispatch.Placed)
	s.Pause(now, "a", 1, 2*time.Second)
	s.Pause(now, "b", 1, 1500*time.Millisecond)
	waits := add(4 * time.Second)
	assert.Equal(t, waits.Kind, srdispatch.DecisionKind(0))
	for range 20 {
		d := add(time.Second)
		assert.Equal(t, d.Reason, srdispatch.ReasonPaused)
		assert.Equal(t, d.Paused, 2)
		// Callers do not wait for more than a third of the time they have left.
		assert.Assert(t, d.After >= 1500*time.Millisecond && d.After <= 3*time.Second, "%v", d.After)
	}
	after := s.PauseDelay(now, now.Add(9*time.Second))
	assert.Assert(t, after >= 1500*time.Millisecond && after <= 3*time.Second, "%v", after)
	// The longer pause keeps the ask from waiting any longer.
	s.Pause(now, "b", 1, 3*time.Second)
	s.Pause(now, "a", 1, 3*time.Second)
	list := s.Tick(now)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Reason, srdispatch.ReasonPaused)
	now = now.Add(3 * time.Second)
	assert.Equal(t, add(time.Second).Kind, srdispatch.Placed)
	assert.Equal(t, s.PauseDelay(now, now.Add(9*time.Second)), time.Duration(0))
}

// TestPauseIsBounded checks that an endpoint which states an absurd time is tried again.
func TestPauseIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	s, _, add := newPair(&now)
	assert.Equal(t, s.Pause(now, "a", 1, math.MaxInt64), 10*time.Minute)
	now = now.Add(10 * time.Minute)
	assert.Equal(t, add(time.Second, "b").Endpoint, "a")
}

// TestStreamReturnsToItsFirstEndpoint: the first endpoint of a stream fell silent, so it is
// ejected, and all slots there are in use. The stream may run nowhere else: it gets the first
// slot that becomes free, or is refused when the endpoint leaves, whatever is free elsewhere.
func TestStreamReturnsToItsFirstEndpoint(t *testing.T) {
	sim := newSimulation(t, healthy(5, 1)...)
	for range 5 {
		sim.add("work", 1, time.Second, 300*time.Millisecond)
	}
	sim.s.ReportSilent(sim.now, "e0")
	returning := ask{kind: "stream", work: 100 * time.Millisecond, Ask: srdispatch.Ask{Target: sim.now, Deadline: sim.now.Add(3 * time.Second), Resumed: true, Only: []string{"e0"}}}
	first, second := returning, returning
	firstID := sim.ask(&first)
	sim.advance(350*time.Millisecond, nil)
	assert.Equal(t, sim.decided[firstID].Endpoint, "e0")
	secondID := sim.ask(&second)
	_, decided := sim.decided[secondID]
	assert.Assert(t, !decided)
	sim.apply(sim.s.Configure(sim.now, []srdispatch.Endpoint{{ID: "e1", Slots: 1, Share: 1}}))
	sim.advance(5*time.Millisecond, nil)
	assert.Equal(t, sim.decided[secondID].Reason, srdispatch.ReasonEmpty)
}

// TestRequestsAvoidTheQueueBehindALongPrompt: another instance has sent a prompt of 70,000
// tokens to the endpoint with the fewest requests. Small requests that are placed meanwhile
// would start after it, still in time; they go to the other endpoints as long as these start
// them sooner.
func TestRequestsAvoidTheQueueBehindALongPrompt(t *testing.T) {
	sim := newSimulation(t, healthy(3, 9)...)
	// 50 tokens take a millisecond.
	for i := range 40 {
		prompt := 500 * (1 + i%8)
		id := sim.ask(&ask{kind: "earlier", work: 5 * time.Millisecond, Ask: srdispatch.Ask{Target: sim.now.Add(time.Second), Deadline: sim.now.Add(time.Second)}})
		sim.s.AnswerStarted(sim.now, sim.decided[id].Endpoint, prompt, time.Duration(prompt/50)*time.Millisecond)
		sim.advance(10*time.Millisecond, nil)
	}
	place := func(load map[string]srdispatch.Load) map[string]int {
		sim.apply(sim.s.SetPeerLoad(sim.now, load))
		placed := make(map[string]int)
		for range 4 {
			id := sim.ask(&ask{kind: "small", work: 5 * time.Millisecond, Ask: srdispatch.Ask{Target: sim.now.Add(1500 * time.Millisecond), Deadline: sim.now.Add(3 * time.Second), Prompt: 500}})
			placed[sim.decided[id].Endpoint]++
		}
		sim.advance(50*time.Millisecond, nil)
		return placed
	}
	load := map[string]srdispatch.Load{"e0": {Running: 1}, "e1": {Running: 4}, "e2": {Running: 4}}
	assert.Assert(t, place(load)["e0"] >= 2)
	load["e0"] = srdispatch.Load{Running: 1, Pending: 70_000}
	assert.Equal(t, place(load)["e0"], 0)
}
