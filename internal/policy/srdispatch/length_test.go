package srdispatch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// TestLongAnswersGoWhereTheyEndInTime replays streams whose lengths differ a hundredfold, at
// endpoints of which a third is five times as slow as the others. A long answer does not end by
// its deadline at a slow one. The clients' estimates are off by a factor of two either way.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	const (
		tokensPerEvent = 8
		perEvent       = 30 * time.Millisecond
		arrivals       = 24 // ms between two requests
	)
	play := func(stated bool) (ended float64) {
		sim := newSimulation(t, append(healthy(8, 8), slow(4, 8, 5)...)...)
		sim.advance(20*time.Second, func() {
			if sim.now.UnixMilli()%arrivals != 0 {
				return
			}
			events := min(max(int(20*math.Exp(1.3*sim.rand.NormFloat64())), 1), 300)
			a := &ask{kind: "stream", events: events, work: time.Duration(events) * perEvent, Ask: srdispatch.Ask{
				Target: sim.now.Add(time.Second), Deadline: sim.now.Add(12 * time.Second), Prompt: 100,
			}}
			if stated {
				a.Length = int(float64(events*tokensPerEvent) * math.Exp(0.5*sim.rand.NormFloat64()))
			}
			sim.ask(a)
		})
		sim.advance(12*time.Second, nil)
		n := 0
		for _, a := range sim.asks {
			if a.done && !a.finishes.After(a.Deadline) {
				n++
			}
		}
		return float64(n) / float64(len(sim.asks))
	}
	unstated, stated := play(false), play(true)
	t.Logf("ended by the deadline: %.3f without estimates, %.3f with them", unstated, stated)
	assert.Assert(t, 1-stated < (1-unstated)/2, "%.3f of %.3f end too late", 1-stated, 1-unstated)
}

// slow returns engines that take factor times as long as the others.
func slow(n, slots int, factor float64) []*engine {
	var out []*engine
	for range n {
		out = append(out, &engine{slots: slots, speed: factor})
	}
	return out
}
