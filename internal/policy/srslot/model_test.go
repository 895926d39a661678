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

func TestPromisesHoldWhateverHappens(t *testing.T) {
	for name, opts := range map[string]srslot.Options{"preempt": {}, "no preempt": {PreemptOff: true}} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(opts, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
				actions := make(map[string]func(*rapid.T))
				for name, act := range w.actions() {
					actions[name] = func(*rapid.T) { act(); w.tick() }
				}
				actions[""] = func(t *rapid.T) { assert.Equal(t, len(w.broken), 0, "%v", w.broken) }
				t.Repeat(actions)
				w.drain()
				assert.Equal(t, len(w.broken), 0, "%v", w.broken)
			})
		})
	}
}

// TestPromisesBreakWithoutTheirMechanism shows that the model sees each
// promise broken once the mechanism that carries it is off.
func TestPromisesBreakWithoutTheirMechanism(t *testing.T) {
	for name, c := range map[string]struct {
		without srslot.Without
		broken  string
	}{
		"ramp":     {srslot.Without{Ramp: true}, "bears"},
		"orphans":  {srslot.Without{Orphans: true}, "bears"},
		"blind":    {srslot.Without{Blind: true}, "bears"},
		"floor":    {srslot.Without{Floor: true}, "under floor"},
		"settling": {srslot.Without{Settling: true}, "was shed, settled is"},
		"revoke":   {srslot.Without{Settling: true}, "was shed while"},
		"hold":     {srslot.Without{Floor: true}, "after tier"},
		"remember": {srslot.Without{Remember: true}, "got lease"},
		"confirm":  {srslot.Without{Confirm: true}, "fell over"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, breaks(srslot.Options{Without: c.without}, c.broken))
		})
	}
	assert.Assert(t, !breaks(srslot.Options{}, ""))
}

// breaks plays seeded histories until a broken promise is seen.
func breaks(opts srslot.Options, broken string) bool {
	seeds := uint64(300)
	if broken == "" {
		seeds = 1000
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(opts, rng.IntN)
		actions := w.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range 300 {
			actions[names[rng.IntN(len(names))]]()
			w.tick()
		}
		w.drain()
		if slices.ContainsFunc(w.broken, func(s string) bool { return strings.Contains(s, broken) }) {
			return true
		}
	}
	return false
}
