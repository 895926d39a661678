package srforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandstillIsNotAStall: a process that was stopped has not looked, so the
// silence of its endpoints says nothing.
func TestStandstillIsNotAStall(t *testing.T) {
	s := newStall(time.Hour, func(time.Duration) {})
	defer s.disarm()
	start := s.armed
	due := func(at time.Time) bool {
		_, due := s.due(at)
		return due
	}
	assert.Assert(t, !due(start.Add(time.Hour-time.Millisecond)))
	assert.Assert(t, due(start.Add(time.Hour+stallSlack)))
	woken := start.Add(3 * time.Hour)
	assert.Assert(t, !due(woken))
	assert.Assert(t, !due(woken.Add(time.Minute)))
	assert.Assert(t, due(woken.Add(time.Hour)))
	s.disarm()
	assert.Assert(t, !due(woken.Add(time.Hour)))
}
