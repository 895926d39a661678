package srdispatch

import (
	"math"
	"time"
)

const (
	// flowSpan is the time over which the use of slots is averaged.
	flowSpan = 2 * time.Second
	// maxFlowGap is the longest time between two looks that counts: a process
	// that stood still has not seen what ended meanwhile.
	maxFlowGap = time.Second
	// leastEnds is how many requests have ended before a wait is predicted.
	leastEnds = 5.0
	// leastReturnRate is the least rate a second at which callers come back.
	leastReturnRate = 1.0
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

// flow measures how long requests hold a slot, from the slots in use and the
// requests that end. Grants a second would tell the demand instead of the capacity
// until slots are short.
type flow struct {
	// held is the time in slots, in seconds, and ends the number of requests that
	// gave one back, both averaged over flowSpan.
	held float64
	ends float64
	at   time.Time
}

// pass takes the time that so many requests have held their slots.
func (f *flow) pass(now time.Time, running int) {
	past := now.Sub(f.at)
	f.at = now
	if past <= 0 || past > maxFlowGap {
		return
	}
	keep := math.Exp(-float64(past) / float64(flowSpan))
	f.held = f.held*keep + float64(running)*past.Seconds()
	f.ends *= keep
}

// rate returns how many slots become free a second when so many are in use, 0
// when too little is known.
func (f *flow) rate(running int) float64 {
	if f.ends < leastEnds || f.held == 0 {
		return 0
	}
	return float64(running) * f.ends / f.held
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
	s.flow.pass(now, s.running)
	rate := s.flow.rate(s.running)
	if rate == 0 {
		return nil
	}
	wait := time.Duration(float64(s.ahead(now, w)+1) / rate * float64(time.Second))
	if !now.Add(wait).After(s.giveUp(w)) {
		return nil
	}
	s.Withdraw(w.ID)
	return []Decision{s.refuse(now, w, ReasonFull)}
}

// ahead counts the asks that are placed before w: all that stand before it, or
// those of its rank only when the rank is due before others.
func (s *Service) ahead(now time.Time, w *waiting) int {
	due := s.starved(now, rankKey(w.Ask), s.leastServed(now))
	n := 0
	for _, o := range s.queue {
		if o == w {
			break
		}
		if !due || rankKey(o.Ask) == rankKey(w.Ask) {
			n++
		}
	}
	return n
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
	s.flow.pass(now, s.running)
	gap := time.Duration(float64(time.Second) / max(s.flow.rate(s.running), leastReturnRate))
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
