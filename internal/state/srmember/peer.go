package srmember

import (
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxReplaced is how many earlier incarnations of an address are remembered.
const maxReplaced = 8

// peer is what is known of the instance at one address.
type peer struct {
	id     sr.InstanceID
	domain string
	// leaving is what it says itself, marked what the platform's list says.
	leaving bool
	marked  bool
	version sr.Version
	// since is when this incarnation was first heard.
	since time.Time
	// heard is when its last heartbeat came, mentioned when another instance
	// last reported it.
	heard     time.Time
	mentioned time.Time
	// proof is when the last heartbeat that it answered was sent.
	proof time.Time
	// reports lists whom it hears.
	reports  []sr.InstanceID
	replaced []uint64
	// tried reports whether a heartbeat to it failed.
	tried bool
	// alive is whether it was heard, or live in the last view, and not lost since.
	alive bool
}

// listed takes what the platform's list says.
func (p *peer) listed(in sr.Instance) {
	if p.domain == "" || p.heard.IsZero() {
		p.domain = in.Domain
	}
	p.marked = in.Leaving
}

// takes notes a heartbeat and reports whether the view changes by it.
func (p *peer) takes(now time.Time, lapse time.Duration, hb sr.Heartbeat) bool {
	changed := now.Sub(p.heard) >= lapse || p.domain != hb.Domain || hb.Leaving && !p.leaving
	changed = changed || !slices.Equal(p.reports, hb.Heard)
	p.heard = now
	p.alive = true
	p.domain = hb.Domain
	p.leaving = p.leaving || hb.Leaving
	p.version = hb.Version
	p.reports = hb.Heard
	return changed
}

// replace starts over with another incarnation at the same address.
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

// last returns when anything was last heard of it.
func (p *peer) last() time.Time {
	if p.heard.After(p.mentioned) {
		return p.heard
	}
	return p.mentioned
}
