package srrig

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

// underLoad runs f while workers submit requests to all instances.
func underLoad(r *Rig, workers int, f func()) {
	var load sync.WaitGroup
	done := make(chan struct{})
	b := &balancer{r: r}
	for w := range workers {
		load.Go(func() { b.load(done, w) })
	}
	f()
	close(done)
	load.Wait()
}

// allInstances lists the indexes of all instances.
var allInstances = []int{0, 1, 2, 3, 4, 5, 6}

// cutPlatform drops the messages of instances to the platform.
func cutPlatform(r *Rig, instances ...int) {
	for _, i := range instances {
		r.Cut(Address(i), PlatformAddress)
	}
}

func TestDomainAndEndpointTakenOutReceiveNothingNew(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]func(t *testing.T, r *Rig){
		"order": func(t *testing.T, r *Rig) {
			assert.NilError(t, r.SetDomainOut("brno-a", true))
			time.Sleep(10 * time.Second)
			assert.NilError(t, r.SetDomainOut("brno-a", false))
			time.Sleep(5 * time.Second)
			assert.NilError(t, r.SetEndpointLeaving("runner2", true))
			assert.NilError(t, r.SetEndpointLeaving("booking3", true))
			time.Sleep(10 * time.Second)
		},
		"one instance gets updates": func(t *testing.T, r *Rig) {
			cutPlatform(r, 0, 1, 2, 4, 5, 6)
			time.Sleep(time.Second)
			assert.NilError(t, r.SetDomainOut("praha-a", true))
			assert.NilError(t, r.SetEndpointLeaving("runner1", true))
			time.Sleep(10 * time.Second)
		},
		"platform off after the order": func(t *testing.T, r *Rig) {
			assert.NilError(t, r.SetDomainOut("brno-b", true))
			time.Sleep(50 * time.Millisecond)
			r.Platform.SetStopped(true)
			r.Process(4).Kill()
			_, err := r.Start(4)
			assert.NilError(t, err)
			time.Sleep(15 * time.Second)
		},
		"late start": func(t *testing.T, r *Rig) {
			r.Process(6).Kill()
			r.Cut(Address(2), PlatformAddress)
			time.Sleep(10 * time.Second)
			assert.NilError(t, r.SetDomainOut("brno-b", true))
			_, err := r.Start(6)
			assert.NilError(t, err)
			time.Sleep(10 * time.Second)
		},
		"undone quickly": func(t *testing.T, r *Rig) {
			for range 3 {
				assert.NilError(t, r.SetDomainOut("praha-b", true))
				time.Sleep(time.Duration(r.intN(1000)) * time.Millisecond)
				assert.NilError(t, r.SetDomainOut("praha-b", false))
			}
			assert.NilError(t, r.SetDomainOut("praha-b", true))
			time.Sleep(10 * time.Second)
		},
		"two at once": func(t *testing.T, r *Rig) {
			assert.NilError(t, r.SetDomainOut("praha-a", true))
			assert.NilError(t, r.SetDomainOut("brno-a", true))
			assert.NilError(t, r.SetEndpointLeaving("runner2", true))
			time.Sleep(10 * time.Second)
			assert.NilError(t, r.SetDomainOut("praha-a", false))
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := srengine.DefaultConfig()
			engine.Slots = 2
			// The seed is the length of the name.
			runRig(t, Options{Seed: uint64(len(name)), Engine: engine}, func(t *testing.T, r *Rig) {
				underLoad(r, 6*Instances, func() {
					time.Sleep(2 * time.Second)
					f(t, r)
				})
			}, srhistory.NothingAfterTakeOut)
		})
	}
}

func TestInstancesPausedAcrossAnOrderSendNothingAfterIt(t *testing.T) {
	t.Parallel()
	engine := srengine.DefaultConfig()
	engine.Slots = 2
	runRig(t, Options{Seed: 1, Engine: engine}, func(t *testing.T, r *Rig) {
		underLoad(r, 10*Instances, func() {
			for n := range 6 {
				i, j := r.intN(Instances), r.intN(Instances)
				r.Process(i).Pause()
				r.Process(j).Pause()
				time.Sleep(time.Duration(r.intN(1000)) * time.Millisecond)
				assert.NilError(t, r.SetDomainOut("brno-a", n%2 == 0))
				time.Sleep(srhistory.TakeOutBound + time.Duration(r.intN(4000))*time.Millisecond)
				r.Process(i).Unpause()
				r.Process(j).Unpause()
				time.Sleep(4 * time.Second)
			}
		})
	}, srhistory.NothingAfterTakeOut)
}

// Instances that are cut off from the platform and from the other instances keep
// serving a domain that was taken out, and stop once they receive the order.
func TestPartWithoutNewsServesOnUntilItHearsTheOrder(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 8}, func(t *testing.T, r *Rig) {
		underLoad(r, 4*Instances, func() { time.Sleep(10 * time.Second) })
		part := []int{4, 5, 6}
		r.Partition(part, []int{0, 1, 2, 3})
		cutPlatform(r, part...)
		from := r.Now()
		time.Sleep(2 * time.Second)
		assert.NilError(t, r.SetDomainOut("praha-a", true))
		var wg sync.WaitGroup
		for n := range 60 {
			i := part[n%len(part)]
			wg.Go(func() { r.Submit(TopTierRequest(Bodies("dark", 60)[n]), i) })
			time.Sleep(250 * time.Millisecond)
		}
		assert.Check(t, servedAfter(r, "praha-a", from+2*time.Second+srhistory.TakeOutBound))
		r.Heal()
		for _, i := range part {
			r.History.AddIsolation(srhistory.Isolation{Instance: Address(i), From: from, To: r.Now()})
		}
		time.Sleep(srhistory.TakeOutBound)
		healed := r.Now()
		underLoad(r, 4*Instances, func() { time.Sleep(10 * time.Second) })
		wg.Wait()
		assert.Check(t, !servedAfter(r, "praha-a", healed))
	}, srhistory.NothingAfterTakeOut, srhistory.ManifestInForce)
}

// servedAfter reports whether a request arrived in a domain after a point in time.
func servedAfter(r *Rig, domain string, after time.Duration) bool {
	for _, a := range r.History.Events().Arrivals {
		if a.Domain == domain && a.At > after {
			return true
		}
	}
	return false
}
