package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxEnded is how many ended requests an endpoint remembers.
	maxEnded = 64
	// maxSightings is how many load reports an endpoint keeps open.
	maxSightings = 4
	// sightingEvery is the least time between two kept load reports.
	sightingEvery = time.Second
)

// span is an interval of time.
type span struct {
	from, to time.Time
}

// covers reports whether s holds all of t.
func (s span) covers(t span) bool {
	return !s.from.After(t.from) && !s.to.Before(t.to)
}

// ended is a request that is over: it surely ran all through ran.
type ended struct {
	ran      span
	released time.Time
}

// endedRing holds the requests of an endpoint that ended last.
type endedRing struct {
	items []ended
	next  int
}

func (r *endedRing) push(x ended) {
	if len(r.items) < maxEnded {
		r.items = append(r.items, x)
		return
	}
	r.items[r.next] = x
	r.next = (r.next + 1) % maxEnded
}

// reaches reports whether the ring holds all releases since a time.
func (r *endedRing) reaches(at time.Time) bool {
	return len(r.items) < maxEnded || !r.items[r.next].released.After(at)
}

// sighting is a load report that is compared with the leases it may count
// until it is known which of them it does: what remains are orphans.
type sighting struct {
	// taken is when the report's figures were taken.
	taken span
	busy  int
	// sure counts the leases that surely ran then.
	sure int
	// open holds the leases of which that is not yet known.
	open map[sr.LeaseID]struct{}
}

// most returns how many requests of no living lease may have run.
func (s *sighting) most() int { return max(0, s.busy-s.sure) }

// sight takes a report's figures and returns the leases that it clears.
func (e *endpoint) sight(taken span, busy int) []*lease {
	e.endBlindness(taken, busy)
	e.surplus = e.surplusOf(taken, busy)
	if e.orphans+e.nameless == 0 {
		e.sightings = nil
		return nil
	}
	s := e.newSighting(taken, busy)
	cleared := e.settle(s)
	e.keep(s)
	return cleared
}

func (e *endpoint) newSighting(taken span, busy int) *sighting {
	s := &sighting{taken: taken, busy: busy, open: make(map[sr.LeaseID]struct{})}
	for _, x := range e.ended.items {
		if x.ran.covers(taken) {
			s.sure++
		}
	}
	for id, l := range e.leases {
		if !l.orphan && l.granted.Before(taken.from) {
			s.open[id] = struct{}{}
		}
	}
	return s
}

// closeRun notes when a released lease surely ran and returns the leases that
// this clears.
func (e *endpoint) closeRun(now time.Time, r sr.Release, delay time.Duration) []*lease {
	x := ended{released: now}
	if r.Result == sr.ReleaseDone || r.Result == sr.ReleaseCut {
		x.ran = span{from: now.Add(delay - r.Total), to: now.Add(-delay)}
	}
	e.ended.push(x)
	var cleared []*lease
	for _, s := range e.sightings {
		if _, ok := s.open[r.Lease]; !ok {
			continue
		}
		delete(s.open, r.Lease)
		if x.ran.covers(s.taken) {
			s.sure++
		}
		cleared = append(cleared, e.settle(s)...)
	}
	e.dropSettled()
	return cleared
}

// keep remembers a sighting that may still clear an orphan.
func (e *endpoint) keep(s *sighting) {
	e.dropSettled()
	last := len(e.sightings) - 1
	if last+1 >= maxSightings || !e.hopeful(s) {
		return
	}
	if last >= 0 && s.taken.from.Sub(e.sightings[last].taken.from) < sightingEvery {
		return
	}
	e.sightings = append(e.sightings, s)
}

// hopeful reports whether a sighting can still clear an orphan.
func (e *endpoint) hopeful(s *sighting) bool {
	return len(s.open) > 0 && s.most()-len(s.open) < e.orphans+e.nameless
}

func (e *endpoint) dropSettled() {
	kept := e.sightings[:0]
	for _, s := range e.sightings {
		if e.hopeful(s) {
			kept = append(kept, s)
		}
	}
	clear(e.sightings[len(kept):])
	e.sightings = kept
}

// settle lowers the orphans to what a sighting leaves room for, and returns
// the leases that are no longer counted by name.
func (e *endpoint) settle(s *sighting) []*lease {
	if s.taken.from.Before(e.namelessFrom) {
		return nil
	}
	var named []*lease
	for _, l := range e.leases {
		// A lease that its holder may still end keeps its name while it may run.
		if l.orphan && l.clearAfter.Before(s.taken.from) && (!l.attached || s.most() == 0) {
			named = append(named, l)
		}
	}
	if len(named)+e.nameless <= s.most() {
		return nil
	}
	// Which of them are gone is not known, so none keeps its name: a late
	// release of one must not free the slot of another.
	for _, l := range named {
		e.remove(l)
	}
	e.nameless = s.most()
	if len(named) > 0 {
		e.namelessFrom = s.taken.from
	}
	return named
}

// surplusOf returns how many requests a report shows that nobody here granted.
func (e *endpoint) surplusOf(taken span, busy int) int {
	if !e.ended.reaches(taken.from) {
		return 0
	}
	known := e.nameless
	for _, l := range e.leases {
		if l.adopted || l.orphan || l.granted.Before(taken.to) {
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

// endBlindness counts all that the first report after a takeover shows.
func (e *endpoint) endBlindness(taken span, busy int) {
	if !e.blind || !taken.from.After(e.blindSince) {
		return
	}
	e.blind = false
	e.nameless = max(e.nameless, busy)
	e.namelessFrom = taken.from
}

// restarted forgets what ran before a restart, which came after the report
// taken at last: only what had started by then is surely gone.
func (e *endpoint) restarted(last span) []*lease {
	e.sightings = nil
	e.surplus = 0
	return e.settle(&sighting{taken: last})
}
