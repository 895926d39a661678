package srdispatch

import (
	"math"
	"time"
)

const (
	// flowSpan is the time over which grants are averaged.
	flowSpan = time.Second
	// leastFlow is the rate of grants a second below which no wait is predicted.
	leastFlow = 1.0
	// startPart is the part of the time to the objective that is kept for the
	// answer to begin. Waiting for longer, up to the predicted start, served fewer
	// in time (docs/PLATFORM.md).
	startPart = 0.4
	// returnedWait is how long a request that came back may wait at the most: it
	// is late already, and its caller does not come back again. Callers of
	// streams leave after two seconds without an event.
	returnedWait = 500 * time.Millisecond
	// leastReturn and mostReturn bound when refused callers come back; they do
	// not wait for more than a third of the time they have left.
	leastReturn = 250 * time.Millisecond
	mostReturn  = 4 * time.Second
	returnPart  = 3
	// emptyReturn is when callers come back to a service without endpoints.
	emptyReturn = time.Second
)

// flow averages the grants a second.
type flow struct {
	rate float64
	at   time.Time
}

func (f *flow) grant(now time.Time) {
	f.decay(now)
	f.rate += 1 / flowSpan.Seconds()
}

func (f *flow) decay(now time.Time) {
	past := now.Sub(f.at)
	f.at = now
	if past > 0 {
		f.rate *= math.Exp(-float64(past) / float64(flowSpan))
	}
}

// giveUp returns until when an ask may wait: while its answer can still begin in
// time, or a fixed time when it is late already.
func (s *Service) giveUp(w *waiting) time.Time {
	if w.Resumed {
		return w.Until
	}
	whole := w.Target.Sub(w.since)
	limit := w.since.Add(time.Duration(float64(whole) * (1 - startPart)))
	if w.Returned || whole <= 0 {
		limit = w.since.Add(returnedWait)
	}
	if limit.After(w.Until) {
		return w.Until
	}
	return limit
}

// admit turns an ask away at once when the requests ahead of it will take longer
// than it may wait.
func (s *Service) admit(now time.Time, w *waiting) []Decision {
	if len(s.order) == 0 {
		s.Withdraw(w.ID)
		return []Decision{s.decide(now, w, Decision{Kind: Refused, Reason: ReasonEmpty, After: emptyReturn})}
	}
	if w.Resumed {
		return nil
	}
	s.flow.decay(now)
	if s.flow.rate < leastFlow {
		return nil
	}
	ahead := 0
	for _, o := range s.queue {
		if o == w {
			break
		}
		ahead++
	}
	wait := time.Duration(float64(ahead+1) / s.flow.rate * float64(time.Second))
	if !now.Add(wait).After(s.giveUp(w)) {
		return nil
	}
	s.Withdraw(w.ID)
	return []Decision{s.refuse(now, w, ReasonFull)}
}

// expire refuses what has waited for too long.
func (s *Service) expire(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		if now.Before(s.giveUp(w)) {
			i++
			continue
		}
		s.remove(i)
		out = append(out, s.refuse(now, w, ReasonLate))
	}
	return out
}

// refuse tells each refused caller a time of its own, as far apart as requests
// are granted, so that they do not come back together.
func (s *Service) refuse(now time.Time, w *waiting, reason string) Decision {
	s.flow.decay(now)
	gap := time.Duration(float64(time.Second) / max(s.flow.rate, leastFlow))
	first := now.Add(leastReturn)
	if s.returns.Before(first) {
		s.returns = first
	}
	s.returns = s.returns.Add(gap)
	most := min(mostReturn, max(w.Until.Sub(now)/returnPart, leastReturn))
	after := s.returns.Sub(now)
	if after > most {
		// The line is longer than this caller waits: spread over its later half.
		after = most/2 + time.Duration(s.rand.Float64()*float64(most/2))
	}
	if after > mostReturn {
		s.returns = first
	}
	return s.decide(now, w, Decision{Kind: Refused, Reason: reason, After: after})
}
