// Package srtier keeps the floors of tiers under pressure, so that no instance
// serves a lower tier while another one has to shed a higher one.
//
// A floor for a tier holds back all lower tiers of its target. It is announced
// before anything is shed, is known to the peers by heartbeats, and runs out
// unless it is announced again. It is settled once each live peer has known it
// for a full propagation bound. Floors of different tiers stand side by side:
// the highest one in force anywhere holds, while each instance may shed a tier
// only by a settled floor of its own, which a peer's higher floor neither
// replaces nor ends. The package is pure: it reads no clock and does no input
// or output.
//
// # Usage
//
//	f := srtier.New(self, bound)
//	f.Announce(now, target, tier)     // on sr.ActionFloor
//	h.Floors = f.Floors(now)          // in each heartbeat and its answer
//	f.Hear(now, h.From, h.Floors)     // from each heartbeat and its answer
//	f.Ack(now, peer, sentAt)          // the peer answered what was sent at sentAt
//	f.SetLive(now, peers)             // on each change of the live set
//	pool.SetFloor(now, f.State(now, target))
//
// The bound must be at least the time that a lease may be started after its
// grant, so that a settled floor also covers leases granted before it. The
// lifetime must be longer than the time between two heartbeats to a peer and
// longer than the time between two announcements of the same pressure.
package srtier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// DefaultLifetime is how long a floor stays in force after its last
	// announcement.
	DefaultLifetime = 2 * time.Second
	// MaxFloors is how many floors of one instance are kept.
	MaxFloors = 256
	// MaxPeers is how many peers' floors are kept.
	MaxPeers = 4096
	// maxLifetimes bounds the time for which a peer's floor is believed.
	maxLifetimes = 4
)

// Floors holds the floors announced here and heard from peers. It is used by
// one goroutine.
type Floors struct {
	self     sr.InstanceID
	bound    time.Duration
	lifetime time.Duration
	own      map[key]*announcement
	heard    map[sr.InstanceID]map[key]time.Time
	live     map[sr.InstanceID]struct{}
}

// key names a floor.
type key struct {
	target string
	tier   sr.Tier
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.tier, b.tier))
}

// New returns the floors of an instance; bound is the propagation bound.
func New(self sr.InstanceID, bound time.Duration) *Floors {
	return &Floors{
		self:     self,
		bound:    bound,
		lifetime: DefaultLifetime,
		own:      make(map[key]*announcement),
		heard:    make(map[sr.InstanceID]map[key]time.Time),
		live:     make(map[sr.InstanceID]struct{}),
	}
}

// SetLifetime sets how long floors announced from now on stay in force.
func (f *Floors) SetLifetime(d time.Duration) { f.lifetime = d }

// Announce puts a floor in force, or keeps it so for another lifetime.
func (f *Floors) Announce(now time.Time, target string, tier sr.Tier) {
	f.prune(now)
	k := key{target: target, tier: tier}
	a := f.own[k]
	if a == nil {
		if tier == 0 || len(f.own) >= MaxFloors {
			return
		}
		a = newAnnouncement(now)
		f.own[k] = a
	}
	a.extend(now, f.lifetime)
}

// Hear takes the floors of a peer's heartbeat. What it no longer lists runs out
// by itself, since heartbeats may overtake each other.
func (f *Floors) Hear(now time.Time, from sr.InstanceID, floors []sr.Floor) {
	if from == f.self || len(floors) == 0 {
		return
	}
	f.prune(now)
	known := f.heard[from]
	if known == nil {
		if len(f.heard) >= MaxPeers {
			return
		}
		known = make(map[key]time.Time)
		f.heard[from] = known
	}
	for _, floor := range floors {
		f.hear(now, known, floor)
	}
}

func (f *Floors) hear(now time.Time, known map[key]time.Time, floor sr.Floor) {
	if floor.Tier == 0 || floor.Left <= 0 {
		return
	}
	k := key{target: floor.Target, tier: floor.Tier}
	until, ok := known[k]
	if !ok && len(known) >= MaxFloors {
		return
	}
	left := min(floor.Left, maxLifetimes*f.lifetime)
	if next := now.Add(left); next.After(until) {
		known[k] = next
	}
}

// Ack says that a peer answered a heartbeat that was sent at sentAt with the
// floors of that time. A floor announced at that very time is not counted.
func (f *Floors) Ack(now time.Time, peer sr.InstanceID, sentAt time.Time) {
	if _, ok := f.live[peer]; !ok {
		return
	}
	for _, a := range f.own {
		a.ack(now, peer, sentAt)
	}
}

// SetLive sets the live peers. Each of them, and no other, must know a floor
// before it is settled.
func (f *Floors) SetLive(_ time.Time, peers []sr.InstanceID) {
	clear(f.live)
	for _, p := range peers {
		if p != f.self {
			f.live[p] = struct{}{}
		}
	}
	for _, a := range f.own {
		maps.DeleteFunc(a.known, func(p sr.InstanceID, _ knowledge) bool {
			_, ok := f.live[p]
			return !ok
		})
	}
}

// State returns what holds for a target.
func (f *Floors) State(now time.Time, target string) sr.FloorState {
	var s sr.FloorState
	for k, a := range f.own {
		if k.target != target || !a.inForce(now) {
			continue
		}
		s.InForce = higher(s.InForce, k.tier)
		if a.settled(now, f.bound, f.live) {
			s.Settled = higher(s.Settled, k.tier)
		}
	}
	for _, known := range f.heard {
		for k, until := range known {
			if k.target == target && now.Before(until) {
				s.InForce = higher(s.InForce, k.tier)
			}
		}
	}
	return s
}

// Floors returns the own floors in force, for heartbeats.
func (f *Floors) Floors(now time.Time) []sr.Floor {
	f.prune(now)
	floors := make([]sr.Floor, 0, len(f.own))
	for _, k := range slices.SortedFunc(maps.Keys(f.own), compareKeys) {
		floors = append(floors, sr.Floor{Target: k.target, Tier: k.tier, Left: f.own[k].until().Sub(now)})
	}
	return floors
}

// prune forgets the floors that have run out.
func (f *Floors) prune(now time.Time) {
	maps.DeleteFunc(f.own, func(_ key, a *announcement) bool { return !a.inForce(now) })
	maps.DeleteFunc(f.heard, func(_ sr.InstanceID, known map[key]time.Time) bool {
		maps.DeleteFunc(known, func(_ key, until time.Time) bool { return !now.Before(until) })
		return len(known) == 0
	})
}

// higher returns the more important of two tiers, of which 0 is none.
func higher(a, b sr.Tier) sr.Tier {
	if a == 0 || b.Outranks(a) {
		return b
	}
	return a
}
