package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// lease is a slot that is taken.
type lease struct {
	id      sr.LeaseID
	ask     sr.Ask
	grant   sr.Lease
	granted time.Time
	// listed is when the holder last listed it, at first the time of the grant.
	listed time.Time
	// startBy is the end of the lease's TTL.
	startBy  time.Time
	endpoint *endpoint
	// run is the ramp's run at the time of the grant.
	run uint64
	// first is the expected time to the first token.
	first time.Duration
	// adopted marks a lease of the previous owner.
	adopted bool
	// attached is set while the holder may end the lease.
	attached bool
	// orphan marks a lease that its holder may not end any more; a report
	// taken after clearAfter does.
	orphan     bool
	clearAfter time.Time
	// confirmed is set once the request has reached the endpoint's reported run
	// or can reach none.
	confirmed bool
	// signed is when the holder said that the endpoint has taken the request,
	// start the run that the endpoint named then, "" for none.
	signed time.Time
	start  string
	// doubted is set once the holder said that the connection broke.
	doubted bool
	// revoked is when the holder was last told to cut it, zero for never.
	revoked    time.Time
	revokedFor sr.Tier
	// linked, prev and next are the place in its tier's leaseList.
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
	l.listed = l.granted
	e.add(l)
	p.leases[l.id] = l
	if l.orphan {
		return
	}
	l.attached = true
	held := p.holders[l.ask.Holder]
	if held == nil {
		held = make(map[sr.LeaseID]*lease)
		p.holders[l.ask.Holder] = held
	}
	held[l.id] = l
	if l.ask.Cancellable {
		p.list(l.ask.Tier).push(l)
	}
}

// dropLease frees a lease's slot.
func (p *Pool) dropLease(l *lease) {
	p.dirty = true
	l.endpoint.remove(l)
	p.detach(l)
	delete(p.leases, l.id)
	p.asks.end(l.ask.ID)
}

// orphanise keeps a lease counted that its holder will not end.
func (p *Pool) orphanise(l *lease, clearAfter time.Time) {
	if p.opts.Without.Orphans {
		p.dropLease(l)
		return
	}
	p.detach(l)
	l.endpoint.orphanise(l, clearAfter)
	p.asks.end(l.ask.ID)
}

// detach takes a lease from its holder.
func (p *Pool) detach(l *lease) {
	l.attached = false
	p.list(l.ask.Tier).remove(l)
	delete(p.revoked, l.id)
	held := p.holders[l.ask.Holder]
	delete(held, l.id)
	if len(held) == 0 {
		delete(p.holders, l.ask.Holder)
	}
}

// cleared forgets the names of orphans that their endpoint counts no longer.
func (p *Pool) cleared(ls []*lease) {
	for _, l := range ls {
		p.detach(l)
		delete(p.leases, l.id)
	}
	p.dirty = true
}

// Release ends a lease, or takes the news that its holder has of it. An
// unknown lease is ignored.
func (p *Pool) Release(now time.Time, r sr.Release) {
	l := p.leases[r.Lease]
	if l == nil || l.ask.Holder != r.Holder {
		return
	}
	e := l.endpoint
	switch r.Result {
	case sr.ReleaseTaken:
		p.taken(now, l, r.Start)
		return
	case sr.ReleaseDoubt:
		e.broken(now, l)
		return
	}
	p.judge(now, l, r)
	if !l.adopted {
		p.placer.Observe(now, l.ask, e.spec.Name, e.spec.Class.Name, r)
	}
	if lost(r.Result) {
		p.orphanise(l, now)
		return
	}
	if r.Result == sr.ReleaseDone {
		p.meter.ended(r.Total)
	}
	p.cleared(e.closeRun(now, r, p.opts.NetDelay))
	p.dropLease(l)
	p.forgetGone()
}

// judge tells the endpoint's ramp what became of a request.
func (p *Pool) judge(now time.Time, l *lease, r sr.Release) {
	ramp := l.endpoint.ramp
	switch {
	case r.Result == sr.ReleaseDone:
		ramp.Completed(now, l.run, r.First, l.first)
	case r.Result == sr.ReleaseRefused || lost(r.Result):
		l.endpoint.breaker.trip(now, p.opts.BreakerLeast, p.opts.BreakerMost)
		if l.run == ramp.Run() || l.adopted {
			ramp.Refused()
		}
	}
}

// lost reports whether a request may still run. An unknown result is in doubt.
func lost(r sr.ReleaseResult) bool {
	switch r {
	case sr.ReleaseUnused, sr.ReleaseDone, sr.ReleaseCut, sr.ReleaseRefused:
		return false
	}
	return true
}

// Held takes a holder's full list of its leases, made not before made: others
// of that holder whose TTL had passed by then are freed.
func (p *Pool) Held(now, made time.Time, holder sr.InstanceID, leases []sr.LeaseID) {
	held := p.holders[holder]
	if len(held) == 0 {
		return
	}
	named := make(map[sr.LeaseID]struct{}, len(leases))
	for _, id := range leases {
		named[id] = struct{}{}
	}
	for id, l := range held {
		if _, ok := named[id]; ok {
			l.listed = now
			l.endpoint.reclaim(l)
			continue
		}
		if made.Before(l.startBy) {
			continue
		}
		if !l.adopted {
			p.dropLease(l)
			continue
		}
		// The holder may still count it as its previous owner's.
		if !l.orphan {
			l.endpoint.orphanise(l, now)
		}
	}
	p.forgetGone()
}

// HolderLost marks a holder as dead: its waiting asks are dropped and its
// leases stay counted until a later report shows them gone.
func (p *Pool) HolderLost(now time.Time, holder sr.InstanceID) {
	for _, l := range p.holders[holder] {
		p.orphanise(l, later(now, l.startBy))
	}
	for _, w := range p.inOrder() {
		if w.ask.Holder == holder {
			p.refuse(w, withdrawn("the holder of the ask is gone"))
		}
	}
}
