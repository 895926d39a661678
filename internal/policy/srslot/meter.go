package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

const (
	// loadSpan is the time over which the offered load is averaged.
	loadSpan = 10 * time.Second
	// meanWeight is the weight of one request in the mean service time.
	meanWeight = 1.0 / 16
	// leastShare is the part of the slots that a tier is taken to get at least.
	leastShare = 0.05
)

// meter averages the service times and the load that each tier offers.
type meter struct {
	mean time.Duration
	// offered is the number of slots that a tier's asks keep busy.
	offered []float64
	fade    srdecay.Decay
}

// arrived notes an ask with its expected service time.
func (m *meter) arrived(now time.Time, t sr.Tier, service time.Duration) {
	if m.mean == 0 {
		m.mean = service
	}
	m.decay(now)
	for len(m.offered) <= int(t) {
		m.offered = append(m.offered, 0)
	}
	m.offered[t] += float64(service) / float64(loadSpan)
}

// ended notes a request's service time.
func (m *meter) ended(total time.Duration) {
	m.mean += time.Duration(meanWeight * float64(total-m.mean))
}

// above returns the number of slots that tiers above t keep busy.
func (m *meter) above(now time.Time, t sr.Tier) float64 {
	m.decay(now)
	sum := 0.0
	for i := range min(int(t), len(m.offered)) {
		sum += m.offered[i]
	}
	return sum
}

func (m *meter) decay(now time.Time) {
	keep := m.fade.Keep(now, loadSpan)
	for i := range m.offered {
		m.offered[i] *= keep
	}
}
