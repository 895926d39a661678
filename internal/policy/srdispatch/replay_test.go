package srdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// world replays a load against one instance and endpoints that run what they get
// in slots, in order of arrival, each at its own speed.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	s       *srdispatch.Service
	engines map[string]*engine
	asks    map[uint64]*ask
	next    uint64
	decided map[uint64]srdispatch.Decision
}

type engine struct {
	slots int
	speed float64
	// fails makes it reject everything, hangs answer nothing.
	fails   bool
	hangs   bool
	running []*ask
	waiting []*ask
	most    int
}

type ask struct {
	srdispatch.Ask
	kind     string
	work     time.Duration
	started  time.Time
	finishes time.Time
	endpoint string
	done     bool
}

const step = time.Millisecond

func newWorld(t *testing.T, engines ...*engine) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(0, 0),
		s:       srdispatch.New(srdispatch.Options{Seed: 1, Domain: "a"}),
		engines: make(map[string]*engine), asks: make(map[uint64]*ask), decided: make(map[uint64]srdispatch.Decision),
	}
	var list []srdispatch.Endpoint
	for i, e := range engines {
		id := fmt.Sprintf("e%d", i)
		w.engines[id] = e
		list = append(list, srdispatch.Endpoint{ID: id, Domain: "a", Slots: e.slots, Share: e.slots})
	}
	w.carry(w.s.Configure(w.now, list))
	return w
}

func (w *world) add(kind string, rank int, target, work time.Duration) uint64 {
	return w.ask(&ask{kind: kind, work: work, Ask: srdispatch.Ask{Route: rank, Target: w.now.Add(target), Until: w.now.Add(10 * time.Second), Prompt: 100}})
}

func (w *world) ask(a *ask) uint64 {
	w.next++
	a.ID = w.next
	w.asks[a.ID] = a
	w.carry(w.s.Add(w.now, a.Ask))
	return a.ID
}

func (w *world) carry(list []srdispatch.Decision) {
	for _, d := range list {
		_, twice := w.decided[d.Ask]
		assert.Assert(w.t, !twice, "ask %d was decided twice", d.Ask)
		w.decided[d.Ask] = d
		if d.Kind != srdispatch.Placed {
			continue
		}
		a, e := w.asks[d.Ask], w.engines[d.Endpoint]
		a.endpoint = d.Endpoint
		if e.fails {
			w.carry(w.s.Done(w.now, d.Endpoint, srdispatch.Result{NotRun: true, Prompt: a.Prompt}))
			continue
		}
		e.waiting = append(e.waiting, a)
	}
}

// advance runs the world for d and calls each at every step.
func (w *world) advance(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		if each != nil {
			each()
		}
		for id, e := range w.engines {
			w.runEngine(id, e)
		}
		w.carry(w.s.Tick(w.now))
	}
}

func (w *world) runEngine(id string, e *engine) {
	e.most = max(e.most, len(e.running)+len(e.waiting))
	for _, a := range slices.Clone(e.running) {
		if w.now.Before(a.finishes) {
			continue
		}
		a.done = true
		e.running = slices.DeleteFunc(e.running, func(o *ask) bool { return o == a })
		w.carry(w.s.Done(w.now, id, srdispatch.Result{Pace: a.finishes.Sub(a.started) / 10}))
	}
	for !e.hangs && len(e.waiting) > 0 && len(e.running) < e.slots {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		a.started = w.now
		a.finishes = w.now.Add(time.Duration(float64(a.work) * e.speed))
		e.running = append(e.running, a)
		w.s.Began(w.now, id, a.Prompt, 30*time.Millisecond)
	}
}

// share returns the part of a kind's asks that ended, and that began in time.
func (w *world) share(kind string) (served, inTime float64) {
	var n, done, early int
	for _, a := range w.asks {
		if a.kind != kind {
			continue
		}
		n++
		if a.endpoint != "" && !a.started.IsZero() {
			done++
			if !a.started.After(a.Target) {
				early++
			}
		}
	}
	return float64(done) / float64(n), float64(early) / float64(n)
}

func healthy(n, slots int) []*engine {
	var out []*engine
	for range n {
		out = append(out, &engine{slots: slots, speed: 1})
	}
	return out
}

// TestEnginesGetNoMoreThanTheirSlots: three times the work that fits. Engines
// admit in order of arrival, so what they queue can no longer be ordered.
func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	w := newWorld(t, healthy(3, 4)...)
	w.advance(3*time.Second, func() {
		if w.now.UnixMilli()%5 == 0 {
			w.add("work", 1, 250*time.Millisecond, 200*time.Millisecond)
		}
	})
	for id, e := range w.engines {
		assert.Assert(t, e.most <= e.slots, "%s had %d", id, e.most)
	}
	w.advance(time.Second, nil)
	served, inTime := w.share("work")
	assert.Assert(t, served > 0.25)
	// What cannot be in time is turned away instead of being served late.
	assert.Equal(t, served, inTime)
}

// TestUrgentWorkSurvivesOverload: urgent work takes half of the slots, and other
// work asks for three times all of them.
func TestUrgentWorkSurvivesOverload(t *testing.T) {
	w := newWorld(t, healthy(3, 4)...)
	w.advance(4*time.Second, func() {
		if w.now.UnixMilli()%33 == 0 {
			w.add("urgent", 0, 400*time.Millisecond, 200*time.Millisecond)
		}
		if w.now.UnixMilli()%5 == 0 {
			w.add("other", 1, 250*time.Millisecond, 200*time.Millisecond)
		}
	})
	w.advance(time.Second, nil)
	_, urgent := w.share("urgent")
	assert.Assert(t, urgent >= 0.99, "%v", urgent)
}

// TestNoRankStarves: a higher rank asks for more than everything for long, and
// a lower one for little.
func TestNoRankStarves(t *testing.T) {
	w := newWorld(t, healthy(3, 4)...)
	w.advance(6*time.Second, func() {
		if w.now.UnixMilli()%8 == 0 {
			w.add("high", 0, 400*time.Millisecond, 200*time.Millisecond)
		}
		if w.now.UnixMilli()%50 == 0 {
			w.add("low", 2, 250*time.Millisecond, 20*time.Millisecond)
		}
	})
	w.advance(time.Second, nil)
	high, _ := w.share("high")
	low, _ := w.share("low")
	all := (high*750 + low*120) / 870
	// The users ask that no kind is served less than a quarter as often as all.
	assert.Assert(t, low >= all/4, "low %v of %v", low, all)
	assert.Assert(t, high > low)
}

// TestRejectingEndpointDoesNotSwallowTheTraffic: it looks the least loaded.
func TestRejectingEndpointDoesNotSwallowTheTraffic(t *testing.T) {
	engines := healthy(4, 4)
	engines[0].fails = true
	w := newWorld(t, engines...)
	w.advance(3*time.Second, func() {
		if w.now.UnixMilli()%20 == 0 {
			w.add("work", 1, 250*time.Millisecond, 150*time.Millisecond)
		}
	})
	served, _ := w.share("work")
	assert.Assert(t, served >= 0.9, "%v", served)
}

// TestHangingEndpointIsSparedByRequestsThatWaitOn: they may run only once, so each
// of them holds a slot there until its deadline, and only the silence tells the
// others. Without it the endpoint gets as many as it has slots, again and again.
func TestHangingEndpointIsSparedByRequestsThatWaitOn(t *testing.T) {
	swallowed := func(told bool) (n int) {
		const silent, deadline = 600 * time.Millisecond, 4 * time.Second
		engines := healthy(4, 6)
		engines[0].hangs = true
		w := newWorld(t, engines...)
		sent := make(map[*ask]time.Time)
		w.advance(60*time.Second, func() {
			if w.now.UnixMilli()%20 == 0 {
				w.add("once", 1, 300*time.Millisecond, 240*time.Millisecond)
			}
			for _, a := range slices.Clone(engines[0].waiting) {
				since, ok := sent[a]
				switch {
				case !ok:
					sent[a] = w.now
					n++
				case told && w.now.Sub(since) == silent:
					w.s.Silent(w.now, "e0")
				case w.now.Sub(since) == deadline:
					engines[0].waiting = slices.DeleteFunc(engines[0].waiting, func(o *ask) bool { return o == a })
					w.carry(w.s.Done(w.now, "e0", srdispatch.Result{Unknown: true, Prompt: a.Prompt}))
				}
			}
		})
		served, _ := w.share("once")
		t.Logf("silence told %v: %d swallowed, %.3f served", told, n, served)
		return n
	}
	told, untold := swallowed(true), swallowed(false)
	assert.Assert(t, 2*told < untold, "%d %d", told, untold)
}

// TestEndpointThatFallsSilentMidwayIsLeftOutForLonger: it begins every answer and
// ends none, so a begun answer alone is no sign that it works.
func TestEndpointThatFallsSilentMidwayIsLeftOutForLonger(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "mute", Domain: "a", Slots: 40, Share: 40}, {ID: "b", Slots: 40, Share: 40}})
	var out []time.Duration
	for id := uint64(1); len(out) < 6; id++ {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Until: now.Add(10 * time.Second), Avoid: []string{"b"}})
		assert.Equal(t, d[0].Endpoint, "mute")
		s.Began(now, "mute", 0, 50*time.Millisecond)
		now = now.Add(time.Second)
		s.Silent(now, "mute")
		for _, v := range s.Verdicts() {
			if v.Out {
				out = append(out, v.For)
			}
		}
		now = now.Add(out[len(out)-1])
	}
	assert.DeepEqual(t, out, []time.Duration{
		200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		1600 * time.Millisecond, 3200 * time.Millisecond, 3200 * time.Millisecond,
	})
	// An answer that ends takes half of the failures back.
	s.Done(now, "mute", srdispatch.Result{})
	s.Silent(now, "mute")
	assert.Equal(t, s.Verdicts()[1].For, 1600*time.Millisecond)
}

// TestEndpointIsUsedAgainWhenAnAnswerBegins: one request was rejected, and the
// next one is a stream of many seconds.
func TestEndpointIsUsedAgainWhenAnAnswerBegins(t *testing.T) {
	engines := healthy(1, 4)
	engines[0].fails = true
	w := newWorld(t, engines...)
	w.add("rejected", 1, 250*time.Millisecond, 10*time.Second)
	engines[0].fails = false
	w.advance(300*time.Millisecond, nil)
	for range 4 {
		w.add("stream", 1, 250*time.Millisecond, 10*time.Second)
		w.advance(20*time.Millisecond, nil)
	}
	assert.Equal(t, len(engines[0].running), 4)
}

// TestProbeThatWasNotSentIsRepeated: after a failure the endpoint is tried with one
// request, and that one is not sent after all.
func TestProbeThatWasNotSentIsRepeated(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "a", Slots: 4, Share: 4}, {ID: "b", Slots: 4, Share: 4}})
	add := func(id uint64, avoid ...string) string {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Until: now.Add(time.Second), Avoid: avoid})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	assert.Equal(t, add(1, "b"), "a")
	s.Done(now, "a", srdispatch.Result{NotRun: true})
	now = now.Add(time.Second)
	assert.Equal(t, add(2, "b"), "a")
	s.Done(now, "a", srdispatch.Result{Unsent: true})
	// Two at b, so that a is the better one again.
	add(3, "a")
	add(4, "a")
	assert.Equal(t, add(5), "a")
}

// TestGoneEndpointIsLeftOutAtOnce: its address answers for another one.
func TestGoneEndpointIsLeftOutAtOnce(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "gone", Domain: "a", Slots: 4, Share: 4}, {ID: "b", Slots: 4, Share: 4}, {ID: "c", Slots: 4, Share: 4}})
	placed := func(id uint64, now time.Time) string {
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(time.Second), Until: now.Add(time.Second)})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	assert.Equal(t, placed(1, now), "gone")
	s.Done(now, "gone", srdispatch.Result{NotRun: true, Gone: true})
	for i := range uint64(3) {
		assert.Assert(t, placed(i+2, now.Add(2*time.Second)) != "gone")
	}
}

// TestTroubleEverywhereLeavesNobodyOut: when most endpoints fail, leaving them
// out would only stop the service.
func TestTroubleEverywhereLeavesNobodyOut(t *testing.T) {
	engines := healthy(4, 4)
	for _, e := range engines[:3] {
		e.fails = true
	}
	w := newWorld(t, engines...)
	for range 40 {
		w.add("work", 1, 250*time.Millisecond, 50*time.Millisecond)
		w.advance(10*time.Millisecond, nil)
	}
	for _, e := range engines {
		e.fails = false
	}
	w.advance(5*time.Millisecond, nil)
	for range 8 {
		w.add("after", 1, 250*time.Millisecond, 50*time.Millisecond)
	}
	w.advance(10*time.Millisecond, nil)
	served, _ := w.share("after")
	assert.Equal(t, served, 1.0)
}

// TestWhatCanBeInTimeGoesBeforeWhatCameBack, within one rank.
func TestWhatCanBeInTimeGoesBeforeWhatCameBack(t *testing.T) {
	w := newWorld(t, healthy(1, 1)...)
	w.add("first", 0, time.Second, 50*time.Millisecond)
	back := w.ask(&ask{kind: "back", work: 50 * time.Millisecond, Ask: srdispatch.Ask{Target: w.now.Add(-time.Second), Until: w.now.Add(5 * time.Second), Returned: true}})
	fresh := w.add("fresh", 0, time.Second, 50*time.Millisecond)
	w.advance(200*time.Millisecond, nil)
	assert.Assert(t, w.asks[fresh].started.Before(w.asks[back].started))
	assert.Assert(t, w.asks[back].done)
}

// TestRefusedCallersComeBackApart: a hundred are refused in one burst.
func TestRefusedCallersComeBackApart(t *testing.T) {
	w := newWorld(t, healthy(1, 2)...)
	for range 100 {
		w.add("burst", 1, 250*time.Millisecond, 100*time.Millisecond)
	}
	w.advance(500*time.Millisecond, nil)
	perSecond := make(map[int]int)
	n := 0
	for _, d := range w.decided {
		if d.Kind != srdispatch.Refused {
			continue
		}
		n++
		assert.Assert(t, d.After > 0)
		// Callers do not wait for more than a third of the time they have left.
		assert.Assert(t, d.After <= 10*time.Second/3)
		perSecond[int(d.After/(500*time.Millisecond))]++
	}
	assert.Assert(t, n > 50)
	for half, back := range perSecond {
		assert.Assert(t, back <= n*6/10, "%d of %d in half second %d", back, n, half)
	}
}

// TestSlowEndpointsTakeWhatIsLate: an endpoint ten times slower than the others
// cannot begin in time.
func TestSlowEndpointsTakeWhatIsLate(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	list := []srdispatch.Endpoint{{ID: "slow", Domain: "a", Slots: 8, Share: 8}, {ID: "b", Domain: "a", Slots: 8, Share: 8}, {ID: "c", Domain: "a", Slots: 8, Share: 8}}
	s.Configure(now, list)
	id := uint64(0)
	add := func(target time.Duration) string {
		id++
		d := s.Add(now, srdispatch.Ask{ID: id, Target: now.Add(target), Until: now.Add(10 * time.Second), Prompt: 1000})
		assert.Equal(t, d[0].Kind, srdispatch.Placed)
		return d[0].Endpoint
	}
	for range 20 {
		for _, at := range []string{add(time.Second), add(time.Second), add(time.Second)} {
			first, pace := 50*time.Millisecond, 10*time.Millisecond
			if at == "slow" {
				first, pace = 500*time.Millisecond, 100*time.Millisecond
			}
			s.Began(now, at, 1000, first)
			s.Done(now, at, srdispatch.Result{Pace: pace})
		}
	}
	for range 6 {
		assert.Assert(t, add(250*time.Millisecond) != "slow")
	}
	assert.Equal(t, add(-time.Second), "slow")
}

// TestColdEndpointIsSpared: it bears ten requests a second from here.
func TestColdEndpointIsSpared(t *testing.T) {
	s := srdispatch.New(srdispatch.Options{Domain: "a"})
	now := time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "cold", Slots: 50, Share: 50, Cold: 10}})
	placed := 0
	for i := range uint64(1000) {
		for _, d := range s.Add(now, srdispatch.Ask{ID: i, Target: now.Add(time.Second), Until: now.Add(time.Second)}) {
			if d.Kind == srdispatch.Placed {
				placed++
				s.Done(now, d.Endpoint, srdispatch.Result{})
			}
		}
		for _, d := range s.Tick(now) {
			if d.Kind == srdispatch.Placed {
				placed++
				s.Done(now, d.Endpoint, srdispatch.Result{})
			}
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, placed <= 11, "%d", placed)
	assert.Assert(t, placed >= 9, "%d", placed)
}

// shares returns the slots that each of several instances gets at each endpoint.
func shares(instances, endpoints, slots int, cold float64) (byEndpoint, byInstance []int, rates []float64) {
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("10.0.0.%d:8003", i))
	}
	byEndpoint, rates = make([]int, endpoints), make([]float64, endpoints)
	for i, self := range names {
		var list []srdispatch.Endpoint
		for e := range endpoints {
			list = append(list, srdispatch.Endpoint{ID: fmt.Sprint("e", e), Slots: slots, Cold: cold})
		}
		srdispatch.Share(list, self, append(slices.Clone(names[:i]), names[i+1:]...))
		own := 0
		for e := range list {
			own += list[e].Share
			byEndpoint[e] += list[e].Share
			if list[e].Share > 0 {
				rates[e] += list[e].Cold
			}
		}
		byInstance = append(byInstance, own)
	}
	return byEndpoint, byInstance, rates
}

// TestManyInstancesShareAnEndpoint: 69 instances before 90 endpoints of 8 slots.
// An equal part of at least one slot each would let 69 requests run at once.
func TestManyInstancesShareAnEndpoint(t *testing.T) {
	byEndpoint, byInstance, rates := shares(69, 90, 8, 20)
	for e, sum := range byEndpoint {
		assert.Assert(t, sum >= 8 && sum <= 10, "endpoint %d: %d", e, sum)
		assert.Assert(t, rates[e] <= 1.25*20, "endpoint %d: %v a second", e, rates[e])
	}
	for i, own := range byInstance {
		assert.Assert(t, own > 0, "instance %d has no endpoint", i)
	}
}

// TestFewEndpointsAreSharedByMore: 69 instances before 6 endpoints of 6 slots. With
// two slots for each sharer, 51 instances would have no endpoint at all.
func TestFewEndpointsAreSharedByMore(t *testing.T) {
	byEndpoint, byInstance, _ := shares(69, 6, 6, 0)
	for e, sum := range byEndpoint {
		// Half of what one slot for each instance would be.
		assert.Assert(t, sum <= 69/2, "endpoint %d: %d", e, sum)
	}
	for i, own := range byInstance {
		assert.Assert(t, own > 0, "instance %d has no endpoint", i)
	}
}

// TestFewInstancesShareEqually, at least one slot each.
func TestFewInstancesShareEqually(t *testing.T) {
	_, byInstance, rates := shares(7, 12, 17, 23)
	for _, own := range byInstance {
		assert.Equal(t, own, 12*3)
	}
	for _, rate := range rates {
		assert.Assert(t, rate < 23.01, "%v", rate)
	}
	_, byInstance, _ = shares(7, 3, 4, 0)
	assert.DeepEqual(t, byInstance, []int{3, 3, 3, 3, 3, 3, 3})
}

// TestEndpointOfOthersTakesOneAtATime, only while it is known to be half empty
// and not cold.
func TestEndpointOfOthersTakesOneAtATime(t *testing.T) {
	now := time.Unix(0, 0)
	placed := func(e srdispatch.Endpoint, others int) int {
		s := srdispatch.New(srdispatch.Options{})
		s.Configure(now, []srdispatch.Endpoint{e})
		s.Peers(now, map[string]int{e.ID: others})
		n := 0
		for i := range uint64(5) {
			for _, d := range s.Add(now, srdispatch.Ask{ID: i, Target: now.Add(time.Second), Until: now.Add(time.Second)}) {
				if d.Kind == srdispatch.Placed {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8}, 4), 1)
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8}, 5), 0)
	assert.Equal(t, placed(srdispatch.Endpoint{ID: "e", Slots: 8, Cold: 5}, 0), 0)
}
