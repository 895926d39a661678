package srdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// What is kept between two calls must not change the shares, whichever instances and endpoints
// come and go.
func TestSharesDoNotDependOnEarlierCalls(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	const self = "10.0.0.1:1"
	s := srdispatch.NewSharing(self)
	others := make([]string, 7)
	for range 200 {
		var list []srdispatch.Endpoint
		for i := range 60 {
			if r.IntN(5) > 0 {
				list = append(list, srdispatch.Endpoint{ID: fmt.Sprint("e", i), Slots: 1 + i%8, ColdRate: 3})
			}
		}
		fresh := slices.Clone(list)
		s.SetShares(list, others)
		srdispatch.NewSharing(self).SetShares(fresh, others)
		assert.DeepEqual(t, list, fresh)
		others = others[:0:0]
		for i := range 40 {
			if r.IntN(4) > 0 {
				others = append(others, fmt.Sprintf("10.0.1.%d:1", i))
			}
		}
	}
}
