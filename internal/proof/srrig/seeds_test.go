package srrig

import (
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// The number of seeds is fixedSeeds unless the environment variable sets another.
const (
	seedsVariable = "SEEDS"
	fixedSeeds    = 3
)

func seeds(t *testing.T) []uint64 {
	t.Helper()
	n := fixedSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}
