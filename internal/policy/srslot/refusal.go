package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func notOwner() sr.Refusal {
	return sr.Refusal{Name: sr.RefusalNotOwner, Reason: "the instance does not own the pool"}
}

func empty() sr.Refusal {
	return sr.Refusal{Name: sr.RefusalEmpty, Reason: "the pool has no usable endpoint left for this ask"}
}

func withdrawn(reason string) sr.Refusal {
	return sr.Refusal{Name: sr.RefusalWithdrawn, Reason: reason}
}

// refuse answers a waiting ask with a refusal.
func (p *Pool) refuse(w *waiter, r sr.Refusal) {
	w.queue.drop(w)
	delete(p.waiting, w.ask.ID)
	p.dirty = true
	p.answerRefusal(w.ask, r)
}

// answerRefusal answers an ask that does not wait.
func (p *Pool) answerRefusal(a sr.Ask, r sr.Refusal) {
	p.out = append(p.out, sr.Action{
		Kind:   sr.ActionRefuse,
		Ask:    a.ID,
		Holder: a.Holder,
		Grant:  sr.Grant{Refusal: r},
	})
}

// refuseAll answers all waiting asks with one refusal.
func (p *Pool) refuseAll(r sr.Refusal) {
	for _, w := range p.inOrder() {
		p.refuse(w, r)
	}
}

// retry returns when a refused caller may come back: at random within an
// interval that grows with the backlog.
func (p *Pool) retry(wait time.Duration) time.Duration {
	spread := min(max(2*wait, p.opts.RetryMin), p.opts.RetryMax)
	return p.opts.RetryMin + time.Duration(p.rng.Int64N(int64(spread)))
}
