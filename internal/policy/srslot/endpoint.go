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
	// orphans counts the leases whose holder can no longer end them.
	orphans int
	// unconfirmed counts the leases that are not known to have reached the run
	// reported last.
	unconfirmed int
	// suspect is set from a broken connection until a report taken after
	// suspectSince.
	suspect      bool
	suspectSince time.Time
	// nameless counts running requests that belong to no known lease, and
	// namelessFrom is when the last of them was seen.
	nameless     int
	namelessFrom time.Time
	// surplus counts what the last report showed beyond all of these.
	surplus int
	pending sr.Work
	// blind is set from a takeover without a handover until the first report
	// taken after it.
	blind      bool
	blindSince time.Time
	breaker    breaker
	reported   bool
	reportedAt time.Time
	ended      endedRing
	sightings  []*sighting
}

func newEndpoint(spec sr.PoolEndpoint, opts srwarm.Options) *endpoint {
	return &endpoint{
		spec:    spec,
		ramp:    srwarm.New(opts, spec.Class),
		present: true,
		leases:  make(map[sr.LeaseID]*lease),
	}
}

// taken returns the number of slots that are or may be in use.
func (e *endpoint) taken() int {
	return len(e.leases) + e.nameless + e.surplus
}

// limit returns the number of requests that the endpoint bears now.
func (e *endpoint) limit() int { return e.ramp.Limit() }

func (e *endpoint) usable() bool { return e.present && e.spec.Usable }

// gone reports whether nothing is left to remember of the endpoint.
func (e *endpoint) gone() bool { return !e.present && e.taken() == 0 }

func (e *endpoint) add(l *lease) {
	l.endpoint = e
	e.leases[l.id] = l
	e.pending.Prefill += l.ask.Work.Prefill
	e.pending.Decode += l.ask.Work.Decode
	if l.orphan {
		e.orphans++
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
	if l.orphan {
		e.orphans--
	}
	if !l.confirmed {
		e.unconfirmed--
	}
	e.unsee(l)
}

// unsee gives up finding out whether a lease ran when reports were taken.
func (e *endpoint) unsee(l *lease) {
	for _, s := range e.sightings {
		delete(s.open, l.id)
	}
}

// orphanise keeps a lease counted until a report taken after clearAfter shows
// it gone.
func (e *endpoint) orphanise(l *lease, clearAfter time.Time) {
	if !l.orphan {
		l.orphan = true
		e.orphans++
	}
	if clearAfter.After(l.clearAfter) {
		l.clearAfter = clearAfter
	}
	e.unsee(l)
}

// reclaim counts a lease by its name alone again, since its holder has it.
func (e *endpoint) reclaim(l *lease) {
	if l.orphan {
		l.orphan = false
		e.orphans--
	}
}

// doubt lets reports clear the leases that no holder has listed since a time.
func (e *endpoint) doubt(now, since time.Time) {
	for _, l := range e.leases {
		if !l.orphan && l.listed.Before(since) && l.startBy.Before(now) {
			e.orphanise(l, now)
		}
	}
}
