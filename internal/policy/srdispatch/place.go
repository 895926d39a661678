package srdispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferredCount is the number of endpoints that the last part of a prompt hashes to.
	// The second takes the overflow of the first.
	preferredCount = 2
	// cacheGain is the value of a cached prompt, as a fraction of a full load.
	cacheGain = 0.15
	// domainCost is the cost of a hop to another failure domain, as a fraction of a full
	// load.
	domainCost = 0.05
	// unsharedCost is the cost of an endpoint of which this instance has no share, as a
	// fraction of a full load.
	unsharedCost = 1
	// startCost is the cost of an endpoint where the answer would start just in time, as a
	// fraction of a full load.
	startCost = 1.0
	// lateCost puts endpoints where the answer would start late behind all others.
	lateCost = 100
)

// place returns the best available endpoint for an ask, or "" when there is none. An ask
// that can still meet its objective goes to an endpoint where it would start late only
// when no other endpoint is available. median is the median pace of the endpoints.
func (s *Service) place(now time.Time, w *queuedAsk, median float64) string {
	skip := s.skipsUnhealthy(now)
	best, bestCost := "", 0.0
	preferred := s.preferredEndpoints(w.LastPart)
	left := w.Target.Sub(now)
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		if !e.available(now) || !w.accepts(id) {
			continue
		}
		if skip && len(w.Only) == 0 && !e.healthy(now) {
			continue
		}
		cost := s.cost(e, w, median)
		if slices.Contains(preferred[:], id) {
			cost -= cacheGain
		}
		switch start := s.timeToStart(e, w, median); {
		case left <= 0:
			// Already late: leave the fast endpoints to asks that can be in time.
			cost /= e.slowdown(median)
		case start > left:
			cost += lateCost
		default:
			cost += startCost * float64(start) / float64(left)
		}
		if best == "" || cost < bestCost {
			best, bestCost = id, cost
		}
	}
	return best
}

// accepts reports whether an ask may be placed at an endpoint.
func (a Ask) accepts(id string) bool {
	return !slices.Contains(a.Avoid, id) && (len(a.Only) == 0 || slices.Contains(a.Only, id))
}

// hasNoEndpoint reports whether no usable endpoint may get an ask.
func (s *Service) hasNoEndpoint(a Ask) bool {
	if len(a.Only) == 0 {
		return len(s.endpointIDs) == 0
	}
	return !slices.ContainsFunc(s.endpointIDs, a.accepts)
}

// cost returns the load of an endpoint with one more request, as a fraction of its slots,
// multiplied by its slowdown. Endpoints without a share and endpoints in other failure
// domains than the ask cost extra.
func (s *Service) cost(e *endpoint, w *queuedAsk, median float64) float64 {
	cost := float64(e.ownInFlight+e.peerInFlight+1) / float64(e.Slots)
	cost *= e.slowdown(median)
	if e.Share == 0 {
		cost += unsharedCost
	}
	if e.Domain != cmp.Or(w.Domain, s.opts.Domain) {
		cost += domainCost
	}
	return cost
}

// skipsUnhealthy reports whether unhealthy endpoints are skipped. They are not when more
// than maxEjectedShare of the endpoints are unhealthy. Paused endpoints do not count: they
// get no requests in either case.
func (s *Service) skipsUnhealthy(now time.Time) bool {
	out, all := 0, 0
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		if e.paused(now) {
			continue
		}
		all++
		if !e.healthy(now) {
			out++
		}
	}
	return float64(out) <= maxEjectedShare*float64(all)
}

// preferredEndpoints returns the endpoints with the highest rendezvous hash for a prompt
// part. All instances with the same list of endpoints agree on them.
func (s *Service) preferredEndpoints(part string) [preferredCount]string {
	var out [preferredCount]string
	if part == "" {
		return out
	}
	var score [preferredCount]uint64
	for _, id := range s.endpointIDs {
		h := xxhash.Sum64String(part + "/" + id)
		for i := range preferredCount {
			if h > score[i] {
				copy(score[i+1:], score[i:])
				copy(out[i+1:], out[i:])
				score[i], out[i] = h, id
				break
			}
		}
	}
	return out
}

// medianPace returns the median of the known paces, 0 when none is known.
func (s *Service) medianPace() float64 {
	var paces []float64
	for _, id := range s.endpointIDs {
		if p := s.endpoints[id].pace; p > 0 {
			paces = append(paces, p)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
