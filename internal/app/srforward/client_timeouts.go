package srforward

import (
	"sync"
	"time"
)

const (
	// retryRatio is the fraction of a route's longest client timeout below which a
	// request counts as a retry. The timeouts of new requests vary by less than that.
	retryRatio = 0.75
	// maxTrackedRoutes limits the number of routes whose longest timeout is kept.
	maxTrackedRoutes = 4096
)

// clientTimeouts tracks the longest client timeout of each route. A client that
// retries states only its remaining time, so the difference to the longest timeout
// is the only sign of how long it has been trying.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{longest: make(map[string]time.Duration)}
}

// elapsed returns how long a client with the given remaining time has been trying,
// 0 for a new request.
func (c *clientTimeouts) elapsed(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.longest[route]
	if left > longest {
		if len(c.longest) >= maxTrackedRoutes {
			clear(c.longest)
		}
		c.longest[route] = left
		return 0
	}
	if float64(left) >= retryRatio*float64(longest) {
		return 0
	}
	return longest - left
}
