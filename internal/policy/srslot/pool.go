// Package srslot assigns the slots of a pool to waiting requests. It is the part
// of the scheduler that runs on the pool's owner.
//
// Each pool has one queue, ordered by tier, then by fair share among workspaces,
// then by deadline. A slot is granted as a lease, which counts against its
// endpoint until the holder releases it. If the holder is lost, the lease counts
// until a later load report shows that its request no longer runs. The package
// is pure: it reads no clock, opens no socket and starts no goroutine.
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
// Without a handover, the caller must wait until the previous owner's leases can
// no longer be started before it allows grants with SetMode. The budgets of an
// ask count from its arrival; 0 means that the ask has no such budget.
package srslot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// idleTickInterval is the time until the next Tick when no ask waits.
const idleTickInterval = time.Second

// Pool implements sr.Pool.
type Pool struct {
	opts   Options
	placer sr.Placer
	rng    *rand.Rand

	cfg   sr.PoolConfig
	mode  sr.PoolMode
	floor sr.FloorState

	endpoints map[string]*endpoint
	// sortedEndpoints holds the endpoints in order of their names.
	sortedEndpoints []*endpoint
	// largestClass is the class with the most slots. Service times are estimated
	// for it.
	largestClass string
	leases       map[sr.LeaseID]*lease
	// leasesByHolder leaves out the leases that were detached from their holders.
	leasesByHolder map[sr.InstanceID]map[sr.LeaseID]*lease
	// revoked holds the revoked leases that their holders have not ended yet.
	revoked map[sr.LeaseID]*lease
	// cancellable holds the leases that may be revoked, indexed by tier.
	cancellable []leaseList

	// queues is indexed by tier, waiting by the ID of the ask. seq is the number of
	// the ask that was queued last.
	queues      []*tierQueue
	waiting     map[string]*waiter
	seq         uint64
	grantedAsks askLeases

	// actions are returned by the next Tick.
	actions []sr.Action
	// dirty is set when a change may allow new grants.
	dirty    bool
	nextScan time.Time
	// floorAnnounced is when the floor of a tier was last announced.
	floorAnnounced map[sr.Tier]time.Time
	// shedHolds maps a tier that was shed to the time until which lower tiers
	// are granted nothing.
	shedHolds map[sr.Tier]time.Time
	// noSlotsSince is when an ask first found usable endpoints without any slot, zero while
	// there are slots.
	noSlotsSince time.Time
	// stateAdopted is set once the pool has taken over from the previous owner,
	// with or without a handover, until it loses the ownership.
	stateAdopted bool
	meter        meter

	// free lists the endpoints with a free slot during a decision, offered those
	// of them that are offered to the placer for the current ask.
	free    []sr.Candidate
	offered []sr.Candidate
}

var _ sr.Pool = (*Pool)(nil)

// New returns a pool without endpoints that grants nothing. Lease IDs are drawn
// from rng, so each pool of an instance needs a source with a seed of its own.
func New(opts Options, placer sr.Placer, rng *rand.Rand) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		opts:           opts,
		placer:         placer,
		rng:            rng,
		endpoints:      make(map[string]*endpoint),
		leases:         make(map[sr.LeaseID]*lease),
		leasesByHolder: make(map[sr.InstanceID]map[sr.LeaseID]*lease),
		revoked:        make(map[sr.LeaseID]*lease),
		waiting:        make(map[string]*waiter),
		grantedAsks:    newAskLeases(opts.MaxEndedAsks),
		floorAnnounced: make(map[sr.Tier]time.Time),
		shedHolds:      make(map[sr.Tier]time.Time),
	}
}

// Configure applies a manifest. Leases at removed endpoints stay counted.
func (p *Pool) Configure(now time.Time, c sr.PoolConfig) {
	p.cfg = c
	p.dirty = true
	named := make(map[string]struct{}, len(c.Endpoints))
	for _, spec := range c.Endpoints {
		named[spec.Name] = struct{}{}
		p.configure(now, spec)
	}
	p.largestClass = largestClass(c.Endpoints)
	for name, e := range p.endpoints {
		if _, ok := named[name]; !ok {
			e.present = false
		}
	}
	p.removeGoneEndpoints()
}

func (p *Pool) configure(now time.Time, spec sr.PoolEndpoint) {
	e := p.endpoints[spec.Name]
	if e == nil {
		e = newEndpoint(spec, p.opts.Warm)
		p.awaitReport(now, e)
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
	i, _ := slices.BinarySearchFunc(p.sortedEndpoints, e, compareEndpoints)
	p.sortedEndpoints = slices.Insert(p.sortedEndpoints, i, e)
}

// removeGoneEndpoints drops endpoints that left the manifest and have no slot in use.
func (p *Pool) removeGoneEndpoints() {
	p.sortedEndpoints = slices.DeleteFunc(p.sortedEndpoints, func(e *endpoint) bool {
		if !e.gone() {
			return false
		}
		delete(p.endpoints, e.spec.Name)
		p.placer.Forget(e.spec.Name)
		return true
	})
}

// awaitReport holds back grants at an endpoint until its next load report, because a
// previous owner may have granted leases that this pool does not know.
func (p *Pool) awaitReport(now time.Time, e *endpoint) {
	if p.opts.Disabled.AwaitReport || p.opts.FirstReportWait < 0 {
		return
	}
	e.awaitingReport = true
	e.awaitingSince = now
}

// SetMode sets whether the pool may grant: only its owner grants, and cold endpoints
// also need a majority. Losing the ownership refuses all waiting asks.
func (p *Pool) SetMode(now time.Time, m sr.PoolMode) {
	if m == p.mode {
		return
	}
	p.dirty = true
	becameOwner := m.Own && !p.mode.Own
	p.mode = m
	if becameOwner && !p.stateAdopted {
		p.resetForTakeover(now)
	}
	if !m.Own {
		p.stateAdopted = false
		p.refuseAll(notOwnerRefusal())
	}
}

// resetForTakeover treats all endpoints as cold until they report again, because
// their state is unknown without a handover.
func (p *Pool) resetForTakeover(now time.Time) {
	p.stateAdopted = true
	for _, e := range p.sortedEndpoints {
		e.ramp.Reset()
		p.awaitReport(now, e)
	}
}

// SetFloor sets the floors in force across the instances.
func (p *Pool) SetFloor(_ time.Time, f sr.FloorState) {
	if f == p.floor {
		return
	}
	p.floor = f
	p.dirty = true
}

// Withdraw removes a waiting ask and answers it with a refusal.
func (p *Pool) Withdraw(_ time.Time, ask string) {
	if w := p.waiting[ask]; w != nil {
		p.refuse(w, withdrawnRefusal("the ask was withdrawn"))
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
		p.nextScan = now.Add(p.opts.ScanInterval)
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// Next returns the latest time at which Tick should be called.
func (p *Pool) Next(now time.Time) time.Time {
	if p.dirty || len(p.actions) > 0 {
		return now
	}
	if len(p.waiting) > 0 {
		return later(now, p.nextScan)
	}
	return now.Add(idleTickInterval)
}

// largestClass returns the class with the most slots.
func largestClass(es []sr.PoolEndpoint) string {
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

// queue returns the queue of a tier, which must not be below the lowest one of the
// manifest. Missing queues are added.
func (p *Pool) queue(t sr.Tier) *tierQueue {
	for len(p.queues) <= int(t) {
		tier := sr.Tier(len(p.queues))
		p.queues = append(p.queues, newTierQueue(tier, p.opts.MaxIdleFlows, p.opts.Disabled.FairShare))
	}
	return p.queues[t]
}

// cancellableLeases returns the leases of a tier that may be revoked.
func (p *Pool) cancellableLeases(t sr.Tier) *leaseList {
	for len(p.cancellable) <= int(t) {
		p.cancellable = append(p.cancellable, leaseList{})
	}
	return &p.cancellable[t]
}
