// Package srowner runs the pools that this instance owns: one duty for each
// pool, fed by a bounded channel, which alone touches the pool's state.
//
// # Usage
//
//	owners := srowner.New(deps)
//	owners.Configure(manifest)
//	owners.Open(pool)
//	grant, err := owners.Acquire(ctx, ask)
//	owners.Close()
//
// A pool without a duty answers sr.ErrNotOwner.
package srowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Deps are what the duties work with.
type Deps struct {
	Self    sr.InstanceID
	Engine  sr.Engine
	Service sr.Service
	Peers   sr.Peers
	// NewPool returns the policy of one pool.
	NewPool func(sr.PoolID) sr.Pool
	// Mode returns what this instance may do as a pool's owner at the moment.
	Mode func(sr.PoolID) sr.PoolMode
	// Announce tells the other instances that a tier is under pressure.
	Announce func(target string, t sr.Tier)
	// Poll is the interval of load reports.
	Poll    time.Duration
	Metrics metrics.Registry
}

// Owners holds the duties of the owned pools. It is safe for concurrent use.
type Owners struct {
	deps Deps

	mu       sync.Mutex
	duties   map[sr.PoolID]*duty
	manifest sr.Manifest
	closed   bool
}

// New returns an Owners without pools.
func New(deps Deps) *Owners {
	return &Owners{deps: deps, duties: make(map[sr.PoolID]*duty)}
}

// Configure applies a manifest to the owned pools.
func (o *Owners) Configure(m sr.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifest = m
	for id, d := range o.duties {
		d.configure(poolConfig(m, id, o.deps.Self))
	}
}

// Open starts the duty of a pool when there is none.
func (o *Owners) Open(id sr.PoolID) { o.open(id) }

// Adopt takes over the leases of a pool's previous owner.
func (o *Owners) Adopt(id sr.PoolID, h sr.Handover) {
	d, ok := o.open(id)
	if !ok {
		return
	}
	d.post(func(now time.Time) { d.pool.Adopt(now, h) })
}

// Handover ends a pool's duty and returns its state for the next owner.
func (o *Owners) Handover(ctx context.Context, id sr.PoolID) (sr.Handover, error) {
	d, err := o.duty(id)
	if err != nil {
		return sr.Handover{}, err
	}
	result := make(chan sr.Handover, 1)
	d.post(func(now time.Time) { result <- d.pool.Handover(now) })
	select {
	case h := <-result:
		o.Drop(id)
		h.Yielded = true
		return h, nil
	case <-d.done:
		return sr.Handover{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", id)
	case <-ctx.Done():
		return sr.Handover{}, errors.Wrap(ctx.Err(), "srowner: handover")
	}
}

// Drop ends the duty of a pool; its waiting asks are refused as "not-owner".
func (o *Owners) Drop(id sr.PoolID) {
	o.mu.Lock()
	d, ok := o.duties[id]
	delete(o.duties, id)
	o.mu.Unlock()
	if ok {
		d.stop()
	}
}

// Owned returns the pools with a duty in order.
func (o *Owners) Owned() []sr.PoolID {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]sr.PoolID, 0, len(o.duties))
	for id := range o.duties {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, sr.PoolID.Compare)
	return ids
}

// Acquire waits for a lease. The refusal "waiting" asks the holder to ask
// again under the same ID, which keeps its place.
func (o *Owners) Acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	d, err := o.duty(a.Pool)
	if err != nil {
		return sr.Grant{}, err
	}
	return d.acquire(ctx, a)
}

// Withdraw drops a waiting ask, or the lease it was granted.
func (o *Owners) Withdraw(_ context.Context, id sr.PoolID, ask string) error {
	d, err := o.duty(id)
	if err != nil {
		return err
	}
	d.post(func(now time.Time) { d.withdraw(now, ask) })
	return nil
}

// Release ends a lease.
func (o *Owners) Release(_ context.Context, r sr.Release) error {
	d, err := o.duty(r.Pool)
	if err != nil {
		return err
	}
	d.post(func(now time.Time) { d.pool.Release(now, r) })
	return nil
}

// Held takes a holder's full lists of its leases, made not before made.
func (o *Owners) Held(made time.Time, holder sr.InstanceID, pools []sr.HeldPool) {
	for _, p := range pools {
		d, err := o.duty(p.Pool)
		if err != nil {
			continue
		}
		d.post(func(now time.Time) { d.pool.Held(now, made, holder, p.Leases) })
	}
}

// HolderLost marks a holder as dead.
func (o *Owners) HolderLost(holder sr.InstanceID) {
	for _, d := range o.all() {
		d.post(func(now time.Time) { d.pool.HolderLost(now, holder) })
	}
}

// SetFloors passes the floors on to the owned pools.
func (o *Owners) SetFloors(state func(target string) sr.FloorState) {
	for _, d := range o.all() {
		f := state(d.id.Target)
		d.post(func(now time.Time) { d.pool.SetFloor(now, f) })
	}
}

// News summarises the owned pools.
func (o *Owners) News() []sr.PoolNews {
	var news []sr.PoolNews
	for _, d := range o.all() {
		news = append(news, d.lastNews())
	}
	return news
}

// Dump returns the state of the owned pools.
func (o *Owners) Dump(ctx context.Context) []sr.PoolDump {
	dumps := make([]sr.PoolDump, 0)
	for _, d := range o.all() {
		result := make(chan sr.PoolDump, 1)
		d.post(func(now time.Time) { result <- d.pool.Dump(now) })
		select {
		case dump := <-result:
			dumps = append(dumps, dump)
		case <-d.done:
		case <-ctx.Done():
			return dumps
		}
	}
	return dumps
}

// Close ends every duty.
func (o *Owners) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	for _, id := range o.Owned() {
		o.Drop(id)
	}
}

func (o *Owners) duty(id sr.PoolID) (*duty, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d, ok := o.duties[id]
	if !ok {
		return nil, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", id)
	}
	return d, nil
}

func (o *Owners) open(id sr.PoolID) (*duty, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, false
	}
	d, ok := o.duties[id]
	if !ok {
		d = newDuty(id, o.deps)
		d.configure(poolConfig(o.manifest, id, o.deps.Self))
		o.duties[id] = d
		go d.run()
		go d.pollLoads()
	}
	return d, true
}

func (o *Owners) all() []*duty {
	o.mu.Lock()
	defer o.mu.Unlock()
	ds := make([]*duty, 0, len(o.duties))
	for _, d := range o.duties {
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b *duty) int { return a.id.Compare(b.id) })
	return ds
}

func poolConfig(m sr.Manifest, id sr.PoolID, self sr.InstanceID) sr.PoolConfig {
	c := sr.PoolConfig{Pool: id, Owner: self, Lowest: m.LowestTier()}
	for _, e := range m.PoolEndpoints(id) {
		c.Kind = e.Kind
		c.Endpoints = append(c.Endpoints, sr.PoolEndpoint{
			Name:    e.Name,
			Address: e.Address,
			Class:   m.Classes[e.Class],
			Usable:  m.Usable(e),
		})
	}
	return c
}
