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
	// heartbeatEvery is the time between two heartbeats of an instance.
	heartbeatEvery = 500 * time.Millisecond
	// newsDelay bounds how long a manifest takes to be in force at an instance.
	summaryDelay = 1500 * time.Millisecond
)

// bench is one run.
type bench struct {
	q       *queue
	plan    Plan
	rng     *rand.Rand
	lowest  sr.Tier
	engines map[string]*engine
	names   []string
	owners  map[sr.PoolID]*owner
	pools   []sr.PoolID
	entries []*entry
	floors  map[string]*floors
	wire    *wire
	stats   *stats
}

// Run carries out a plan. The error wraps sr.ErrInvalid or sr.ErrMissing.
func Run(p Plan) (Result, error) {
	p = p.withDefaults()
	if err := p.check(); err != nil {
		return Result{}, err
	}
	b := newBench(p)
	b.beat()
	b.fail()
	requests := load(p)
	for _, r := range requests {
		b.q.at(r.at, func() {
			b.stats.offered(r)
			b.entries[r.entry].arrive(r)
		})
	}
	b.q.at(p.Warm, func() { b.wire.messages, b.wire.bytes = 0, 0 })
	messages, bytes := 0, 0
	b.q.at(p.end(), func() { messages, bytes = b.wire.messages, b.wire.bytes })
	b.q.run(p.end() + drain)
	if b.wire.err != nil {
		return Result{}, errors.Wrap(b.wire.err, "srbench: size a message")
	}
	return b.result(messages, bytes), nil
}

func newBench(p Plan) *bench {
	b := &bench{
		q:       &queue{},
		plan:    p,
		rng:     newRand(p.Seed, 1<<33),
		engines: make(map[string]*engine),
		owners:  make(map[sr.PoolID]*owner),
		floors:  make(map[string]*floors),
		wire:    newWire(),
	}
	for _, t := range p.Case.Tiers {
		b.lowest = max(b.lowest, t.Spec.Rank)
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
		b.engines[spec.Name] = newEngine(b.q, rng, spec, b.plan.Case.Classes[spec.Class])
		b.names = append(b.names, spec.Name)
	}
}

func (b *bench) addOwners() {
	members := make(map[sr.PoolID][]*engine)
	for _, name := range b.names {
		e := b.engines[name]
		id := e.spec.Pool()
		if members[id] == nil {
			b.pools = append(b.pools, id)
		}
		members[id] = append(members[id], e)
	}
	for i, id := range b.pools {
		if b.floors[id.Target] == nil {
			b.floors[id.Target] = newFloors(b.lowest)
		}
		seed := b.plan.Seed + uint64(i)
		placer := b.plan.Variant.placer(b.plan.Case.Classes, seed)
		pool := srslot.New(b.plan.Variant.slots, placer, newRand(seed, 1<<35))
		b.owners[id] = newOwner(b, id, i%len(b.plan.Case.Entries), members[id], pool)
	}
}

// beat starts the heartbeats of the instances: summaries of pools, floors and
// lists of held leases.
func (b *bench) beat() {
	for i, e := range b.entries {
		offset := heartbeatEvery * time.Duration(i) / time.Duration(len(b.entries))
		b.q.every(offset, heartbeatEvery, func() { b.heartbeat(i, e) })
	}
	for _, id := range b.pools {
		o := b.owners[id]
		b.q.every(0, heartbeatEvery/2, func() { o.setFloor(b.floors[id.Target].state(b.q.now)) })
	}
}

func (b *bench) heartbeat(i int, e *entry) {
	h := sr.Heartbeat{From: e.id, Domain: b.plan.Case.Domains[i%len(b.plan.Case.Domains)]}
	for _, id := range b.pools {
		if o := b.owners[id]; o.instance == i {
			h.Claims = append(h.Claims, o.pool.Summary(b.q.time()))
		}
	}
	for _, c := range b.plan.Case.targets() {
		h.Floors = append(h.Floors, b.floors[c].list(b.q.now, c)...)
	}
	for j, other := range b.entries {
		h.Heard = append(h.Heard, other.id)
		if j == i {
			b.hear(other, h.Claims)
		}
	}
	for j, other := range b.entries {
		if j == i {
			continue
		}
		b.wire.call("Instance.Heartbeat", h)
		b.wire.answer(sr.Heartbeat{From: other.id, Heard: h.Heard, Held: b.heldBy(e, j)})
		b.hop(func() { b.hear(other, h.Claims) })
	}
	for _, id := range b.pools {
		o, held, asOf := b.owners[id], e.held(id), b.q.time()
		b.hop(func() { o.reconcileLeases(asOf, e.id, held) })
	}
}

func (b *bench) hear(e *entry, claims []sr.PoolSummary) {
	for _, n := range claims {
		e.heard(n)
	}
}

// heldBy lists the leases that an entry holds from the pools of an instance.
func (b *bench) heldBy(e *entry, instance int) []sr.HeldPool {
	var held []sr.HeldPool
	for _, id := range b.pools {
		if b.owners[id].instance == instance {
			held = append(held, sr.HeldPool{Pool: id, Leases: e.held(id)})
		}
	}
	return held
}

// fail plans the failure of a domain.
func (b *bench) fail() {
	f := b.plan.Failure
	if f.Domain == "" {
		return
	}
	for _, id := range b.pools {
		o := b.owners[id]
		if id.Domain != f.Domain {
			continue
		}
		b.q.at(b.plan.Warm+f.Out+b.jitter(summaryDelay), func() { o.configure(false) })
		b.q.at(b.plan.Warm+f.Back+b.jitter(summaryDelay), func() { o.configure(true) })
	}
	for _, name := range b.names {
		e := b.engines[name]
		if e.spec.Domain != f.Domain {
			continue
		}
		b.q.at(b.plan.Warm+f.Stop, e.stop)
		b.q.at(b.plan.Warm+f.Boot, e.boot)
	}
}

// hop delivers a message between two processes.
func (b *bench) hop(do func()) {
	d := b.plan.Case.Hop
	b.q.after(d/2+b.jitter(d), do)
}

func (b *bench) jitter(most time.Duration) time.Duration {
	return time.Duration(b.rng.Int64N(int64(most)))
}

func (b *bench) instanceID(i int) sr.InstanceID {
	return sr.InstanceID{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Incarnation: mix(b.plan.Seed + uint64(i))}
}

func (b *bench) entryOf(id sr.InstanceID) *entry {
	for _, e := range b.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}
