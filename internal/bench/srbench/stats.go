package srbench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// slowShare is the share of an answer's tokens that may come late.
	slowShare = 0.05
	// histogramMost and histogramDigits shape the histograms of times in microseconds.
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// stats collects what happens to the requests that arrive in the measured
// interval.
type stats struct {
	b     *bench
	tiers []*tally
	calls *tally
	// workspaces holds a tally per workspace and tier.
	workspaces [][]*tally
	reasons    map[string]int
	answers    []answer
	prefill    Prefill
}

// tally counts what became of requests.
type tally struct {
	offered, good, late, cut, shed, lost int
	firstOK, served                      int
	first                                *hdrhistogram.Histogram
}

// answer is a whole answer in time.
type answer struct {
	arrived time.Duration
	ended   time.Duration
	tier    sr.Tier
	kind    sr.Kind
}

func newTally() *tally {
	return &tally{first: hdrhistogram.New(1, histogramMost, histogramDigits)}
}

func newStats(b *bench) *stats {
	s := &stats{b: b, calls: newTally(), reasons: make(map[string]int)}
	for range b.lowest + 1 {
		s.tiers = append(s.tiers, newTally())
		row := make([]*tally, len(b.plan.Case.Workspaces))
		for i := range row {
			row[i] = newTally()
		}
		s.workspaces = append(s.workspaces, row)
	}
	return s
}

// measured reports whether a request counts.
func (s *stats) measured(r *request) bool { return r.at >= s.b.plan.Warm }

// tallies returns the tallies that a request counts in.
func (s *stats) tallies(r *request) []*tally {
	if !s.measured(r) {
		return nil
	}
	if r.kind == sr.KindCall {
		return []*tally{s.calls}
	}
	return []*tally{s.tiers[r.tier], s.workspaces[r.tier][r.workspace]}
}

func (s *stats) offered(r *request) {
	for _, t := range s.tallies(r) {
		t.offered++
	}
}

func (s *stats) shed(r *request, reason string) {
	for _, t := range s.tallies(r) {
		t.shed++
	}
	if s.measured(r) {
		s.reasons[reason]++
	}
}

// started notes how much of a prompt another endpoint caches.
func (s *stats) started(e *engine, x *stream) {
	if !s.measured(x.req) || x.req.kind != sr.KindModel {
		return
	}
	s.prefill.Prompt += x.req.prompt
	s.prefill.Cached += x.cached
	elsewhere := 0
	for _, name := range s.b.names {
		other := s.b.engines[name]
		if other == e || !other.up || other.spec.Target != e.spec.Target {
			continue
		}
		elsewhere = max(elsewhere, other.cache.depth(x.req.blocks)*blockTokens)
	}
	s.prefill.Elsewhere += max(0, elsewhere-x.cached)
}

func (s *stats) ended(c *call, x *stream, how ending, now time.Duration) {
	r := c.req
	if s.measured(r) && how != endingDone {
		s.prefill.Cut += int(x.spent)
	}
	good := how == endingDone && now <= c.deadline
	if good {
		s.answers = append(s.answers, answer{arrived: r.at, ended: now, tier: r.tier, kind: r.kind})
	}
	first := c.sent - r.at + x.first + 2*s.b.plan.Case.Hop
	for _, t := range s.tallies(r) {
		t.end(how, good)
		if x.first == 0 {
			continue
		}
		// The histogram's range exceeds the longest run.
		_ = t.first.RecordValue(int64(first / time.Microsecond))
		if !good || first > firstTarget {
			continue
		}
		t.firstOK++
		if x.slow <= slowShare*float64(r.output) {
			t.served++
		}
	}
}

func (t *tally) end(how ending, good bool) {
	switch {
	case good:
		t.good++
	case how == endingDone:
		t.late++
	case how == endingCut:
		t.cut++
	default:
		t.lost++
	}
}

// quiet returns the longest time in an interval without a whole answer that
// keep accepts.
func (s *stats) quiet(from, to time.Duration, keep func(answer) bool) time.Duration {
	ends := []time.Duration{from, to}
	for _, a := range s.answers {
		if keep(a) && a.ended > from && a.ended < to {
			ends = append(ends, a.ended)
		}
	}
	slices.Sort(ends)
	longest := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i]-ends[i-1])
	}
	return longest
}

// count returns how many whole answers came to requests that arrived in an interval.
func (s *stats) count(from, to time.Duration, keep func(answer) bool) int {
	n := 0
	for _, a := range s.answers {
		if keep(a) && a.arrived >= from && a.arrived < to {
			n++
		}
	}
	return n
}
