package srcapacity

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitOfExactLine(t *testing.T) {
	f := Series{Points: []Point{{1, 5}, {2, 7}, {4, 11}}}.Fit()
	assert.Assert(t, math.Abs(f.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(f.Intercept-3) < 1e-9)
	assert.Assert(t, math.Abs(f.R2-1) < 1e-9)
	assert.Assert(t, math.Abs(f.At(10)-23) < 1e-9)
}

func TestExactCostsAreReproducible(t *testing.T) {
	// The first cost is left out because a measurement with 40 instances takes seconds.
	for _, c := range Exact()[1:] {
		assert.DeepEqual(t, c.Measure(), c.Measure())
	}
}

func TestEveryPoolHasOneOwner(t *testing.T) {
	f := newFleet(7, 8)
	f.runUntilStable()
	for _, p := range f.pools {
		owners := 0
		for _, m := range f.members {
			if m.Mode(f.now, p).Own {
				owners++
			}
		}
		assert.Equal(t, owners, 1, "%s", p)
	}
}
