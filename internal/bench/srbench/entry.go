package srbench

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// summaryAt is a pool's summary with the time at which it arrived.
type summaryAt struct {
	summary sr.PoolSummary
	at      time.Duration
}

// entry is an entry instance.
type entry struct {
	b         *bench
	id        sr.InstanceID
	picker    picker
	summaries []summaryAt
	asks      map[string]*call
	leases    map[sr.LeaseID]*call
	recent    []sr.PoolSummary
}

// call is a request at its entry.
type call struct {
	req      *request
	deadline time.Duration
	tries    int
	order    []sr.PoolID
	avoid    []string
	ask      sr.Ask
	asked    bool
	lease    sr.Lease
	sent     time.Duration
	stream   *stream
	engine   *engine
}

func newEntry(b *bench, id sr.InstanceID, p picker) *entry {
	return &entry{b: b, id: id, picker: p, asks: make(map[string]*call), leases: make(map[sr.LeaseID]*call)}
}

func (e *entry) arrive(r *request) {
	c := &call{req: r, deadline: e.b.q.now + r.budget}
	e.b.q.at(c.deadline, func() { e.expire(c) })
	e.pick(c)
}

// pick orders the pools and asks the first.
func (e *entry) pick(c *call) {
	a := e.newAsk(c)
	c.order = e.picker.Pick(e.b.q.time(), a, e.summariesOf(c.req.target))
	e.next(c, "none")
}

func (e *entry) newAsk(c *call) sr.Ask {
	r := c.req
	left := c.deadline - e.b.q.now
	a := sr.Ask{
		Holder:      e.id,
		Tier:        r.tier,
		Workspace:   r.name,
		Share:       r.share,
		Work:        sr.Work{Prefill: r.prompt, Decode: r.output},
		Blocks:      r.blocks,
		Cancellable: r.kind == sr.KindModel,
		Budget:      left,
		First:       max(time.Millisecond, firstTarget-(e.b.q.now-r.at)),
		Avoid:       c.avoid,
	}
	if r.kind == sr.KindModel {
		a.Work.Decode = tokenLimit
	}
	return a
}

// next asks the next pool of the order; without one the request is refused.
func (e *entry) next(c *call, reason string) {
	if len(c.order) == 0 || e.b.q.now >= c.deadline {
		e.b.stats.shed(c.req, reason)
		return
	}
	pool := c.order[0]
	c.order = c.order[1:]
	c.tries++
	c.ask = e.newAsk(c)
	c.ask.ID = fmt.Sprint(c.req.id, ".", c.tries)
	c.ask.Pool = pool
	c.asked = true
	e.asks[c.ask.ID] = c
	e.picker.Asked(e.b.q.time(), c.ask, pool)
	e.b.wire.call("Instance.Acquire", c.ask)
	o, a := e.b.owners[pool], c.ask
	e.b.hop(func() { o.ask(a) })
}

// answered takes a pool's answer to an ask.
func (e *entry) answered(o *owner, ask string, g sr.Grant) {
	c, ok := e.asks[ask]
	delete(e.asks, ask)
	granted := g.Lease.ID != 0
	if !ok {
		if granted {
			e.giveBack(o.id, g.Lease.ID, sr.Release{Result: sr.ReleaseUnused})
		}
		return
	}
	c.asked = false
	if !granted {
		e.picker.Refused(e.b.q.time(), o.id)
		e.next(c, g.Refusal.Name)
		return
	}
	c.lease = g.Lease
	e.leases[g.Lease.ID] = c
	e.dispatch(c)
}

func (e *entry) dispatch(c *call) {
	c.engine = e.b.engines[c.lease.Endpoint]
	c.sent = e.b.q.now
	s := &stream{req: c.req, lease: c.lease.ID}
	c.stream = s
	s.end = func(s *stream, how ending) { e.b.hop(func() { e.ended(c, s, how) }) }
	e.b.hop(func() {
		if c.engine.accept(s) {
			e.b.stats.started(c.engine, s)
			start := c.engine.runID()
			e.b.hop(func() { e.taken(c.lease, start) })
			return
		}
		e.b.hop(func() { e.refused(c) })
	})
}

// taken tells the owner that an endpoint has taken a request, if it asked for that.
func (e *entry) taken(l sr.Lease, start string) {
	if l.Confirm {
		e.tell(l.Pool, sr.Release{Lease: l.ID, Pool: l.Pool, Holder: e.id, Result: sr.ReleaseTaken, Start: start})
	}
}

// refused takes the answer that an endpoint did not take the request.
func (e *entry) refused(c *call) {
	e.giveBack(c.lease.Pool, c.lease.ID, sr.Release{Result: sr.ReleaseRefused})
	c.avoid = append(slices.Clone(c.avoid), c.lease.Endpoint)
	c.stream = nil
	e.pick(c)
}

func (e *entry) ended(c *call, s *stream, how ending) {
	now := e.b.q.now
	r := sr.Release{First: s.first, Total: now - c.sent}
	if s.first > 0 {
		r.First += 2 * e.b.plan.Case.Hop
		r.Tokens = c.req.output - int(s.decode)
	}
	switch how {
	case endingDone:
		r.Result = sr.ReleaseDone
		r.Tokens = c.req.output
	case endingCut:
		r.Result = sr.ReleaseCancelled
	case endingBroken:
		r.Result = sr.ReleaseLost
	}
	e.giveBack(c.lease.Pool, c.lease.ID, r)
	e.b.stats.ended(c, s, how, now)
}

func (e *entry) giveBack(pool sr.PoolID, id sr.LeaseID, r sr.Release) {
	delete(e.leases, id)
	r.Lease, r.Pool, r.Holder = id, pool, e.id
	e.picker.Ended(e.b.q.time(), pool, r)
	e.tell(pool, r)
}

func (e *entry) tell(pool sr.PoolID, r sr.Release) {
	e.b.wire.call("Instance.Release", r)
	o := e.b.owners[pool]
	e.b.hop(func() { o.release(r) })
}

// revoked cuts a running request for a higher tier.
func (e *entry) revoked(r sr.Revoke) {
	c, ok := e.leases[r.Lease]
	if !ok {
		return
	}
	s := c.stream
	e.b.hop(func() { c.engine.cancel(s) })
}

// expire withdraws a request that still waits when its budget is over.
func (e *entry) expire(c *call) {
	if !c.asked {
		return
	}
	c.asked = false
	delete(e.asks, c.ask.ID)
	e.b.stats.shed(c.req, "expired")
	o, ask := e.b.owners[c.ask.Pool], c.ask.ID
	e.b.wire.call("Instance.Withdraw", ask)
	e.b.hop(func() { o.withdraw(ask) })
}

// heard takes a pool's summary.
func (e *entry) heard(n sr.PoolSummary) {
	for i := range e.summaries {
		if e.summaries[i].summary.Pool == n.Pool {
			e.summaries[i] = summaryAt{summary: n, at: e.b.q.now}
			return
		}
	}
	e.summaries = append(e.summaries, summaryAt{summary: n, at: e.b.q.now})
}

// summariesOf returns the summaries of a target's pools with their present ages.
func (e *entry) summariesOf(target string) []sr.PoolSummary {
	e.recent = e.recent[:0]
	for _, n := range e.summaries {
		if n.summary.Pool.Target != target {
			continue
		}
		summary := n.summary
		summary.Age += e.b.q.now - n.at
		e.recent = append(e.recent, summary)
	}
	return e.recent
}

// held lists the leases of a pool in order.
func (e *entry) held(pool sr.PoolID) []sr.LeaseID {
	var ids []sr.LeaseID
	for id, c := range e.leases {
		if c.lease.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
