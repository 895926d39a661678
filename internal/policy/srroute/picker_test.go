package srroute

import (
	"fmt"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

// testSummaries returns summaries of pools with 32 slots and the given numbers of free
// slots.
func testSummaries(free ...int) []sr.PoolSummary {
	var summaries []sr.PoolSummary
	for i, n := range free {
		id := sr.PoolID{Target: "llama", Domain: fmt.Sprint("d", i)}
		summaries = append(summaries, sr.PoolSummary{Pool: id, Free: n, Slots: 32, Wait: make([]time.Duration, 5), Age: 100 * time.Millisecond})
	}
	return summaries
}

// TestPickersAgreeOnUnseenPrefix checks that entry instances choose the same pool for a
// prefix that none has seen, and that all pools are used.
func TestPickersAgreeOnUnseenPrefix(t *testing.T) {
	summaries := testSummaries(32, 32, 32, 32)
	chosen := make(map[sr.PoolID]int)
	for id := range 200 {
		a := testAsk(id, chain(uint64(id), 40))
		one := NewPicker(PickerOptions{Seed: 1}).Pick(start, a, summaries)
		two := NewPicker(PickerOptions{Seed: 2}).Pick(start, a, summaries)
		assert.Equal(t, len(one), 4)
		assert.Equal(t, one[0], two[0])
		chosen[one[0]]++
	}
	assert.Equal(t, len(chosen), 4)
}

// TestPickDividesCommonPrefix checks that requests with a common prefix do not all go to
// one pool.
func TestPickDividesCommonPrefix(t *testing.T) {
	k := NewPicker(PickerOptions{Seed: 1})
	common := chain(1, 16)
	chosen := make(map[sr.PoolID]int)
	for id := range 400 {
		blocks := append(common[:16:16], chain(uint64(1000+id), 40)...)
		a := testAsk(id, blocks)
		summaries := testSummaries(32, 32, 32, 32)
		for i := range summaries {
			summaries[i].Age = 0
		}
		ids := k.Pick(start.Add(time.Duration(id)*time.Second), a, summaries)
		k.Asked(start.Add(time.Duration(id)*time.Second), a, ids[0])
		chosen[ids[0]]++
	}
	for id, n := range chosen {
		assert.Assert(t, n < 200, "%s has %d of 400", id, n)
	}
}

func TestPickAvoidsBusyPools(t *testing.T) {
	summaries := testSummaries(0, 0, 16, 0)
	summaries[0].Wait[1], summaries[1].Wait[1], summaries[3].Wait[1] = time.Second, time.Second, time.Second
	for id := range 50 {
		ids := NewPicker(PickerOptions{Seed: 1}).Pick(start, testAsk(id, chain(uint64(id), 10)), summaries)
		assert.Equal(t, ids[0], summaries[2].Pool)
	}
}

func TestPickPutsEmptyPoolsLast(t *testing.T) {
	summaries := testSummaries(0, 4, 4)
	summaries[0].Slots = 0
	ids := NewPicker(PickerOptions{Seed: 1}).Pick(start, testAsk(1, nil), summaries)
	assert.Equal(t, len(ids), 3)
	assert.Equal(t, ids[2], summaries[0].Pool)
}

// TestPickCountsOwnAsks checks that asks sent since the last update count as load.
func TestPickCountsOwnAsks(t *testing.T) {
	k := NewPicker(PickerOptions{Seed: 1, NoAffinity: true})
	summaries := testSummaries(10, 10, 10)
	chosen := make(map[sr.PoolID]int)
	for id := range 30 {
		a := testAsk(id, nil)
		pool := k.Pick(start, a, summaries)[0]
		k.Asked(start, a, pool)
		chosen[pool]++
	}
	for _, s := range summaries {
		assert.Assert(t, chosen[s.Pool] >= 5 && chosen[s.Pool] <= 15, "%v", chosen)
	}
}

// TestPickAvoidsRefusingPool checks that a pool that refused is avoided only until its
// next update.
func TestPickAvoidsRefusingPool(t *testing.T) {
	k := NewPicker(PickerOptions{Seed: 1})
	summaries := testSummaries(8, 8)
	a := testAsk(1, chain(1, 10))
	first := k.Pick(start, a, summaries)[0]
	k.Asked(start, a, first)
	k.Refused(start, first)
	assert.Assert(t, k.Pick(start, a, summaries)[0] != first)
	for i := range summaries {
		summaries[i].Age = 0
	}
	assert.Equal(t, k.Pick(start.Add(time.Second), a, summaries)[0], first)
}

func TestPickerBoundsPools(t *testing.T) {
	k := NewPicker(PickerOptions{Seed: 1, Blocks: 64})
	for id := range 3 * maxPools {
		pool := sr.PoolID{Target: fmt.Sprint(id)}
		k.Asked(start, testAsk(id, chain(uint64(id), 4)), pool)
		k.Pick(start, testAsk(id, chain(uint64(id), 4)), []sr.PoolSummary{{Pool: pool, Slots: 1}})
		assert.Assert(t, len(k.list) <= maxPools)
	}
}
