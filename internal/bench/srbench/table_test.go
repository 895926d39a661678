package srbench

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestTables(t *testing.T) {
	results := []Result{{
		Case: "rybomlyn", Variant: "full", Seed: 7, Load: 0.8, Failure: "brno-a", Falls: 2,
		Prefill:  Prefill{Prompt: 1000, Cached: 600, Elsewhere: 50, Cut: 25},
		Messages: 5.25, Bytes: 1234.5,
		Tiers: []TierResult{{
			Tier: 1, Name: "report", Offered: 100, Good: 95, Late: 2, Cut: 1, Shed: 1, Lost: 1,
			Goodput: 0.95, FirstOK: 0.9, Served: 0.85, FirstP50: 30, FirstP95: 400, Fairness: 0.99,
		}},
		Calls:  TierResult{Name: "calls", Offered: 10, Good: 10, Goodput: 1},
		Phases: []Phase{{Name: "during", Seconds: 20, Good: 80, PerSecond: 4, Quiet: 300, TopQuiet: 900}},
	}}
	var b bytes.Buffer
	assert.NilError(t, WriteSummary(&b, results))
	assert.NilError(t, WriteTable(&b, results))
	assert.NilError(t, WritePhases(&b, results))
	assert.NilError(t, WriteJSON(&b, results))
	golden.Assert(t, b.String(), "tables.golden")
}
