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
	// runCost is the cost of an endpoint where the answer would end just at the deadline, as a
	// fraction of a full load.
	runCost = 1.0
	// holdMargin is how long before the end of its wait an ask takes an endpoint where it starts
	// late, two intervals at which a queue is looked at.
	holdMargin = 40 * time.Millisecond
	// lateCost puts endpoints where the answer would start late, or not end by the deadline,
	// behind all others.
	lateCost = 100
)

// place returns the best available endpoint for an ask, or "" when there is none. An ask
// that can still meet its objective goes to an endpoint where it would start late, or not end by
// its deadline, only when no endpoint can do better once it has a free slot, or the ask may not
// wait any longer.
func (s *Service) place(now time.Time, w *queuedAsk) string {
	skip := s.skipsUnhealthy(now) && len(w.Only) == 0
	best, bestCost := "", 0.0
	// late is set when the best endpoint would start the answer late or not end it, hold when
	// another one can do better.
	late, hold := false, false
	preferred := s.preferredEndpoints(w.LastPart)
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		if w.exclusion(now, e, skip) != "" {
			continue
		}
		run := s.runTime(now, e, w)
		hold = hold || s.inTime(now, w, e.learned.StartTime(now, w.Prompt), run)
		if !e.available(now) {
			continue
		}
		c := s.score(now, e, w, run, preferred)
		if best == "" || c.cost < bestCost {
			best, bestCost, late = id, c.cost, !c.inTime
		}
	}
	if late && hold && len(w.Only) == 0 && s.waitLimit(w).Sub(now) > holdMargin {
		return ""
	}
	return best
}

// score is what an ask would meet at an endpoint. The one with the lowest cost gets it.
type score struct {
	// start is the predicted time until the answer starts.
	start  time.Duration
	inTime bool
	cost   float64
}

// score returns the score of an endpoint where an answer runs for the time run.
func (s *Service) score(now time.Time, e *endpoint, w *queuedAsk, run time.Duration, preferred [preferredCount]string) score {
	cost := s.cost(now, e, w)
	if slices.Contains(preferred[:], e.ID) {
		cost -= cacheGain
	}
	start := e.timeToStart(now, w)
	inTime := s.inTime(now, w, start, run)
	left := w.Target.Sub(now)
	switch {
	case !inTime:
		cost += lateCost
	case left <= 0:
		// Already late: leave the fast endpoints to asks that can be in time.
		cost /= e.learned.Slowness(now)
	default:
		cost += startCost*float64(start)/float64(left) + runCost*float64(run)/float64(w.Deadline.Sub(now))
	}
	return score{start: start, inTime: inTime, cost: cost}
}

// exclusion returns why an endpoint does not count for an ask, "" if it does. skip is whether
// unhealthy endpoints are skipped.
func (w *queuedAsk) exclusion(now time.Time, e *endpoint, skip bool) Obstacle {
	switch {
	case !w.accepts(e.ID):
		return ObstacleAvoided
	case e.paused(now):
		return ObstaclePaused
	case skip && !e.healthy(now):
		return ObstacleEjected
	}
	return ""
}

// inTime reports whether an answer that starts after start and runs for run meets the objective
// of an ask, unless that has passed, and ends by its deadline.
func (s *Service) inTime(now time.Time, w *queuedAsk, start, run time.Duration) bool {
	if left := w.Target.Sub(now); left > 0 && start > left {
		return false
	}
	return start+run <= w.Deadline.Sub(now)
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

// cost returns the load of an endpoint with one more request, as a fraction of its limit,
// multiplied by its slowness. Endpoints without a share and endpoints in other failure
// domains than the ask cost extra.
func (s *Service) cost(now time.Time, e *endpoint, w *queuedAsk) float64 {
	cost := float64(e.inFlight()+1) / float64(e.learned.Limit())
	cost *= e.learned.Slowness(now)
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
