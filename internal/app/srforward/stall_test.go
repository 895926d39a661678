package srforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that was suspended could not read what its endpoints sent, so the timer
// must start again instead of reporting a stall.
func TestSuspensionIsNotAStall(t *testing.T) {
	s := newStallTimer(time.Hour, func(time.Duration) {})
	defer s.disarm()
	start := s.armedAt
	expired := func(at time.Time) bool {
		_, expired := s.expired(at)
		return expired
	}
	assert.Assert(t, !expired(start.Add(time.Hour-time.Millisecond)))
	assert.Assert(t, expired(start.Add(time.Hour+stallSlack)))
	woken := start.Add(3 * time.Hour)
	assert.Assert(t, !expired(woken))
	assert.Assert(t, !expired(woken.Add(time.Minute)))
	assert.Assert(t, expired(woken.Add(time.Hour)))
	s.disarm()
	assert.Assert(t, !expired(woken.Add(time.Hour)))
}
