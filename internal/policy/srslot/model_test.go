package srslot_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// TestPromisesHoldWhateverHappens checks the guarantees of a pool over random
// sequences of simulation steps.
func TestPromisesHoldWhateverHappens(t *testing.T) {
	for name, opts := range map[string]srslot.Options{"preempt": {}, "no preempt": {PreemptOff: true}} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(opts, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
				actions := make(map[string]func(*rapid.T))
				for name, act := range s.actions() {
					actions[name] = func(*rapid.T) { act(); s.tick() }
				}
				actions[""] = func(t *rapid.T) { assert.Equal(t, len(s.violations), 0, "%v", s.violations) }
				t.Repeat(actions)
				s.drain()
				assert.Equal(t, len(s.violations), 0, "%v", s.violations)
			})
		})
	}
}

// TestPromisesBreakWithoutTheirMechanism checks that the simulation detects the
// violation of each guarantee when the mechanism behind it is disabled.
func TestPromisesBreakWithoutTheirMechanism(t *testing.T) {
	for name, c := range map[string]struct {
		disabled  srslot.Disabled
		violation string
	}{
		"ramp":             {srslot.Disabled{Ramp: true}, "has limit"},
		"abandoned leases": {srslot.Disabled{AbandonedLeases: true}, "has limit"},
		"await report":     {srslot.Disabled{AwaitReport: true}, "has limit"},
		"floor":            {srslot.Disabled{Floor: true}, "under floor"},
		"settling":         {srslot.Disabled{Settling: true}, "was shed, settled is"},
		"revoke":           {srslot.Disabled{Settling: true}, "was shed while"},
		"hold":             {srslot.Disabled{Floor: true}, "after tier"},
		"ask dedup":        {srslot.Disabled{AskDedup: true}, "got lease"},
		"confirm":          {srslot.Disabled{Confirm: true}, "was overloaded"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, findsViolation(srslot.Options{Disabled: c.disabled}, c.violation))
		})
	}
	assert.Assert(t, !findsViolation(srslot.Options{}, ""))
}

// findsViolation runs seeded simulations and reports whether one of them records a
// violation that contains the given text.
func findsViolation(opts srslot.Options, violation string) bool {
	seeds := uint64(300)
	if violation == "" {
		seeds = 1000
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation(opts, rng.IntN)
		actions := s.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range 300 {
			actions[names[rng.IntN(len(names))]]()
			s.tick()
		}
		s.drain()
		if slices.ContainsFunc(s.violations, func(v string) bool { return strings.Contains(v, violation) }) {
			return true
		}
	}
	return false
}
