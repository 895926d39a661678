package srbench

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
)

// picker orders the pools for a request and learns from the results of the asks.
type picker interface {
	Pick(now time.Time, a sr.Ask, summaries []sr.PoolSummary) []sr.PoolID
	Asked(now time.Time, a sr.Ask, pool sr.PoolID)
	Refused(now time.Time, pool sr.PoolID)
	Ended(now time.Time, pool sr.PoolID, r sr.Release)
}

var _ picker = (*srroute.Picker)(nil)

// noFeedback implements the methods of a picker that ignores all results.
type noFeedback struct{}

// Asked implements picker.
func (noFeedback) Asked(time.Time, sr.Ask, sr.PoolID) {}

// Refused implements picker.
func (noFeedback) Refused(time.Time, sr.PoolID) {}

// Ended implements picker.
func (noFeedback) Ended(time.Time, sr.PoolID, sr.Release) {}

// roundRobinPicker starts with the next pool in turn.
type roundRobinPicker struct {
	noFeedback
	turn int
}

// Pick implements picker.
func (p *roundRobinPicker) Pick(_ time.Time, _ sr.Ask, summaries []sr.PoolSummary) []sr.PoolID {
	ids := poolsWithSlots(summaries)
	if len(ids) == 0 {
		return nil
	}
	p.turn++
	i := p.turn % len(ids)
	return append(ids[i:len(ids):len(ids)], ids[:i]...)
}

// prefixHashPicker orders the pools by the rendezvous hash of the first prefix block.
type prefixHashPicker struct{ noFeedback }

// Pick implements picker.
func (prefixHashPicker) Pick(_ time.Time, a sr.Ask, summaries []sr.PoolSummary) []sr.PoolID {
	var key uint64
	if len(a.Blocks) > 0 {
		key = a.Blocks[0]
	}
	weight := func(id sr.PoolID) uint64 { return mix(key ^ xxhash.Sum64String(id.String())) }
	ids := poolsWithSlots(summaries)
	slices.SortFunc(ids, func(a, b sr.PoolID) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return ids
}

func poolsWithSlots(summaries []sr.PoolSummary) []sr.PoolID {
	var ids []sr.PoolID
	for _, summary := range summaries {
		if summary.Slots > 0 {
			ids = append(ids, summary.Pool)
		}
	}
	return ids
}
