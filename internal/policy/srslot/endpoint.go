package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srwarm"
)

// endpoint is the state of one endpoint.
type endpoint struct {
	spec sr.PoolEndpoint
	ramp *srwarm.Ramp
	// present is false once the manifest no longer has the endpoint.
	present bool
	leases  map[sr.LeaseID]*lease
	// abandonedCount counts the leases that are abandoned.
	abandonedCount int
	// unconfirmed counts the leases that are not confirmed to have reached the
	// process that was reported last.
	unconfirmed int
	// restartSuspected is set from a broken connection until a report taken after
	// suspectedSince.
	restartSuspected bool
	suspectedSince   time.Time
	// unattributed counts running requests that are not attributed to a lease.
	// unattributedAt is the time of the report that last added to them.
	unattributed   int
	unattributedAt time.Time
	// surplus counts the requests in the last report beyond the leases, the
	// unattributed requests and those that ended since.
	surplus int
	// pending is the sum of the work of the leases.
	pending sr.Work
	// awaitingReport is set from awaitingSince until the first report taken after it.
	// awaitingSince is when the endpoint was added or taken over without a handover.
	awaitingReport bool
	awaitingSince  time.Time
	breaker        breaker
	reported       bool
	reportedAt     time.Time
	ended          endedRing
	observations   []*observation
}

func newEndpoint(spec sr.PoolEndpoint, opts srwarm.Options) *endpoint {
	return &endpoint{
		spec:    spec,
		ramp:    srwarm.New(opts, spec.Class),
		present: true,
		leases:  make(map[sr.LeaseID]*lease),
	}
}

// usedSlots returns the number of slots that are or may be in use.
func (e *endpoint) usedSlots() int {
	return len(e.leases) + e.unattributed + e.surplus
}

// limit returns the number of requests that the ramp allows at the endpoint now.
func (e *endpoint) limit() int { return e.ramp.Limit() }

func (e *endpoint) usable() bool { return e.present && e.spec.Usable }

// gone reports whether the endpoint has left the manifest and has no slot in use.
func (e *endpoint) gone() bool { return !e.present && e.usedSlots() == 0 }

func (e *endpoint) add(l *lease) {
	l.endpoint = e
	e.leases[l.id] = l
	e.pending.Prefill += l.ask.Work.Prefill
	e.pending.Decode += l.ask.Work.Decode
	if l.abandoned {
		e.abandonedCount++
	}
	if !l.confirmed {
		e.unconfirmed++
	}
}

func (e *endpoint) remove(l *lease) {
	if _, ok := e.leases[l.id]; !ok {
		return
	}
	delete(e.leases, l.id)
	e.pending.Prefill -= l.ask.Work.Prefill
	e.pending.Decode -= l.ask.Work.Decode
	if l.abandoned {
		e.abandonedCount--
	}
	if !l.confirmed {
		e.unconfirmed--
	}
	e.stopObserving(l)
}

// stopObserving removes a lease from the observations that have not decided whether
// it ran.
func (e *endpoint) stopObserving(l *lease) {
	for _, o := range e.observations {
		delete(o.undecided, l.id)
	}
}

// abandon marks a lease that stays counted until a report taken after clearAfter
// shows that its request no longer runs.
func (e *endpoint) abandon(l *lease, clearAfter time.Time) {
	if !l.abandoned {
		l.abandoned = true
		e.abandonedCount++
	}
	if clearAfter.After(l.clearAfter) {
		l.clearAfter = clearAfter
	}
	e.stopObserving(l)
}

// reclaim undoes abandon for a lease that its holder has listed again.
func (e *endpoint) reclaim(l *lease) {
	if l.abandoned {
		l.abandoned = false
		e.abandonedCount--
	}
}

// abandonUnlisted abandons the leases that their holder has not listed since a time
// and that can no longer be started, so that load reports may clear them.
func (e *endpoint) abandonUnlisted(now, since time.Time) {
	for _, l := range e.leases {
		if !l.abandoned && l.lastListed.Before(since) && l.startBy.Before(now) {
			e.abandon(l, now)
		}
	}
}
