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
	// longest and digits shape the histograms: up to a minute, in milliseconds
	// with two significant digits.
	longest = 60_000
	digits  = 2
)

// quantiles are the parts of a histogram that are shown.
var quantiles = []float64{50, 90, 95, 99}

// figures are the counters and histograms of a process.
type figures struct {
	registry metrics.Registry

	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

func newFigures() *figures {
	return &figures{registry: metrics.NewRegistry(), times: make(map[string]*hdrhistogram.Histogram)}
}

// count adds one to a counter.
func (f *figures) count(name string) {
	metrics.GetOrRegisterCounter(name, f.registry).Inc(1)
}

// observe records a time.
func (f *figures) observe(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.times[name]
	if !ok {
		h = hdrhistogram.New(1, longest, digits)
		f.times[name] = h
	}
	// A longer time counts as the longest one.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), longest))
}

// write prints every figure, a line each.
func (f *figures) write(w io.Writer) {
	var lines []string
	f.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d\n", name, c.Count()))
		}
	})
	f.mu.Lock()
	for name, h := range f.times {
		lines = append(lines, fmt.Sprintf("%s.count %d\n", name, h.TotalCount()))
		for _, q := range quantiles {
			lines = append(lines, fmt.Sprintf("%s.p%g_ms %d\n", name, q, h.ValueAtQuantile(q)))
		}
	}
	f.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines {
		// The reader of the page may have left.
		_, _ = io.WriteString(w, line)
	}
}
