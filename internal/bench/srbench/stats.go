package srbench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxLateShare is the share of an answer's tokens that may come late.
	maxLateShare = 0.05
	// histogramMax and histogramDigits are the range and the significant digits of
	// the histograms of times in microseconds.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// stats collects the results of the requests that arrive in the measured interval.
type stats struct {
	b     *bench
	tiers []*tally
	calls *tally
	// workspaces holds a tally per tier and workspace.
	workspaces [][]*tally
	reasons    map[string]int
	// answers holds the good answers of the whole run.
	answers []goodAnswer
	prefill Prefill
}

// tally counts the results of a group of requests.
type tally struct {
	offered, good, late, cut, shed, lost int
	firstOK, served                      int
	firstTokens                          *hdrhistogram.Histogram
}

// goodAnswer is a complete answer within the deadline.
type goodAnswer struct {
	arrived time.Duration
	ended   time.Duration
	tier    sr.Tier
	kind    sr.Kind
}

func newTally() *tally {
	return &tally{firstTokens: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func newStats(b *bench) *stats {
	s := &stats{b: b, calls: newTally(), reasons: make(map[string]int)}
	for range b.lowestTier + 1 {
		s.tiers = append(s.tiers, newTally())
		row := make([]*tally, len(b.plan.Case.Workspaces))
		for i := range row {
			row[i] = newTally()
		}
		s.workspaces = append(s.workspaces, row)
	}
	return s
}

// measured reports whether a request arrived in the measured interval.
func (s *stats) measured(r *request) bool { return r.at >= s.b.plan.Warm }

// tallies returns the tallies that count a request.
func (s *stats) tallies(r *request) []*tally {
	if !s.measured(r) {
		return nil
	}
	if r.kind == sr.KindCall {
		return []*tally{s.calls}
	}
	return []*tally{s.tiers[r.tier], s.workspaces[r.tier][r.workspaceIndex]}
}

func (s *stats) recordOffered(r *request) {
	for _, t := range s.tallies(r) {
		t.offered++
	}
}

func (s *stats) recordShed(r *request, reason string) {
	for _, t := range s.tallies(r) {
		t.shed++
	}
	if s.measured(r) {
		s.reasons[reason]++
	}
}

// recordStart counts the prompt tokens that the chosen endpoint has cached and those
// that only another endpoint has cached.
func (s *stats) recordStart(e *engine, x *stream) {
	if !s.measured(x.req) || x.req.kind != sr.KindModel {
		return
	}
	s.prefill.Prompt += x.req.promptTokens
	s.prefill.Cached += x.cachedTokens
	elsewhere := 0
	for _, name := range s.b.endpointNames {
		other := s.b.engines[name]
		if other == e || !other.up || other.spec.Target != e.spec.Target {
			continue
		}
		elsewhere = max(elsewhere, other.cache.cachedPrefix(x.req.blocks)*blockTokens)
	}
	s.prefill.Elsewhere += max(0, elsewhere-x.cachedTokens)
}

func (s *stats) recordEnd(c *activeRequest, x *stream, outcome streamOutcome, now time.Duration) {
	r := c.req
	if s.measured(r) && outcome != streamDone {
		s.prefill.Cut += int(x.prefilled)
	}
	good := outcome == streamDone && now <= c.deadline
	if good {
		s.answers = append(s.answers, goodAnswer{arrived: r.at, ended: now, tier: r.tier, kind: r.kind})
	}
	first := c.sentAt - r.at + x.firstToken + 2*s.b.plan.Case.Hop
	for _, t := range s.tallies(r) {
		t.countEnded(outcome, good)
		if x.firstToken == 0 {
			continue
		}
		// The time is within the histogram's range, which exceeds the longest run.
		_ = t.firstTokens.RecordValue(int64(first / time.Microsecond))
		if !good || first > firstTokenTarget {
			continue
		}
		t.firstOK++
		if x.lateTokens <= maxLateShare*float64(r.outputTokens) {
			t.served++
		}
	}
}

func (t *tally) countEnded(outcome streamOutcome, good bool) {
	switch {
	case good:
		t.good++
	case outcome == streamDone:
		t.late++
	case outcome == streamCancelled:
		t.cut++
	default:
		t.lost++
	}
}

// longestGap returns the longest time between two good answers that match accepts,
// or between one and an end of the interval.
func (s *stats) longestGap(from, to time.Duration, match func(goodAnswer) bool) time.Duration {
	ends := []time.Duration{from, to}
	for _, a := range s.answers {
		if match(a) && a.ended > from && a.ended < to {
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

// countAnswers returns the number of good answers that match accepts, to requests
// that arrived in the interval.
func (s *stats) countAnswers(from, to time.Duration, match func(goodAnswer) bool) int {
	n := 0
	for _, a := range s.answers {
		if match(a) && a.arrived >= from && a.arrived < to {
			n++
		}
	}
	return n
}
