// Package srfleet exchanges heartbeats with the other instances and derives
// from them who is alive, who owns which pool, which floors are in force and
// whether a newer manifest exists.
//
// # Usage
//
//	fleet := srfleet.New(deps)
//	go fleet.Run(ctx)
//	owner, ok := fleet.Owner(pool)
//	mode := fleet.Mode(pool)
//
// One lock guards the membership state; no other package is called under it.
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

// Owners are the pools that this instance owns.
type Owners interface {
	Open(pool sr.PoolID)
	Adopt(pool sr.PoolID, h sr.Handover)
	Drop(pool sr.PoolID)
	Handover(ctx context.Context, pool sr.PoolID) (sr.Handover, error)
	Held(made time.Time, holder sr.InstanceID, pools []sr.HeldPool)
	HolderLost(holder sr.InstanceID)
	SetFloors(state func(target string) sr.FloorState)
	News() []sr.PoolNews
}

// Deps are what a fleet works with.
type Deps struct {
	Self     sr.InstanceID
	Members  *srmember.Members
	Floors   *srtier.Floors
	Store    *srmanifest.Store
	Owners   Owners
	Peers    sr.Peers
	Platform sr.Platform
	// Held lists the leases that this instance holds in the given pools.
	Held func([]sr.PoolNews) []sr.HeldPool
	// Behind tells that a peer at address has a newer manifest.
	Behind func(address string, v sr.Version)
	// Keep tells which addresses are still sent heartbeats; nil needs none.
	Keep func(addresses []string)
	// Heartbeat is the interval of exchanges, Lapse the time after which a
	// silent instance counts as dead.
	Heartbeat time.Duration
	Lapse     time.Duration
	Log       logr.Logger
	Metrics   metrics.Registry
}

// Fleet is this instance's view of the others. It is safe for concurrent use.
type Fleet struct {
	deps Deps
	kick chan struct{}
	// served is set once every target was seen to have an owner.
	served atomic.Bool

	mu        sync.Mutex
	members   *srmember.Members
	floors    *srtier.Floors
	news      map[sr.PoolID]heardNews
	handovers map[sr.PoolID]handover
	busy      map[string]bool
	lastTick  time.Time
	// ended holds when the last exchange with each target began that has
	// ended, with an answer or without.
	ended    map[string]time.Time
	majority bool
}

// heardNews is a pool's summary and when it came.
type heardNews struct {
	news sr.PoolNews
	at   time.Time
}

// handover is kept for a next owner whose answer was lost.
type handover struct {
	to sr.InstanceID
	h  sr.Handover
	at time.Time
}

// keepHandover is how long a hand-over can be asked for again.
const keepHandover = 30 * time.Second

// New returns a Fleet.
func New(deps Deps) *Fleet {
	return &Fleet{
		deps:      deps,
		kick:      make(chan struct{}, 1),
		members:   deps.Members,
		floors:    deps.Floors,
		news:      make(map[sr.PoolID]heardNews),
		handovers: make(map[sr.PoolID]handover),
		busy:      make(map[string]bool),
		ended:     make(map[string]time.Time),
	}
}

// Owner returns the instance that grants a pool's slots as far as is known.
func (f *Fleet) Owner(pool sr.PoolID) (sr.InstanceID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Holder(time.Now(), pool)
}

// Mode returns what this instance may do as a pool's owner at the moment.
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

// Majority reports whether this instance has exchanges with a majority.
func (f *Fleet) Majority() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Majority(time.Now())
}

// Greeted reports whether every known instance has answered or failed once.
func (f *Fleet) Greeted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Greeted(time.Now())
}

// Versions returns the manifest versions of the other live instances.
func (f *Fleet) Versions() []sr.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Versions(time.Now())
}

// Watches reports whether this instance is one of the readers of its region
// that hold a watch on the manifest.
func (f *Fleet) Watches(readers int) bool {
	m, _ := f.deps.Store.Current()
	region := func(domain string) string { return m.Domains[domain].Region }
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Watches(time.Now(), region, readers)
}

// Leave tells the others that this instance shuts down.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.members.Leave(time.Now())
	f.mu.Unlock()
	f.Kick()
}

// Kick starts a round of heartbeats now.
func (f *Fleet) Kick() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// News returns the latest summaries of a target's pools. A pool with usable
// endpoints and no news is listed without slots.
func (f *Fleet) News(target string) []sr.PoolNews {
	m, ok := f.deps.Store.Current()
	if !ok {
		return nil
	}
	own := make(map[sr.PoolID]sr.PoolNews)
	for _, n := range f.deps.Owners.News() {
		own[n.Pool] = n
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []sr.PoolNews
	for _, pool := range usablePools(m, target) {
		n, ok := own[pool]
		if !ok {
			n = f.heard(pool)
		}
		all = append(all, n)
	}
	return all
}

// Served reports whether each target with usable endpoints has a pool whose
// owner was heard granting slots. Once it was so, it stays true: a loss of
// owners later is no reason to send callers elsewhere.
func (f *Fleet) Served() bool {
	if f.served.Load() {
		return true
	}
	m, ok := f.deps.Store.Current()
	if !ok {
		return false
	}
	for _, pool := range m.Pools() {
		news := f.News(pool.Target)
		owned := func(n sr.PoolNews) bool { return n.Owner != sr.InstanceID{} }
		if len(news) > 0 && !slices.ContainsFunc(news, owned) {
			return false
		}
	}
	f.served.Store(true)
	return true
}

// Announce tells the others that a tier is under pressure.
func (f *Fleet) Announce(target string, t sr.Tier) {
	f.mu.Lock()
	f.floors.Announce(time.Now(), target, t)
	f.mu.Unlock()
	f.Kick()
}

// FloorState returns what holds for a target.
func (f *Fleet) FloorState(target string) sr.FloorState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.floors.State(time.Now(), target)
}

// Fresh returns once an exchange with each target that began within the lapse
// has ended and no live instance is known to have a newer manifest.
func (f *Fleet) Fresh(ctx context.Context) error {
	limit := time.Now().Add(f.deps.Lapse)
	for {
		seen, caughtUp := f.fresh()
		if seen && (caughtUp || time.Now().After(limit)) {
			return nil
		}
		f.Kick()
		select {
		case <-time.After(f.deps.Heartbeat / 10):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "srfleet: view is old")
		}
	}
}

func (f *Fleet) fresh() (seen, caughtUp bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	seen = !f.lastTick.IsZero()
	for _, address := range f.members.Targets(now) {
		at, ok := f.ended[address]
		seen = seen && ok && now.Sub(at) < f.deps.Lapse
	}
	return seen, f.deps.Store.CaughtUp(f.members.Versions(now))
}

// heard returns the last news of a pool.
func (f *Fleet) heard(pool sr.PoolID) sr.PoolNews {
	h, ok := f.news[pool]
	if !ok {
		return sr.PoolNews{Pool: pool}
	}
	n := h.news
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
