package srdispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// The rig replays a load against one Service and simulated engines, which run their requests
// in batches: one iteration makes an event of each request that has started, and processes the
// prompts in order of arrival, a chunk at a time. The same load is played with each variant of
// what is known of the engines.
const (
	rigStep = time.Millisecond
	// An iteration takes rigBase and rigEach for each request, and a millisecond for each
	// rigPrefill prompt tokens, of which it processes rigChunk at most.
	rigBase    = 5 * time.Millisecond
	rigEach    = 300 * time.Microsecond
	rigPrefill = 60.0
	rigChunk   = 2048
	rigEvents  = 60
	// rigTarget is the objective of callers for the start of an answer.
	rigTarget = time.Second
	// rigGap is the longest time per event with which callers count an answer as in time.
	rigGap = 40 * time.Millisecond
)

type variant string

const (
	// learns is the product.
	learns variant = "learned limits"
	// former is the variant before: a moving average of the time per event, the regression of
	// the time to start, and no limits.
	former variant = "before"
	// weighted has fixed weights by the speed of an idle engine.
	weighted variant = "fixed weights"
)

type rigEngine struct {
	slots int
	// slow is the factor on the time of the engine with n requests.
	slow func(n int, at time.Duration) float64
	// late is the share of answers that the path delays by 200 ms.
	late float64
	// share is the share of the requests that may get the engine, 0 for all.
	share float64
	// coldAt is when the engine starts again, cold for rigCold.
	coldAt time.Duration

	queue []*rigAsk
	ready time.Time
	peak  int
}

type rigAsk struct {
	Ask
	prompt, events int
	work           time.Duration
	sent, first    time.Time
	endpoint       string
	inTime         bool
}

type rigLoad struct {
	name    string
	engines func() []*rigEngine
	// rate is the number of requests per second.
	rate func(at time.Duration) float64
	// length is how long the load lasts, 0 for rigLength.
	length time.Duration
	prompt func(r *rand.Rand, at time.Duration) int
	// plain is the mean work of whole answers, 0 for streams.
	plain time.Duration
	check func(t *testing.T, old, weights, learned *rigResult)
}

// rigResult is what callers got, summed over the seeds.
type rigResult struct {
	asked, inTime int
	wait          time.Duration
	// peak is the largest number of prompts that waited at an engine.
	peak int
	// firstLow and firstHigh are the lowest and highest mean time to start of an engine.
	firstLow, firstHigh time.Duration
	falls               int
	// firstFall is the latest time of the first fall of a limit.
	firstFall time.Duration
	// last has the limits at the end by engine, limitedAtEnd counts those below the slots.
	last         map[string][]int
	limitedAtEnd int
}

func (r *rigResult) share() float64 { return float64(r.inTime) / float64(r.asked) }

func (r *rigResult) queue() int { return r.peak }

func (r *rigResult) meanWait() time.Duration {
	return (r.wait / time.Duration(r.asked)).Round(time.Millisecond)
}

// firstSpread returns the ratio of the highest to the lowest mean time to start.
func (r *rigResult) firstSpread() float64 { return float64(r.firstHigh) / float64(r.firstLow) }

const (
	rigLength = 40 * time.Second
	// rigWarm is the time before answers count.
	rigWarm = 5 * time.Second
	rigCold = 3 * time.Second
)

// play replays a load with a variant and adds what callers got.
func (load *rigLoad) play(v variant, seed uint64, out *rigResult) {
	// arrivals are the same for all variants.
	arrivals, r := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(1000, 0)
	now := start
	s := New(Options{Seed: seed, Domain: "a"})
	engines := load.engines()
	list := make([]Endpoint, len(engines))
	byID := make(map[string]*rigEngine)
	for i, e := range engines {
		id := fmt.Sprintf("e%d", i)
		list[i] = Endpoint{ID: id, Domain: "a", Born: 1, Slots: e.slots, Share: e.slots}
		byID[id] = e
	}
	if v != learns {
		old := &formerPaces{}
		i := 0
		s.learner = func(slots int) learner {
			f := &formerLearner{paces: old, slots: slots}
			if v == weighted {
				f.weight = engines[i].slow(1, 0)
			}
			i++
			old.all = append(old.all, f)
			return f
		}
	}
	fell := time.Duration(0)
	asks := make(map[uint64]*rigAsk)
	apply := func(list []Decision) {
		for _, d := range list {
			a := asks[d.Ask]
			if d.Kind == Placed {
				a.endpoint, a.sent = d.Endpoint, now
				byID[d.Endpoint].queue = append(byID[d.Endpoint].queue, a)
			}
		}
	}
	configure := func() { apply(s.Configure(now, slices.Clone(list))) }
	configure()
	var all []*rigAsk
	next := 0.0
	for id := uint64(0); now.Sub(start) < cmp.Or(load.length, rigLength); now = now.Add(rigStep) {
		at := now.Sub(start)
		for i, e := range engines {
			if e.coldAt > 0 && at == e.coldAt {
				list[i].Born, list[i].ColdRate = 2, 10
				configure()
			}
			if e.coldAt > 0 && at == e.coldAt+rigCold {
				list[i].ColdRate = 0
				configure()
			}
		}
		for next <= at.Seconds() {
			next += arrivals.ExpFloat64() / load.rate(at)
			id++
			a := &rigAsk{Ask: Ask{ID: id, Target: now.Add(rigTarget), Deadline: now.Add(10 * rigTarget)}, events: rigEvents, prompt: load.prompt(arrivals, at)}
			a.work = time.Duration(float64(load.plain) * math.Exp(0.4*arrivals.NormFloat64()))
			a.Prompt = a.prompt
			for i, e := range engines {
				if e.share > 0 && arrivals.Float64() >= e.share {
					a.Avoid = append(a.Avoid, list[i].ID)
				}
			}
			asks[id] = a
			all = append(all, a)
			apply(s.Add(now, a.Ask))
		}
		for i, e := range engines {
			if now.Before(e.ready) {
				continue
			}
			apply(e.iterate(s, now, at, list[i].ID, r, load.plain > 0))
		}
		apply(s.Tick(now))
		for _, c := range s.LimitChanges(now) {
			if c.Reason == srlimit.Slow {
				out.falls++
				fell = cmp.Or(fell, at)
			}
		}
	}
	out.firstFall = max(out.firstFall, fell)
	for id, limit := range s.Limits() {
		out.last[id] = append(out.last[id], limit)
		if limit < byID[id].slots {
			out.limitedAtEnd++
		}
	}
	firsts, counts := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, a := range all {
		arrived := a.Target.Add(-rigTarget)
		if arrived.Sub(start) < rigWarm || a.Target.After(now) {
			continue
		}
		out.asked++
		if a.inTime {
			out.inTime++
		}
		if a.endpoint != "" {
			out.wait += a.sent.Sub(arrived)
		}
		if !a.first.IsZero() {
			firsts[a.endpoint] += a.first.Sub(a.sent)
			counts[a.endpoint]++
		}
	}
	low, high := time.Duration(math.MaxInt64), time.Duration(0)
	for id, n := range counts {
		low, high = min(low, firsts[id]/n), max(high, firsts[id]/n)
	}
	out.firstLow, out.firstHigh = out.firstLow+low, out.firstHigh+high
	for _, e := range engines {
		out.peak = max(out.peak, e.peak)
	}
}

// iterate runs the engine once and reports what has started and ended.
func (e *rigEngine) iterate(s *Service, now time.Time, at time.Duration, id string, r *rand.Rand, plain bool) (out []Decision) {
	n := min(len(e.queue), e.slots)
	if n == 0 {
		return nil
	}
	slow := e.slow(n, at)
	if plain {
		for _, a := range slices.Clone(e.queue[:n]) {
			if a.work -= time.Duration(float64(rigStep) / slow); a.work > 0 {
				continue
			}
			took := now.Sub(a.sent)
			if r.Float64() < e.late {
				took += 200 * time.Millisecond
			}
			a.first, a.inTime = a.sent.Add(took), !a.sent.Add(took).After(a.Target)
			e.remove(a)
			out = append(out, s.Release(now, id, Result{Pace: took})...)
		}
		return out
	}
	chunk, waiting := rigChunk, 0
	length := rigBase + time.Duration(n)*rigEach
	for _, a := range e.queue[:n] {
		if a.prompt > 0 {
			waiting++
			part := min(a.prompt, chunk)
			a.prompt, chunk = a.prompt-part, chunk-part
			length += time.Duration(float64(part) / rigPrefill * float64(time.Millisecond))
		}
	}
	length = time.Duration(float64(length) * slow)
	e.ready, e.peak = now.Add(length), max(e.peak, waiting)
	for _, a := range slices.Clone(e.queue[:n]) {
		switch {
		case a.prompt > 0:
		case a.first.IsZero():
			a.first = e.ready
			first := a.first.Sub(a.sent)
			if r.Float64() < e.late {
				first += 200 * time.Millisecond
			}
			s.AnswerStarted(now, id, a.Prompt, first)
		default:
			if a.events--; a.events > 0 {
				continue
			}
			pace := e.ready.Sub(a.first) / (rigEvents - 1)
			a.inTime = !a.first.After(a.Target) && pace <= rigGap
			e.remove(a)
			out = append(out, s.Release(now, id, Result{Pace: pace})...)
		}
	}
	return out
}

func (e *rigEngine) remove(a *rigAsk) {
	e.queue = slices.DeleteFunc(e.queue, func(o *rigAsk) bool { return o == a })
}

// formerPaces and formerLearner are the variants before and with fixed weights.
type formerPaces struct {
	all []*formerLearner
	// n, x, y, xx and xy are decayed sums of a regression.
	n, x, y, xx, xy float64
}

type formerLearner struct {
	paces        *formerPaces
	slots        int
	pace, weight float64
}

func (f *formerLearner) Configure(_ time.Time, slots int, _ bool) { f.slots = slots }
func (f *formerLearner) Reset(time.Time)                          {}
func (f *formerLearner) Placed(_ time.Time, _, _, _ int)          {}
func (f *formerLearner) Probe(time.Time) bool                     { return false }
func (f *formerLearner) Limit() int                               { return f.slots }

func (f *formerLearner) Started(now time.Time, _, tokens int, first time.Duration) {
	p, keep, x, y := f.paces, 1-1/200.0, float64(tokens), first.Seconds()/f.Slowness(now)
	p.n, p.x, p.y, p.xx, p.xy = p.n*keep+1, p.x*keep+x, p.y*keep+y, p.xx*keep+x*x, p.xy*keep+x*y
}

func (f *formerLearner) Ended(_ time.Time, a srlimit.Answer) {
	switch {
	case a.Pace == 0:
	case f.pace == 0:
		f.pace = a.Pace.Seconds()
	default:
		f.pace += 0.2 * (a.Pace.Seconds() - f.pace)
	}
}

func (f *formerLearner) Slowness(time.Time) float64 {
	if f.weight > 0 {
		return f.weight
	}
	var known []float64
	for _, o := range f.paces.all {
		if o.pace > 0 {
			known = append(known, o.pace)
		}
	}
	if f.pace == 0 || len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return min(max(f.pace/known[len(known)/2], 0.05), 20)
}

func (f *formerLearner) EventTime(time.Time) time.Duration { return 0 }

func (f *formerLearner) StartTime(now time.Time, tokens int) time.Duration {
	p := f.paces
	if p.n < 20 {
		return 0
	}
	slope := 0.0
	if spread := p.n*p.xx - p.x*p.x; spread > 0 {
		slope = max((p.n*p.xy-p.x*p.y)/spread, 0)
	}
	seconds := max((p.y-slope*p.x)/p.n, 0) + slope*float64(tokens)
	return time.Duration(seconds * f.Slowness(now) * float64(time.Second))
}

func always(factor float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return factor }
}

// slowsAt is the factor of an engine that takes some requests well.
func slowsAt(well int, each float64) func(int, time.Duration) float64 {
	return func(n int, _ time.Duration) float64 { return 1 + each*float64(max(n-well, 0)) }
}

// during applies slow for some time.
func during(from, to time.Duration, slow func(int, time.Duration) float64) func(int, time.Duration) float64 {
	return func(n int, at time.Duration) float64 {
		if at >= from && at < to {
			return slow(n, at)
		}
		return 1
	}
}

func rigEngines(slow ...func(int, time.Duration) float64) func() []*rigEngine {
	return func() []*rigEngine {
		out := make([]*rigEngine, len(slow))
		for i, f := range slow {
			out[i] = &rigEngine{slots: 8, slow: f}
		}
		return out
	}
}

func constantly(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// prompts draws prompts whose median is typical.
func prompts(median float64) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, _ time.Duration) int { return int(median * math.Exp(0.9*r.NormFloat64())) }
}

// rigLoads are the loads of the package comment of srlimit. What callers get is compared over
// all seeds: same is the share of answers that may differ by chance.
// sameWait is a fiftieth of the objective.
const (
	same     = 0.01
	sameWait = rigTarget / 50
)

var rigLoads = []*rigLoad{
	{
		name:    "speeds differ fivefold",
		engines: rigEngines(always(0.55), always(0.55), always(1), always(1), always(2.8), always(2.8)),
		rate:    constantly(60), prompt: prompts(2500),
		check: func(t *testing.T, old, weights, learned *rigResult) {
			// The fixed weights are the true speeds, which are not known from the start otherwise.
			assert.Assert(t, learned.share() >= old.share() && learned.share() >= weights.share()-same)
			assert.Assert(t, learned.meanWait() <= old.meanWait()+sameWait)
			assert.Assert(t, learned.queue() <= old.queue()+1)
			assert.Equal(t, learned.limitedAtEnd, 0)
		},
	},
	{
		name:    "slow at half of its slots",
		engines: rigEngines(slowsAt(4, 2), always(1), always(1), always(1), always(1)),
		rate:    constantly(70), prompt: prompts(800),
		check: func(t *testing.T, old, weights, learned *rigResult) {
			assert.Assert(t, learned.share() > old.share()+same && learned.share() > weights.share()+same)
			assert.Assert(t, learned.firstSpread() < old.firstSpread()/2)
			for _, limit := range learned.last["e0"] {
				// Four are well, and the fifth is a probe.
				assert.Assert(t, limit <= 5, "%d", limit)
			}
		},
	},
	{
		name:    "slow with more than three for a time",
		engines: rigEngines(during(8*time.Second, time.Minute, slowsAt(3, 2)), always(1), always(1), always(1)),
		rate:    constantly(55), prompt: prompts(800), length: 80 * time.Second,
		check: func(t *testing.T, old, weights, learned *rigResult) {
			assert.Assert(t, learned.share() > old.share()+same && learned.share() > weights.share()+same)
			assert.Assert(t, learned.meanWait() <= old.meanWait()+sameWait && learned.firstHigh < old.firstHigh)
			// An answer takes 4.6 s there; the limit follows the first ones.
			assert.Assert(t, learned.firstFall < 18*time.Second, "%v", learned.firstFall)
			assert.Equal(t, learned.limitedAtEnd, 0)
		},
	},
	{
		name:    "slow at any load for a time",
		engines: rigEngines(during(8*time.Second, 18*time.Second, always(8)), always(1), always(1), always(1)),
		rate:    constantly(50), prompt: prompts(800),
		check: func(t *testing.T, old, weights, learned *rigResult) {
			assert.Assert(t, learned.share() >= old.share()-same && learned.share() >= weights.share()-same)
			assert.Assert(t, learned.meanWait() <= old.meanWait()+sameWait)
			assert.Equal(t, learned.limitedAtEnd, 0)
		},
	},
	{
		name: "all slow at once",
		engines: rigEngines(during(10*time.Second, 14*time.Second, always(4)), during(10*time.Second, 14*time.Second, always(4)),
			during(10*time.Second, 14*time.Second, always(4)), during(10*time.Second, 14*time.Second, always(4))),
		rate: constantly(50), prompt: prompts(800),
		check: unlimited,
	},
	{
		name:    "one very long prompt",
		engines: rigEngines(always(1), always(1), always(1), always(1)),
		rate:    constantly(40),
		prompt: func(r *rand.Rand, at time.Duration) int {
			if r.Float64() < 0.02 {
				return 54_000
			}
			return prompts(500)(r, at)
		},
		check: unlimited,
	},
	{
		name: "late by lost packets",
		engines: func() []*rigEngine {
			out := rigEngines(always(1), always(1), always(1))()
			out[0].late = 0.15
			return out
		},
		rate: constantly(250), prompt: prompts(0), plain: 30 * time.Millisecond,
		check: unlimited,
	},
	{
		name: "few requests reach it",
		engines: func() []*rigEngine {
			out := rigEngines(always(1), always(1), always(1))()
			out[0].share = 0.02
			return out
		},
		rate: constantly(35), prompt: prompts(800),
		check: unlimited,
	},
	{
		name: "cold return",
		engines: func() []*rigEngine {
			out := rigEngines(during(10*time.Second, 14*time.Second, always(6)), always(1), always(1), always(1))()
			out[0].coldAt = 10 * time.Second
			return out
		},
		rate: constantly(40), prompt: prompts(800),
		check: func(t *testing.T, old, weights, learned *rigResult) {
			assert.Assert(t, learned.share() >= old.share()-same && learned.share() >= weights.share()-same)
			assert.Equal(t, learned.limitedAtEnd, 0)
		},
	},
	{
		name:    "whole answers, slow at half of its slots",
		engines: rigEngines(slowsAt(4, 1.5), always(1), always(1)),
		rate:    constantly(500), prompt: prompts(0), plain: 30 * time.Millisecond,
		check: func(t *testing.T, old, weights, learned *rigResult) {
			assert.Assert(t, learned.meanWait() < old.meanWait() && learned.meanWait() < weights.meanWait())
			assert.Assert(t, learned.firstSpread() < 0.75*old.firstSpread() && learned.firstSpread() < 0.75*weights.firstSpread())
		},
	},
	{
		name:    "equal endpoints under overload",
		engines: rigEngines(always(1), always(1), always(1)),
		rate:    constantly(80), prompt: prompts(800),
		check: unlimited,
	},
}

// unlimited checks a load in which no endpoint is at fault: no limit falls, and callers get what
// they got before.
func unlimited(t *testing.T, old, weights, learned *rigResult) {
	assert.Equal(t, learned.falls, 0)
	assert.Assert(t, learned.share() >= old.share()-same && learned.share() >= weights.share()-same)
	assert.Assert(t, learned.queue() <= old.queue()+1)
}

func TestLearnedLimits(t *testing.T) {
	const seeds = 3
	for _, load := range rigLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			out := make(map[variant]*rigResult)
			for _, v := range []variant{former, weighted, learns} {
				out[v] = &rigResult{last: make(map[string][]int)}
				for seed := range uint64(seeds) {
					load.play(v, seed+1, out[v])
				}
				o := out[v]
				t.Logf("%-14s asked %d, in time %.3f, wait %v, queue %d, first %v to %v, falls %d, limits %v",
					v, o.asked, o.share(), o.meanWait(), o.queue(), o.firstLow/seeds, o.firstHigh/seeds, o.falls, o.last)
			}
			load.check(t, out[former], out[weighted], out[learns])
		})
	}
}
