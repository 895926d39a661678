package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

const (
	// loadWindow is the time over which the offered load is averaged.
	loadWindow = 10 * time.Second
	// meanWeight is the weight of one request in the mean service time.
	meanWeight = 1.0 / 16
	// minSlotShare is the part of the slots that a tier is assumed to get at least.
	minSlotShare = 0.05
)

// meter averages the service times of requests and the load offered by each tier.
type meter struct {
	meanService time.Duration
	// offered is the number of slots that the asks of a tier keep busy, by tier.
	offered   []float64
	loadDecay srdecay.Decay
}

// recordAsk adds the expected service time of an ask to the load of its tier.
func (m *meter) recordAsk(now time.Time, t sr.Tier, service time.Duration) {
	if m.meanService == 0 {
		m.meanService = service
	}
	m.decay(now)
	for len(m.offered) <= int(t) {
		m.offered = append(m.offered, 0)
	}
	m.offered[t] += float64(service) / float64(loadWindow)
}

// recordService adds the service time of a request to the mean.
func (m *meter) recordService(total time.Duration) {
	m.meanService += time.Duration(meanWeight * float64(total-m.meanService))
}

// offeredAbove returns the number of slots that tiers above t keep busy.
func (m *meter) offeredAbove(now time.Time, t sr.Tier) float64 {
	m.decay(now)
	sum := 0.0
	for i := range min(int(t), len(m.offered)) {
		sum += m.offered[i]
	}
	return sum
}

func (m *meter) decay(now time.Time) {
	factor := m.loadDecay.Factor(now, loadWindow)
	for i := range m.offered {
		m.offered[i] *= factor
	}
}
