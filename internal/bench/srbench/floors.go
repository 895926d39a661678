package srbench

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// floorLife is how long an announced floor remains in force.
	floorLife = 1500 * time.Millisecond
	// floorBound is the propagation bound after which a floor is settled.
	floorBound = time.Second
)

// floors keeps the floors that the pools of one target have announced.
type floors struct {
	tiers []floorTier
}

// floorTier is a tier's floor: in force since and last announced then.
type floorTier struct {
	since time.Duration
	last  time.Duration
}

func newFloors(lowest sr.Tier) *floors { return &floors{tiers: make([]floorTier, lowest+1)} }

func (f *floors) announce(now time.Duration, t sr.Tier) {
	x := &f.tiers[t]
	if x.last == 0 || now-x.last > floorLife {
		x.since = now
	}
	x.last = now
}

// state returns what holds now.
func (f *floors) state(now time.Duration) sr.FloorState {
	var s sr.FloorState
	for t, x := range f.tiers {
		if x.last == 0 || now-x.last > floorLife {
			continue
		}
		if s.InForce == 0 {
			s.InForce = sr.Tier(t)
		}
		if s.Settled == 0 && now-x.since >= floorBound {
			s.Settled = sr.Tier(t)
		}
	}
	return s
}

// list returns the floors as a heartbeat carries them.
func (f *floors) list(now time.Duration, target string) []sr.Floor {
	s := f.state(now)
	if s.InForce == 0 {
		return nil
	}
	return []sr.Floor{{Target: target, Tier: s.InForce, Left: f.tiers[s.InForce].last + floorLife - now}}
}
