package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// confirms reports whether the leases of an endpoint are confirmed: an endpoint
// may restart at any time, and until the pool knows, what has not surely
// reached the run that it knows may reach a cold one. So no more leases are
// unconfirmed at once than a cold endpoint bears.
func (p *Pool) confirms(e *endpoint) bool {
	return !p.opts.Without.Confirm && p.cfg.Kind == sr.KindModel && e.ramp.ColdLimit() < e.spec.Class.Slots
}

// roomAt returns how many leases an endpoint may be granted now.
func (p *Pool) roomAt(now time.Time, e *endpoint) int {
	n := p.freeAt(now, e)
	if !p.confirms(e) {
		return n
	}
	return max(0, min(n, e.ramp.ColdLimit()-e.unconfirmed))
}

// taken takes the message that an endpoint has taken a request. Another run
// than the one reported last makes the endpoint cold.
func (p *Pool) taken(now time.Time, l *lease, start string) {
	e := l.endpoint
	l.signed = now
	l.start = start
	p.dirty = true
	switch {
	case start == "":
		if e.witnessed() {
			e.confirm(l)
		}
	case start == e.ramp.Start():
		e.confirm(l)
	case e.ramp.Start() != "" && (l.run == e.ramp.Run() || l.adopted):
		e.ramp.Refused()
	}
}

// broken takes the message that the connection of a request broke, which may
// be the first sign of a restart.
func (e *endpoint) broken(now time.Time, l *lease) {
	l.doubted = true
	e.suspect = true
	e.suspectSince = now
}

// witnessed reports whether a request that surely runs on the reported run is
// not known to have broken: a restart would have broken it.
func (e *endpoint) witnessed() bool {
	if e.suspect {
		return false
	}
	for _, l := range e.leases {
		if l.confirmed && l.attached && !l.doubted && !l.orphan {
			return true
		}
	}
	return false
}

// confirm notes that a request has reached the reported run or none.
func (e *endpoint) confirm(l *lease) {
	if l.confirmed {
		return
	}
	l.confirmed = true
	if _, counted := e.leases[l.id]; counted {
		e.unconfirmed--
	}
}

// confirmBy confirms what had surely reached the endpoint when a report was
// taken: the report says that it was the same run all the time.
func (e *endpoint) confirmBy(taken span, delay time.Duration) {
	if taken.from.After(e.suspectSince) {
		e.suspect = false
	}
	if e.unconfirmed == 0 {
		return
	}
	for _, l := range e.leases {
		if l.reachedBy(taken.from, delay, e.ramp.Start()) {
			e.confirm(l)
		}
	}
}

// reachedBy reports whether a lease's request has reached the run with the
// given start by a time, or will reach none.
func (l *lease) reachedBy(at time.Time, delay time.Duration, start string) bool {
	if start != "" && l.start == start {
		return true
	}
	if l.start == "" && !l.signed.IsZero() && l.signed.Before(at) {
		return true
	}
	return l.startBy.Add(delay).Before(at)
}
