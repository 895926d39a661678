package srdispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLearner takes a second for each event.
type slowLearner struct{ learner }

func (slowLearner) EventTime(time.Time) time.Duration { return time.Second }

// TestRunTimeOfExtremeLengths: the lengths of requests, and the events of their answers, come from
// clients and other instances. The expected time to the end does not become negative.
func TestRunTimeOfExtremeLengths(t *testing.T) {
	s := New(Options{Seed: 1})
	for range 100 {
		s.lengths.observe(math.MaxInt32, 1)
	}
	e := &endpoint{learned: slowLearner{}}
	run := s.runTime(time.Unix(0, 0), e, &queuedAsk{Ask: Ask{Length: math.MaxInt32}})
	assert.Assert(t, run > time.Hour, "%v", run)
}
