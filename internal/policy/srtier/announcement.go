package srtier

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// minRenewals is how often in its lifetime a floor is extended, at most: the
// history of extensions stays short.
const minRenewals = 8

// announcement is a floor of this instance that is in force without a break.
type announcement struct {
	since time.Time
	// history holds the extensions that have not run out, the latest last.
	history []extension
	known   map[sr.InstanceID]knowledge
}

// extension keeps a floor in force until a time, from at on.
type extension struct {
	at, until time.Time
}

// knowledge is the time in which a peer surely knows a floor.
type knowledge struct {
	since, until time.Time
}

func newAnnouncement(now time.Time) *announcement {
	return &announcement{since: now, known: make(map[sr.InstanceID]knowledge)}
}

func (a *announcement) extend(now time.Time, lifetime time.Duration) {
	next := extension{at: now, until: now.Add(lifetime)}
	if len(a.history) > 0 && next.until.Sub(a.until()) < lifetime/minRenewals {
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

// until returns the end of the last extension.
func (a *announcement) until() time.Time {
	return a.history[len(a.history)-1].until
}

func (a *announcement) inForce(now time.Time) bool { return now.Before(a.until()) }

// ack notes that a peer knew by now what was sent at sentAt. The peer keeps a
// floor for as long as it was said to last, counted from later than sentAt.
func (a *announcement) ack(now time.Time, peer sr.InstanceID, sentAt time.Time) {
	until, ok := a.untilAt(sentAt)
	if !ok {
		return
	}
	k := a.known[peer]
	if !now.Before(k.until) {
		k.since = now
	}
	if until.After(k.until) {
		k.until = until
	}
	a.known[peer] = k
}

// untilAt returns until when the floor was in force as seen just before a time.
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
		k := a.known[p]
		if !now.Before(k.until) || now.Sub(k.since) < bound {
			return false
		}
	}
	return true
}
