package srdispatch

import "time"

const (
	// lengthSamples is the number of streams over which the expected events are averaged: each
	// new one reduces the weight of the older ones by 1/lengthSamples.
	lengthSamples = 500.0
	// minLengths is the decayed number of streams needed to expect a number of events.
	minLengths = 20.0
	// maxRunTime bounds the expected time of an answer, so that it does not overflow. Requests
	// take minutes at most.
	maxRunTime = 24 * time.Hour
)

// lengths learns how many events a stream has for a number of generated tokens that its client
// expects.
type lengths struct {
	n, events, tokens float64
}

// observe adds a stream that has ended.
func (l *lengths) observe(events, tokens int) {
	if events <= 0 || tokens <= 0 {
		return
	}
	f := 1 - 1/lengthSamples
	l.n = l.n*f + 1
	l.events = l.events*f + float64(events)
	l.tokens = l.tokens*f + float64(tokens)
}

// expect returns the expected number of events, 0 when there are too few samples.
func (l *lengths) expect(tokens int) float64 {
	if l.n < minLengths {
		return 0
	}
	return float64(tokens) * l.events / l.tokens
}

// runTime returns how long an endpoint is expected to take from the first event of an ask to the
// last one, 0 when that is not known.
func (s *Service) runTime(now time.Time, e *endpoint, w *queuedAsk) time.Duration {
	run := s.lengths.expect(w.Length) * float64(e.learned.EventTime(now))
	return time.Duration(min(run, float64(maxRunTime)))
}
