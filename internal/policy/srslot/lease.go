package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// lease is a slot in use.
type lease struct {
	id      sr.LeaseID
	ask     sr.Ask
	grant   sr.Lease
	granted time.Time
	// lastListed is when the holder last listed the lease, initially the time of the
	// grant.
	lastListed time.Time
	// startBy is the end of the TTL. The request can't be started later.
	startBy  time.Time
	endpoint *endpoint
	// rampGeneration is the generation of the ramp at the time of the grant.
	rampGeneration uint64
	// expectedFirst is the expected time to the first token.
	expectedFirst time.Duration
	// adopted marks a lease that the previous owner granted.
	adopted bool
	// attached is set while the holder may end the lease.
	attached bool
	// abandoned marks a lease that its holder is not expected to end. A load report
	// taken after clearAfter may end it.
	abandoned  bool
	clearAfter time.Time
	// confirmed is set once the request has reached the endpoint process that was
	// reported last, or can no longer reach any process.
	confirmed bool
	// acceptedAt is when the holder notified the pool that the endpoint has accepted
	// the request. startID is the start ID of the process that the endpoint named
	// then, "" for none.
	acceptedAt time.Time
	startID    string
	// connectionBroken is set once the holder reported that the connection broke.
	connectionBroken bool
	// revokedAt is when the last revoke was sent to the holder, zero for never.
	revokedAt  time.Time
	revokedFor sr.Tier
	// linked, prev and next are the links in the leaseList of the tier.
	linked     bool
	prev, next *lease
}

// leaseList holds the cancellable leases of one tier in order of their grants.
type leaseList struct {
	first, last *lease
	n           int
}

func (l *leaseList) push(x *lease) {
	x.prev, x.next, x.linked = l.last, nil, true
	if l.last == nil {
		l.first = x
	} else {
		l.last.next = x
	}
	l.last = x
	l.n++
}

func (l *leaseList) remove(x *lease) {
	if !x.linked {
		return
	}
	if x.prev == nil {
		l.first = x.next
	} else {
		x.prev.next = x.next
	}
	if x.next == nil {
		l.last = x.prev
	} else {
		x.next.prev = x.prev
	}
	x.prev, x.next, x.linked = nil, nil, false
	l.n--
}

// addLease counts a lease against its endpoint.
func (p *Pool) addLease(e *endpoint, l *lease) {
	l.lastListed = l.granted
	e.add(l)
	p.leases[l.id] = l
	if l.abandoned {
		return
	}
	l.attached = true
	held := p.leasesByHolder[l.ask.Holder]
	if held == nil {
		held = make(map[sr.LeaseID]*lease)
		p.leasesByHolder[l.ask.Holder] = held
	}
	held[l.id] = l
	if l.ask.Cancellable {
		p.cancellableLeases(l.ask.Tier).push(l)
	}
}

// dropLease frees a lease's slot.
func (p *Pool) dropLease(l *lease) {
	p.dirty = true
	l.endpoint.remove(l)
	p.detach(l)
	delete(p.leases, l.id)
	p.grantedAsks.markEnded(l.ask.ID)
}

// abandon detaches a lease that its holder is not expected to end. It stays counted
// until a load report taken after clearAfter ends it.
func (p *Pool) abandon(l *lease, clearAfter time.Time) {
	if p.opts.Disabled.AbandonedLeases {
		p.dropLease(l)
		return
	}
	p.detach(l)
	l.endpoint.abandon(l, clearAfter)
	p.grantedAsks.markEnded(l.ask.ID)
}

// detach removes a lease from those of its holder. It does not change whether the
// lease counts at its endpoint.
func (p *Pool) detach(l *lease) {
	l.attached = false
	p.cancellableLeases(l.ask.Tier).remove(l)
	delete(p.revoked, l.id)
	held := p.leasesByHolder[l.ask.Holder]
	delete(held, l.id)
	if len(held) == 0 {
		delete(p.leasesByHolder, l.ask.Holder)
	}
}

// forgetCleared removes abandoned leases that their endpoint no longer counts by ID.
func (p *Pool) forgetCleared(ls []*lease) {
	for _, l := range ls {
		p.detach(l)
		delete(p.leases, l.id)
	}
	p.dirty = true
}

// Release ends a lease, or handles an update from its holder about a lease that
// goes on. An unknown lease is ignored.
func (p *Pool) Release(now time.Time, r sr.Release) {
	l := p.leases[r.Lease]
	if l == nil || l.ask.Holder != r.Holder {
		return
	}
	e := l.endpoint
	switch r.Result {
	case sr.ReleaseTaken:
		p.recordTaken(now, l, r.Start)
		return
	case sr.ReleaseInterrupted:
		e.recordInterrupted(now, l)
		return
	}
	p.recordOutcome(now, l, r)
	if !l.adopted {
		p.placer.Observe(now, l.ask, e.spec.Name, e.spec.Class.Name, r)
	}
	if mayStillRun(r.Result) {
		p.abandon(l, now)
		return
	}
	if r.Result == sr.ReleaseDone {
		p.meter.recordService(r.Total)
	}
	p.forgetCleared(e.recordEnded(now, r, p.opts.MaxNetDelay))
	p.dropLease(l)
	p.removeGoneEndpoints()
}

// recordOutcome updates the ramp and the circuit breaker of the endpoint with the
// result of a request.
func (p *Pool) recordOutcome(now time.Time, l *lease, r sr.Release) {
	ramp := l.endpoint.ramp
	switch {
	case r.Result == sr.ReleaseDone:
		ramp.Completed(now, l.rampGeneration, r.First, l.expectedFirst)
	case r.Result == sr.ReleaseRefused || mayStillRun(r.Result):
		l.endpoint.breaker.trip(now, p.opts.MinBreakerBackoff, p.opts.MaxBreakerBackoff)
		if l.rampGeneration == ramp.Generation() || l.adopted {
			ramp.Refused()
		}
	}
}

// mayStillRun reports whether a request may still run after a release with the given
// result. It may after ReleaseLost, and after a result that is not known here.
func mayStillRun(r sr.ReleaseResult) bool {
	switch r {
	case sr.ReleaseUnused, sr.ReleaseDone, sr.ReleaseCancelled, sr.ReleaseRefused:
		return false
	}
	return true
}

// ReconcileLeases handles the full list of a holder's leases, made at asOf or later.
// Leases of the holder that are not listed are freed if their TTL had passed by asOf.
func (p *Pool) ReconcileLeases(now, asOf time.Time, holder sr.InstanceID, leases []sr.LeaseID) {
	held := p.leasesByHolder[holder]
	if len(held) == 0 {
		return
	}
	listed := make(map[sr.LeaseID]struct{}, len(leases))
	for _, id := range leases {
		listed[id] = struct{}{}
	}
	for id, l := range held {
		if _, ok := listed[id]; ok {
			l.lastListed = now
			l.endpoint.reclaim(l)
			continue
		}
		if asOf.Before(l.startBy) {
			continue
		}
		if !l.adopted {
			p.dropLease(l)
			continue
		}
		// The holder may still list the lease under the previous owner.
		if !l.abandoned {
			l.endpoint.abandon(l, now)
		}
	}
	p.removeGoneEndpoints()
}

// HolderLost handles the loss of a holder. Its waiting asks are refused, and its
// leases stay counted until a later load report shows that they have ended.
func (p *Pool) HolderLost(now time.Time, holder sr.InstanceID) {
	for _, l := range p.leasesByHolder[holder] {
		p.abandon(l, later(now, l.startBy))
	}
	for _, w := range p.waitingInOrder() {
		if w.ask.Holder == holder {
			p.refuse(w, withdrawnRefusal("the holder of the ask is gone"))
		}
	}
}
