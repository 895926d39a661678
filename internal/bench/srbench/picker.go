package srbench

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
)

// picker orders the pools for a request.
type picker interface {
	Pick(now time.Time, a sr.Ask, summaries []sr.PoolSummary) []sr.PoolID
	Asked(now time.Time, a sr.Ask, pool sr.PoolID)
	Refused(now time.Time, pool sr.PoolID)
	Ended(now time.Time, pool sr.PoolID, r sr.Release)
}

var _ picker = (*srroute.Picker)(nil)

// deaf is a picker that learns nothing.
type deaf struct{}

// Asked implements picker.
func (deaf) Asked(time.Time, sr.Ask, sr.PoolID) {}

// Refused implements picker.
func (deaf) Refused(time.Time, sr.PoolID) {}

// Ended implements picker.
func (deaf) Ended(time.Time, sr.PoolID, sr.Release) {}

// rotation takes the pools in turn.
type rotation struct {
	deaf
	n int
}

// Pick implements picker.
func (p *rotation) Pick(_ time.Time, _ sr.Ask, summaries []sr.PoolSummary) []sr.PoolID {
	ids := usable(summaries)
	if len(ids) == 0 {
		return nil
	}
	p.n++
	i := p.n % len(ids)
	return append(ids[i:len(ids):len(ids)], ids[:i]...)
}

// hashing takes the pool with the highest rendezvous hash of the first block.
type hashing struct{ deaf }

// Pick implements picker.
func (hashing) Pick(_ time.Time, a sr.Ask, summaries []sr.PoolSummary) []sr.PoolID {
	var key uint64
	if len(a.Blocks) > 0 {
		key = a.Blocks[0]
	}
	weight := func(id sr.PoolID) uint64 { return mix(key ^ xxhash.Sum64String(id.String())) }
	ids := usable(summaries)
	slices.SortFunc(ids, func(a, b sr.PoolID) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return ids
}

func usable(summaries []sr.PoolSummary) []sr.PoolID {
	var ids []sr.PoolID
	for _, n := range summaries {
		if n.Slots > 0 {
			ids = append(ids, n.Pool)
		}
	}
	return ids
}
