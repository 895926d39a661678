package srforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandstillIsNotAStall: a process that was stopped has not looked, so the
// silence of its endpoints says nothing.
func TestStandstillIsNotAStall(t *testing.T) {
	s := newStall(time.Hour, func() {})
	defer s.disarm()
	start := s.armed
	assert.Assert(t, !s.due(start.Add(time.Hour-time.Millisecond)))
	assert.Assert(t, s.due(start.Add(time.Hour+stallSlack)))
	woken := start.Add(3 * time.Hour)
	assert.Assert(t, !s.due(woken))
	assert.Assert(t, !s.due(woken.Add(time.Minute)))
	assert.Assert(t, s.due(woken.Add(time.Hour)))
	s.disarm()
	assert.Assert(t, !s.due(woken.Add(time.Hour)))
}
