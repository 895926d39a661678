package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// blindHold is how long the next load report of an endpoint is taken to need.
const blindHold = time.Second

// outlook is the capacity from which waits are estimated.
type outlook struct {
	slots int
	free  int
	// withheld counts the free slots that wait for a confirmation.
	withheld int
	// ahead counts the asks of higher tiers and service their work.
	ahead   int
	service time.Duration
	// rate is how many slots work on the tier and those above its backlog.
	rate float64
	// held is how long the tier is held back by a floor or a missing report.
	held time.Duration
	mean time.Duration
	most time.Duration
}

// outlookFor returns the outlook of a tier.
func (p *Pool) outlookFor(now time.Time, t sr.Tier) outlook {
	o := outlook{mean: p.meter.mean, most: p.opts.QueueAge}
	blind := 0
	for _, e := range p.order {
		limit := p.limitAt(now, e)
		o.slots += limit
		o.free += max(0, limit-e.taken())
		o.withheld += p.freeAt(now, e) - p.roomAt(now, e)
		if e.blind && e.usable() && p.mode.Majority {
			blind += e.ramp.ColdLimit()
		}
	}
	if o.slots == 0 && blind > 0 {
		o.slots = blind
		o.held = blindHold
	}
	for _, q := range p.queues {
		if q.tier.Outranks(t) {
			o.ahead += q.waiting
			o.service += q.service
		}
	}
	if p.opts.HeadroomTier.Outranks(t) {
		o.free = max(0, o.free-p.opts.Headroom)
		o.slots = max(0, o.slots-p.opts.Headroom)
	}
	o.rate = max(float64(o.slots)-p.meter.above(now, t), float64(o.slots)*leastShare)
	if !p.mayGrant(now, t) {
		o.held += p.opts.ShedHold
	}
	return o
}

// wait returns the expected wait behind n asks of the same tier with the
// given work.
func (o outlook) wait(n int, service time.Duration) time.Duration {
	if o.slots == 0 {
		return o.most
	}
	if o.ahead+n < o.free {
		return o.held
	}
	work := o.service + service + o.mean
	return min(o.held+time.Duration(float64(work)/o.rate), o.most)
}

// position returns the asks and the work of its tier before an ask that has
// own ahead of it in its workspace's queue: the others get their shares
// meanwhile, and no more than all of their work.
func (w *waiter) position(n int, own time.Duration) (int, time.Duration) {
	f, q := w.flow, w.queue
	turns := q.shares / f.share
	asks := min(float64(q.waiting-1), float64(n)*turns)
	work := min(float64(q.service-w.service), float64(own)*turns)
	return int(asks), time.Duration(work)
}
