package srdispatch

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// LimitChange is a change in the number of requests that an endpoint gets at once.
type LimitChange struct {
	Endpoint string
	Limit    int
	Slots    int
	// Running is the number of requests in flight there.
	Running int
	// Slowness is the time that answers of the endpoint take relative to the median of the
	// endpoints with the same load.
	Slowness float64
	Reason   srlimit.Reason
}

// LimitChanges returns and clears the changes since the last call. The limiter bounds them.
func (s *Service) LimitChanges(now time.Time) []LimitChange {
	var out []LimitChange
	for _, c := range s.limiter.Changes() {
		for id, e := range s.endpoints {
			if e.learned == c.Endpoint {
				out = append(out, LimitChange{Endpoint: id, Limit: c.Limit, Slots: c.Slots, Running: e.inFlight(), Slowness: e.learned.Slowness(now), Reason: c.Reason})
			}
		}
	}
	return out
}

// Limits returns the number of requests that each usable endpoint gets at most at once.
func (s *Service) Limits() map[string]int {
	out := make(map[string]int, len(s.endpointIDs))
	for _, id := range s.endpointIDs {
		out[id] = s.endpoints[id].learned.Limit()
	}
	return out
}

// probeLimits raises the limits that keep asks waiting where the endpoints may take more. It
// reports whether it has raised any.
func (s *Service) probeLimits(now time.Time) bool {
	raised := false
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		if e.learned.Limit() < e.Slots && e.freeSlots() <= 0 && e.healthy(now) && !e.paused(now) && e.learned.Probe(now) {
			raised = true
		}
	}
	return raised
}

// timeToStart predicts the time until an ask's answer starts at an endpoint.
func (e *endpoint) timeToStart(now time.Time, w *queuedAsk) time.Duration {
	return e.learned.StartTime(now, e.pendingTokens+e.peerPending+w.Prompt)
}
