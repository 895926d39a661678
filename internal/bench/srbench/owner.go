package srbench

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// reportEvery is the time between two load reports of an endpoint.
const reportEvery = 250 * time.Millisecond

// owner drives one pool.
type owner struct {
	b        *bench
	id       sr.PoolID
	instance int
	pool     sr.Pool
	engines  []*engine
	wake     uint64
	nextWake time.Duration
}

func newOwner(b *bench, id sr.PoolID, instance int, engines []*engine, pool sr.Pool) *owner {
	o := &owner{b: b, id: id, instance: instance, engines: engines, pool: pool}
	now := b.q.time()
	pool.Configure(now, o.config(true))
	h := sr.Handover{Yielded: true}
	for _, e := range engines {
		h.Warm = append(h.Warm, sr.WarmState{Endpoint: e.spec.Name, Start: e.runID(), Limit: e.class.Slots, Warm: true})
	}
	pool.Adopt(now, h)
	pool.SetMode(now, sr.PoolMode{Own: true, Majority: true})
	for i, e := range engines {
		b.q.every(time.Duration(i+1)*7*time.Millisecond, reportEvery, func() { o.poll(e) })
	}
	return o
}

func (o *owner) config(usable bool) sr.PoolConfig {
	c := sr.PoolConfig{
		Pool:   o.id,
		Kind:   o.engines[0].spec.Kind,
		Owner:  o.b.instanceID(o.instance),
		Lowest: o.b.lowest,
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
	o.pool.Configure(o.b.q.time(), o.config(usable))
	o.tick()
}

// poll asks an endpoint for a load report, which arrives when its lag is over.
func (o *owner) poll(e *engine) {
	load, ok := e.report()
	if !ok {
		o.pool.ReportFailed(o.b.q.time(), e.spec.Name)
		o.tick()
		return
	}
	o.b.q.after(load.Age, func() {
		o.pool.Report(o.b.q.time(), e.spec.Name, load)
		o.tick()
	})
}

func (o *owner) ask(a sr.Ask) {
	o.pool.Ask(o.b.q.time(), a)
	o.tick()
}

func (o *owner) withdraw(ask string) {
	o.pool.Withdraw(o.b.q.time(), ask)
	o.tick()
}

func (o *owner) release(r sr.Release) {
	o.pool.Release(o.b.q.time(), r)
	o.tick()
}

func (o *owner) reconcileLeases(asOf time.Time, holder sr.InstanceID, leases []sr.LeaseID) {
	o.pool.ReconcileLeases(o.b.q.time(), asOf, holder, leases)
	o.tick()
}

func (o *owner) setFloor(f sr.FloorState) {
	o.pool.SetFloor(o.b.q.time(), f)
	o.tick()
}

// tick carries out what is due and plans the next tick.
func (o *owner) tick() {
	now := o.b.q.time()
	for _, a := range o.pool.Tick(now) {
		o.act(a)
	}
	at := max(o.pool.Next(now).Sub(epoch), o.b.q.now+time.Millisecond)
	if o.nextWake > o.b.q.now && o.nextWake <= at {
		return
	}
	o.nextWake = at
	o.wake++
	wake := o.wake
	o.b.q.at(at, func() {
		if wake == o.wake {
			o.nextWake = 0
			o.tick()
		}
	})
}

func (o *owner) act(a sr.Action) {
	switch a.Kind {
	case sr.ActionGrant, sr.ActionRefuse:
		o.b.wire.answer(a.Grant)
		o.b.hop(func() { o.b.entryOf(a.Holder).answered(o, a.Ask, a.Grant) })
	case sr.ActionRevoke:
		o.b.wire.call("Instance.Revoke", a.Revoke)
		o.b.hop(func() { o.b.entryOf(a.Holder).revoked(a.Revoke) })
	case sr.ActionFloor:
		o.b.floors[o.id.Target].announce(o.b.q.now, a.Tier)
	}
}
