package srdispatch

import "time"

// lateWaitShare is the share of its caller's patience for which a late request may wait: 0.5 s
// of the 2 s that most callers have. The rest is for the answer to start, at another endpoint
// if the first one fails.
const lateWaitShare = 0.25

// newQueuedAsk returns an ask as it is queued.
func (s *Service) newQueuedAsk(now time.Time, a Ask) *queuedAsk {
	w := &queuedAsk{Ask: a, key: rankKey(a), queuedAt: now, late: a.Returned}
	if s.opts.Fair {
		// A returned request that can still be in time is like any other.
		w.late = !a.Target.After(now)
	}
	return w
}

// latestStart returns until when an ask may wait so that its answer can start in time.
func (w *queuedAsk) latestStart() time.Time {
	total := w.Target.Sub(w.queuedAt)
	if total <= 0 {
		return w.queuedAt.Add(maxReturnedWait)
	}
	return w.queuedAt.Add(time.Duration(float64(total) * (1 - startReserve)))
}

// patienceLimit returns until when an ask may wait that is returned or late.
func (s *Service) patienceLimit(w *queuedAsk) time.Time {
	if !s.opts.Fair || w.Patience <= 0 {
		return w.queuedAt.Add(maxReturnedWait)
	}
	// A caller does not wait past the deadline, however patient it is.
	patience := min(w.Patience, w.Deadline.Sub(w.queuedAt))
	return w.queuedAt.Add(max(time.Duration(float64(patience)*lateWaitShare), maxReturnedWait))
}

// nextChange returns when an ask reaches its wait limit, or when it cannot be in time any more.
func (s *Service) nextChange(w *queuedAsk) time.Time {
	limit := s.waitLimit(w)
	if t := w.latestStart(); s.opts.Fair && !w.Resumed && !w.late && t.Before(limit) {
		return t
	}
	return limit
}

// passLatestStart marks a returned ask that cannot be in time any more as late.
func (s *Service) passLatestStart(now time.Time, w *queuedAsk) {
	if s.opts.Fair && w.Returned && !w.Resumed && !now.Before(w.latestStart()) {
		w.late = true
	}
}

// longestWait returns until when an ask may wait if it is kept.
func (s *Service) longestWait(w *queuedAsk) time.Time {
	limit := s.waitLimit(w)
	if t := s.patienceLimit(w); s.opts.Fair && !w.Resumed && t.After(limit) {
		limit = t
	}
	if limit.After(w.Deadline) {
		return w.Deadline
	}
	return limit
}

// keep decides whether an ask that cannot be in time any more waits on behind its rank instead
// of being refused: when the slots that asks in time leave free reach it within its patience,
// or when all endpoints are paused and a pause ends within it.
func (s *Service) keep(now time.Time, w *queuedAsk) bool {
	if !s.opts.Fair || w.Resumed || w.Returned || w.late {
		return false
	}
	left := s.longestWait(w).Sub(now)
	if left <= 0 || s.running == 0 && s.pauseLeft(now) == 0 {
		return false
	}
	s.throughput.advance(now, s.running)
	if rate := s.throughput.rate(s.running); rate > 0 {
		rate -= s.timelyRate(now, w.key)
		if rate <= 0 || float64(s.upTo(w))/rate > left.Seconds() {
			return false
		}
	}
	w.late, w.kept = true, true
	return true
}

// timelyRate returns how many asks in time are placed per second of a rank and those above it.
func (s *Service) timelyRate(now time.Time, key int) float64 {
	n := 0.0
	for k, r := range s.ranks {
		if k <= key {
			r.decay(now)
			n += r.timely
		}
	}
	return n / rankTimeConstant.Seconds()
}

// upTo counts the waiting asks of the rank of an ask and those above it.
func (s *Service) upTo(w *queuedAsk) int {
	n := 0
	for _, o := range s.queue {
		if o.Resumed || o.key <= w.key {
			n++
		}
	}
	return n
}

// room is when refused callers may return.
type room struct {
	// last is the latest return time that another caller got.
	last *time.Time
	// after is the time until there is room, rate the slots per second that are free then.
	after time.Duration
	rate  float64
}

// room returns the room for callers of any rank.
func (s *Service) room(now time.Time) room {
	s.throughput.advance(now, s.running)
	return room{last: &s.lastReturn, rate: s.throughput.rate(s.running)}
}

// roomFor returns the room for the caller of a refused ask. With Options.Fair it is what asks
// in time leave free, after all that waits of its rank and those above it and after the callers
// of higher ranks that return.
func (s *Service) roomFor(now time.Time, w *queuedAsk) room {
	out := s.room(now)
	if !s.opts.Fair {
		return out
	}
	key := w.key
	out.last = &s.rank(now, w.Ask).lastReturn
	out.after = time.Duration(float64(s.upTo(w)) / max(out.rate, minReturnRate) * float64(time.Second))
	out.rate -= s.timelyRate(now, key)
	for k, r := range s.ranks {
		if k < key {
			out.after = max(out.after, r.lastReturn.Sub(now))
		}
	}
	return out
}
