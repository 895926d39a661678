package srdispatch

import "time"

// maxPause bounds the time for which an endpoint may ask for no requests. An endpoint that
// states a longer time, such as one in a wrong unit, is tried again after it.
const maxPause = 10 * time.Minute

// Pause records that an incarnation of an endpoint has answered that it wants no requests
// from this instance for d. Other answers of the endpoint do not shorten the pause, and its
// health has no influence on it. Pause returns the time until the endpoint is used again,
// 0 when that incarnation is not known.
func (s *Service) Pause(now time.Time, id string, born int64, d time.Duration) time.Duration {
	e, ok := s.endpoints[id]
	if !ok || e.Born != born {
		return 0
	}
	if until := now.Add(min(d, maxPause)); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return e.pausedUntil.Sub(now)
}

// Paused reports whether an endpoint has asked for no requests. A request that was placed
// before must not be sent then.
func (s *Service) Paused(now time.Time, id string) bool {
	e, ok := s.endpoints[id]
	return ok && e.paused(now)
}

// AllPaused reports whether all usable endpoints are paused.
func (s *Service) AllPaused(now time.Time) bool { return s.pauseLeft(now) > 0 }

// PauseDelay returns the retry delay of a refused caller with a deadline while all usable
// endpoints are paused, 0 otherwise.
func (s *Service) PauseDelay(now, deadline time.Time) time.Duration {
	if s.pauseLeft(now) == 0 {
		return 0
	}
	return s.returnDelay(now, deadline, s.room(now))
}

// pauseLeft returns the time until the first pause of an endpoint ends, 0 unless all usable
// endpoints are paused.
func (s *Service) pauseLeft(now time.Time) time.Duration {
	var left time.Duration
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		if !e.paused(now) {
			return 0
		}
		if l := e.pausedUntil.Sub(now); left == 0 || l < left {
			left = l
		}
	}
	return left
}

// pausedBeyondLimit reports whether an ask may no longer wait when a pause of all endpoints
// ends, which is left.
func (s *Service) pausedBeyondLimit(now time.Time, w *queuedAsk, left time.Duration) bool {
	return left > 0 && !w.Resumed && now.Add(left).After(s.longestWait(w))
}

func (e *endpoint) paused(now time.Time) bool { return now.Before(e.pausedUntil) }
