package srdispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// throughputTimeConstant is the time constant of the average slot use.
	throughputTimeConstant = 2 * time.Second
	// maxMeasureGap is the longest interval between two measurements that counts. A
	// process that was suspended has not seen which requests ended meanwhile.
	maxMeasureGap = time.Second
	// minCompletions is the decayed number of ended requests needed to predict a wait.
	minCompletions = 5.0
	// minReturnRate is the lowest rate, per second, for which the return times of refused
	// callers are scheduled.
	minReturnRate = 1.0
	// startReserve is the fraction of the time to the objective that is reserved for the
	// answer to start. With a longer wait, up to the latest start that is predicted to be
	// in time, fewer asks were served in time (docs/PLATFORM.md).
	startReserve = 0.4
	// maxReturnedWait is how long a returned request may wait. It is already late, and
	// its caller does not return again. Callers of streams leave after two seconds
	// without an event, or later (late.go).
	maxReturnedWait = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers, who do
	// not wait for more than a third (1/retryAfterDivisor) of the time they have left.
	minRetryAfter     = 250 * time.Millisecond
	maxRetryAfter     = 4 * time.Second
	retryAfterDivisor = 3
	// emptyRetryAfter is the retry delay for a service without endpoints.
	emptyRetryAfter = time.Second
)

// throughput measures how long requests hold a slot, from the slots in use and the
// requests that end. The rate of grants would measure the demand rather than the capacity
// as long as slots are free.
type throughput struct {
	// slotSeconds is the time for which slots were held and completions the number of
	// requests that released one. Both decay with throughputTimeConstant.
	slotSeconds float64
	completions float64
	// at is the time of the last measurement.
	at time.Time
}

// advance adds the time for which running requests held their slots since the last call.
func (t *throughput) advance(now time.Time, running int) {
	elapsed := now.Sub(t.at)
	t.at = now
	if elapsed <= 0 || elapsed > maxMeasureGap {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(throughputTimeConstant))
	t.slotSeconds = t.slotSeconds*keep + float64(running)*elapsed.Seconds()
	t.completions *= keep
}

// rate returns how many slots become free per second while running slots are in use, 0
// when too few requests have ended.
func (t *throughput) rate(running int) float64 {
	if t.completions < minCompletions || t.slotSeconds == 0 {
		return 0
	}
	return float64(running) * t.completions / t.slotSeconds
}

// waitLimit returns until when an ask may wait: as long as its answer can still start in
// time, or for a fixed time when it is already late.
func (s *Service) waitLimit(w *queuedAsk) time.Time {
	if w.Resumed {
		return w.Deadline
	}
	limit := w.latestStart()
	if w.late || w.Returned {
		limit = s.patienceLimit(w)
	}
	if limit.After(w.Deadline) {
		return w.Deadline
	}
	return limit
}

// admit refuses an ask at once when no endpoint may get it, or when the asks ahead of it
// will take longer than it may wait.
func (s *Service) admit(now time.Time, w *queuedAsk) []Decision {
	if s.hasNoEndpoint(w.Ask) {
		s.Withdraw(w.ID)
		return []Decision{s.complete(now, w, Decision{Kind: Refused, Reason: ReasonEmpty, After: emptyRetryAfter})}
	}
	if w.Resumed {
		return nil
	}
	if s.pausedBeyondLimit(now, w, s.pauseLeft(now)) {
		s.Withdraw(w.ID)
		return []Decision{s.refuse(now, w, ReasonPaused)}
	}
	wait, known := s.expectedWait(now, w)
	if !known || !now.Add(wait).After(s.waitLimit(w)) {
		return nil
	}
	if s.keep(now, w) {
		s.arrange(w.key)
		return nil
	}
	s.Withdraw(w.ID)
	return []Decision{s.refuse(now, w, ReasonFull)}
}

// expectedWait predicts how long an ask in the queue waits, and reports whether that is known.
func (s *Service) expectedWait(now time.Time, w *queuedAsk) (wait time.Duration, known bool) {
	s.throughput.advance(now, s.running)
	rate := s.throughput.rate(s.running)
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(s.ahead(now, w)+1) / rate * float64(time.Second)), true
}

// ahead counts the asks that are placed before w: all asks ahead of it in the queue, or
// only those of its own rank when that rank is starved and so served first.
func (s *Service) ahead(now time.Time, w *queuedAsk) int {
	starved := s.starved(now, w.key, s.starvationThreshold(now))
	n := 0
	for _, o := range s.queue {
		if o == w {
			break
		}
		if !starved || o.key == w.key {
			n++
		}
	}
	return n
}

// expire refuses the asks that have reached their wait limit, or that no endpoint accepts
// before it.
func (s *Service) expire(now time.Time) []Decision {
	var out []Decision
	var changed []int
	pause := s.pauseLeft(now)
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		late := w.late
		s.passLatestStart(now, w)
		paused := s.pausedBeyondLimit(now, w, pause)
		abandoned := len(w.Only) > 0 && s.hasNoEndpoint(w.Ask)
		stays := !paused && !abandoned && (now.Before(s.waitLimit(w)) || s.keep(now, w))
		if !stays || w.late != late {
			changed = append(changed, w.key)
		}
		if stays {
			i++
			continue
		}
		reason := ReasonLate
		switch {
		case abandoned:
			reason = ReasonEmpty
		case paused:
			reason = ReasonPaused
		}
		s.remove(i)
		out = append(out, s.refuse(now, w, reason))
	}
	slices.Sort(changed)
	for _, key := range slices.Compact(changed) {
		s.arrange(key)
	}
	return out
}

// refuse refuses an ask.
func (s *Service) refuse(now time.Time, w *queuedAsk, reason string) Decision {
	return s.complete(now, w, Decision{Kind: Refused, Reason: reason, After: s.returnDelay(now, w.Deadline, s.roomFor(now, w))})
}

// returnDelay returns the retry delay of a refused caller. Each one gets a different return
// time, spaced by the rate at which slots become free, so that they do not return together.
// While all endpoints are paused, it lies after the first pause if the caller waits that long.
func (s *Service) returnDelay(now, deadline time.Time, room room) time.Duration {
	gap := time.Duration(float64(time.Second) / max(room.rate, minReturnRate))
	pause := s.pauseLeft(now)
	earliest := now.Add(min(max(minRetryAfter, pause, room.after), maxRetryAfter))
	if room.last.Before(earliest) {
		*room.last = earliest
	}
	next := room.last.Add(gap)
	maxAfter := min(maxRetryAfter, max(deadline.Sub(now)/retryAfterDivisor, minRetryAfter))
	after := next.Sub(now)
	if after <= maxAfter || !s.opts.Fair {
		*room.last = next
	}
	if after <= maxAfter {
		return after
	}
	// The next free return time is too late for this caller: pick a random one in the
	// later half of its range, and after the pause if that is within the range. With
	// Options.Fair the free one is left to the next caller.
	first := maxAfter / 2
	if pause < maxAfter {
		first = max(first, pause)
	}
	return first + time.Duration(s.rand.Float64()*float64(maxAfter-first))
}
