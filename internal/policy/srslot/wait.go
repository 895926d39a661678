package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// expectedReportWait is the assumed time until the next load report of an endpoint.
const expectedReportWait = time.Second

// capacity is the capacity available to a tier, from which waits are estimated.
type capacity struct {
	slots int
	free  int
	// unconfirmedFree counts the free slots that cannot be granted until a lease is
	// confirmed.
	unconfirmedFree int
	// asksAhead counts the waiting asks of higher tiers, serviceAhead is the sum of
	// their service times.
	asksAhead    int
	serviceAhead time.Duration
	// effectiveSlots is the number of slots that serve the waiting asks of the tier
	// and those above it, without the slots that new asks of higher tiers are
	// expected to keep busy.
	effectiveSlots float64
	// holdback is how long a floor, a missing report or a lack of slots is expected to delay
	// the tier's grants. A lack is expected to last as long again as it has.
	holdback    time.Duration
	meanService time.Duration
	maxWait     time.Duration
}

// capacityFor returns the capacity available to a tier.
func (p *Pool) capacityFor(now time.Time, t sr.Tier) capacity {
	c := capacity{meanService: p.meter.meanService, maxWait: p.opts.MaxQueueAge}
	awaiting, closed := 0, 0
	for _, e := range p.sortedEndpoints {
		limit := p.limitAt(now, e)
		c.slots += limit
		c.free += max(0, limit-e.usedSlots())
		c.unconfirmedFree += p.freeSlots(now, e) - p.grantableSlots(now, e)
		if e.awaitingReport && e.usable() && p.mode.Majority {
			awaiting += e.ramp.ColdLimit()
		}
		if e.usable() {
			closed += max(e.ramp.ColdLimit(), 1)
		}
	}
	switch {
	case c.slots > 0:
		p.noSlotsSince = time.Time{}
	case awaiting > 0:
		c.slots = awaiting
		c.holdback = expectedReportWait
	case closed > 0:
		// Circuit breakers are open, or a majority is missing.
		if p.noSlotsSince.IsZero() {
			p.noSlotsSince = now
		}
		c.slots = closed
		c.holdback = max(expectedReportWait, now.Sub(p.noSlotsSince))
	}
	for _, q := range p.queues {
		if q.tier.Outranks(t) {
			c.asksAhead += q.waiting
			c.serviceAhead += q.service
		}
	}
	if p.opts.HeadroomTier.Outranks(t) {
		c.free = max(0, c.free-p.opts.Headroom)
		c.slots = max(0, c.slots-p.opts.Headroom)
	}
	c.effectiveSlots = max(float64(c.slots)-p.meter.offeredAbove(now, t), float64(c.slots)*minSlotShare)
	if !p.mayGrant(now, t) {
		c.holdback += p.opts.ShedHold
	}
	return c
}

// wait returns the expected wait behind n asks of the same tier whose service times
// add up to service.
func (c capacity) wait(n int, service time.Duration) time.Duration {
	if c.slots == 0 {
		return c.maxWait
	}
	if c.asksAhead+n < c.free {
		return c.holdback
	}
	work := c.serviceAhead + service + c.meanService
	return min(c.holdback+time.Duration(float64(work)/c.effectiveSlots), c.maxWait)
}

// position returns how many asks of the tier, and how much of its service time,
// are served before an ask that has ownAsks and ownWork ahead of it in the queue
// of its workspace. Meanwhile the other workspaces get their shares, so the whole tier
// is served tierPerOwn times as much, but no more than is waiting.
func (w *waiter) position(ownAsks int, ownWork time.Duration) (int, time.Duration) {
	f, q := w.flow, w.queue
	tierPerOwn := q.totalShare / f.share
	asks := min(float64(q.waiting-1), float64(ownAsks)*tierPerOwn)
	work := min(float64(q.service-w.service), float64(ownWork)*tierPerOwn)
	return int(asks), time.Duration(work)
}
