package srtier_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srtier"
)

const bound = 600 * time.Millisecond

var (
	a     = sr.InstanceID{Address: "a"}
	b     = sr.InstanceID{Address: "b"}
	c     = sr.InstanceID{Address: "c"}
	epoch = time.Unix(1000, 0)
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestFloorSettlesOnceEachLivePeerKnewItForTheBound(t *testing.T) {
	f := srtier.New(a, bound)
	f.SetLive(at(0), []sr.InstanceID{a, b, c})
	f.Announce(at(0), "m", 2)
	assert.Equal(t, f.State(at(0), "m"), sr.FloorState{InForce: 2})
	f.Ack(at(100), b, at(50))
	f.Ack(at(1000), c, at(0))
	assert.Equal(t, f.State(at(1000), "m"), sr.FloorState{InForce: 2}, "c answered a heartbeat sent before the announcement")
	f.Announce(at(1000), "m", 2)
	f.Ack(at(1100), c, at(1050))
	f.Ack(at(1100), b, at(1050))
	assert.Equal(t, f.State(at(1600), "m"), sr.FloorState{InForce: 2})
	assert.Equal(t, f.State(at(1700), "m"), sr.FloorState{InForce: 2, Settled: 2})
	assert.Equal(t, f.State(at(1700), "other"), sr.FloorState{})
	assert.Equal(t, f.State(at(3000), "m"), sr.FloorState{}, "it has expired")
}

func TestPeerMustAcknowledgeAgainAfterItsFloorExpired(t *testing.T) {
	f := srtier.New(a, bound)
	f.SetLive(at(0), []sr.InstanceID{b})
	f.Announce(at(0), "m", 2)
	f.Ack(at(100), b, at(50))
	f.Announce(at(1500), "m", 2)
	assert.Equal(t, f.State(at(1900), "m").Settled, sr.Tier(2))
	assert.Equal(t, f.State(at(2100), "m").Settled, sr.Tier(0), "b may know only the first announcement")
	f.Ack(at(2600), b, at(1600))
	assert.Equal(t, f.State(at(3100), "m").Settled, sr.Tier(0))
	assert.Equal(t, f.State(at(3200), "m").Settled, sr.Tier(2))
}

func TestUnreachablePeerCountsWhileItIsLive(t *testing.T) {
	f := srtier.New(a, bound)
	f.SetLive(at(0), []sr.InstanceID{b})
	f.Announce(at(0), "m", 1)
	assert.Equal(t, f.State(at(900), "m").Settled, sr.Tier(0))
	f.SetLive(at(900), nil)
	assert.Equal(t, f.State(at(900), "m").Settled, sr.Tier(1))
	f.SetLive(at(1000), []sr.InstanceID{b})
	assert.Equal(t, f.State(at(1000), "m").Settled, sr.Tier(0), "a peer that is live again must acknowledge it again")
}

func TestFloorsOfDifferentTiersAreIndependent(t *testing.T) {
	f := srtier.New(a, bound)
	f.SetLive(at(0), []sr.InstanceID{b})
	f.Receive(at(0), b, []sr.Floor{{Target: "m", Tier: 1, Left: time.Second}})
	f.Announce(at(0), "m", 2)
	f.Ack(at(100), b, at(50))
	assert.Equal(t, f.State(at(800), "m"), sr.FloorState{InForce: 1, Settled: 2})
	f.Announce(at(800), "m", 1)
	assert.Equal(t, f.State(at(900), "m"), sr.FloorState{InForce: 1, Settled: 2},
		"a higher floor settles on its own and leaves the lower one settled")
	assert.DeepEqual(t, f.Announced(at(900)), []sr.Floor{
		{Target: "m", Tier: 1, Left: 1900 * time.Millisecond},
		{Target: "m", Tier: 2, Left: 1100 * time.Millisecond},
	})
}

func TestInvalidFloorsAreIgnored(t *testing.T) {
	f := srtier.New(a, bound)
	f.Receive(at(0), b, []sr.Floor{{Target: "m", Tier: 0, Left: time.Second}, {Target: "m", Tier: 1}})
	f.Receive(at(0), a, []sr.Floor{{Target: "m", Tier: 1, Left: time.Second}})
	assert.Equal(t, f.State(at(0), "m"), sr.FloorState{})
	f.Receive(at(0), b, []sr.Floor{{Target: "m", Tier: 1, Left: 1000 * time.Hour}})
	assert.Equal(t, f.State(at(60_000), "m"), sr.FloorState{}, "the time left of a peer's floor is bounded")
	for i := range 2 * srtier.MaxFloors {
		f.Announce(at(0), fmt.Sprint(i), 1)
	}
	assert.Equal(t, len(f.Announced(at(0))), srtier.MaxFloors)
}

// fleet simulates a few instances whose heartbeats are delayed, reordered or lost.
type fleet struct {
	now    time.Time
	ids    []sr.InstanceID
	floors []*srtier.Floors
	calls  []call
	// mayGrantAt is the last time that an instance could grant a tier, by instance and
	// tier.
	mayGrantAt [][]time.Time
}

// call is a heartbeat in flight, or its answer.
type call struct {
	from, to int
	sent     time.Time
	floors   []sr.Floor
	answer   bool
}

func newFleet() *fleet {
	f := &fleet{now: epoch, ids: []sr.InstanceID{a, b, c}}
	for _, id := range f.ids {
		x := srtier.New(id, bound)
		x.SetLive(f.now, f.ids)
		f.floors = append(f.floors, x)
		f.mayGrantAt = append(f.mayGrantAt, make([]time.Time, 4))
	}
	return f
}

// step takes one random step and checks the floors. pick returns a random number from 0
// to n-1.
func (f *fleet) step(pick func(n int) int) error {
	f.now = f.now.Add(time.Duration(pick(120)) * time.Millisecond)
	i := pick(len(f.ids))
	switch pick(8) {
	case 0:
		f.floors[i].Announce(f.now, "m", sr.Tier(1+pick(3)))
	case 1, 2, 3:
		f.calls = append(f.calls, call{from: i, to: pick(len(f.ids)), sent: f.now, floors: f.floors[i].Announced(f.now)})
	case 4, 5, 6:
		f.deliver(pick)
	}
	return f.check()
}

func (f *fleet) deliver(pick func(n int) int) {
	if len(f.calls) == 0 {
		return
	}
	i := pick(len(f.calls))
	x := f.calls[i]
	f.calls = slices.Delete(f.calls, i, i+1)
	if pick(5) == 0 {
		return
	}
	if x.answer {
		f.floors[x.from].Ack(f.now, f.ids[x.to], x.sent)
		return
	}
	f.floors[x.to].Receive(f.now, f.ids[x.from], x.floors)
	x.answer = true
	f.calls = append(f.calls, x)
}

// check lets each instance grant the tiers that its floors allow. It returns an error
// if a floor is settled although an instance granted a lower tier within the bound.
func (f *fleet) check() error {
	for i, x := range f.floors {
		inForce := x.State(f.now, "m").InForce
		for t := sr.Tier(1); t <= 3; t++ {
			if inForce == 0 || !inForce.Outranks(t) {
				f.mayGrantAt[i][t] = f.now
			}
		}
	}
	for _, x := range f.floors {
		settled := x.State(f.now, "m").Settled
		if settled == 0 {
			continue
		}
		for i := range f.ids {
			for t := settled + 1; t <= 3; t++ {
				if f.now.Sub(f.mayGrantAt[i][t]) < bound {
					return fmt.Errorf("the floor of tier %d is settled but instance %d granted tier %d", settled, i, t)
				}
			}
		}
	}
	return nil
}

func TestNoInstanceGrantsBelowASettledFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for range 150 {
			err := f.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
			assert.NilError(t, err)
		}
	})
	settled := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet()
		for range 500 {
			assert.NilError(t, f.step(rng.IntN))
			if f.floors[0].State(f.now, "m").Settled != 0 {
				settled++
			}
		}
	}
	assert.Assert(t, settled > 0, "no floor was ever settled")
}
