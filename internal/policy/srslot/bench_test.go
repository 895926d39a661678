package srslot_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

const (
	fleetPools      = 138
	fleetEndpoints  = 12_000
	fleetWorkspaces = 46_000
	fleetSlots      = 16
)

// fleetPool is one pool of a large fleet with its leases.
type fleetPool struct {
	*srslot.Pool
	id     sr.PoolID
	now    time.Time
	asked  int
	leases []sr.LeaseID
}

func newFleet() []*fleetPool {
	fleet := make([]*fleetPool, fleetPools)
	for i := range fleet {
		fleet[i] = newFleetPool(i)
	}
	return fleet
}

func newFleetPool(i int) *fleetPool {
	p := &fleetPool{id: sr.PoolID{Target: "m", Domain: fmt.Sprint(i)}, now: epoch}
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	p.Pool = srslot.New(srslot.Options{}, &leastLoaded{service: time.Second}, rng)
	cfg := sr.PoolConfig{Pool: p.id, Kind: sr.KindModel, Owner: owner, Lowest: 4}
	h := sr.Handover{Yielded: true}
	for n := range endpointsOf(i) {
		name := fmt.Sprintf("p%d-e%d", i, n)
		class := sr.Class{Name: "a", Slots: fleetSlots, Cold: 2}
		cfg.Endpoints = append(cfg.Endpoints, sr.PoolEndpoint{Name: name, Address: "10.0.0.1:1", Class: class, Usable: true})
		h.Warm = append(h.Warm, sr.WarmState{Endpoint: name, Start: "s", Warm: true})
	}
	p.Configure(p.now, cfg)
	p.Adopt(p.now, h)
	p.SetMode(p.now, sr.PoolMode{Own: true, Majority: true})
	return p
}

// endpointsOf returns the number of endpoints of a pool, an even share of all.
func endpointsOf(pool int) int {
	return (pool+1)*fleetEndpoints/fleetPools - pool*fleetEndpoints/fleetPools
}

func (p *fleetPool) slots(i int) int { return endpointsOf(i) * fleetSlots }

func (p *fleetPool) ask() {
	p.asked++
	p.Ask(p.now, sr.Ask{
		ID: fmt.Sprintf("%s-%d", p.id.Domain, p.asked), Holder: holder, Pool: p.id,
		Tier: sr.Tier(1 + p.asked%4), Workspace: fmt.Sprint(p.asked * 7919 % fleetWorkspaces), Share: 1,
		Work: sr.Work{Prefill: 400, Decode: 200}, Cancellable: true, First: time.Hour, Budget: 2 * time.Hour,
	})
}

func (p *fleetPool) tick() {
	p.now = p.now.Add(100 * time.Microsecond)
	for _, a := range p.Tick(p.now) {
		if a.Kind == sr.ActionGrant {
			p.leases = append(p.leases, a.Grant.Lease.ID)
			p.Release(p.now, sr.Release{Lease: a.Grant.Lease.ID, Holder: holder, Result: sr.ReleaseTaken, Start: "s"})
		}
	}
}

func (p *fleetPool) release() {
	id := p.leases[0]
	p.leases = p.leases[1:]
	p.Release(p.now, sr.Release{Lease: id, Holder: holder, Result: sr.ReleaseDone, Total: time.Second})
}

// BenchmarkDecision measures one ask, its grant and a release in a pool of the fleet.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			fleet := newFleet()
			for i, p := range fleet {
				inUse := p.slots(i) / 2
				if waiting > 0 {
					inUse = p.slots(i)
				}
				for range inUse + waiting {
					p.ask()
					p.tick()
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p := fleet[i%len(fleet)]
				p.release()
				p.ask()
				p.tick()
			}
		})
	}
}

// BenchmarkState measures the memory of the fleet's pools, all owned by one instance.
func BenchmarkState(b *testing.B) {
	for range b.N {
		empty := heapBytes()
		fleet := newFleet()
		idle := heapBytes()
		for i, p := range fleet {
			for range p.slots(i) {
				p.ask()
				p.tick()
			}
		}
		full := heapBytes()
		for range fleetWorkspaces / fleetPools {
			for _, p := range fleet {
				p.ask()
				p.tick()
			}
		}
		queued := heapBytes()
		leases := 0
		for _, p := range fleet {
			leases += len(p.leases)
		}
		b.ReportMetric((idle-empty)/fleetPools, "B/pool")
		b.ReportMetric((idle-empty)/fleetEndpoints, "B/endpoint")
		b.ReportMetric((full-idle)/float64(leases), "B/lease")
		b.ReportMetric((queued-full)/fleetWorkspaces, "B/waiting-workspace")
		runtime.KeepAlive(fleet)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
