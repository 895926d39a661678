package srslot

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// scan checks all waiting asks. It refuses those that cannot be served in time,
// preempts lower tiers for others, and announces floors for tiers under pressure.
func (p *Pool) scan(now time.Time) {
	p.enforceQueueLimits(now)
	var lateAsks []lateAsk
	for _, q := range p.queues {
		if q.waiting > 0 {
			lateAsks = append(lateAsks, p.scanTier(now, q)...)
		}
	}
	p.preempt(now, lateAsks)
	p.repeatRevokes(now)
}

// lateAsk is a waiting ask that will be late unless a lower tier frees a slot.
type lateAsk struct {
	w *waiter
	// refusalDue is set when the ask would be refused, but its tier may not be shed
	// yet. Otherwise only its first token would be late.
	refusalDue bool
}

// scanTier refuses the asks of a tier that would be late and may be refused, and
// returns the other late ones. A floor is announced only for an ask that would be
// refused, not for a late first token, because a floor holds back whole tiers.
func (p *Pool) scanTier(now time.Time, q *tierQueue) []lateAsk {
	var lateAsks []lateAsk
	c := p.capacityFor(now, q.tier)
	for _, f := range slices.Clone(q.backlog.flows) {
		ownAsks, ownWork := 0, time.Duration(0)
		for _, w := range slices.Clone(f.waiters) {
			asks, work := w.position(ownAsks, ownWork)
			wait := c.wait(asks, work)
			if p.imminent(now, w, c, asks) {
				ownAsks++
				ownWork += w.service
				continue
			}
			r, due := p.checkWait(now, w, wait)
			if due && p.refuseIfAllowed(now, w, r) {
				continue
			}
			ownAsks++
			ownWork += w.service
			if due || p.mayRevokeForFirstToken(now, w, wait) {
				lateAsks = append(lateAsks, lateAsk{w: w, refusalDue: due})
			}
		}
	}
	if slices.ContainsFunc(lateAsks, func(a lateAsk) bool { return a.refusalDue }) {
		p.announceFloor(now, q.tier)
	}
	return lateAsks
}

// imminent reports whether an ask behind n others of its tier gets a free slot as soon
// as enough leases are confirmed. That takes only a round trip, so meanwhile the ask is
// not shed and no request is revoked for it.
func (p *Pool) imminent(now time.Time, w *waiter, c capacity, n int) bool {
	return c.asksAhead+n < c.unconfirmedFree && !w.expired(now) && p.mayGrant(now, w.ask.Tier) && p.placeable(w.ask)
}

// refuseIfAllowed refuses an ask if its tier may be shed now, or if no endpoint is
// left for it.
func (p *Pool) refuseIfAllowed(now time.Time, w *waiter, r sr.Refusal) bool {
	if r.Name == sr.RefusalEmpty {
		p.refuse(w, r)
		return true
	}
	if !p.mayShed(w.ask.Tier) {
		return false
	}
	p.shed(now, w, r)
	return true
}

// checkWait returns the refusal that is due for an ask with the given expected wait,
// if any.
func (p *Pool) checkWait(now time.Time, w *waiter, wait time.Duration) (sr.Refusal, bool) {
	if !p.placeable(w.ask) {
		return noEndpointRefusal(), true
	}
	if age := now.Sub(w.arrived); age > p.opts.MaxQueueAge {
		return p.overloadedRefusal(wait, "waited longer than %v", p.opts.MaxQueueAge), true
	}
	if w.deadline.IsZero() {
		return sr.Refusal{}, false
	}
	left := w.deadline.Sub(now)
	needed := w.service
	if w.ask.Tier >= p.cfg.Lowest {
		// Higher tiers may still get slots from lower ones, so only the lowest tier is
		// refused for its expected wait.
		needed += wait
	}
	if left > 0 && needed <= left {
		return sr.Refusal{}, false
	}
	return p.lateRefusal(now, w, wait, left), true
}

func (p *Pool) lateRefusal(now time.Time, w *waiter, wait, left time.Duration) sr.Refusal {
	r := sr.Refusal{Name: sr.RefusalLate, Retry: p.retryDelay(wait)}
	r.Reason = fmt.Sprintf("expected wait %v and service %v exceed the %v left",
		wait.Round(time.Millisecond), w.service.Round(time.Millisecond), left.Round(time.Millisecond))
	if !p.mayGrant(now, w.ask.Tier) {
		r.Name = sr.RefusalFloor
		r.Reason = fmt.Sprintf("tier %d is held back for higher tiers; %s", w.ask.Tier, r.Reason)
	}
	return r
}

func (p *Pool) overloadedRefusal(wait time.Duration, format string, args ...any) sr.Refusal {
	return sr.Refusal{Name: sr.RefusalOverloaded, Reason: fmt.Sprintf(format, args...), Retry: p.retryDelay(wait)}
}

// mayRevokeForFirstToken reports whether the first token of an ask would be late and
// its tier may preempt lower ones for that. Only the tiers up to FirstTokenTier may,
// because a revoked request loses its answer.
func (p *Pool) mayRevokeForFirstToken(now time.Time, w *waiter, wait time.Duration) bool {
	return w.ask.Tier <= p.opts.FirstTokenTier && !w.firstBy.IsZero() && now.Add(wait).After(w.firstBy)
}

// mayShed reports whether asks of a tier may be refused for lack of capacity. This
// pool must have no cancellable lease of a lower tier. Unless the tier is the lowest
// one, a floor for it or a higher tier must also be settled, so that no instance
// grants slots to lower tiers.
func (p *Pool) mayShed(t sr.Tier) bool {
	if p.opts.Disabled.Settling {
		return true
	}
	settled := p.floor.Settled != 0 && !t.Outranks(p.floor.Settled)
	if t < p.cfg.Lowest && !settled {
		return false
	}
	return p.cancellableBelow(t) == 0
}

// shed refuses an ask for lack of capacity and holds back lower tiers for ShedHold.
func (p *Pool) shed(now time.Time, w *waiter, r sr.Refusal) {
	p.shedHolds[w.ask.Tier] = now.Add(p.opts.ShedHold)
	p.refuse(w, r)
}

// enforceQueueLimits refuses eviction candidates while the queue exceeds its limits.
// If their tier may not be shed yet, it announces a floor instead.
func (p *Pool) enforceQueueLimits(now time.Time) {
	for len(p.waiting) > p.opts.MaxQueueLen || p.waitingTokens() > p.opts.MaxQueueTokens {
		w := p.evictionCandidate()
		wait := p.capacityFor(now, w.ask.Tier).wait(w.queue.waiting, w.queue.service)
		if !p.refuseIfAllowed(now, w, p.overloadedRefusal(wait, "%d asks wait", len(p.waiting))) {
			p.announceFloor(now, w.ask.Tier)
			return
		}
	}
}

// enforceHardLimit bounds the memory used by asks that may not be shed yet.
func (p *Pool) enforceHardLimit(now time.Time) {
	if len(p.waiting) <= p.opts.MaxQueueLen*p.opts.HardQueueFactor {
		return
	}
	p.shed(now, p.evictionCandidate(), p.overloadedRefusal(p.opts.MaxRetryDelay, "%d asks wait, the most that fit", len(p.waiting)-1))
}

func (p *Pool) waitingTokens() int {
	n := 0
	for _, q := range p.queues {
		n += q.tokens
	}
	return n
}

// evictionCandidate returns the newest ask of the workspace with the most waiting
// work relative to its share, in the lowest waiting tier. This way a workspace that
// floods the queue does not displace the others.
func (p *Pool) evictionCandidate() *waiter {
	for _, q := range slices.Backward(p.queues) {
		if q.waiting > 0 {
			return q.mostBacklogged().newest()
		}
	}
	return nil
}

// announceFloor announces that a tier is under pressure. The lowest tier needs no
// floor, as there is no tier below it to hold back.
func (p *Pool) announceFloor(now time.Time, t sr.Tier) {
	if t >= p.cfg.Lowest {
		return
	}
	last, ok := p.floorAnnounced[t]
	if ok && now.Sub(last) < p.opts.FloorInterval {
		return
	}
	p.floorAnnounced[t] = now
	p.actions = append(p.actions, sr.Action{Kind: sr.ActionFloor, Tier: t})
}
