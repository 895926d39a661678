package srbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

const (
	// heartbeatInterval is the period of an instance's heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// maxManifestDelay bounds the time until a new manifest is in force at an
	// instance.
	maxManifestDelay = 1500 * time.Millisecond
)

// bench is the state of one run.
type bench struct {
	queue         *eventQueue
	plan          Plan
	rng           *rand.Rand
	lowestTier    sr.Tier
	engines       map[string]*engine
	endpointNames []string
	owners        map[sr.PoolID]*owner
	pools         []sr.PoolID
	entries       []*entry
	floors        map[string]*floors
	wire          *wireMeter
	stats         *stats
}

// Run simulates a plan. An error for an invalid plan wraps sr.ErrInvalid or
// sr.ErrMissing.
func Run(p Plan) (Result, error) {
	p = p.withDefaults()
	if err := p.validate(); err != nil {
		return Result{}, err
	}
	b := newBench(p)
	b.startHeartbeats()
	b.scheduleFailure()
	requests := generateLoad(p)
	for _, r := range requests {
		b.queue.scheduleAt(r.at, func() {
			b.stats.recordOffered(r)
			b.entries[r.entryIndex].arrive(r)
		})
	}
	// Only the control messages of the measured interval count.
	b.queue.scheduleAt(p.Warm, func() { b.wire.messages, b.wire.bytes = 0, 0 })
	messages, bytes := 0, 0
	b.queue.scheduleAt(p.arrivalsEnd(), func() { messages, bytes = b.wire.messages, b.wire.bytes })
	b.queue.run(p.arrivalsEnd() + drainTime)
	if b.wire.err != nil {
		return Result{}, errors.Wrap(b.wire.err, "srbench: encode a control message")
	}
	return b.result(messages, bytes), nil
}

func newBench(p Plan) *bench {
	b := &bench{
		queue:   &eventQueue{},
		plan:    p,
		rng:     newRand(p.Seed, 1<<33),
		engines: make(map[string]*engine),
		owners:  make(map[sr.PoolID]*owner),
		floors:  make(map[string]*floors),
		wire:    newWireMeter(),
	}
	for _, t := range p.Case.Tiers {
		b.lowestTier = max(b.lowestTier, t.Spec.Rank)
	}
	b.stats = newStats(b)
	b.addEngines()
	b.addOwners()
	for i := range p.Case.Entries {
		b.entries = append(b.entries, newEntry(b, b.instanceID(i), p.Variant.picker(p.Seed+uint64(i))))
	}
	return b
}

func (b *bench) addEngines() {
	for i, spec := range b.plan.Case.Endpoints {
		rng := newRand(b.plan.Seed, 1<<34+uint64(i))
		b.engines[spec.Name] = newEngine(b.queue, rng, spec, b.plan.Case.Classes[spec.Class])
		b.endpointNames = append(b.endpointNames, spec.Name)
	}
}

func (b *bench) addOwners() {
	enginesByPool := make(map[sr.PoolID][]*engine)
	for _, name := range b.endpointNames {
		e := b.engines[name]
		id := e.spec.Pool()
		if enginesByPool[id] == nil {
			b.pools = append(b.pools, id)
		}
		enginesByPool[id] = append(enginesByPool[id], e)
	}
	for i, id := range b.pools {
		if b.floors[id.Target] == nil {
			b.floors[id.Target] = newFloors(b.lowestTier)
		}
		seed := b.plan.Seed + uint64(i)
		placer := b.plan.Variant.placer(b.plan.Case.Classes, seed)
		pool := srslot.New(b.plan.Variant.slots, placer, newRand(seed, 1<<35))
		b.owners[id] = newOwner(b, id, i%len(b.plan.Case.Entries), enginesByPool[id], pool)
	}
}

// startHeartbeats schedules the heartbeats of the instances, which carry pool
// summaries, floors and lists of held leases, and the owners' floor updates.
func (b *bench) startHeartbeats() {
	for i, e := range b.entries {
		offset := heartbeatInterval * time.Duration(i) / time.Duration(len(b.entries))
		b.queue.scheduleEvery(offset, heartbeatInterval, func() { b.heartbeat(i, e) })
	}
	for _, id := range b.pools {
		o := b.owners[id]
		b.queue.scheduleEvery(0, heartbeatInterval/2, func() { o.setFloor(b.floors[id.Target].state(b.queue.now)) })
	}
}

func (b *bench) heartbeat(index int, sender *entry) {
	h := sr.Heartbeat{From: sender.id, Domain: b.plan.Case.Domains[index%len(b.plan.Case.Domains)]}
	for _, id := range b.pools {
		if o := b.owners[id]; o.instanceIndex == index {
			h.Claims = append(h.Claims, o.pool.Summary(b.queue.time()))
		}
	}
	for _, target := range b.plan.Case.targets() {
		h.Floors = append(h.Floors, b.floors[target].heartbeatFloors(b.queue.now, target)...)
	}
	for j, other := range b.entries {
		h.Heard = append(h.Heard, other.id)
		if j == index {
			b.deliverSummaries(other, h.Claims)
		}
	}
	for j, other := range b.entries {
		if j == index {
			continue
		}
		b.wire.countCall("Instance.Heartbeat", h)
		b.wire.countReply(sr.Heartbeat{From: other.id, Heard: h.Heard, Held: b.leasesByPool(sender, j)})
		b.send(func() { b.deliverSummaries(other, h.Claims) })
	}
	for _, id := range b.pools {
		o, held, asOf := b.owners[id], sender.heldLeases(id), b.queue.time()
		b.send(func() { o.reconcileLeases(asOf, sender.id, held) })
	}
}

func (b *bench) deliverSummaries(e *entry, claims []sr.PoolSummary) {
	for _, summary := range claims {
		e.receiveSummary(summary)
	}
}

// leasesByPool lists the leases that an entry holds from each pool that the
// given instance owns.
func (b *bench) leasesByPool(e *entry, instance int) []sr.HeldPool {
	var held []sr.HeldPool
	for _, id := range b.pools {
		if b.owners[id].instanceIndex == instance {
			held = append(held, sr.HeldPool{Pool: id, Leases: e.heldLeases(id)})
		}
	}
	return held
}

// scheduleFailure schedules the failure and the recovery of the plan's domain.
func (b *bench) scheduleFailure() {
	f := b.plan.Failure
	if f.Domain == "" {
		return
	}
	for _, id := range b.pools {
		o := b.owners[id]
		if id.Domain != f.Domain {
			continue
		}
		b.queue.scheduleAt(b.plan.Warm+f.Out+b.jitter(maxManifestDelay), func() { o.configure(false) })
		b.queue.scheduleAt(b.plan.Warm+f.Back+b.jitter(maxManifestDelay), func() { o.configure(true) })
	}
	for _, name := range b.endpointNames {
		e := b.engines[name]
		if e.spec.Domain != f.Domain {
			continue
		}
		b.queue.scheduleAt(b.plan.Warm+f.Stop, e.stop)
		b.queue.scheduleAt(b.plan.Warm+f.Boot, e.boot)
	}
}

// send delivers a message to another process after a random delay with the mean
// Case.Hop.
func (b *bench) send(deliver func()) {
	mean := b.plan.Case.Hop
	b.queue.scheduleAfter(mean/2+b.jitter(mean), deliver)
}

// jitter returns a random duration below limit.
func (b *bench) jitter(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Int64N(int64(limit)))
}

func (b *bench) instanceID(i int) sr.InstanceID {
	return sr.InstanceID{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Incarnation: mix(b.plan.Seed + uint64(i))}
}

func (b *bench) entryByID(id sr.InstanceID) *entry {
	for _, e := range b.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}
