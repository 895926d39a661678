package srdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// load is a steady load of one kind of request from one workspace.
type load struct {
	kind      string
	workspace string
	weight    float64
	rank      int
	// perSecond is the rate of the requests between from and to.
	perSecond float64
	from, to  time.Duration
	// target, deadline and patience count from the arrival.
	target, deadline, patience time.Duration
	work                       time.Duration
	prompt                     int
}

// outcome is what the callers of one kind of request, or of one workspace, got.
type outcome struct {
	asked, inTime, late int
	// refused counts the callers that were refused, vain those that returned and were
	// refused again.
	refused, vain int
	// bySecond are the requests by the second of their arrival, and those of them in time.
	bySecond map[int][2]int
}

func (o *outcome) count(second int, inTime bool) {
	c := o.bySecond[second]
	c[0]++
	if inTime {
		c[1]++
	}
	o.bySecond[second] = c
}

func (o *outcome) timely() float64 { return float64(o.inTime) / float64(o.asked) }
func (o *outcome) served() float64 { return float64(o.inTime+o.late) / float64(o.asked) }

// worst returns the lowest share in time of the requests that arrived in one second.
func (o *outcome) worst() float64 {
	worst := 1.0
	for _, c := range o.bySecond {
		worst = min(worst, float64(c[1])/float64(c[0]))
	}
	return worst
}

func (o *outcome) String() string {
	return fmt.Sprintf("%d asked, %.3f in time, %.3f served, worst second %.3f, %d refused, %d twice", o.asked, o.timely(), o.served(), o.worst(), o.refused, o.vain)
}

// play replays loads for a time against engines with 8 slots. Refused callers return once, as
// they are told. It returns the outcomes by kind and by workspace.
func play(t *testing.T, seed uint64, fair bool, engines int, d time.Duration, loads ...load) (map[string]*outcome, *simulation) {
	sim := newSimulationOf(t, srdispatch.Options{Seed: 1, Domain: "a", Fair: fair}, healthy(engines, 8)...)
	sim.rand = rand.New(rand.NewPCG(1, 2+seed))
	type caller struct {
		load
		arrived time.Duration
		last    *ask
		refused int
	}
	start := sim.now
	var callers []*caller
	byAsk := make(map[*ask]*caller)
	returns := make(map[time.Duration][]*caller)
	send := func(c *caller, returned bool) {
		arrived := start.Add(c.arrived)
		c.last = &ask{kind: c.kind, work: c.work, Ask: srdispatch.Ask{
			Route: c.rank, Target: arrived.Add(c.target), Deadline: arrived.Add(c.deadline), Prompt: c.prompt,
			WorkspaceName: c.workspace, Weight: c.weight, Patience: c.patience, Returned: returned,
		}}
		byAsk[c.last] = c
		sim.ask(c.last)
	}
	sim.refused = func(a *ask, d srdispatch.Decision) {
		c := byAsk[a]
		c.refused++
		if left := a.Deadline.Sub(sim.now); !a.Returned && d.After <= left/3 {
			at := sim.now.Add(d.After).Sub(start).Round(step)
			returns[at] = append(returns[at], c)
		}
	}
	due := make([]float64, len(loads))
	sim.advance(d+5*time.Second, func() {
		now := sim.now.Sub(start)
		for i, l := range loads {
			if now < l.from || now >= min(l.to, d) {
				continue
			}
			// Arrivals are random around the rate.
			due[i] += l.perSecond * step.Seconds() * 2 * sim.rand.Float64()
			for ; due[i] >= 1; due[i]-- {
				c := &caller{load: l, arrived: now}
				callers = append(callers, c)
				send(c, false)
			}
		}
		for _, c := range returns[now] {
			send(c, true)
		}
	})
	out := make(map[string]*outcome)
	for _, c := range callers {
		started := !c.last.started.IsZero()
		inTime := started && !c.last.started.After(c.last.Target)
		for _, name := range []string{c.kind, c.workspace} {
			o, ok := out[name]
			if !ok {
				o = &outcome{bySecond: make(map[int][2]int)}
				out[name] = o
			}
			o.asked++
			o.count(int(c.arrived/time.Second), inTime)
			switch {
			case inTime:
				o.inTime++
			case started:
				o.late++
			}
			if c.refused > 0 {
				o.refused++
			}
			if c.refused > 1 {
				o.vain++
			}
		}
	}
	return out, sim
}

// compare plays loads without and with fair shares, each with several seeds, and logs what
// callers got in all of them.
func compare(t *testing.T, engines int, d time.Duration, loads ...load) (before, after map[string]*outcome) {
	before, after = make(map[string]*outcome), make(map[string]*outcome)
	for seed := range uint64(playedSeeds) {
		one, _ := play(t, seed, false, engines, d, loads...)
		addOutcomes(before, one)
		one, _ = play(t, seed, true, engines, d, loads...)
		addOutcomes(after, one)
	}
	for _, name := range []string{"high", "low", "plain", "long", "short", "large", "usual", "w1"} {
		if o, ok := before[name]; ok {
			t.Logf("%s: before %v; after %v", name, o, after[name])
		}
	}
	return before, after
}

// playedSeeds is the number of seeds of a comparison.
const playedSeeds = 2

func addOutcomes(sum, one map[string]*outcome) {
	for name, o := range one {
		total, ok := sum[name]
		if !ok {
			sum[name] = o
			continue
		}
		total.asked += o.asked
		total.inTime += o.inTime
		total.late += o.late
		total.refused += o.refused
		total.vain += o.vain
		for second, c := range o.bySecond {
			was := total.bySecond[second]
			total.bySecond[second] = [2]int{was[0] + c[0], was[1] + c[1]}
		}
	}
}

const always = time.Hour

// stream returns a load of streams with the objective, the deadline and the patience of the
// new deployments.
func stream(kind, workspace string, rank int, perSecond float64) load {
	return load{
		kind: kind, workspace: workspace, rank: rank, perSecond: perSecond, to: always, weight: 10,
		target: time.Second, deadline: 12 * time.Second, patience: 4 * time.Second, work: 400 * time.Millisecond, prompt: 600,
	}
}

// sixteen returns loads of sixteen workspaces, one of which sends times its usual.
func sixteen(perSecond, times float64) []load {
	out := []load{stream("large", "w0", 0, perSecond*times)}
	for i := 1; i < 16; i++ {
		out = append(out, stream("usual", fmt.Sprint("w", i), 0, perSecond))
	}
	return out
}

// TestDecisionsWithoutFairSharesAreUnchanged replays a burst and an overload without fair shares.
// The digest is that of the decisions with learned limits, before there were fair shares.
func TestDecisionsWithoutFairSharesAreUnchanged(t *testing.T) {
	low := stream("low", "b", 1, 200)
	low.from, low.to = time.Second, 3*time.Second
	plain := load{kind: "plain", workspace: "c", rank: 2, perSecond: 50, to: always, target: 150 * time.Millisecond, deadline: 2500 * time.Millisecond, patience: 2500 * time.Millisecond, work: 30 * time.Millisecond}
	_, sim := play(t, 0, false, 3, 6*time.Second, stream("high", "a", 0, 40), low, plain)
	digest := xxhash.New()
	for id := range sim.lastID {
		d := sim.decided[id+1]
		fmt.Fprintln(digest, id+1, d.Kind, d.Endpoint, d.Reason, d.After, d.Waited, d.Queue, d.Running)
	}
	assert.Equal(t, digest.Sum64(), uint64(9378694504531579770))
}

// TestLargeWorkspaceCostsTheOthersNothing: sixteen workspaces use three quarters of 100 requests
// a second, and one of them sends twelve times its usual for six seconds.
func TestLargeWorkspaceCostsTheOthersNothing(t *testing.T) {
	before, after := compare(t, 5, 6*time.Second, sixteen(75./16, 12)...)
	assert.Assert(t, after["usual"].timely() > 0.99)
	assert.Assert(t, after["usual"].worst() > 0.97)
	assert.Assert(t, before["usual"].timely() < 0.9)
	// The large one gets what the others leave: 25 of its 56 requests a second.
	assert.Assert(t, after["large"].served() > 0.4)
	for i := 1; i < 16; i++ {
		assert.Assert(t, after[fmt.Sprint("w", i)].timely() > 0.97, "w%d", i)
	}
}

// TestShortBurstFitsBesideTheOthers: each second one of sixteen workspaces sends forty requests
// at once, which can all be in time if each waits its turn.
func TestShortBurstFitsBesideTheOthers(t *testing.T) {
	list := sixteen(70./16, 1)
	for second := 1; second < 7; second++ {
		burst := stream("large", "w0", 0, 800)
		burst.from = time.Duration(second) * time.Second
		burst.to = burst.from + 50*time.Millisecond
		list = append(list, burst)
	}
	_, after := compare(t, 5, 8*time.Second, list...)
	assert.Assert(t, after["usual"].timely() >= 0.99)
	assert.Assert(t, after["large"].timely() >= 0.75)
}

// TestLongPromptsCountForWhatTheyTake: one workspace sends prompts of 6,600 tokens that take
// four times as long as those of another one. The one that stays within its half gets it,
// whichever asks for three times the half.
func TestLongPromptsCountForWhatTheyTake(t *testing.T) {
	for name, c := range map[string]struct{ long, short, inTime, rest float64 }{
		"too many long prompts":  {long: 75, short: 40, inTime: 0.97, rest: 0.15},
		"too many short prompts": {long: 8, short: 150, inTime: 0.97, rest: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			long, short := stream("long", "a", 0, c.long), stream("short", "b", 0, c.short)
			long.prompt, long.work = 6600, 1600*time.Millisecond
			before, after := compare(t, 5, 12*time.Second, long, short)
			within, beyond := "short", "long"
			if c.short > 100 {
				within, beyond = beyond, within
			}
			assert.Assert(t, after[within].timely() >= c.inTime)
			assert.Assert(t, after[within].timely() > before[within].timely())
			assert.Assert(t, after[beyond].served() >= c.rest)
		})
	}
}
