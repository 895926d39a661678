package srslot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// preempt revokes leases of lower tiers for asks that would be late otherwise. At
// most one revoke is outstanding per late ask.
func (p *Pool) preempt(now time.Time, lateAsks []lateAsk) {
	if p.opts.PreemptOff {
		return
	}
	for _, a := range lateAsks {
		if len(p.revoked) >= len(lateAsks) {
			return
		}
		if l := p.victim(now, a); l != nil {
			p.revoke(now, l, a.w.ask.Tier)
		}
	}
}

// victim returns the lease to revoke for a late ask, nil when there is none. It
// prefers the lowest tier, then the most recent grant, and skips leases whose slot the
// ask could not use. If a refusal is due for the ask, it skips none of them, because
// the tier of the ask may be shed only when no lower one has cancellable leases.
func (p *Pool) victim(now time.Time, a lateAsk) *lease {
	for t := len(p.cancellable) - 1; t > int(a.w.ask.Tier); t-- {
		for l := p.cancellable[t].last; l != nil; l = l.prev {
			if l.revokedAt.IsZero() && (a.refusalDue || p.serves(now, l, a.w)) {
				return l
			}
		}
	}
	return nil
}

// serves reports whether an ask could use a lease's slot.
func (p *Pool) serves(now time.Time, l *lease, w *waiter) bool {
	e := l.endpoint
	if slices.Contains(w.ask.Avoid, e.spec.Name) || !p.mayGrant(now, w.ask.Tier) {
		return false
	}
	return e.usedSlots() <= p.limitAt(now, e)
}

func (p *Pool) revoke(now time.Time, l *lease, forTier sr.Tier) {
	l.revokedAt = now
	l.revokedFor = forTier
	p.revoked[l.id] = l
	p.actions = append(p.actions, sr.Action{
		Kind:   sr.ActionRevoke,
		Holder: l.ask.Holder,
		Revoke: sr.Revoke{Lease: l.id, Pool: p.cfg.Pool, For: forTier},
		Tier:   forTier,
	})
}

// repeatRevokes sends another revoke to holders that have not cancelled the request
// within RevokeInterval.
func (p *Pool) repeatRevokes(now time.Time) {
	byID := func(a, b *lease) int { return cmp.Compare(a.id, b.id) }
	for _, l := range slices.SortedFunc(maps.Values(p.revoked), byID) {
		if now.Sub(l.revokedAt) >= p.opts.RevokeInterval {
			p.revoke(now, l, l.revokedFor)
		}
	}
}

// cancellableBelow counts the leases of tiers below t that may be revoked.
func (p *Pool) cancellableBelow(t sr.Tier) int {
	n := 0
	for i := int(t) + 1; i < len(p.cancellable); i++ {
		n += p.cancellable[i].n
	}
	return n
}
