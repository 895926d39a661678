package srbench

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// reportInterval is the polling interval of an endpoint's load reports.
	reportInterval = 250 * time.Millisecond
	// pollStagger is the time between the polls of two endpoints of a pool.
	pollStagger = 7 * time.Millisecond
)

// owner simulates the instance that owns a pool.
type owner struct {
	b             *bench
	id            sr.PoolID
	instanceIndex int
	pool          sr.Pool
	engines       []*engine
	// tickSeq is the number of the scheduled tick. Ticks with an earlier number are
	// ignored.
	tickSeq uint64
	// nextTick is the time of the scheduled tick.
	nextTick time.Duration
}

func newOwner(b *bench, id sr.PoolID, instance int, engines []*engine, pool sr.Pool) *owner {
	o := &owner{b: b, id: id, instanceIndex: instance, engines: engines, pool: pool}
	now := b.queue.time()
	pool.Configure(now, o.config(true))
	// A run starts as after a handover of a pool with warm endpoints.
	h := sr.Handover{Yielded: true}
	for _, e := range engines {
		h.Warm = append(h.Warm, sr.WarmState{Endpoint: e.spec.Name, Start: e.runID(), Limit: e.class.Slots, Warm: true})
	}
	pool.Adopt(now, h)
	pool.SetMode(now, sr.PoolMode{Own: true, Majority: true})
	for i, e := range engines {
		b.queue.scheduleEvery(time.Duration(i+1)*pollStagger, reportInterval, func() { o.poll(e) })
	}
	return o
}

func (o *owner) config(usable bool) sr.PoolConfig {
	c := sr.PoolConfig{
		Pool:   o.id,
		Kind:   o.engines[0].spec.Kind,
		Owner:  o.b.instanceID(o.instanceIndex),
		Lowest: o.b.lowestTier,
	}
	for _, e := range o.engines {
		c.Endpoints = append(c.Endpoints, sr.PoolEndpoint{
			Name:    e.spec.Name,
			Address: e.spec.Name,
			Class:   o.b.plan.Case.Classes[e.spec.Class],
			Usable:  usable,
		})
	}
	return c
}

func (o *owner) configure(usable bool) {
	o.pool.Configure(o.b.queue.time(), o.config(usable))
	o.tick()
}

// poll requests a load report from an engine and delivers it after the report's Age.
func (o *owner) poll(e *engine) {
	load, ok := e.report()
	if !ok {
		o.pool.ReportFailed(o.b.queue.time(), e.spec.Name)
		o.tick()
		return
	}
	o.b.queue.scheduleAfter(load.Age, func() {
		o.pool.Report(o.b.queue.time(), e.spec.Name, load)
		o.tick()
	})
}

func (o *owner) ask(a sr.Ask) {
	o.pool.Ask(o.b.queue.time(), a)
	o.tick()
}

func (o *owner) withdraw(ask string) {
	o.pool.Withdraw(o.b.queue.time(), ask)
	o.tick()
}

func (o *owner) release(r sr.Release) {
	o.pool.Release(o.b.queue.time(), r)
	o.tick()
}

func (o *owner) reconcileLeases(asOf time.Time, holder sr.InstanceID, leases []sr.LeaseID) {
	o.pool.ReconcileLeases(o.b.queue.time(), asOf, holder, leases)
	o.tick()
}

func (o *owner) setFloor(f sr.FloorState) {
	o.pool.SetFloor(o.b.queue.time(), f)
	o.tick()
}

// tick executes the pool's due actions and schedules the next tick.
func (o *owner) tick() {
	now := o.b.queue.time()
	for _, a := range o.pool.Tick(now) {
		o.execute(a)
	}
	at := max(o.pool.Next(now).Sub(epoch), o.b.queue.now+time.Millisecond)
	if o.nextTick > o.b.queue.now && o.nextTick <= at {
		return
	}
	o.nextTick = at
	o.tickSeq++
	seq := o.tickSeq
	o.b.queue.scheduleAt(at, func() {
		if seq == o.tickSeq {
			o.nextTick = 0
			o.tick()
		}
	})
}

func (o *owner) execute(a sr.Action) {
	switch a.Kind {
	case sr.ActionGrant, sr.ActionRefuse:
		o.b.wire.countReply(a.Grant)
		o.b.send(func() { o.b.entryByID(a.Holder).receiveGrant(o, a.Ask, a.Grant) })
	case sr.ActionRevoke:
		o.b.wire.countCall("Instance.Revoke", a.Revoke)
		o.b.send(func() { o.b.entryByID(a.Holder).cancelRevoked(a.Revoke) })
	case sr.ActionFloor:
		o.b.floors[o.id.Target].announce(o.b.queue.now, a.Tier)
	}
}
