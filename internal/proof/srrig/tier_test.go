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

// shedWindow is the propagation bound of floors minus the lease time; see
// srhistory.ShedInTierOrder.
const shedWindow = time.Second

// flood submits n requests of a tier, one per interval.
func flood(r *Rig, wg *sync.WaitGroup, name string, tier sr.Tier, n int, interval time.Duration, instances []int) {
	for k := range n {
		i := instances[k%len(instances)]
		wg.Go(func() { r.Submit(ModelRequest(fmt.Sprintf("%s %d", name, k), tier, 100), i) })
		time.Sleep(interval)
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
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		engine := srengine.DefaultConfig()
		engine.Slots = 2
		engine.Queue = 4
		runRig(t, Options{Seed: seed, Engine: engine}, func(t *testing.T, r *Rig) {
			var wg sync.WaitGroup
			wg.Go(func() { flood(r, &wg, "batch", 3, 100, 100*time.Millisecond, allInstances) })
			wg.Go(func() { flood(r, &wg, "shift", 2, 100, 100*time.Millisecond, []int{1, 4, 6}) })
			time.Sleep(2 * time.Second)
			flood(r, &wg, "dawn", 1, 300, 33*time.Millisecond, []int{int(seed) % Instances})
			wg.Wait()
			dawn, batch := outcomes(r, 1), outcomes(r, 3)
			assert.Check(t, dawn[sr.OutcomeNotRun] > 0, "the load was too small to shed")
			assert.Check(t, dawn[sr.OutcomeComplete] > batch[sr.OutcomeComplete], "%v %v", dawn, batch)
		}, srhistory.ShedInTierOrder(shedWindow))
	})
}

func TestTopTierThatFitsIsNotShedForLowerOnes(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		engine := srengine.DefaultConfig()
		engine.Slots = 2
		runRig(t, Options{Seed: seed, Engine: engine}, func(t *testing.T, r *Rig) {
			var wg sync.WaitGroup
			wg.Go(func() { flood(r, &wg, "batch", 3, 200, 100*time.Millisecond, allInstances) })
			time.Sleep(5 * time.Second)
			for _, body := range Bodies("dawn", 30) {
				q := ModelRequest(body, 1, 50)
				q.Budget = 5 * time.Second
				wg.Go(func() { r.Submit(q, int(seed)%Instances) })
				time.Sleep(300 * time.Millisecond)
			}
			wg.Wait()
			assert.Equal(t, outcomes(r, 1)[sr.OutcomeNotRun], 0)
		}, srhistory.ShedInTierOrder(shedWindow))
	})
}

func TestTopTierIsNotShedBehindASlowDomainWhileOthersServeLowerOnes(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		engine := srengine.DefaultConfig()
		engine.Slots = 2
		runRig(t, Options{Seed: seed, Engine: engine}, func(t *testing.T, r *Rig) {
			var wg sync.WaitGroup
			wg.Go(func() { flood(r, &wg, "batch", 3, 400, 50*time.Millisecond, allInstances) })
			time.Sleep(2 * time.Second)
			for n := range 4 {
				for _, body := range Bodies(fmt.Sprintf("dawn %d", n), 120) {
					q := ModelRequest(body, 1, 50)
					q.Budget = 7 * time.Second
					wg.Go(func() { r.Submit(q, r.intN(Instances)) })
				}
				time.Sleep(300 * time.Millisecond)
				slow := r.manifest.modelEndpoints[r.intN(engineCount)].Domain
				setSpeed(t, r, slow, 0.02)
				time.Sleep(4 * time.Second)
				setSpeed(t, r, slow, 1)
			}
			wg.Wait()
			assert.Check(t, outcomes(r, 1)[sr.OutcomeNotRun] > 0, "the load was too small to shed")
		}, srhistory.ShedInTierOrder(shedWindow))
	})
}

// setSpeed sets the speed of the engines in a domain.
func setSpeed(t *testing.T, r *Rig, domain string, factor float64) {
	t.Helper()
	for _, e := range r.manifest.modelEndpoints {
		if e.Domain == domain {
			assert.NilError(t, r.Engines.Engine(e.Address).SetSpeed(factor))
		}
	}
}
