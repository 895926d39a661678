// Package srtier keeps the floors of tiers under pressure, so that no instance
// serves a lower tier while another one has to shed a higher one.
//
// A floor for a tier holds back all lower tiers of its target. It is announced
// before any request is shed, is sent to the peers with heartbeats, and expires
// unless it is announced again. It is settled once each live peer has known it for
// the propagation bound. Floors of different tiers are independent: the highest one
// in force on any instance holds back lower tiers, but an instance may shed a tier
// only under a settled floor of its own, which a higher floor of a peer neither
// replaces nor ends. The package is pure: it reads no clock and does no input or
// output.
//
// # Usage
//
//	f := srtier.New(self, bound)
//	f.Announce(now, target, tier)     // on sr.ActionFloor
//	h.Floors = f.Announced(now)       // in each heartbeat and its answer
//	f.Receive(now, h.From, h.Floors)  // from each heartbeat and its answer
//	f.Ack(now, peer, sentAt)          // the peer answered the heartbeat sent at sentAt
//	f.SetLive(now, peers)             // on each change of the live set
//	pool.SetFloor(now, f.State(now, target))
//
// The bound must be at least the time in which a lease may be started after its
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
	// MaxFloors is how many floors are kept per instance.
	MaxFloors = 256
	// MaxPeers is for how many peers floors are kept.
	MaxPeers = 4096
	// maxPeerLifetimes bounds the time left of a floor that a peer announces, in
	// lifetimes.
	maxPeerLifetimes = 4
)

// Floors holds the floors announced by this instance and those received from peers.
// It must be used by one goroutine only.
type Floors struct {
	self     sr.InstanceID
	bound    time.Duration
	lifetime time.Duration
	// own holds the floors announced by this instance, received the expiry of each floor
	// received from a peer.
	own      map[floorKey]*announcement
	received map[sr.InstanceID]map[floorKey]time.Time
	live     map[sr.InstanceID]struct{}
}

// floorKey identifies a floor of an instance.
type floorKey struct {
	target string
	tier   sr.Tier
}

func compareKeys(a, b floorKey) int {
	return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.tier, b.tier))
}

// New returns the floors of an instance. bound is the propagation bound: how long
// each live peer must have known a floor before it is settled.
func New(self sr.InstanceID, bound time.Duration) *Floors {
	return &Floors{
		self:     self,
		bound:    bound,
		lifetime: DefaultLifetime,
		own:      make(map[floorKey]*announcement),
		received: make(map[sr.InstanceID]map[floorKey]time.Time),
		live:     make(map[sr.InstanceID]struct{}),
	}
}

// SetLifetime sets how long floors announced from now on stay in force.
func (f *Floors) SetLifetime(d time.Duration) { f.lifetime = d }

// Announce puts a floor in force, or keeps it so for another lifetime.
func (f *Floors) Announce(now time.Time, target string, tier sr.Tier) {
	f.prune(now)
	k := floorKey{target: target, tier: tier}
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

// Receive handles the floors in a heartbeat of a peer. Floors that it no longer lists
// are kept until they expire, because heartbeats may arrive out of order.
func (f *Floors) Receive(now time.Time, from sr.InstanceID, floors []sr.Floor) {
	if from == f.self || len(floors) == 0 {
		return
	}
	f.prune(now)
	peerFloors := f.received[from]
	if peerFloors == nil {
		if len(f.received) >= MaxPeers {
			return
		}
		peerFloors = make(map[floorKey]time.Time)
		f.received[from] = peerFloors
	}
	for _, floor := range floors {
		f.receiveFloor(now, peerFloors, floor)
	}
}

func (f *Floors) receiveFloor(now time.Time, peerFloors map[floorKey]time.Time, floor sr.Floor) {
	if floor.Tier == 0 || floor.Left <= 0 {
		return
	}
	k := floorKey{target: floor.Target, tier: floor.Tier}
	until, ok := peerFloors[k]
	if !ok && len(peerFloors) >= MaxFloors {
		return
	}
	left := min(floor.Left, maxPeerLifetimes*f.lifetime)
	if next := now.Add(left); next.After(until) {
		peerFloors[k] = next
	}
}

// Ack records that a peer answered a heartbeat that was sent at sentAt with the floors
// of that time. A floor announced exactly at sentAt does not count as acknowledged.
func (f *Floors) Ack(now time.Time, peer sr.InstanceID, sentAt time.Time) {
	if _, ok := f.live[peer]; !ok {
		return
	}
	for _, a := range f.own {
		a.ack(now, peer, sentAt)
	}
}

// SetLive sets the live peers. A floor is settled once each of them knows it; other
// peers do not matter.
func (f *Floors) SetLive(_ time.Time, peers []sr.InstanceID) {
	clear(f.live)
	for _, p := range peers {
		if p != f.self {
			f.live[p] = struct{}{}
		}
	}
	for _, a := range f.own {
		maps.DeleteFunc(a.knownBy, func(p sr.InstanceID, _ knownInterval) bool {
			_, ok := f.live[p]
			return !ok
		})
	}
}

// State returns the highest floor in force and the highest settled one for a target.
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
	for _, peerFloors := range f.received {
		for k, until := range peerFloors {
			if k.target == target && now.Before(until) {
				s.InForce = higher(s.InForce, k.tier)
			}
		}
	}
	return s
}

// Announced returns the floors that this instance has in force, to be sent in heartbeats.
func (f *Floors) Announced(now time.Time) []sr.Floor {
	f.prune(now)
	floors := make([]sr.Floor, 0, len(f.own))
	for _, k := range slices.SortedFunc(maps.Keys(f.own), compareKeys) {
		floors = append(floors, sr.Floor{Target: k.target, Tier: k.tier, Left: f.own[k].until().Sub(now)})
	}
	return floors
}

// prune removes the expired floors.
func (f *Floors) prune(now time.Time) {
	maps.DeleteFunc(f.own, func(_ floorKey, a *announcement) bool { return !a.inForce(now) })
	maps.DeleteFunc(f.received, func(_ sr.InstanceID, peerFloors map[floorKey]time.Time) bool {
		maps.DeleteFunc(peerFloors, func(_ floorKey, until time.Time) bool { return !now.Before(until) })
		return len(peerFloors) == 0
	})
}

// higher returns the higher of two tiers; 0 stands for no tier.
func higher(a, b sr.Tier) sr.Tier {
	if a == 0 || b.Outranks(a) {
		return b
	}
	return a
}
