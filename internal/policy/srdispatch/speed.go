package srdispatch

import "time"

const (
	// startsKept is the number of starts over which their times are averaged.
	startsKept = 200.0
	// leastStarts is how many starts are seen before a time is predicted.
	leastStarts = 20.0
	// mostSpeed bounds how much slower than the others an endpoint can look.
	mostSpeed = 20.0
)

// starts predicts when an answer begins from the prompt tokens ahead of it, by a
// line through the starts seen so far.
type starts struct {
	n, x, y, xx, xy float64
}

// observe takes a start: so many tokens were to be read, and it took so long at
// an endpoint of middle speed.
func (s *starts) observe(tokens, seconds float64) {
	f := 1 - 1/startsKept
	s.n = s.n*f + 1
	s.x = s.x*f + tokens
	s.y = s.y*f + seconds
	s.xx = s.xx*f + tokens*tokens
	s.xy = s.xy*f + tokens*seconds
}

// predict returns the seconds for so many tokens, 0 when little is known.
func (s *starts) predict(tokens float64) float64 {
	if s.n < leastStarts {
		return 0
	}
	slope := 0.0
	if spread := s.n*s.xx - s.x*s.x; spread > 0 {
		slope = max((s.n*s.xy-s.x*s.y)/spread, 0)
	}
	base := max((s.y-slope*s.x)/s.n, 0)
	return base + slope*tokens
}

// speed returns how many times as long as at the others work takes here.
func (e *endpoint) speed(median float64) float64 {
	if e.pace == 0 || median == 0 {
		return 1
	}
	return min(max(e.pace/median, 1/mostSpeed), mostSpeed)
}

// start predicts when an ask's answer begins at an endpoint.
func (s *Service) start(e *endpoint, w *waiting, median float64) time.Duration {
	seconds := s.starts.predict(float64(e.pending+w.Prompt)) * e.speed(median)
	return time.Duration(seconds * float64(time.Second))
}
