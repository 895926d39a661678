package srbench

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// floorTTL is how long a floor remains in force after its last announcement.
	floorTTL = 1500 * time.Millisecond
	// floorPropagation is the upper bound of the time until every instance knows a
	// floor; from then on the floor is settled.
	floorPropagation = time.Second
)

// floors holds the floors that the pools of one target have announced. While the
// floor of a tier is in force, lower tiers are granted no slots.
type floors struct {
	tiers []tierFloor
}

// tierFloor holds since when a tier's floor is in force and when it was last
// announced.
type tierFloor struct {
	since     time.Duration
	announced time.Duration
}

func newFloors(lowest sr.Tier) *floors { return &floors{tiers: make([]tierFloor, lowest+1)} }

func (f *floors) announce(now time.Duration, t sr.Tier) {
	floor := &f.tiers[t]
	if floor.announced == 0 || now-floor.announced > floorTTL {
		floor.since = now
	}
	floor.announced = now
}

// state returns the highest tiers with a floor in force and with a settled one.
func (f *floors) state(now time.Duration) sr.FloorState {
	var s sr.FloorState
	for t, floor := range f.tiers {
		if floor.announced == 0 || now-floor.announced > floorTTL {
			continue
		}
		if s.InForce == 0 {
			s.InForce = sr.Tier(t)
		}
		if s.Settled == 0 && now-floor.since >= floorPropagation {
			s.Settled = sr.Tier(t)
		}
	}
	return s
}

// heartbeatFloors returns the highest floor in force in the format of a heartbeat,
// or nothing when there is none.
func (f *floors) heartbeatFloors(now time.Duration, target string) []sr.Floor {
	s := f.state(now)
	if s.InForce == 0 {
		return nil
	}
	return []sr.Floor{{Target: target, Tier: s.InForce, Left: f.tiers[s.InForce].announced + floorTTL - now}}
}
