package srslot

import (
	"fmt"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// scan looks at all waiting asks: which must be refused, which need a slot
// that lower work takes, and which tiers are under pressure.
func (p *Pool) scan(now time.Time) {
	p.boundQueue(now)
	var needy []need
	for _, q := range p.queues {
		if q.waiting > 0 {
			needy = append(needy, p.scanTier(now, q)...)
		}
	}
	p.preempt(now, needy)
	p.repeatRevokes(now)
}

// need is a waiting ask that comes too late without somebody else's slot.
type need struct {
	w *waiter
	// due reports whether the ask would be refused but for lower work.
	due bool
}

// scanTier refuses the asks of a tier that come too late and may be refused,
// and returns the others that come too late. A floor is announced for an ask that
// would be refused, not for a late first token: it holds back whole tiers.
func (p *Pool) scanTier(now time.Time, q *tierQueue) []need {
	var needy []need
	o := p.outlookFor(now, q.tier)
	for _, f := range slices.Clone(q.backlog.flows) {
		n, own := 0, time.Duration(0)
		for _, w := range slices.Clone(f.waiters) {
			asks, work := w.position(n, own)
			wait := o.wait(asks, work)
			if p.imminent(now, w, o, asks) {
				n++
				own += w.service
				continue
			}
			r, due := p.judgeWait(now, w, wait)
			if due && p.answerDue(now, w, r) {
				continue
			}
			n++
			own += w.service
			if due || p.mayCutForFirst(now, w, wait) {
				needy = append(needy, need{w: w, due: due})
			}
		}
	}
	if slices.ContainsFunc(needy, func(n need) bool { return n.due }) {
		p.announce(now, q.tier)
	}
	return needy
}

// imminent reports whether an ask behind n others gets a free slot once a lease
// is confirmed, which takes a round trip: nobody is cut or shed for it meanwhile.
func (p *Pool) imminent(now time.Time, w *waiter, o outlook, n int) bool {
	return o.ahead+n < o.withheld && !w.expired(now) && p.mayGrant(now, w.ask.Tier) && p.placeable(w.ask)
}

// answerDue refuses an ask if its tier may be shed now.
func (p *Pool) answerDue(now time.Time, w *waiter, r sr.Refusal) bool {
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

// judgeWait returns the refusal that is due for an ask with the expected wait.
func (p *Pool) judgeWait(now time.Time, w *waiter, wait time.Duration) (sr.Refusal, bool) {
	if !p.placeable(w.ask) {
		return empty(), true
	}
	if age := now.Sub(w.arrived); age > p.opts.QueueAge {
		return p.overloaded(wait, "waited longer than %v", p.opts.QueueAge), true
	}
	if w.deadline.IsZero() {
		return sr.Refusal{}, false
	}
	left := w.deadline.Sub(now)
	need := w.service
	if w.ask.Tier >= p.cfg.Lowest {
		need += wait
	}
	if left > 0 && need <= left {
		return sr.Refusal{}, false
	}
	return p.late(now, w, wait, left), true
}

func (p *Pool) late(now time.Time, w *waiter, wait, left time.Duration) sr.Refusal {
	r := sr.Refusal{Name: sr.RefusalLate, Retry: p.retry(wait)}
	r.Reason = fmt.Sprintf("expected wait %v and service %v exceed the %v left",
		wait.Round(time.Millisecond), w.service.Round(time.Millisecond), left.Round(time.Millisecond))
	if !p.mayGrant(now, w.ask.Tier) {
		r.Name = sr.RefusalFloor
		r.Reason = fmt.Sprintf("tier %d is held back for higher tiers; %s", w.ask.Tier, r.Reason)
	}
	return r
}

func (p *Pool) overloaded(wait time.Duration, format string, args ...any) sr.Refusal {
	return sr.Refusal{Name: sr.RefusalOverloaded, Reason: fmt.Sprintf(format, args...), Retry: p.retry(wait)}
}

// mayCutForFirst reports whether an ask's first token would come too late and
// lower work may be cut for that: a cut loses an answer.
func (p *Pool) mayCutForFirst(now time.Time, w *waiter, wait time.Duration) bool {
	return w.ask.Tier <= p.opts.FirstTier && !w.firstBy.IsZero() && now.Add(wait).After(w.firstBy)
}

// mayShed reports whether a tier may be refused for capacity: no lower one is
// served anywhere, as far as its floor is known, nor here.
func (p *Pool) mayShed(t sr.Tier) bool {
	if p.opts.Without.Settling {
		return true
	}
	settled := p.floor.Settled != 0 && !t.Outranks(p.floor.Settled)
	if t < p.cfg.Lowest && !settled {
		return false
	}
	return p.cancellableBelow(t) == 0
}

// shed refuses an ask for capacity.
func (p *Pool) shed(now time.Time, w *waiter, r sr.Refusal) {
	p.holds[w.ask.Tier] = now.Add(p.opts.ShedHold)
	p.refuse(w, r)
}

// boundQueue refuses the newest asks of the lowest tier beyond the bounds.
func (p *Pool) boundQueue(now time.Time) {
	for len(p.waiting) > p.opts.Queue || p.waitingTokens() > p.opts.QueueWork {
		w := p.newestLowest()
		wait := p.outlookFor(now, w.ask.Tier).wait(w.queue.waiting, w.queue.service)
		if !p.answerDue(now, w, p.overloaded(wait, "%d asks wait", len(p.waiting))) {
			p.announce(now, w.ask.Tier)
			return
		}
	}
}

// boundHard bounds the memory that asks take which may not be shed yet.
func (p *Pool) boundHard(now time.Time) {
	if len(p.waiting) <= p.opts.Queue*p.opts.HardQueue {
		return
	}
	p.shed(now, p.newestLowest(), p.overloaded(p.opts.RetryMax, "%d asks wait, the most that fit", len(p.waiting)-1))
}

func (p *Pool) waitingTokens() int {
	n := 0
	for _, q := range p.queues {
		n += q.tokens
	}
	return n
}

// newestLowest returns the newest ask of the workspace that has the most work
// waiting for its share, in the lowest waiting tier: a workspace that floods
// the queue does not crowd out the others.
func (p *Pool) newestLowest() *waiter {
	for _, q := range slices.Backward(p.queues) {
		if q.waiting > 0 {
			return q.mostBacklogged().newest()
		}
	}
	return nil
}

// announce says that a tier is under pressure. The lowest one has no tier
// below it to hold back.
func (p *Pool) announce(now time.Time, t sr.Tier) {
	if t >= p.cfg.Lowest {
		return
	}
	last, ok := p.announced[t]
	if ok && now.Sub(last) < p.opts.FloorEvery {
		return
	}
	p.announced[t] = now
	p.out = append(p.out, sr.Action{Kind: sr.ActionFloor, Tier: t})
}
