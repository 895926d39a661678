package srrig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

// restartReportTime is the time after which pool owners know of a restart of an
// engine: the maximum age of a load report plus the interval of reports.
const restartReportTime = 2 * time.Second

// coldOptions configure engines that start cold: more than 2 concurrent requests
// crash them until 4 requests have completed and 5 s have passed. Their class in
// the manifest states the same limits.
func coldOptions(seed uint64) Options {
	engine := srengine.DefaultConfig().WithCold(2, 4, 5*time.Second)
	engine.Slots = 8
	engine.Outage = 2 * time.Second
	return Options{Seed: seed, Engine: engine, Cold: 2}
}

// burst submits n requests at once, distributed over instances.
func burst(r *Rig, wg *sync.WaitGroup, name string, n int, instances []int) {
	for k, body := range Bodies(name, n) {
		wg.Go(func() { r.Submit(TopTierRequest(body), instances[k%len(instances)]) })
	}
}

// Cold endpoints must not crash, also when the pool owners or lease holders die,
// drain or are cut off, or the endpoints restart. runRig checks it with NoColdCrash.
func TestColdEndpointsBearTheirLoad(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]func(t *testing.T, r *Rig, wg *sync.WaitGroup){
		"seven at once": func(_ *testing.T, _ *Rig, _ *sync.WaitGroup) {},
		"owner dies": func(t *testing.T, r *Rig, _ *sync.WaitGroup) {
			for _, i := range []int{0, 2, 4} {
				r.Process(i).Kill()
				time.Sleep(time.Second)
				_, err := r.Start(i)
				assert.NilError(t, err)
			}
		},
		"holder dies": func(_ *testing.T, r *Rig, wg *sync.WaitGroup) {
			time.Sleep(10 * time.Second)
			restartEngines(r)
			for _, body := range Bodies("held", 2*engineCount) {
				wg.Go(func() { r.Submit(ModelRequest(body, 1, 400), 3) })
			}
			time.Sleep(time.Second)
			r.Process(3).Kill()
			for n := range 5 {
				burst(r, wg, fmt.Sprintf("others %d", n), 30, []int{0, 1, 2, 4, 5, 6})
				time.Sleep(time.Second)
			}
		},
		"hand-over": func(t *testing.T, r *Rig, _ *sync.WaitGroup) {
			for _, i := range []int{4, 6} {
				r.Process(i).Shutdown()
				_, err := r.Start(i)
				assert.NilError(t, err)
			}
		},
		"cut with an owner on each side": func(_ *testing.T, r *Rig, wg *sync.WaitGroup) {
			part, rest := []int{4, 5, 6}, []int{0, 1, 2, 3}
			r.Partition(part, rest)
			time.Sleep(10 * time.Second)
			for n := range 4 {
				restartEngines(r)
				burst(r, wg, fmt.Sprintf("part %d", n), 40, part)
				burst(r, wg, fmt.Sprintf("rest %d", n), 40, rest)
				time.Sleep(4 * time.Second)
			}
			r.Heal()
		},
		"cold again": func(_ *testing.T, r *Rig, wg *sync.WaitGroup) {
			time.Sleep(15 * time.Second)
			for n := range 4 {
				time.Sleep(10 * time.Second)
				burst(r, wg, fmt.Sprintf("again %d", n), 60, allInstances)
			}
			for n := range 4 {
				for k, body := range Bodies(fmt.Sprintf("running %d", n), 120) {
					wg.Go(func() { r.Submit(ModelRequest(body, 1, 400), k%Instances) })
				}
				time.Sleep(time.Second)
				restartEngines(r)
			}
		},
		"cold again in a burst": func(_ *testing.T, r *Rig, wg *sync.WaitGroup) {
			for n := range 6 {
				time.Sleep(15 * time.Second)
				burst(r, wg, "idle "+string(rune('a'+n)), 30, allInstances)
				for _, e := range r.manifest.modelEndpoints {
					time.Sleep(time.Duration(r.intN(20)) * time.Millisecond)
					r.Engines.Engine(e.Address).Restart()
				}
				burst(r, wg, "again "+string(rune('a'+n)), 30, allInstances)
				time.Sleep(time.Duration(r.intN(2000)) * time.Millisecond)
				for _, e := range r.manifest.modelEndpoints {
					r.Engines.Engine(e.Address).Restart()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The seed is the length of the name.
			runRig(t, coldOptions(uint64(len(name))), func(t *testing.T, r *Rig) {
				var wg sync.WaitGroup
				burst(r, &wg, "dawn", 60, allInstances)
				time.Sleep(500 * time.Millisecond)
				f(t, r, &wg)
				burst(r, &wg, "after", 60, allInstances)
				wg.Wait()
			})
		})
	}
}

// restartEngines restarts every engine, which makes it cold, and waits until load
// reports show the restarts.
func restartEngines(r *Rig) {
	for _, e := range r.manifest.modelEndpoints {
		r.Engines.Engine(e.Address).Restart()
	}
	time.Sleep(restartReportTime)
}
