package srforward

import (
	"sync"
	"time"
)

// stallSlack is how late the timer may fire before the process counts as having been
// suspended. Timers of a loaded process are late by some tens of milliseconds.
const stallSlack = 150 * time.Millisecond

// stallTimer calls a function when an endpoint has sent nothing for some time. Only
// time in which this process could have read something counts: if the process was
// suspended, the time starts again.
type stallTimer struct {
	onStall func(silent time.Duration)

	mu       sync.Mutex
	timeout  time.Duration
	timer    *time.Timer
	armedAt  time.Time
	disarmed bool
	// stalled is set once onStall has been called.
	stalled bool
}

// newStallTimer returns a stallTimer that is armed.
func newStallTimer(timeout time.Duration, onStall func(silent time.Duration)) *stallTimer {
	s := &stallTimer{timeout: timeout, onStall: onStall, armedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(timeout, s.fire)
	return s
}

// arm starts the time again with another timeout.
func (s *stallTimer) arm(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disarmed, s.timeout, s.armedAt = false, timeout, time.Now()
	s.timer.Reset(s.timeout)
}

// disarm stops the timer, such as during a write to the client.
func (s *stallTimer) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disarmed = true
	s.timer.Stop()
}

func (s *stallTimer) fire() {
	if silent, expired := s.expired(time.Now()); expired {
		s.onStall(silent)
	}
}

// expired reports whether the timeout has passed. It starts the time again if the
// process was suspended.
func (s *stallTimer) expired(now time.Time) (silent time.Duration, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.armedAt)
	switch {
	case s.disarmed || elapsed < s.timeout:
		return elapsed, false
	case elapsed > s.timeout+stallSlack:
		s.armedAt = now
		s.timer.Reset(s.timeout)
		return elapsed, false
	}
	s.stalled = true
	return elapsed, true
}

// hasStalled reports whether the timeout has passed at any time.
func (s *stallTimer) hasStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}
