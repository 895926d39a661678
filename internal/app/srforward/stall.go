package srforward

import (
	"sync"
	"time"
)

// stallSlack is how late a timer may fire before the process is taken to have
// stood still; timers of a loaded process are late by some tens of milliseconds.
const stallSlack = 150 * time.Millisecond

// stall calls a function when an endpoint has sent nothing for a time. It counts
// only the time in which this process could have seen something: after it stood
// still itself, the time begins again.
type stall struct {
	call func(silent time.Duration)

	mu    sync.Mutex
	wait  time.Duration
	timer *time.Timer
	armed time.Time
	off   bool
}

// newStall returns a stall whose time begins now.
func newStall(wait time.Duration, call func(silent time.Duration)) *stall {
	s := &stall{wait: wait, call: call, armed: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(wait, s.fire)
	return s
}

// arm begins another time.
func (s *stall) arm(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off, s.wait, s.armed = false, wait, time.Now()
	s.timer.Reset(s.wait)
}

// disarm ends the wait, such as while the client is written to.
func (s *stall) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off = true
	s.timer.Stop()
}

func (s *stall) fire() {
	if silent, due := s.due(time.Now()); due {
		s.call(silent)
	}
}

// due reports whether the time is over, and begins it anew after a standstill.
func (s *stall) due(now time.Time) (silent time.Duration, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	past := now.Sub(s.armed)
	switch {
	case s.off || past < s.wait:
		return past, false
	case past > s.wait+stallSlack:
		s.armed = now
		s.timer.Reset(s.wait)
		return past, false
	}
	return past, true
}
