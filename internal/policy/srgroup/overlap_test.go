package srgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowHolderAddsNoSlots: messages take 2 ms beside answers of 20 ms. One of ten holders, whose
// messages take half a second, does not add slots for the others.
func TestSlowHolderAddsNoSlots(t *testing.T) {
	const ran = 20 * time.Millisecond
	now := epoch
	var o overlap
	for range 100 {
		for range 9 {
			now = now.Add(time.Millisecond)
			o.observe(now, ran+2*time.Millisecond, ran)
		}
		o.observe(now, ran+500*time.Millisecond, ran)
	}
	assert.Equal(t, o.slots(8), 9)
}

// TestOverlapIsBounded: messages take as long as answers, and half of the slots are added.
func TestOverlapIsBounded(t *testing.T) {
	now := epoch
	var o overlap
	for range 1000 {
		now = now.Add(time.Millisecond)
		o.observe(now, 6*time.Millisecond+2*time.Microsecond, 3*time.Millisecond+time.Microsecond)
	}
	assert.Equal(t, o.slots(8), 12)
}
