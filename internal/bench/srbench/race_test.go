//go:build race

package srbench

import "time"

// The race detector makes a run ten times slower, so with it the checks use one seed
// and fewer cases or shorter intervals. The bounds are the same.
var (
	targetSeeds   = []uint64{1}
	targetMeasure = 15 * time.Second
	wastedCases   = []Case{Rybomlyn()}
	failureCases  = map[string][]Case{"planned": {Rybomlyn()}, "sudden": {Dwarsliggers()}}
)
