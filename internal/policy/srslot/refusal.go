package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func notOwnerRefusal() sr.Refusal {
	return sr.Refusal{Name: sr.RefusalNotOwner, Reason: "the instance does not own the pool"}
}

func noEndpointRefusal() sr.Refusal {
	return sr.Refusal{Name: sr.RefusalEmpty, Reason: "the pool has no usable endpoint left for this ask"}
}

func withdrawnRefusal(reason string) sr.Refusal {
	return sr.Refusal{Name: sr.RefusalWithdrawn, Reason: reason}
}

// refuse answers a waiting ask with a refusal.
func (p *Pool) refuse(w *waiter, r sr.Refusal) {
	w.queue.remove(w)
	delete(p.waiting, w.ask.ID)
	p.dirty = true
	p.answerRefusal(w.ask, r)
}

// answerRefusal answers an ask that is not in the queue with a refusal.
func (p *Pool) answerRefusal(a sr.Ask, r sr.Refusal) {
	p.actions = append(p.actions, sr.Action{
		Kind:   sr.ActionRefuse,
		Ask:    a.ID,
		Holder: a.Holder,
		Grant:  sr.Grant{Refusal: r},
	})
}

// refuseAll answers all waiting asks with one refusal.
func (p *Pool) refuseAll(r sr.Refusal) {
	for _, w := range p.waitingInOrder() {
		p.refuse(w, r)
	}
}

// retryDelay returns the delay after which a refused caller may retry. It is random
// within an interval that grows with the expected wait, to spread the retries.
func (p *Pool) retryDelay(wait time.Duration) time.Duration {
	spread := min(max(2*wait, p.opts.MinRetryDelay), p.opts.MaxRetryDelay)
	return p.opts.MinRetryDelay + time.Duration(p.rng.Int64N(int64(spread)))
}
