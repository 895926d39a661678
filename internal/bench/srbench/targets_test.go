package srbench

import (
	"testing"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

// Bounds from the stated targets.
const (
	// topTierLeft is the part of its goodput alone that the top tier keeps.
	topTierLeft = 0.99
	// wastedBound is the wasted prefill relative to the best baseline.
	wastedBound = 0.5
	// othersLeft is the part of their goodput that other workspaces keep.
	othersLeft = 0.99
	// quietBound is the longest time without an answer in milliseconds.
	quietBound = 1000

	normalLoad   = 0.8
	overload     = 1.5
	floodTier    = sr.Tier(2)
	floodLoad    = 0.6
	floodOverOwn = 10
)

func run(t *testing.T, p Plan) Result {
	t.Helper()
	if p.Variant.placer == nil {
		p.Variant = scheduler(Full)
	}
	r, err := Run(p)
	assert.NilError(t, err)
	return r
}

// each runs a check for every seed and the given cases.
func each(t *testing.T, cases []Case, check func(t *testing.T, c Case, seed uint64)) {
	for _, c := range cases {
		for _, seed := range targetSeeds {
			t.Run(c.Name, func(t *testing.T) { check(t, c, seed) })
		}
	}
}

func TestOverloadLeavesTopTier(t *testing.T) {
	each(t, Cases(), func(t *testing.T, c Case, seed uint64) {
		alone := run(t, Plan{Case: c, Seed: seed, Load: overload, Measure: targetMeasure, Only: sr.TopTier}).Tier(sr.TopTier)
		mixed := run(t, Plan{Case: c, Seed: seed, Load: overload, Measure: targetMeasure}).Tier(sr.TopTier)
		assert.Equal(t, mixed.Offered, alone.Offered)
		assert.Assert(t, alone.Good > 0)
		assert.Assert(t, float64(mixed.Good) >= topTierLeft*float64(alone.Good),
			"seed %d: %d whole answers of %d, alone %d", seed, mixed.Good, mixed.Offered, alone.Good)
	})
}

func TestWastedPrefillIsHalfOfBestBaseline(t *testing.T) {
	each(t, wastedCases, func(t *testing.T, c Case, seed uint64) {
		full := run(t, Plan{Case: c, Seed: seed, Load: normalLoad})
		for _, v := range baselines() {
			if v.Affinity {
				continue
			}
			r := run(t, Plan{Case: c, Variant: v, Seed: seed, Load: normalLoad})
			assert.Assert(t, full.WastedShare() <= wastedBound*r.WastedShare(),
				"seed %d: wasted %.3f, %s %.3f", seed, full.WastedShare(), v.Name, r.WastedShare())
		}
	})
}

func TestFloodTakesNothingFromOthers(t *testing.T) {
	each(t, Cases(), func(t *testing.T, c Case, seed uint64) {
		c = c.WithEqualWorkspaces().WithOneTier(floodTier)
		quiet := run(t, Plan{Case: c, Seed: seed, Load: floodLoad, Measure: targetMeasure})
		flooder := c.Workspaces[0]
		flood := run(t, Plan{
			Case: c, Seed: seed, Load: floodLoad, Measure: targetMeasure,
			Flood: flooder.Name, FloodBy: floodOverOwn / floodLoad,
		})
		before, after := quiet.Tier(floodTier).Workspaces, flood.Tier(floodTier).Workspaces
		assert.Assert(t, after[0].Good < after[0].Offered, "the flood exceeds the capacity")
		for i := 1; i < len(before); i++ {
			assert.Equal(t, after[i].Offered, before[i].Offered)
			assert.Assert(t, float64(after[i].Good) >= othersLeft*float64(before[i].Good),
				"seed %d: %s has %d whole answers of %d, without the flood %d",
				seed, after[i].Name, after[i].Good, after[i].Offered, before[i].Good)
		}
	})
}

func TestDomainLeavesAndReturns(t *testing.T) {
	for name, failure := range map[string]func(string) Failure{"planned": Planned, "sudden": Sudden} {
		t.Run(name, func(t *testing.T) {
			each(t, failureCases[name], func(t *testing.T, c Case, seed uint64) { checkFailure(t, c, seed, failure) })
		})
	}
}

func checkFailure(t *testing.T, c Case, seed uint64, failure func(string) Failure) {
	t.Helper()
	domain := c.Domains[int(seed)%len(c.Domains)]
	whole := run(t, Plan{Case: c, Seed: seed, Load: normalLoad, Failure: failure("")})
	r := run(t, Plan{Case: c, Seed: seed, Load: normalLoad, Failure: failure(domain)})
	assert.Equal(t, r.Falls, 0, "seed %d: cold endpoints fell over", seed)
	left := 1 - c.DomainShare(domain)
	for i, p := range r.Phases {
		assert.Assert(t, p.Quiet < quietBound, "seed %d: %s quiet for %.0f ms", seed, p.Name, p.Quiet)
		assert.Assert(t, float64(p.Good) >= left*float64(whole.Phases[i].Good),
			"seed %d: %s %d whole answers, with the domain %d, share left %.3f", seed, p.Name, p.Good, whole.Phases[i].Good, left)
	}
}
