package srslot

import (
	"container/heap"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// grantAll grants free slots to waiting asks, the highest tier first.
func (p *Pool) grantAll(now time.Time) {
	if !p.mode.Own || len(p.waiting) == 0 {
		return
	}
	spare := p.collectFree(now)
	for _, q := range p.queues {
		if len(p.free) == 0 || !p.mayGrant(now, q.tier) {
			return
		}
		maxGrants := spare
		if p.opts.HeadroomTier.Outranks(q.tier) {
			maxGrants -= p.opts.Headroom
		}
		spare -= p.grantTier(now, q, maxGrants)
	}
}

// mayGrant reports whether a tier may be granted slots: neither a floor nor a
// recently shed higher tier holds it back.
func (p *Pool) mayGrant(now time.Time, t sr.Tier) bool {
	if p.opts.Disabled.Floor {
		return true
	}
	if p.floor.InForce != 0 && p.floor.InForce.Outranks(t) {
		return false
	}
	for shedTier, until := range p.shedHolds {
		if shedTier.Outranks(t) && now.Before(until) {
			return false
		}
	}
	return true
}

// collectFree lists the endpoints at which a lease may be granted and returns the
// number of all free slots, including those that wait for a confirmation.
func (p *Pool) collectFree(now time.Time) int {
	p.free = p.free[:0]
	spare := 0
	for _, e := range p.sortedEndpoints {
		n := p.freeSlots(now, e)
		if n == 0 {
			continue
		}
		spare += n
		if p.grantableSlots(now, e) == 0 {
			continue
		}
		p.free = append(p.free, sr.Candidate{
			Endpoint: e.spec.Name,
			Class:    e.spec.Class.Name,
			Limit:    p.limitAt(now, e),
			Running:  e.usedSlots(),
			Pending:  e.pending,
			Cold:     e.ramp.Cold(),
		})
	}
	return spare
}

// limitAt returns how many slots of an endpoint may be in use now.
func (p *Pool) limitAt(now time.Time, e *endpoint) int {
	if !e.usable() {
		return 0
	}
	if e.ramp.Cold() && !p.mode.Majority {
		return 0
	}
	return e.breaker.limit(now, p.rampLimit(now, e))
}

// rampLimit returns how many requests an endpoint may run at once while its circuit
// breaker is closed. An endpoint that awaits its first report may run none, and after
// FirstReportWait it counts as cold.
func (p *Pool) rampLimit(now time.Time, e *endpoint) int {
	if p.opts.Disabled.Ramp {
		return e.spec.Class.Slots
	}
	if !e.awaitingReport {
		return e.limit()
	}
	if now.Before(e.awaitingSince.Add(p.opts.FirstReportWait)) {
		return 0
	}
	return e.ramp.ColdLimit()
}

func (p *Pool) freeSlots(now time.Time, e *endpoint) int {
	return max(0, p.limitAt(now, e)-e.usedSlots())
}

// grantTier serves the workspaces of a tier in order and returns the number of
// grants, at most maxGrants.
func (p *Pool) grantTier(now time.Time, q *tierQueue, maxGrants int) int {
	granted := 0
	offers := p.opts.MaxOffers
	var skipped []*flow
	for granted < maxGrants && offers > 0 && len(p.free) > 0 && q.backlog.Len() > 0 {
		f := q.backlog.flows[0]
		if p.grantFlow(now, f, &offers) {
			granted++
			continue
		}
		skipped = append(skipped, heap.Pop(&q.backlog).(*flow))
	}
	for _, f := range skipped {
		heap.Push(&q.backlog, f)
	}
	return granted
}

// grantFlow serves the first ask of a workspace that can be placed.
func (p *Pool) grantFlow(now time.Time, f *flow, offers *int) bool {
	for _, w := range f.waiters {
		if w.expired(now) {
			continue
		}
		if *offers == 0 || len(p.free) == 0 {
			return false
		}
		*offers--
		if p.place(now, w) {
			return true
		}
	}
	return false
}

// place grants an ask the slot that the placer chooses, if any.
func (p *Pool) place(now time.Time, w *waiter) bool {
	p.collectCandidates(w)
	if len(p.offered) == 0 {
		return false
	}
	choice, ok := p.placer.Place(now, w.ask, p.offered)
	if !ok {
		return false
	}
	i := slices.IndexFunc(p.offered, func(c sr.Candidate) bool { return c.Endpoint == choice.Endpoint })
	if i < 0 {
		return false
	}
	p.grant(now, w, choice)
	return true
}

// collectCandidates lists the free endpoints that fit an ask. If there is none
// because of the size of its work, no more asks are granted at the endpoint with the
// least pending work for the rest of this decision. Otherwise short requests could
// starve a long one.
func (p *Pool) collectCandidates(w *waiter) {
	p.offered = p.offered[:0]
	reserve := -1
	for i, c := range p.free {
		if slices.Contains(w.ask.Avoid, c.Endpoint) {
			continue
		}
		if p.fits(c, w.ask.Work) {
			p.offered = append(p.offered, c)
			continue
		}
		if reserve < 0 || tokens(c.Pending) < tokens(p.free[reserve].Pending) {
			reserve = i
		}
	}
	if len(p.offered) == 0 && reserve >= 0 {
		p.free = slices.Delete(p.free, reserve, reserve+1)
	}
}

// fits reports whether an endpoint accepts the work of an ask in addition to its
// pending work. An endpoint without pending work accepts any ask.
func (p *Pool) fits(c sr.Candidate, w sr.Work) bool {
	pending := c.Pending.Prefill + c.Pending.Decode
	return pending == 0 || pending+tokens(w) <= c.Limit*p.opts.TokensPerSlot
}

func (p *Pool) grant(now time.Time, w *waiter, choice sr.Placement) {
	e := p.endpoints[choice.Endpoint]
	w.queue.serve(w)
	delete(p.waiting, w.ask.ID)
	l := &lease{
		id:             p.newLeaseID(),
		ask:            w.ask,
		granted:        now,
		startBy:        now.Add(p.opts.GrantTTL),
		rampGeneration: e.ramp.Generation(),
		expectedFirst:  choice.First,
	}
	l.grant = sr.Lease{
		ID:       l.id,
		Pool:     p.cfg.Pool,
		Owner:    p.cfg.Owner,
		Endpoint: e.spec.Name,
		Address:  e.spec.Address,
		TTL:      p.opts.GrantTTL,
		Waited:   now.Sub(w.asked),
		Cached:   choice.Cached,
		Cold:     e.ramp.Cold(),
		Confirm:  p.needsConfirm(e),
		Why:      choice.Why,
	}
	p.addLease(e, l)
	e.breaker.recordGrant(now)
	if !p.opts.Disabled.AskDedup {
		p.grantedAsks.record(w.ask.ID, l.id)
	}
	p.updateFree(now, e)
	p.placer.Granted(now, w.ask, e.spec.Name)
	p.actions = append(p.actions, sr.Action{
		Kind:   sr.ActionGrant,
		Ask:    w.ask.ID,
		Holder: w.ask.Holder,
		Grant:  sr.Grant{Lease: l.grant},
	})
}

// updateFree updates the list of free endpoints after a grant.
func (p *Pool) updateFree(now time.Time, e *endpoint) {
	i := slices.IndexFunc(p.free, func(c sr.Candidate) bool { return c.Endpoint == e.spec.Name })
	c := &p.free[i]
	c.Running = e.usedSlots()
	c.Pending = e.pending
	if c.Running >= c.Limit || p.grantableSlots(now, e) == 0 {
		p.free = slices.Delete(p.free, i, i+1)
	}
}

// newLeaseID draws a lease ID. IDs are random, so that no coordination is needed
// with the other pools of the instance and with previous owners.
func (p *Pool) newLeaseID() sr.LeaseID {
	for {
		id := sr.LeaseID(p.rng.Uint64())
		if _, used := p.leases[id]; id != 0 && !used {
			return id
		}
	}
}
