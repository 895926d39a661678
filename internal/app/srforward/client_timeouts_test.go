package srforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// New requests of a route state between 85 and 100 percent of its longest timeout
// and must not be mistaken for retries.
func TestNewRequestsAreNotTakenForRetries(t *testing.T) {
	p := newClientTimeouts()
	for i := range 100 {
		left := 15*time.Second - time.Duration(i*37%100)*22*time.Millisecond
		assert.Equal(t, p.elapsed("r", left), time.Duration(0), "%v", left)
	}
	assert.Equal(t, p.elapsed("r", 10*time.Second), 5*time.Second)
	assert.Equal(t, p.elapsed("other", 10*time.Second), time.Duration(0))
	assert.Equal(t, p.elapsed("r", 0), time.Duration(0))
}
