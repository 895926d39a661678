//go:build !race

package srbench

var (
	targetSeeds   = []uint64{1, 2, 3}
	targetMeasure = DefaultMeasure
	wastedCases   = Cases()
	failureCases  = map[string][]Case{"planned": Cases(), "sudden": Cases()}
)
