package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxEndedRequests is how many ended requests are kept per endpoint.
	maxEndedRequests = 64
	// maxObservations is how many undecided load reports are kept per endpoint.
	maxObservations = 4
	// observationInterval is the shortest time between two load reports that are
	// kept.
	observationInterval = time.Second
)

// interval is a time interval that includes both ends.
type interval struct {
	from, to time.Time
}

// covers reports whether i contains all of t.
func (i interval) covers(t interval) bool {
	return !i.from.After(t.from) && !i.to.Before(t.to)
}

// endedRequest is a request that has ended. ran is the interval throughout which it
// certainly ran, zero if unknown.
type endedRequest struct {
	ran      interval
	released time.Time
}

// endedRing holds the most recently ended requests of an endpoint.
type endedRing struct {
	items []endedRequest
	next  int
}

func (r *endedRing) push(x endedRequest) {
	if len(r.items) < maxEndedRequests {
		r.items = append(r.items, x)
		return
	}
	r.items[r.next] = x
	r.next = (r.next + 1) % maxEndedRequests
}

// holdsAllSince reports whether the ring holds all releases since a time.
func (r *endedRing) holdsAllSince(at time.Time) bool {
	return len(r.items) < maxEndedRequests || !r.items[r.next].released.After(at)
}

// observation is a load report that is kept until it is known which of the current
// leases were running when it was taken. The other requests that it counted may
// belong to abandoned leases; when fewer are left than there are abandoned leases,
// some of these have ended.
type observation struct {
	// taken is the interval in which the figures of the report were taken.
	taken interval
	// busy is the number of running and waiting requests in the report.
	busy int
	// certain counts the requests that certainly ran then, which becomes known when
	// they end.
	certain int
	// undecided holds the leases whose requests may have run then and have not ended.
	undecided map[sr.LeaseID]struct{}
}

// maxUnattributed returns how many requests in the report may belong to abandoned
// leases or to none.
func (o *observation) maxUnattributed() int { return max(0, o.busy-o.certain) }

// observe handles the figures of a load report and returns the leases that it clears.
func (e *endpoint) observe(taken interval, busy int) []*lease {
	e.applyFirstReport(taken, busy)
	e.surplus = e.surplusIn(taken, busy)
	if e.abandonedCount+e.unattributed == 0 {
		e.observations = nil
		return nil
	}
	o := e.newObservation(taken, busy)
	cleared := e.applyObservation(o)
	e.keepObservation(o)
	return cleared
}

func (e *endpoint) newObservation(taken interval, busy int) *observation {
	o := &observation{taken: taken, busy: busy, undecided: make(map[sr.LeaseID]struct{})}
	for _, x := range e.ended.items {
		if x.ran.covers(taken) {
			o.certain++
		}
	}
	for id, l := range e.leases {
		if !l.abandoned && l.granted.Before(taken.from) {
			o.undecided[id] = struct{}{}
		}
	}
	return o
}

// recordEnded records when the request of a released lease certainly ran and returns
// the leases that this clears.
func (e *endpoint) recordEnded(now time.Time, r sr.Release, delay time.Duration) []*lease {
	x := endedRequest{released: now}
	if r.Result == sr.ReleaseDone || r.Result == sr.ReleaseCancelled {
		x.ran = interval{from: now.Add(delay - r.Total), to: now.Add(-delay)}
	}
	e.ended.push(x)
	var cleared []*lease
	for _, o := range e.observations {
		if _, ok := o.undecided[r.Lease]; !ok {
			continue
		}
		delete(o.undecided, r.Lease)
		if x.ran.covers(o.taken) {
			o.certain++
		}
		cleared = append(cleared, e.applyObservation(o)...)
	}
	e.pruneObservations()
	return cleared
}

// keepObservation keeps an observation that may still clear an abandoned lease.
func (e *endpoint) keepObservation(o *observation) {
	e.pruneObservations()
	last := len(e.observations) - 1
	if last+1 >= maxObservations || !e.canClear(o) {
		return
	}
	if last >= 0 && o.taken.from.Sub(e.observations[last].taken.from) < observationInterval {
		return
	}
	e.observations = append(e.observations, o)
}

// canClear reports whether an observation can still clear an abandoned lease.
func (e *endpoint) canClear(o *observation) bool {
	return len(o.undecided) > 0 && o.maxUnattributed()-len(o.undecided) < e.abandonedCount+e.unattributed
}

// pruneObservations drops the observations that can no longer clear a lease.
func (e *endpoint) pruneObservations() {
	kept := e.observations[:0]
	for _, o := range e.observations {
		if e.canClear(o) {
			kept = append(kept, o)
		}
	}
	clear(e.observations[len(kept):])
	e.observations = kept
}

// applyObservation reduces the abandoned leases and the unattributed requests to the
// number that the observation still allows. It returns the cleared leases: from now
// on they count as unattributed requests, or not at all.
func (e *endpoint) applyObservation(o *observation) []*lease {
	if o.taken.from.Before(e.unattributedAt) {
		return nil
	}
	var candidates []*lease
	for _, l := range e.leases {
		// A lease that its holder may still end is counted by ID while it may run.
		if l.abandoned && l.clearAfter.Before(o.taken.from) && (!l.attached || o.maxUnattributed() == 0) {
			candidates = append(candidates, l)
		}
	}
	if len(candidates)+e.unattributed <= o.maxUnattributed() {
		return nil
	}
	// It is not known which of them have ended, so all of them are counted without
	// their IDs: a late release of one must not free the slot of another.
	for _, l := range candidates {
		e.remove(l)
	}
	e.unattributed = o.maxUnattributed()
	if len(candidates) > 0 {
		e.unattributedAt = o.taken.from
	}
	return candidates
}

// surplusIn returns how many requests in a report certainly were not granted by this
// pool. It returns 0 if the ring of ended requests may lack some that the report
// counted.
func (e *endpoint) surplusIn(taken interval, busy int) int {
	if !e.ended.holdsAllSince(taken.from) {
		return 0
	}
	known := e.unattributed
	for _, l := range e.leases {
		if l.adopted || l.abandoned || l.granted.Before(taken.to) {
			known++
		}
	}
	for _, x := range e.ended.items {
		if x.released.After(taken.from) {
			known++
		}
	}
	return max(0, busy-known)
}

// applyFirstReport counts all requests in the first report after a takeover as
// unattributed.
func (e *endpoint) applyFirstReport(taken interval, busy int) {
	if !e.awaitingReport || !taken.from.After(e.awaitingSince) {
		return
	}
	e.awaitingReport = false
	e.unattributed = max(e.unattributed, busy)
	e.unattributedAt = taken.from
}

// applyRestart clears the abandoned leases and unattributed requests that ended with
// a restart. The restart came after the report taken at last, so only those that had
// started by then have certainly ended.
func (e *endpoint) applyRestart(last interval) []*lease {
	e.observations = nil
	e.surplus = 0
	return e.applyObservation(&observation{taken: last})
}
