package srgroup

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneOrderOfWork: three ranks ask for twice the slots. The highest rank, which has work for
// half of them, is served in time and before the others, other than with a queue in each instance.
func TestOneOrderOfWork(t *testing.T) {
	for _, size := range []struct{ instances, endpoints, slots int }{{60, 60, 8}, {61, 3, 6}} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d instances, %d endpoints, seed %d", size.instances, size.endpoints, seed), func(t *testing.T) {
				play := func(coordinated bool) *rig {
					r := newRig(t, seed, size.instances, size.endpoints, size.slots)
					if coordinated {
						r.coordinate(r.instances[0], r.instances...)
					}
					capacity := float64(size.endpoints * size.slots)
					r.load(2*capacity, 6*time.Second, func() int { return []int{0, 1, 1, 2}[r.rand.IntN(4)] })
					r.run(10 * time.Second)
					return r
				}
				before, after := play(false), play(true)
				t.Logf("rank 0 in time: %.3f before, %.3f after; ranks 1 and 2 after: %.3f, %.3f; most requests at an endpoint: %d before, %d after",
					before.inTime(0), after.inTime(0), after.inTime(1), after.inTime(2), before.most(), after.most())
				assert.Assert(t, after.inTime(0) > before.inTime(0))
				assert.Assert(t, after.most() <= size.slots)
				after.checkOrder(100 * time.Millisecond)
			})
		}
	}
}

// checkOrder checks that no request of the highest rank is refused while a lower one is placed
// within a time.
func (r *rig) checkOrder(within time.Duration) {
	var refused, lower []time.Time
	for _, j := range r.jobs {
		switch {
		case j.rank == 0 && !j.placed:
			refused = append(refused, j.decidedAt)
		case j.rank > 0 && j.placed:
			lower = append(lower, j.decidedAt)
		}
	}
	n := 0
	for _, at := range refused {
		for _, placed := range lower {
			if placed.Sub(at).Abs() <= within {
				n++
				break
			}
		}
	}
	assert.Assert(r.t, n == 0, "%d requests of rank 0 are refused while others are placed", n)
}
