package srmember

import (
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxReplaced is how many earlier incarnations of an address are kept, so that
// their late messages are ignored.
const maxReplaced = 8

// peer is the state of the instance at one address.
type peer struct {
	id     sr.InstanceID
	domain string
	// leaving is whether its heartbeats state that it is shutting down,
	// listedLeaving whether the platform's list does.
	leaving       bool
	listedLeaving bool
	version       sr.Version
	// since is when the first heartbeat of this incarnation was received.
	since time.Time
	// receivedAt is when its last heartbeat was received, mentionedAt when another
	// instance last reported it.
	receivedAt  time.Time
	mentionedAt time.Time
	// ackedAt is when the last heartbeat that it answered was sent.
	ackedAt time.Time
	// reports lists the instances that have answered its heartbeats.
	reports []sr.InstanceID
	// replaced lists the earlier incarnations.
	replaced []uint64
	// failed reports whether it did not answer a heartbeat.
	failed bool
	// alive is true from a heartbeat, or a view in which it was live, until it is
	// reported as lost.
	alive bool
}

// applyListing applies the peer's entry in the platform's list.
func (p *peer) applyListing(in sr.Instance) {
	if p.domain == "" || p.receivedAt.IsZero() {
		p.domain = in.Domain
	}
	p.listedLeaving = in.Leaving
}

// applyHeartbeat applies a heartbeat and reports whether it changes the view.
func (p *peer) applyHeartbeat(now time.Time, lapse time.Duration, hb sr.Heartbeat) bool {
	changed := now.Sub(p.receivedAt) >= lapse || p.domain != hb.Domain || hb.Leaving && !p.leaving
	changed = changed || !slices.Equal(p.reports, hb.Heard)
	p.receivedAt = now
	p.alive = true
	p.domain = hb.Domain
	p.leaving = p.leaving || hb.Leaving
	p.version = hb.Version
	p.reports = hb.Heard
	return changed
}

// replace resets the state for another incarnation at the same address.
func (p *peer) replace(now time.Time, id sr.InstanceID) {
	if p.id.Incarnation != 0 {
		p.replaced = append(p.replaced, p.id.Incarnation)
	}
	if len(p.replaced) > maxReplaced {
		p.replaced = p.replaced[1:]
	}
	*p = peer{id: id, since: now, replaced: p.replaced, domain: p.domain}
}

func (p *peer) wasReplaced(incarnation uint64) bool {
	return slices.Contains(p.replaced, incarnation)
}

// lastSeen returns when it last sent a heartbeat or was last reported.
func (p *peer) lastSeen() time.Time {
	if p.receivedAt.After(p.mentionedAt) {
		return p.receivedAt
	}
	return p.mentionedAt
}
