package srrig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

// shedWindow is the propagation bound of floors less the lease time.
const shedWindow = time.Second

// flood sends requests of a tier at an interval.
func flood(r *Rig, wg *sync.WaitGroup, name string, tier sr.Tier, n int, every time.Duration, vias []int) {
	for k := range n {
		i := vias[k%len(vias)]
		wg.Go(func() { r.Ask(ModelRequest(fmt.Sprintf("%s %d", name, k), tier, 100), i) })
		time.Sleep(every)
	}
}

// outcomes counts the answers of a tier by outcome.
func outcomes(r *Rig, tier sr.Tier) map[sr.Outcome]int {
	tiers := make(map[string]sr.Tier)
	e := r.History.Events()
	for _, q := range e.Requests {
		tiers[q.Ticket] = q.Tier
	}
	count := make(map[sr.Outcome]int)
	for _, a := range e.Answers {
		if tiers[a.Ticket] == tier {
			count[a.Outcome]++
		}
	}
	return count
}

func TestNoHigherTierIsShedWhileALowerOneIsServed(t *testing.T) {
	seeded(t, func(t *testing.T, seed uint64) {
		engine := srengine.DefaultConfig()
		engine.Slots = 2
		engine.Queue = 4
		run(t, Options{Seed: seed, Engine: engine}, func(t *testing.T, r *Rig) {
			var wg sync.WaitGroup
			wg.Go(func() { flood(r, &wg, "batch", 3, 200, 100*time.Millisecond, everyone) })
			wg.Go(func() { flood(r, &wg, "shift", 2, 200, 100*time.Millisecond, []int{1, 4, 6}) })
			time.Sleep(2 * time.Second)
			flood(r, &wg, "dawn", 1, 400, 50*time.Millisecond, []int{int(seed) % Instances})
			wg.Wait()
			dawn, batch := outcomes(r, 1), outcomes(r, 3)
			assert.Check(t, dawn[sr.OutcomeNotRun] > 0, "the load was too small to shed")
			assert.Check(t, dawn[sr.OutcomeComplete] > batch[sr.OutcomeComplete], "%v %v", dawn, batch)
		}, srhistory.Shed(shedWindow))
	})
}
