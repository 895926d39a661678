package srslot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// preempt revokes lower work for asks that come too late without its slots:
// at most one revoke is outstanding for each of them.
func (p *Pool) preempt(now time.Time, needy []need) {
	if p.opts.PreemptOff {
		return
	}
	for _, n := range needy {
		if len(p.revoked) >= len(needy) {
			return
		}
		if l := p.victim(now, n); l != nil {
			p.revoke(now, l, n.w.ask.Tier)
		}
	}
}

// victim returns the lowest tier's most recently started lease whose slot
// serves a waiting ask, nil when there is none.
func (p *Pool) victim(now time.Time, n need) *lease {
	for t := len(p.cancellable) - 1; t > int(n.w.ask.Tier); t-- {
		for l := p.cancellable[t].last; l != nil; l = l.prev {
			if l.revoked.IsZero() && (n.due || p.serves(now, l, n.w)) {
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
	return e.taken() <= p.limitAt(now, e)
}

func (p *Pool) revoke(now time.Time, l *lease, by sr.Tier) {
	l.revoked = now
	l.revokedFor = by
	p.revoked[l.id] = l
	p.out = append(p.out, sr.Action{
		Kind:   sr.ActionRevoke,
		Holder: l.ask.Holder,
		Revoke: sr.Revoke{Lease: l.id, Pool: p.cfg.Pool, For: by},
		Tier:   by,
	})
}

// repeatRevokes tells holders again that have not cut a request in time.
func (p *Pool) repeatRevokes(now time.Time) {
	byID := func(a, b *lease) int { return cmp.Compare(a.id, b.id) }
	for _, l := range slices.SortedFunc(maps.Values(p.revoked), byID) {
		if now.Sub(l.revoked) >= p.opts.RevokeEvery {
			p.revoke(now, l, l.revokedFor)
		}
	}
}

// cancellableBelow counts the running leases below a tier that could be revoked.
func (p *Pool) cancellableBelow(t sr.Tier) int {
	n := 0
	for i := int(t) + 1; i < len(p.cancellable); i++ {
		n += p.cancellable[i].n
	}
	return n
}
