package srdispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRanksAreBounded: other instances state the ranks of their asks. Neither the number nor the
// size of ranks does harm, and a rank with a waiting ask is kept.
func TestRanksAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Options{Seed: 1, Fair: true})
	s.Configure(now, []Endpoint{{ID: "a", Slots: 1, Share: 1}})
	add := func(id uint64, workspace, route int) []Decision {
		return s.Add(now, Ask{ID: id, Workspace: workspace, Route: route, Target: now.Add(time.Hour), Deadline: now.Add(time.Hour)})
	}
	assert.Equal(t, len(add(1, 0, 0)), 1)
	assert.Equal(t, len(add(2, 0, 1)), 0)
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		add(uint64(3+i), 1, i)
		s.Withdraw(uint64(3 + i))
	}
	assert.Assert(t, len(s.ranks) <= maxRanks, "%d ranks", len(s.ranks))
	placed := s.Release(now, "a", Result{})
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Ask, uint64(2))
}

// TestRanksOutOfBoundsKeepTheirOrder: a rank of a route does not reach into that of the next
// workspace, and the extremes do not overflow.
func TestRanksOutOfBoundsKeepTheirOrder(t *testing.T) {
	key := func(workspace, route int) int { return rankKey(Ask{Workspace: workspace, Route: route}) }
	assert.Assert(t, key(0, math.MaxInt) < key(1, math.MinInt))
	assert.Assert(t, key(0, 1<<16) < key(1, 0))
	assert.Assert(t, key(math.MinInt, 0) < key(0, 0))
	assert.Assert(t, key(0, 0) < key(math.MaxInt, math.MaxInt))
}
