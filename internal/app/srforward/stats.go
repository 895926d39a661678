package srforward

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// The histograms hold milliseconds, up to one minute, with two significant
	// digits.
	maxMillis         = 60_000
	significantDigits = 2
)

// percentiles lists the percentiles that are printed of each histogram.
var percentiles = []float64{50, 90, 95, 99}

// stats holds the counters and histograms of an instance.
type stats struct {
	registry metrics.Registry

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{registry: metrics.NewRegistry(), histograms: make(map[string]*hdrhistogram.Histogram)}
}

// count increments a counter.
func (s *stats) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

// observe records a duration in a histogram.
func (s *stats) observe(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histograms[name]
	if !ok {
		h = hdrhistogram.New(1, maxMillis, significantDigits)
		s.histograms[name] = h
	}
	// Values beyond the range are clamped to it.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxMillis))
}

// write prints all counters and percentiles in order, one per line.
func (s *stats) write(w io.Writer) {
	var lines []string
	s.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d\n", name, c.Count()))
		}
	})
	s.mu.Lock()
	for name, h := range s.histograms {
		lines = append(lines, fmt.Sprintf("%s.count %d\n", name, h.TotalCount()))
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf("%s.p%g_ms %d\n", name, q, h.ValueAtQuantile(q)))
		}
	}
	s.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines {
		// The operator may have disconnected.
		_, _ = io.WriteString(w, line)
	}
}
