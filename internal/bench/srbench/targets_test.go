package srbench

import (
	"testing"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

// Bounds of the service targets.
const (
	// minTopTierShare is the share of its goodput without other tiers that the top
	// tier must keep.
	minTopTierShare = 0.99
	// maxWastedRatio is the greatest wasted share of the prefill relative to that of the
	// best baseline without affinity.
	maxWastedRatio = 0.5
	// minOthersShare is the share of their goodput that other workspaces must keep
	// during a flood.
	minOthersShare = 0.99
	// maxQuietMS is the longest allowed time without a good answer in milliseconds.
	maxQuietMS = 1000

	normalLoad = 0.8
	overload   = 1.5
	floodTier  = sr.Tier(2)
	floodLoad  = 0.6
	// floodFactor is the rate of the flood relative to the workspace's share of the
	// capacity.
	floodFactor = 10
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

// forEachCaseAndSeed runs a check for the given cases with every seed.
func forEachCaseAndSeed(t *testing.T, cases []Case, check func(t *testing.T, c Case, seed uint64)) {
	for _, c := range cases {
		for _, seed := range targetSeeds {
			t.Run(c.Name, func(t *testing.T) { check(t, c, seed) })
		}
	}
}

func TestOverloadDoesNotReduceTopTierGoodput(t *testing.T) {
	forEachCaseAndSeed(t, Cases(), func(t *testing.T, c Case, seed uint64) {
		alone := run(t, Plan{Case: c, Seed: seed, Load: overload, Measure: targetMeasure, Only: sr.TopTier}).Tier(sr.TopTier)
		mixed := run(t, Plan{Case: c, Seed: seed, Load: overload, Measure: targetMeasure}).Tier(sr.TopTier)
		assert.Equal(t, mixed.Offered, alone.Offered)
		assert.Assert(t, alone.Good > 0)
		assert.Assert(t, float64(mixed.Good) >= minTopTierShare*float64(alone.Good),
			"seed %d: %d good answers of %d requests, without other tiers %d", seed, mixed.Good, mixed.Offered, alone.Good)
	})
}

func TestWastedPrefillIsHalfOfBestBaseline(t *testing.T) {
	forEachCaseAndSeed(t, wastedCases, func(t *testing.T, c Case, seed uint64) {
		full := run(t, Plan{Case: c, Seed: seed, Load: normalLoad})
		for _, v := range baselines() {
			if v.Affinity {
				continue
			}
			r := run(t, Plan{Case: c, Variant: v, Seed: seed, Load: normalLoad})
			assert.Assert(t, full.WastedShare() <= maxWastedRatio*r.WastedShare(),
				"seed %d: wasted share %.3f, with %s %.3f", seed, full.WastedShare(), v.Name, r.WastedShare())
		}
	})
}

func TestFloodTakesNothingFromOthers(t *testing.T) {
	forEachCaseAndSeed(t, Cases(), func(t *testing.T, c Case, seed uint64) {
		c = c.WithEqualWorkspaces().WithOneTier(floodTier)
		normal := run(t, Plan{Case: c, Seed: seed, Load: floodLoad, Measure: targetMeasure})
		flooder := c.Workspaces[0]
		flood := run(t, Plan{
			Case: c, Seed: seed, Load: floodLoad, Measure: targetMeasure,
			Flood: flooder.Name, FloodBy: floodFactor / floodLoad,
		})
		before, after := normal.Tier(floodTier).Workspaces, flood.Tier(floodTier).Workspaces
		assert.Assert(t, after[0].Good < after[0].Offered, "the flood does not exceed the capacity")
		for i := 1; i < len(before); i++ {
			assert.Equal(t, after[i].Offered, before[i].Offered)
			assert.Assert(t, float64(after[i].Good) >= minOthersShare*float64(before[i].Good),
				"seed %d: workspace %s has %d good answers of %d requests, without the flood %d",
				seed, after[i].Name, after[i].Good, after[i].Offered, before[i].Good)
		}
	})
}

func TestDomainOutageKeepsTheRemainingCapacity(t *testing.T) {
	for name, failure := range map[string]func(string) Failure{"planned": PlannedFailure, "sudden": SuddenFailure} {
		t.Run(name, func(t *testing.T) {
			forEachCaseAndSeed(t, failureCases[name], func(t *testing.T, c Case, seed uint64) { checkFailure(t, c, seed, failure) })
		})
	}
}

func checkFailure(t *testing.T, c Case, seed uint64, failure func(string) Failure) {
	t.Helper()
	domain := c.Domains[int(seed)%len(c.Domains)]
	noFailure := run(t, Plan{Case: c, Seed: seed, Load: normalLoad, Failure: failure("")})
	r := run(t, Plan{Case: c, Seed: seed, Load: normalLoad, Failure: failure(domain)})
	assert.Equal(t, r.Falls, 0, "seed %d: cold endpoints crashed", seed)
	remaining := 1 - c.DomainShare(domain)
	for i, p := range r.Phases {
		assert.Assert(t, p.Quiet < maxQuietMS, "seed %d: phase %s has no good answer for %.0f ms", seed, p.Name, p.Quiet)
		assert.Assert(t, float64(p.Good) >= remaining*float64(noFailure.Phases[i].Good),
			"seed %d: phase %s has %d good answers, without the outage %d, remaining capacity %.3f",
			seed, p.Name, p.Good, noFailure.Phases[i].Good, remaining)
	}
}
