// Package srowner runs the pools that this instance owns. Each pool has a runner,
// a goroutine that receives events through a bounded channel and is the only one
// to use the pool's state.
//
// # Usage
//
//	owners := srowner.New(deps)
//	owners.Configure(manifest)
//	owners.Open(pool)
//	grant, err := owners.Acquire(ctx, ask)
//	owners.Close()
//
// Calls for a pool without a runner return sr.ErrNotOwner.
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

// Deps are the dependencies of the runners.
type Deps struct {
	Self    sr.InstanceID
	Engine  sr.Engine
	Service sr.Service
	Peers   sr.Peers
	// NewPool returns a new pool, which decides who gets its slots.
	NewPool func(sr.PoolID) sr.Pool
	// Mode returns what this instance may do now as the owner of a pool.
	Mode func(sr.PoolID) sr.PoolMode
	// AnnounceFloor notifies the other instances that a tier of a target is under
	// pressure.
	AnnounceFloor func(target string, t sr.Tier)
	// PollInterval is the interval at which load reports are read.
	PollInterval time.Duration
	Metrics      metrics.Registry
}

// Owners holds the runners of the owned pools. It is safe for concurrent use.
type Owners struct {
	deps Deps

	mu       sync.Mutex
	runners  map[sr.PoolID]*poolRunner
	manifest sr.Manifest
	closed   bool
}

// New returns an Owners that owns no pool.
func New(deps Deps) *Owners {
	return &Owners{deps: deps, runners: make(map[sr.PoolID]*poolRunner)}
}

// Configure applies a manifest to the owned pools.
func (o *Owners) Configure(m sr.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifest = m
	for id, runner := range o.runners {
		runner.configure(poolConfig(m, id, o.deps.Self))
	}
}

// Open starts the runner of a pool if there is none.
func (o *Owners) Open(id sr.PoolID) { o.open(id) }

// Adopt starts the runner of a pool if there is none, and takes over the state
// of its previous owner.
func (o *Owners) Adopt(id sr.PoolID, h sr.Handover) {
	runner, ok := o.open(id)
	if !ok {
		return
	}
	runner.post(func(now time.Time) { runner.pool.Adopt(now, h) })
}

// Handover stops a pool's runner and returns the pool's state for its next owner.
func (o *Owners) Handover(ctx context.Context, id sr.PoolID) (sr.Handover, error) {
	runner, err := o.lookUp(id)
	if err != nil {
		return sr.Handover{}, err
	}
	result := make(chan sr.Handover, 1)
	runner.post(func(now time.Time) { result <- runner.pool.Handover(now) })
	select {
	case h := <-result:
		o.Drop(id)
		h.Yielded = true
		return h, nil
	case <-runner.done:
		return sr.Handover{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", id)
	case <-ctx.Done():
		return sr.Handover{}, errors.Wrap(ctx.Err(), "srowner: handover")
	}
}

// Drop stops the runner of a pool. Its waiting asks are refused as "not-owner".
func (o *Owners) Drop(id sr.PoolID) {
	o.mu.Lock()
	runner, ok := o.runners[id]
	delete(o.runners, id)
	o.mu.Unlock()
	if ok {
		runner.stop()
	}
}

// Owned returns the pools with a runner, sorted.
func (o *Owners) Owned() []sr.PoolID {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]sr.PoolID, 0, len(o.runners))
	for id := range o.runners {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, sr.PoolID.Compare)
	return ids
}

// Acquire waits for a lease or a refusal. On the refusal "waiting" the holder asks
// again under the same ID, which keeps the ask's place in the queue.
func (o *Owners) Acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	runner, err := o.lookUp(a.Pool)
	if err != nil {
		return sr.Grant{}, err
	}
	return runner.acquire(ctx, a)
}

// Withdraw drops a waiting ask, or frees the lease that it was granted.
func (o *Owners) Withdraw(_ context.Context, id sr.PoolID, ask string) error {
	runner, err := o.lookUp(id)
	if err != nil {
		return err
	}
	runner.post(func(now time.Time) { runner.withdraw(now, ask) })
	return nil
}

// Release ends a lease, or updates the state of one that stays in use.
func (o *Owners) Release(_ context.Context, r sr.Release) error {
	runner, err := o.lookUp(r.Pool)
	if err != nil {
		return err
	}
	runner.post(func(now time.Time) { runner.pool.Release(now, r) })
	return nil
}

// ReconcileLeases passes a holder's complete lists of its leases to the pools, which
// free the expired leases that are not listed. The lists were made at asOf or
// later.
func (o *Owners) ReconcileLeases(asOf time.Time, holder sr.InstanceID, pools []sr.HeldPool) {
	for _, p := range pools {
		runner, err := o.lookUp(p.Pool)
		if err != nil {
			continue
		}
		runner.post(func(now time.Time) { runner.pool.ReconcileLeases(now, asOf, holder, p.Leases) })
	}
}

// HolderLost marks a holder as dead in the owned pools.
func (o *Owners) HolderLost(holder sr.InstanceID) {
	for _, runner := range o.allRunners() {
		runner.post(func(now time.Time) { runner.pool.HolderLost(now, holder) })
	}
}

// SetFloors passes the floor state of each target to the target's owned pools.
func (o *Owners) SetFloors(state func(target string) sr.FloorState) {
	for _, runner := range o.allRunners() {
		f := state(runner.id.Target)
		runner.post(func(now time.Time) { runner.pool.SetFloor(now, f) })
	}
}

// PoolSummaries returns the latest summaries of the owned pools.
func (o *Owners) PoolSummaries() []sr.PoolSummary {
	var summaries []sr.PoolSummary
	for _, runner := range o.allRunners() {
		summaries = append(summaries, runner.latestSummary())
	}
	return summaries
}

// Dump returns the state of the owned pools.
func (o *Owners) Dump(ctx context.Context) []sr.PoolDump {
	dumps := make([]sr.PoolDump, 0)
	for _, runner := range o.allRunners() {
		result := make(chan sr.PoolDump, 1)
		runner.post(func(now time.Time) { result <- runner.pool.Dump(now) })
		select {
		case dump := <-result:
			dumps = append(dumps, dump)
		case <-runner.done:
		case <-ctx.Done():
			return dumps
		}
	}
	return dumps
}

// Close stops every runner. No further pool can be opened.
func (o *Owners) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	for _, id := range o.Owned() {
		o.Drop(id)
	}
}

func (o *Owners) lookUp(id sr.PoolID) (*poolRunner, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	runner, ok := o.runners[id]
	if !ok {
		return nil, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", id)
	}
	return runner, nil
}

func (o *Owners) open(id sr.PoolID) (*poolRunner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, false
	}
	runner, ok := o.runners[id]
	if !ok {
		runner = newPoolRunner(id, o.deps)
		runner.configure(poolConfig(o.manifest, id, o.deps.Self))
		o.runners[id] = runner
		go runner.run()
		go runner.pollLoads()
	}
	return runner, true
}

func (o *Owners) allRunners() []*poolRunner {
	o.mu.Lock()
	defer o.mu.Unlock()
	runners := make([]*poolRunner, 0, len(o.runners))
	for _, runner := range o.runners {
		runners = append(runners, runner)
	}
	slices.SortFunc(runners, func(a, b *poolRunner) int { return a.id.Compare(b.id) })
	return runners
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
