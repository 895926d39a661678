package srslot

import (
	"container/heap"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// grantAll hands out free slots, the highest tier first.
func (p *Pool) grantAll(now time.Time) {
	if !p.mode.Own || len(p.waiting) == 0 {
		return
	}
	spare := p.collectFree(now)
	for _, q := range p.queues {
		if len(p.free) == 0 || !p.mayGrant(now, q.tier) {
			return
		}
		most := spare
		if p.opts.HeadroomTier.Outranks(q.tier) {
			most -= p.opts.Headroom
		}
		spare -= p.grantTier(now, q, most)
	}
}

// mayGrant reports whether no floor holds a tier back.
func (p *Pool) mayGrant(now time.Time, t sr.Tier) bool {
	if p.opts.Without.Floor {
		return true
	}
	if p.floor.InForce != 0 && p.floor.InForce.Outranks(t) {
		return false
	}
	for held, until := range p.holds {
		if held.Outranks(t) && now.Before(until) {
			return false
		}
	}
	return true
}

// collectFree lists the endpoints that may be granted a lease and returns the
// number of free slots.
func (p *Pool) collectFree(now time.Time) int {
	p.free = p.free[:0]
	spare := 0
	for _, e := range p.order {
		n := p.freeAt(now, e)
		if n == 0 {
			continue
		}
		spare += n
		if p.roomAt(now, e) == 0 {
			continue
		}
		p.free = append(p.free, sr.Candidate{
			Endpoint: e.spec.Name,
			Class:    e.spec.Class.Name,
			Limit:    p.limitAt(now, e),
			Running:  e.taken(),
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
	return e.breaker.limit(now, p.bears(now, e))
}

// bears returns how many requests an endpoint that answers bears at once.
func (p *Pool) bears(now time.Time, e *endpoint) int {
	if p.opts.Without.Ramp {
		return e.spec.Class.Slots
	}
	if !e.blind {
		return e.limit()
	}
	if now.Before(e.blindSince.Add(p.opts.BlindWait)) {
		return 0
	}
	return e.ramp.ColdLimit()
}

func (p *Pool) freeAt(now time.Time, e *endpoint) int {
	return max(0, p.limitAt(now, e)-e.taken())
}

// grantTier serves a tier in the order of its workspaces and returns the
// number of grants, at most most.
func (p *Pool) grantTier(now time.Time, q *tierQueue, most int) int {
	granted := 0
	tries := p.opts.Tries
	var aside []*flow
	for granted < most && tries > 0 && len(p.free) > 0 && q.backlog.Len() > 0 {
		f := q.backlog.flows[0]
		if p.grantFlow(now, f, &tries) {
			granted++
			continue
		}
		aside = append(aside, heap.Pop(&q.backlog).(*flow))
	}
	for _, f := range aside {
		heap.Push(&q.backlog, f)
	}
	return granted
}

// grantFlow serves the first ask of a workspace that can be placed.
func (p *Pool) grantFlow(now time.Time, f *flow, tries *int) bool {
	for _, w := range f.waiters {
		if w.expired(now) {
			continue
		}
		if *tries == 0 || len(p.free) == 0 {
			return false
		}
		*tries--
		if p.place(now, w) {
			return true
		}
	}
	return false
}

// place grants an ask the slot that the placer chooses, if any.
func (p *Pool) place(now time.Time, w *waiter) bool {
	p.offer(w)
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

// offer lists the free endpoints that fit an ask. When only its work is in the
// way, the least busy endpoint is kept free for it, else short requests would
// hold a long one back for ever.
func (p *Pool) offer(w *waiter) {
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

// fits reports whether an endpoint bears an ask's work beside what it runs.
func (p *Pool) fits(c sr.Candidate, w sr.Work) bool {
	pending := c.Pending.Prefill + c.Pending.Decode
	return pending == 0 || pending+tokens(w) <= c.Limit*p.opts.SlotWork
}

func (p *Pool) grant(now time.Time, w *waiter, choice sr.Placement) {
	e := p.endpoints[choice.Endpoint]
	w.queue.serve(w)
	delete(p.waiting, w.ask.ID)
	l := &lease{
		id:      p.newID(),
		ask:     w.ask,
		granted: now,
		startBy: now.Add(p.opts.GrantTTL),
		run:     e.ramp.Run(),
		first:   choice.First,
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
		Confirm:  p.confirms(e),
		Why:      choice.Why,
	}
	p.addLease(e, l)
	e.breaker.granted(now)
	if !p.opts.Without.Remember {
		p.asks.granted(w.ask.ID, l.id)
	}
	p.occupy(now, e)
	p.placer.Granted(now, w.ask, e.spec.Name)
	p.out = append(p.out, sr.Action{
		Kind:   sr.ActionGrant,
		Ask:    w.ask.ID,
		Holder: w.ask.Holder,
		Grant:  sr.Grant{Lease: l.grant},
	})
}

// occupy updates the list of free endpoints after a grant.
func (p *Pool) occupy(now time.Time, e *endpoint) {
	i := slices.IndexFunc(p.free, func(c sr.Candidate) bool { return c.Endpoint == e.spec.Name })
	c := &p.free[i]
	c.Running = e.taken()
	c.Pending = e.pending
	if c.Running >= c.Limit || p.roomAt(now, e) == 0 {
		p.free = slices.Delete(p.free, i, i+1)
	}
}

// newID draws a lease ID. It is random, so that the pools of an instance and
// those that it adopts leases from need not agree on numbers.
func (p *Pool) newID() sr.LeaseID {
	for {
		id := sr.LeaseID(p.rng.Uint64())
		if _, used := p.leases[id]; id != 0 && !used {
			return id
		}
	}
}
