// Package srslot decides which waiting request gets which slot of a pool: the
// owner's part of the scheduler.
//
// One queue per pool is ordered by tier, then by fair share among workspaces,
// then by deadline. Slots are leases: each is counted against its endpoint
// until its holder ends it or, when the holder is lost, until a load report
// taken later shows that its request is gone. The package is pure: it reads no
// clock, opens no socket and starts no goroutine.
//
// # Usage
//
//	p := srslot.New(srslot.Options{}, placer, rng)
//	p.Configure(now, cfg)
//	p.Adopt(now, handover)
//	p.SetMode(now, sr.PoolMode{Own: true, Majority: true})
//	p.Ask(now, ask)
//	for _, a := range p.Tick(now) { ... }
//	wake := p.Next(now)
//
// Before SetMode allows grants without a handover, the caller waits until the
// previous owner's leases can no longer be started. An ask's budgets count from
// its arrival; a budget of 0 is none.
package srslot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// idleWake is the time to the next Tick when nothing waits.
const idleWake = time.Second

// Pool implements sr.Pool.
type Pool struct {
	opts   Options
	placer sr.Placer
	rng    *rand.Rand

	cfg   sr.PoolConfig
	mode  sr.PoolMode
	floor sr.FloorState

	endpoints map[string]*endpoint
	order     []*endpoint
	// class is the one with the most slots, for which service times are estimated.
	class  string
	leases map[sr.LeaseID]*lease
	// holders holds the leases by holder, without orphans.
	holders map[sr.InstanceID]map[sr.LeaseID]*lease
	revoked map[sr.LeaseID]*lease
	// cancellable holds the revocable leases by tier rank.
	cancellable []leaseList

	queues  []*tierQueue
	waiting map[string]*waiter
	seq     uint64
	asks    memory

	out       []sr.Action
	dirty     bool
	nextScan  time.Time
	announced map[sr.Tier]time.Time
	// holds says until when tiers below a shed one are granted nothing.
	holds   map[sr.Tier]time.Time
	adopted bool
	meter   meter

	// free and offered are the candidates of the decision being taken.
	free    []sr.Candidate
	offered []sr.Candidate
}

var _ sr.Pool = (*Pool)(nil)

// New returns a pool without endpoints that grants nothing. The random source
// makes lease IDs, so each pool of an instance needs one of its own seed.
func New(opts Options, placer sr.Placer, rng *rand.Rand) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		opts:      opts,
		placer:    placer,
		rng:       rng,
		endpoints: make(map[string]*endpoint),
		leases:    make(map[sr.LeaseID]*lease),
		holders:   make(map[sr.InstanceID]map[sr.LeaseID]*lease),
		revoked:   make(map[sr.LeaseID]*lease),
		waiting:   make(map[string]*waiter),
		asks:      newMemory(opts.Remember),
		announced: make(map[sr.Tier]time.Time),
		holds:     make(map[sr.Tier]time.Time),
	}
}

// Configure applies a manifest. Leases at endpoints that are gone stay counted.
func (p *Pool) Configure(now time.Time, c sr.PoolConfig) {
	p.cfg = c
	p.dirty = true
	named := make(map[string]struct{}, len(c.Endpoints))
	for _, spec := range c.Endpoints {
		named[spec.Name] = struct{}{}
		p.configure(now, spec)
	}
	p.class = mainClass(c.Endpoints)
	for name, e := range p.endpoints {
		if _, ok := named[name]; !ok {
			e.present = false
		}
	}
	p.forgetGone()
}

func (p *Pool) configure(now time.Time, spec sr.PoolEndpoint) {
	e := p.endpoints[spec.Name]
	if e == nil {
		e = newEndpoint(spec, p.opts.Warm)
		p.blind(now, e)
		p.insert(e)
		return
	}
	if spec.Address != e.spec.Address {
		e.ramp.Refused()
		p.placer.Forget(spec.Name)
	}
	e.present = true
	e.spec = spec
	e.ramp.SetClass(spec.Class)
}

func (p *Pool) insert(e *endpoint) {
	p.endpoints[e.spec.Name] = e
	i, _ := slices.BinarySearchFunc(p.order, e, compareEndpoints)
	p.order = slices.Insert(p.order, i, e)
}

// forgetGone drops endpoints that left the manifest and run nothing more.
func (p *Pool) forgetGone() {
	p.order = slices.DeleteFunc(p.order, func(e *endpoint) bool {
		if !e.gone() {
			return false
		}
		delete(p.endpoints, e.spec.Name)
		p.placer.Forget(e.spec.Name)
		return true
	})
}

// blind makes an endpoint wait for a report: the previous owner may have
// granted what is not known here.
func (p *Pool) blind(now time.Time, e *endpoint) {
	if p.opts.Without.Blind || p.opts.BlindWait < 0 {
		return
	}
	e.blind = true
	e.blindSince = now
}

// SetMode says whether grants are allowed.
func (p *Pool) SetMode(now time.Time, m sr.PoolMode) {
	if m == p.mode {
		return
	}
	p.dirty = true
	taking := m.Own && !p.mode.Own
	p.mode = m
	if taking && !p.adopted {
		p.takeOver(now)
	}
	if !m.Own {
		p.adopted = false
		p.refuseAll(notOwner())
	}
}

// takeOver marks all endpoints as unknown, and so as cold.
func (p *Pool) takeOver(now time.Time) {
	p.adopted = true
	for _, e := range p.order {
		e.ramp.Reset()
		p.blind(now, e)
	}
}

// SetFloor says what holds across the instances.
func (p *Pool) SetFloor(_ time.Time, f sr.FloorState) {
	if f == p.floor {
		return
	}
	p.floor = f
	p.dirty = true
}

// Withdraw drops a waiting ask and answers it.
func (p *Pool) Withdraw(_ time.Time, ask string) {
	if w := p.waiting[ask]; w != nil {
		p.refuse(w, withdrawn("the ask was withdrawn"))
	}
}

// Tick returns the actions that are due.
func (p *Pool) Tick(now time.Time) []sr.Action {
	if p.dirty || !now.Before(p.nextScan) {
		p.dirty = false
		p.grantAll(now)
	}
	if !now.Before(p.nextScan) {
		p.scan(now)
		p.nextScan = now.Add(p.opts.ScanEvery)
	}
	out := p.out
	p.out = nil
	return out
}

// Next returns when Tick should be called at the latest.
func (p *Pool) Next(now time.Time) time.Time {
	if p.dirty || len(p.out) > 0 {
		return now
	}
	if len(p.waiting) > 0 {
		return later(now, p.nextScan)
	}
	return now.Add(idleWake)
}

// mainClass returns the class with the most slots.
func mainClass(es []sr.PoolEndpoint) string {
	slots := make(map[string]int)
	best := ""
	for _, e := range es {
		slots[e.Class.Name] += e.Class.Slots
		if best == "" || slots[e.Class.Name] > slots[best] {
			best = e.Class.Name
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareEndpoints(a, b *endpoint) int { return cmp.Compare(a.spec.Name, b.spec.Name) }

// queue returns the queue of a tier, which is at most the lowest one.
func (p *Pool) queue(t sr.Tier) *tierQueue {
	for len(p.queues) <= int(t) {
		tier := sr.Tier(len(p.queues))
		p.queues = append(p.queues, newTierQueue(tier, p.opts.IdleFlows, p.opts.Without.FairShare))
	}
	return p.queues[t]
}

// list returns the revocable leases of a tier.
func (p *Pool) list(t sr.Tier) *leaseList {
	for len(p.cancellable) <= int(t) {
		p.cancellable = append(p.cancellable, leaseList{})
	}
	return &p.cancellable[t]
}
