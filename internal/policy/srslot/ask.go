package srslot

import (
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Ask queues an ask. An ask that repeats an ID keeps its place in the queue if it is
// still waiting, and gets the same lease again if it was granted.
func (p *Pool) Ask(now time.Time, a sr.Ask) {
	if !p.mode.Own || a.Pool != p.cfg.Pool {
		p.answerRefusal(a, notOwnerRefusal())
		return
	}
	if w := p.waiting[a.ID]; w != nil {
		w.asked = now
		return
	}
	if id, ok := p.grantedAsks.lease(a.ID); ok {
		p.repeatGrant(now, a, id)
		return
	}
	if !p.placeable(a) {
		p.answerRefusal(a, noEndpointRefusal())
		return
	}
	p.enqueue(now, a)
	p.enforceHardLimit(now)
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
		deadline: deadlineAfter(now, a.Budget),
		firstBy:  deadlineAfter(now, a.First),
		service:  p.placer.Estimate(a, p.largestClass),
	}
	p.queue(a.Tier).push(w)
	p.waiting[a.ID] = w
	p.meter.recordAsk(now, a.Tier, w.service)
	p.dirty = true
}

// repeatGrant answers a repeated ask with its lease. The holder counts the TTL
// from the time it sent the repeat, so the TTL is reduced to the remaining time.
func (p *Pool) repeatGrant(now time.Time, a sr.Ask, id sr.LeaseID) {
	l := p.leases[id]
	if l == nil || l.abandoned || !now.Before(l.startBy) {
		p.answerRefusal(a, withdrawnRefusal("the lease of this ask has ended or expired"))
		return
	}
	g := l.grant
	g.Waited = 0
	g.TTL = l.startBy.Sub(now)
	p.actions = append(p.actions, sr.Action{Kind: sr.ActionGrant, Ask: a.ID, Holder: a.Holder, Grant: sr.Grant{Lease: g}})
}

// placeable reports whether the pool has a usable endpoint that the ask does not
// avoid.
func (p *Pool) placeable(a sr.Ask) bool {
	return slices.ContainsFunc(p.sortedEndpoints, func(e *endpoint) bool {
		return e.usable() && !slices.Contains(a.Avoid, e.spec.Name)
	})
}

// clampTier maps a tier that the manifest does not have to the lowest one.
func (p *Pool) clampTier(t sr.Tier) sr.Tier {
	lowest := max(p.cfg.Lowest, sr.TopTier)
	if t == 0 || t > lowest {
		return lowest
	}
	return t
}

// waitingInOrder returns the waiting asks ordered by tier, grouped by workspace, and
// ordered by deadline within a workspace.
func (p *Pool) waitingInOrder() []*waiter {
	ws := make([]*waiter, 0, len(p.waiting))
	for _, q := range p.queues {
		for _, f := range q.backlog.flows {
			ws = append(ws, f.waiters...)
		}
	}
	return ws
}

// deadlineAfter returns the end of a budget that starts now, or the zero time when
// there is no budget.
func deadlineAfter(now time.Time, budget time.Duration) time.Time {
	if budget <= 0 {
		return time.Time{}
	}
	return now.Add(budget)
}
