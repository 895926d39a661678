package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// needsConfirm reports whether the leases of an endpoint need a confirmation that
// the request has reached the endpoint process that was reported last. An endpoint
// may restart at any time, and until the pool is notified of it, unconfirmed
// requests may reach a cold process. So the number of unconfirmed leases is limited
// to the cold limit.
func (p *Pool) needsConfirm(e *endpoint) bool {
	return !p.opts.Disabled.Confirm && p.cfg.Kind == sr.KindModel && e.ramp.ColdLimit() < e.spec.Class.Slots
}

// grantableSlots returns how many leases may be granted at an endpoint now.
func (p *Pool) grantableSlots(now time.Time, e *endpoint) int {
	n := p.freeSlots(now, e)
	if !p.needsConfirm(e) {
		return n
	}
	return max(0, min(n, e.ramp.ColdLimit()-e.unconfirmed))
}

// recordTaken handles the notification that an endpoint has accepted a request. If
// the request was accepted by another process than the one reported last, the
// endpoint has restarted and is cold.
func (p *Pool) recordTaken(now time.Time, l *lease, startID string) {
	e := l.endpoint
	l.acceptedAt = now
	l.startID = startID
	p.dirty = true
	switch {
	case startID == "":
		if e.hasRunningConfirmed() {
			e.confirm(l)
		}
	case startID == e.ramp.StartID():
		e.confirm(l)
	case e.ramp.StartID() != "" && (l.rampGeneration == e.ramp.Generation() || l.adopted):
		e.ramp.Refused()
	}
}

// recordInterrupted handles the notification that the connection of a request broke,
// which may be the first sign of a restart.
func (e *endpoint) recordInterrupted(now time.Time, l *lease) {
	l.connectionBroken = true
	e.restartSuspected = true
	e.suspectedSince = now
}

// hasRunningConfirmed reports whether a confirmed request still runs without a
// broken connection. A restart would have broken it, so the process is still the
// one reported last.
func (e *endpoint) hasRunningConfirmed() bool {
	if e.restartSuspected {
		return false
	}
	for _, l := range e.leases {
		if l.confirmed && l.attached && !l.connectionBroken && !l.abandoned {
			return true
		}
	}
	return false
}

// confirm marks a lease whose request has reached the reported process, or can no
// longer reach any.
func (e *endpoint) confirm(l *lease) {
	if l.confirmed {
		return
	}
	l.confirmed = true
	if _, counted := e.leases[l.id]; counted {
		e.unconfirmed--
	}
}

// confirmFromReport confirms the leases whose requests had certainly reached the
// endpoint when a report was taken. They reached the reported process, or an
// earlier one that has ended.
func (e *endpoint) confirmFromReport(taken interval, delay time.Duration) {
	if taken.from.After(e.suspectedSince) {
		e.restartSuspected = false
	}
	if e.unconfirmed == 0 {
		return
	}
	for _, l := range e.leases {
		if l.reachedBy(taken.from, delay, e.ramp.StartID()) {
			e.confirm(l)
		}
	}
}

// reachedBy reports whether the request of a lease has reached the process with the
// given start ID before at, or could no longer reach it then.
func (l *lease) reachedBy(at time.Time, delay time.Duration, startID string) bool {
	if startID != "" && l.startID == startID {
		return true
	}
	if l.startID == "" && !l.acceptedAt.IsZero() && l.acceptedAt.Before(at) {
		return true
	}
	return l.startBy.Add(delay).Before(at)
}
