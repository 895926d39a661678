package srfair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srfair"
)

// TestWorkIsDividedByWeight keeps workspaces busy for 9,000 units of work, and checks what each
// one gets.
func TestWorkIsDividedByWeight(t *testing.T) {
	type workspace struct {
		weight, work float64
		// until is the number of requests that it has.
		until int
		share float64
	}
	for name, list := range map[string][]workspace{
		"equal":             {{weight: 1, work: 1, share: 0.5}, {weight: 1, work: 1, share: 0.5}},
		"by weight":         {{weight: 2, work: 1, share: 2. / 3}, {weight: 1, work: 1, share: 1. / 3}},
		"long requests":     {{weight: 1, work: 100, share: 0.5}, {weight: 1, work: 1, share: 0.5}},
		"unknown is mean":   {{weight: 1, work: 1, share: 1. / 6}, {weight: 3, work: 1, share: 3. / 6}, {work: 1, share: 2. / 6}},
		"no weights":        {{work: 5, share: 0.5}, {work: 1, share: 0.5}},
		"rest is given out": {{weight: 1, work: 1, share: 0.9}, {weight: 9, work: 1, until: 900, share: 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := srfair.New(), time.Unix(0, 0)
			got, total, served := make([]float64, len(list)), 0.0, make([]int, len(list))
			for total < 9000 {
				next, lowest := -1, 0.0
				for i, w := range list {
					if w.until > 0 && served[i] >= w.until {
						continue
					}
					if tag := s.Start(fmt.Sprint(i)); next < 0 || tag < lowest {
						next, lowest = i, tag
					}
				}
				w := list[next]
				s.Serve(now, fmt.Sprint(next), w.weight, w.work)
				got[next] += w.work
				total += w.work
				served[next]++
				now = now.Add(time.Millisecond)
			}
			for i, w := range list {
				assert.Assert(t, got[i]/total > w.share-0.02 && got[i]/total < w.share+0.02, "%d got %v", i, got[i]/total)
			}
		})
	}
}

// TestAloneOwesOneRequest: a workspace that was served alone for long goes behind one request of
// a new one, and then alternates with it.
func TestAloneOwesOneRequest(t *testing.T) {
	s, now := srfair.New(), time.Unix(0, 0)
	for range 1000 {
		s.Serve(now, "alone", 1, 1)
	}
	assert.Assert(t, s.Start("new") < s.Start("alone"))
	s.Serve(now, "new", 1, 1)
	assert.Assert(t, s.Start("new") <= s.Start("alone"))
	s.Serve(now, "new", 1, 1)
	assert.Assert(t, s.Start("alone") < s.Start("new"))
}

// TestWorkspacesAreBounded checks that neither many workspaces nor idle ones are kept.
func TestWorkspacesAreBounded(t *testing.T) {
	s, now := srfair.New(), time.Unix(0, 0)
	for i := range 5000 {
		s.Serve(now, fmt.Sprint(i), 1, 1)
	}
	assert.Equal(t, s.Len(), 1024)
	s.Serve(now.Add(time.Minute), "late", 1, 1)
	assert.Equal(t, s.Len(), 1)
}

// TestExtremeWeightsDisturbNoOthers: weights come from other instances. After requests with the
// smallest and the largest ones, the others still alternate, and one without a weight still gets
// a span.
func TestExtremeWeightsDisturbNoOthers(t *testing.T) {
	for _, weight := range []float64{math.SmallestNonzeroFloat64, math.MaxFloat64, math.Inf(1), math.NaN(), -1} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			s, now := srfair.New(), time.Unix(0, 0)
			s.Serve(now, "usual", 2, 1)
			for i := range 3 {
				s.Serve(now, fmt.Sprint("extreme", i), weight, 1000)
				s.Serve(now, fmt.Sprint("extreme", i), weight, 1000)
			}
			assert.Assert(t, s.Span(0, 1000) > 0 && s.Span(0, 1000) < math.MaxFloat64, "%v", s.Span(0, 1000))
			s.Serve(now, "a", 1, 1000)
			assert.Assert(t, s.Start("b") < s.Start("a"), "b %v, a %v", s.Start("b"), s.Start("a"))
			// Once the extreme ones are forgotten, nothing of them is left.
			s.Serve(now.Add(time.Hour), "usual", 2, 1)
			assert.Equal(t, s.Span(0, 1), 0.5)
		})
	}
}
