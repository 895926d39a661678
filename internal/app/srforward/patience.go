package srforward

import (
	"sync"
	"time"
)

const (
	// freshPart is the part of a route's longest patience below which a client has
	// been trying before. Fresh clients differ by less than that.
	freshPart = 0.75
	// mostRoutes bounds the routes whose patience is kept.
	mostRoutes = 4096
)

// patience learns for how long the clients of a route wait, since a client that
// comes back says so only by the time it has left.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newPatience() *patience { return &patience{longest: make(map[string]time.Duration)} }

// elapsed returns how long a client with so much time left has been trying, 0 for
// a fresh one.
func (p *patience) elapsed(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[route]
	if left > longest {
		if len(p.longest) >= mostRoutes {
			clear(p.longest)
		}
		p.longest[route] = left
		return 0
	}
	if float64(left) >= freshPart*float64(longest) {
		return 0
	}
	return longest - left
}
