package srbench

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// receivedSummary is a pool summary and the time of its arrival.
type receivedSummary struct {
	summary    sr.PoolSummary
	receivedAt time.Duration
}

// entry simulates an entry instance.
type entry struct {
	b             *bench
	id            sr.InstanceID
	picker        picker
	summaries     []receivedSummary
	asks          map[string]*activeRequest
	leases        map[sr.LeaseID]*activeRequest
	summaryBuffer []sr.PoolSummary
}

// activeRequest is a request that its entry instance has not finished.
type activeRequest struct {
	req            *request
	deadline       time.Duration
	askCount       int
	poolOrder      []sr.PoolID
	avoidEndpoints []string
	ask            sr.Ask
	askPending     bool
	lease          sr.Lease
	sentAt         time.Duration
	stream         *stream
	engine         *engine
}

func newEntry(b *bench, id sr.InstanceID, p picker) *entry {
	return &entry{b: b, id: id, picker: p, asks: make(map[string]*activeRequest), leases: make(map[sr.LeaseID]*activeRequest)}
}

func (e *entry) arrive(r *request) {
	c := &activeRequest{req: r, deadline: e.b.queue.now + r.budget}
	e.b.queue.scheduleAt(c.deadline, func() { e.expire(c) })
	e.pick(c)
}

// pick orders the pools for a request and asks the first one for a slot.
func (e *entry) pick(c *activeRequest) {
	a := e.newAsk(c)
	c.poolOrder = e.picker.Pick(e.b.queue.time(), a, e.summariesOf(c.req.target))
	// The reason is "none" when no pool can be asked.
	e.askNextPool(c, "none")
}

func (e *entry) newAsk(c *activeRequest) sr.Ask {
	r := c.req
	left := c.deadline - e.b.queue.now
	a := sr.Ask{
		Holder:      e.id,
		Tier:        r.tier,
		Workspace:   r.workspaceName,
		Share:       r.share,
		Work:        sr.Work{Prefill: r.promptTokens, Decode: r.outputTokens},
		Blocks:      r.blocks,
		Cancellable: r.kind == sr.KindModel,
		Budget:      left,
		First:       max(time.Millisecond, firstTokenTarget-(e.b.queue.now-r.at)),
		Avoid:       c.avoidEndpoints,
	}
	if r.kind == sr.KindModel {
		// The length of the answer is not known before it ends.
		a.Work.Decode = tokenLimit
	}
	return a
}

// askNextPool asks the next pool of the order for a slot. When none is left or the
// deadline has passed, the request is shed with the given reason.
func (e *entry) askNextPool(c *activeRequest, reason string) {
	if len(c.poolOrder) == 0 || e.b.queue.now >= c.deadline {
		e.b.stats.recordShed(c.req, reason)
		return
	}
	pool := c.poolOrder[0]
	c.poolOrder = c.poolOrder[1:]
	c.askCount++
	c.ask = e.newAsk(c)
	c.ask.ID = fmt.Sprint(c.req.id, ".", c.askCount)
	c.ask.Pool = pool
	c.askPending = true
	e.asks[c.ask.ID] = c
	e.picker.Asked(e.b.queue.time(), c.ask, pool)
	e.b.wire.countCall("Instance.Acquire", c.ask)
	o, a := e.b.owners[pool], c.ask
	e.b.send(func() { o.ask(a) })
}

// receiveGrant handles a pool's answer to an ask. A grant for an ask that is no
// longer pending is released unused.
func (e *entry) receiveGrant(o *owner, ask string, g sr.Grant) {
	c, ok := e.asks[ask]
	delete(e.asks, ask)
	granted := g.Lease.ID != 0
	if !ok {
		if granted {
			e.releaseLease(o.id, g.Lease.ID, sr.Release{Result: sr.ReleaseUnused})
		}
		return
	}
	c.askPending = false
	if !granted {
		e.picker.Refused(e.b.queue.time(), o.id)
		e.askNextPool(c, g.Refusal.Name)
		return
	}
	c.lease = g.Lease
	e.leases[g.Lease.ID] = c
	e.dispatch(c)
}

func (e *entry) dispatch(c *activeRequest) {
	c.engine = e.b.engines[c.lease.Endpoint]
	c.sentAt = e.b.queue.now
	s := &stream{req: c.req, lease: c.lease.ID}
	c.stream = s
	s.onEnd = func(s *stream, outcome streamOutcome) { e.b.send(func() { e.streamEnded(c, s, outcome) }) }
	e.b.send(func() {
		if c.engine.accept(s) {
			e.b.stats.recordStart(c.engine, s)
			start := c.engine.runID()
			e.b.send(func() { e.confirmStart(c.lease, start) })
			return
		}
		e.b.send(func() { e.endpointRefused(c) })
	})
}

// confirmStart tells the owner that the endpoint has accepted the request, when the
// lease demands a confirmation.
func (e *entry) confirmStart(l sr.Lease, start string) {
	if l.Confirm {
		e.sendRelease(l.Pool, sr.Release{Lease: l.ID, Pool: l.Pool, Holder: e.id, Result: sr.ReleaseTaken, Start: start})
	}
}

// endpointRefused handles an endpoint's refusal: it releases the lease and picks a
// pool again, with the endpoint on the list to avoid.
func (e *entry) endpointRefused(c *activeRequest) {
	e.releaseLease(c.lease.Pool, c.lease.ID, sr.Release{Result: sr.ReleaseRefused})
	c.avoidEndpoints = append(slices.Clone(c.avoidEndpoints), c.lease.Endpoint)
	c.stream = nil
	e.pick(c)
}

func (e *entry) streamEnded(c *activeRequest, s *stream, outcome streamOutcome) {
	now := e.b.queue.now
	r := sr.Release{First: s.firstToken, Total: now - c.sentAt}
	if s.firstToken > 0 {
		r.First += 2 * e.b.plan.Case.Hop
		r.Tokens = c.req.outputTokens - int(s.decodeLeft)
	}
	switch outcome {
	case streamDone:
		r.Result = sr.ReleaseDone
		r.Tokens = c.req.outputTokens
	case streamCancelled:
		r.Result = sr.ReleaseCancelled
	case streamBroken:
		r.Result = sr.ReleaseLost
	}
	e.releaseLease(c.lease.Pool, c.lease.ID, r)
	e.b.stats.recordEnd(c, s, outcome, now)
}

func (e *entry) releaseLease(pool sr.PoolID, id sr.LeaseID, r sr.Release) {
	delete(e.leases, id)
	r.Lease, r.Pool, r.Holder = id, pool, e.id
	e.picker.Ended(e.b.queue.time(), pool, r)
	e.sendRelease(pool, r)
}

func (e *entry) sendRelease(pool sr.PoolID, r sr.Release) {
	e.b.wire.countCall("Instance.Release", r)
	o := e.b.owners[pool]
	e.b.send(func() { o.release(r) })
}

// cancelRevoked cancels the running request of a lease that the pool has revoked
// for a request of a higher tier.
func (e *entry) cancelRevoked(r sr.Revoke) {
	c, ok := e.leases[r.Lease]
	if !ok {
		return
	}
	s := c.stream
	e.b.send(func() { c.engine.cancel(s) })
}

// expire withdraws an ask that is still pending at the deadline.
func (e *entry) expire(c *activeRequest) {
	if !c.askPending {
		return
	}
	c.askPending = false
	delete(e.asks, c.ask.ID)
	e.b.stats.recordShed(c.req, "expired")
	o, ask := e.b.owners[c.ask.Pool], c.ask.ID
	e.b.wire.countCall("Instance.Withdraw", ask)
	e.b.send(func() { o.withdraw(ask) })
}

// receiveSummary stores a pool summary in place of the pool's previous one.
func (e *entry) receiveSummary(summary sr.PoolSummary) {
	for i := range e.summaries {
		if e.summaries[i].summary.Pool == summary.Pool {
			e.summaries[i] = receivedSummary{summary: summary, receivedAt: e.b.queue.now}
			return
		}
	}
	e.summaries = append(e.summaries, receivedSummary{summary: summary, receivedAt: e.b.queue.now})
}

// summariesOf returns the summaries of a target's pools with their current ages.
// The slice is valid until the next call.
func (e *entry) summariesOf(target string) []sr.PoolSummary {
	e.summaryBuffer = e.summaryBuffer[:0]
	for _, received := range e.summaries {
		if received.summary.Pool.Target != target {
			continue
		}
		summary := received.summary
		summary.Age += e.b.queue.now - received.receivedAt
		e.summaryBuffer = append(e.summaryBuffer, summary)
	}
	return e.summaryBuffer
}

// heldLeases lists the leases held from a pool in ascending order.
func (e *entry) heldLeases(pool sr.PoolID) []sr.LeaseID {
	var ids []sr.LeaseID
	for id, c := range e.leases {
		if c.lease.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
