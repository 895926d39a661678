// Package srfleet exchanges heartbeats with the other instances. From them it
// derives which instances are live, which instance owns each pool, which floors
// are in force (the tiers below which a target grants no slots) and whether a newer
// manifest exists.
//
// # Usage
//
//	fleet := srfleet.New(deps)
//	go fleet.Run(ctx)
//	owner, ok := fleet.Owner(pool)
//	mode := fleet.Mode(pool)
//
// One lock guards the membership state. It is not held during calls to peers, to the
// platform or to Owners.
package srfleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srtier"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
)

// Owners runs the pools that this instance owns.
type Owners interface {
	Open(pool sr.PoolID)
	Adopt(pool sr.PoolID, h sr.Handover)
	Drop(pool sr.PoolID)
	Handover(ctx context.Context, pool sr.PoolID) (sr.Handover, error)
	ReconcileLeases(asOf time.Time, holder sr.InstanceID, pools []sr.HeldPool)
	HolderLost(holder sr.InstanceID)
	SetFloors(state func(target string) sr.FloorState)
	PoolSummaries() []sr.PoolSummary
}

// Deps are the dependencies of a Fleet.
type Deps struct {
	Self     sr.InstanceID
	Members  *srmember.Members
	Floors   *srtier.Floors
	Store    *srmanifest.Store
	Owners   Owners
	Peers    sr.Peers
	Platform sr.Platform
	// HeldLeases returns the complete list of the leases that this instance holds in
	// each of the given pools.
	HeldLeases func([]sr.PoolSummary) []sr.HeldPool
	// OnNewerManifest is called when the instance at address has a newer manifest.
	OnNewerManifest func(address string, v sr.Version)
	// KeepPeers, if set, is called with the addresses that receive heartbeats, so
	// that connections to other instances can be closed.
	KeepPeers func(addresses []string)
	// Heartbeat is the interval of heartbeats, Lapse the time without contact after
	// which an instance counts as dead.
	Heartbeat time.Duration
	Lapse     time.Duration
	Log       logr.Logger
	Metrics   metrics.Registry
}

// Fleet is this instance's view of the other instances. It is safe for concurrent
// use.
type Fleet struct {
	deps Deps
	// trigger starts a round of heartbeats.
	trigger chan struct{}
	// allTargetsOwned is set once every target has had a pool with an owner.
	allTargetsOwned atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	members *srmember.Members
	floors  *srtier.Floors
	// summaries holds the last summary received for each pool.
	summaries map[sr.PoolID]receivedSummary
	// handovers holds the states that were handed over recently.
	handovers map[sr.PoolID]keptHandover
	// inFlight holds the addresses with a heartbeat in flight.
	inFlight map[string]bool
	// lastRound is when the last round of heartbeats began.
	lastRound time.Time
	// lastExchange holds, for each peer's address, when the last completed exchange of
	// heartbeats began, whether it was answered or not.
	lastExchange map[string]time.Time
	// majority is the value of Majority that was last logged.
	majority bool
}

// receivedSummary is a pool's summary and when it was received.
type receivedSummary struct {
	summary sr.PoolSummary
	at      time.Time
}

// keptHandover is the state of a pool that was handed over. It is kept in case the
// answer to the next owner was lost.
type keptHandover struct {
	to    sr.InstanceID
	state sr.Handover
	at    time.Time
}

// handoverRetention is how long the state of a handed-over pool can be requested again.
const handoverRetention = 30 * time.Second

// viewChecksPerHeartbeat is how often per heartbeat interval AwaitFreshView checks the
// view.
const viewChecksPerHeartbeat = 10

// New returns a Fleet.
func New(deps Deps) *Fleet {
	return &Fleet{
		deps:         deps,
		trigger:      make(chan struct{}, 1),
		members:      deps.Members,
		floors:       deps.Floors,
		summaries:    make(map[sr.PoolID]receivedSummary),
		handovers:    make(map[sr.PoolID]keptHandover),
		inFlight:     make(map[string]bool),
		lastExchange: make(map[string]time.Time),
	}
}

// Owner returns the instance known to grant a pool's slots, or else the one that
// should.
func (f *Fleet) Owner(pool sr.PoolID) (sr.InstanceID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.CurrentOwner(time.Now(), pool)
}

// Mode returns what this instance may do now as the owner of a pool.
func (f *Fleet) Mode(pool sr.PoolID) sr.PoolMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Mode(time.Now(), pool)
}

// Live returns the live instances, this one included.
func (f *Fleet) Live() []srmember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Live(time.Now())
}

// Majority reports whether this instance exchanges heartbeats with a majority.
func (f *Fleet) Majority() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Majority(time.Now())
}

// ContactedAll reports whether every known instance has answered a heartbeat or
// failed to do so at least once.
func (f *Fleet) ContactedAll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.ContactedAll(time.Now())
}

// Versions returns the manifest versions of the other live instances.
func (f *Fleet) Versions() []sr.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Versions(time.Now())
}

// Watches reports whether this instance is one of the given number of instances in
// its region that watch the configuration service for new manifests.
func (f *Fleet) Watches(readers int) bool {
	m, _ := f.deps.Store.Current()
	region := func(domain string) string { return m.Domains[domain].Region }
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Watches(time.Now(), region, readers)
}

// Leave notifies the other instances that this instance is shutting down.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.members.Leave(time.Now())
	f.mu.Unlock()
	f.TriggerRound()
}

// TriggerRound starts a round of heartbeats without waiting for the next interval.
func (f *Fleet) TriggerRound() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// PoolSummaries returns the latest summaries of a target's pools. A pool with usable
// endpoints that no summary was received for is listed with no slots.
func (f *Fleet) PoolSummaries(target string) []sr.PoolSummary {
	m, ok := f.deps.Store.Current()
	if !ok {
		return nil
	}
	own := make(map[sr.PoolID]sr.PoolSummary)
	for _, n := range f.deps.Owners.PoolSummaries() {
		own[n.Pool] = n
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []sr.PoolSummary
	for _, pool := range usablePools(m, target) {
		n, ok := own[pool]
		if !ok {
			n = f.latestSummary(pool)
		}
		all = append(all, n)
	}
	return all
}

// AllTargetsOwned reports whether each target with usable endpoints has a pool that
// is known to have an owner granting slots. Once true it stays true: if owners are
// lost later, that is no reason to send callers to other instances.
func (f *Fleet) AllTargetsOwned() bool {
	if f.allTargetsOwned.Load() {
		return true
	}
	m, ok := f.deps.Store.Current()
	if !ok {
		return false
	}
	for _, pool := range m.Pools() {
		summaries := f.PoolSummaries(pool.Target)
		owned := func(n sr.PoolSummary) bool { return n.Owner != sr.InstanceID{} }
		if len(summaries) > 0 && !slices.ContainsFunc(summaries, owned) {
			return false
		}
	}
	f.allTargetsOwned.Store(true)
	return true
}

// AnnounceFloor notifies the other instances that a tier of a target is under
// pressure.
func (f *Fleet) AnnounceFloor(target string, t sr.Tier) {
	f.mu.Lock()
	f.floors.Announce(time.Now(), target, t)
	f.mu.Unlock()
	f.TriggerRound()
}

// FloorState returns the floor state of a target.
func (f *Fleet) FloorState(target string) sr.FloorState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.floors.State(time.Now(), target)
}

// AwaitFreshView waits until, with each peer, an exchange that began within the
// last lapse has completed, answered or not. For at most a lapse it also waits until
// no live instance is known to have a newer manifest.
func (f *Fleet) AwaitFreshView(ctx context.Context) error {
	limit := time.Now().Add(f.deps.Lapse)
	for {
		exchanged, caughtUp := f.viewState()
		if exchanged && (caughtUp || time.Now().After(limit)) {
			return nil
		}
		f.TriggerRound()
		select {
		case <-time.After(f.deps.Heartbeat / viewChecksPerHeartbeat):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "srfleet: wait for a fresh view")
		}
	}
}

// viewState reports whether there was a recent exchange with every peer, and
// whether no live instance is known to have a newer manifest.
func (f *Fleet) viewState() (exchanged, caughtUp bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	exchanged = !f.lastRound.IsZero()
	for _, address := range f.members.HeartbeatAddresses(now) {
		at, ok := f.lastExchange[address]
		exchanged = exchanged && ok && now.Sub(at) < f.deps.Lapse
	}
	return exchanged, f.deps.Store.CaughtUp(f.members.Versions(now))
}

// latestSummary returns the last summary received for a pool, or one with no slots if
// there is none.
func (f *Fleet) latestSummary(pool sr.PoolID) sr.PoolSummary {
	h, ok := f.summaries[pool]
	if !ok {
		return sr.PoolSummary{Pool: pool}
	}
	n := h.summary
	n.Age += time.Since(h.at)
	return n
}

func (f *Fleet) count(name string) {
	metrics.GetOrRegisterCounter(name, f.deps.Metrics).Inc(1)
}

func usablePools(m sr.Manifest, target string) []sr.PoolID {
	var pools []sr.PoolID
	seen := make(map[sr.PoolID]bool)
	for _, e := range m.Endpoints {
		pool := sr.PoolID{Target: e.Target, Domain: e.Domain}
		if e.Target != target || seen[pool] || !m.Usable(e) {
			continue
		}
		seen[pool] = true
		pools = append(pools, pool)
	}
	return pools
}
