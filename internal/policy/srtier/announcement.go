package srtier

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxExtensions is how often a floor is extended in its lifetime, at most, which
// bounds the history of extensions.
const maxExtensions = 8

// announcement is a floor of this instance that has been in force without interruption
// since a time.
type announcement struct {
	since time.Time
	// history holds the extensions that have not expired, the latest last.
	history []extension
	// knownBy holds when each peer knows the floor, by its last acknowledgements.
	knownBy map[sr.InstanceID]knownInterval
}

// extension records that the announcement at one time keeps the floor in force until
// another.
type extension struct {
	at, until time.Time
}

// knownInterval is the interval in which a peer certainly knows a floor.
type knownInterval struct {
	since, until time.Time
}

func newAnnouncement(now time.Time) *announcement {
	return &announcement{since: now, knownBy: make(map[sr.InstanceID]knownInterval)}
}

// extend keeps the floor in force for another lifetime. It does nothing when that would
// change the expiry by less than a maxExtensions-th of the lifetime.
func (a *announcement) extend(now time.Time, lifetime time.Duration) {
	next := extension{at: now, until: now.Add(lifetime)}
	if len(a.history) > 0 && next.until.Sub(a.until()) < lifetime/maxExtensions {
		return
	}
	kept := a.history[:0]
	for _, x := range a.history {
		if now.Before(x.until) {
			kept = append(kept, x)
		}
	}
	a.history = append(kept, next)
}

// until returns when the floor expires.
func (a *announcement) until() time.Time {
	return a.history[len(a.history)-1].until
}

func (a *announcement) inForce(now time.Time) bool { return now.Before(a.until()) }

// ack records that a peer has received the floor that was sent at sentAt. The peer keeps
// the floor for the time left that was sent with it, counted from when it received it,
// and so at least until the expiry as of sentAt.
func (a *announcement) ack(now time.Time, peer sr.InstanceID, sentAt time.Time) {
	until, ok := a.untilAt(sentAt)
	if !ok {
		return
	}
	k := a.knownBy[peer]
	if !now.Before(k.until) {
		k.since = now
	}
	if until.After(k.until) {
		k.until = until
	}
	a.knownBy[peer] = k
}

// untilAt returns the expiry set by the last extension before a time, and whether the
// floor was in force at that time.
func (a *announcement) untilAt(at time.Time) (time.Time, bool) {
	for i := len(a.history) - 1; i >= 0; i-- {
		if a.history[i].at.Before(at) {
			return a.history[i].until, at.Before(a.history[i].until)
		}
	}
	return time.Time{}, false
}

// settled reports whether the floor has been in force here and known to each
// live peer for the bound, and still is.
func (a *announcement) settled(now time.Time, bound time.Duration, live map[sr.InstanceID]struct{}) bool {
	if now.Sub(a.since) < bound {
		return false
	}
	for p := range live {
		k := a.knownBy[p]
		if !now.Before(k.until) || now.Sub(k.since) < bound {
			return false
		}
	}
	return true
}
