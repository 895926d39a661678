package srslot

import (
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Ask queues an ask. A repeated ID keeps its place; once granted, it gets the
// same lease again.
func (p *Pool) Ask(now time.Time, a sr.Ask) {
	if !p.mode.Own || a.Pool != p.cfg.Pool {
		p.answerRefusal(a, notOwner())
		return
	}
	if w := p.waiting[a.ID]; w != nil {
		w.asked = now
		return
	}
	if id, ok := p.asks.lease(a.ID); ok {
		p.grantAgain(now, a, id)
		return
	}
	if !p.placeable(a) {
		p.answerRefusal(a, empty())
		return
	}
	p.enqueue(now, a)
	p.boundHard(now)
}

func (p *Pool) enqueue(now time.Time, a sr.Ask) {
	a.Tier = p.clampTier(a.Tier)
	a.Work.Prefill = max(a.Work.Prefill, 0)
	a.Work.Decode = max(a.Work.Decode, 0)
	p.seq++
	w := &waiter{
		ask:      a,
		seq:      p.seq,
		arrived:  now,
		asked:    now,
		deadline: after(now, a.Budget),
		firstBy:  after(now, a.First),
		service:  p.placer.Estimate(a, p.class),
	}
	p.queue(a.Tier).push(w)
	p.waiting[a.ID] = w
	p.meter.arrived(now, a.Tier, w.service)
	p.dirty = true
}

// grantAgain answers a repeated ask with its lease. Its holder counts the TTL
// from the time it sent the repeat, so that only what is left is given.
func (p *Pool) grantAgain(now time.Time, a sr.Ask, id sr.LeaseID) {
	l := p.leases[id]
	if l == nil || l.orphan || !now.Before(l.startBy) {
		p.answerRefusal(a, withdrawn("the lease of this ask has ended or expired"))
		return
	}
	g := l.grant
	g.Waited = 0
	g.TTL = l.startBy.Sub(now)
	p.out = append(p.out, sr.Action{Kind: sr.ActionGrant, Ask: a.ID, Holder: a.Holder, Grant: sr.Grant{Lease: g}})
}

// placeable reports whether any usable endpoint is left for an ask.
func (p *Pool) placeable(a sr.Ask) bool {
	return slices.ContainsFunc(p.order, func(e *endpoint) bool {
		return e.usable() && !slices.Contains(a.Avoid, e.spec.Name)
	})
}

// clampTier counts a tier that the manifest does not have as the lowest one.
func (p *Pool) clampTier(t sr.Tier) sr.Tier {
	lowest := max(p.cfg.Lowest, sr.TopTier)
	if t == 0 || t > lowest {
		return lowest
	}
	return t
}

// inOrder returns the waiting asks by tier, workspace and deadline.
func (p *Pool) inOrder() []*waiter {
	ws := make([]*waiter, 0, len(p.waiting))
	for _, q := range p.queues {
		for _, f := range q.backlog.flows {
			ws = append(ws, f.waiters...)
		}
	}
	return ws
}

func after(now time.Time, budget time.Duration) time.Time {
	if budget <= 0 {
		return time.Time{}
	}
	return now.Add(budget)
}
