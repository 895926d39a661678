package srdispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// homes is how many endpoints a prompt's last part is hashed to; the second
	// takes what the first has no room for.
	homes = 2
	// homeGain is the part of a full load that a prompt in the cache is worth.
	homeGain = 1.0
	// domainCost is the part of a full load that a hop to another failure domain
	// costs.
	domainCost = 0.05
	// spillCost is the part of a full load that an endpoint of other instances
	// costs.
	spillCost = 1
	// lateCost puts endpoints where an answer would begin late behind all others.
	lateCost = 100
)

// place returns the best endpoint for an ask that has room, "" for none. What can
// be in time goes to an endpoint where it would be late only when no other has room.
// median is the pace of a middle endpoint.
func (s *Service) place(now time.Time, w *waiting, median float64) string {
	skip := s.skipUnsound(now)
	best, bestCost := "", 0.0
	near := s.homesOf(w.Last)
	left := w.Target.Sub(now)
	for _, id := range s.order {
		e := s.endpoints[id]
		if !e.open(now) || slices.Contains(w.Avoid, id) {
			continue
		}
		if skip && !e.sound(now) {
			continue
		}
		cost := s.cost(e, median)
		if slices.Contains(near[:], id) {
			cost -= homeGain
		}
		switch start := s.start(e, w, median); {
		case left <= 0:
			// Late already: leave the fast endpoints to others.
			cost /= e.speed(median)
		case start > left:
			cost += lateCost
		}
		if best == "" || cost < bestCost {
			best, bestCost = id, cost
		}
	}
	return best
}

// cost is the load of an endpoint with one more request, in parts of its slots,
// times its pace against the others'.
func (s *Service) cost(e *endpoint, median float64) float64 {
	cost := float64(e.mine+e.others+1) / float64(e.Slots)
	cost *= e.speed(median)
	if e.Share == 0 {
		cost += spillCost
	}
	if e.Domain != s.opts.Domain {
		cost += domainCost
	}
	return cost
}

// skipUnsound reports whether unsound endpoints are left out: not when that
// would leave out most of them.
func (s *Service) skipUnsound(now time.Time) bool {
	out := 0
	for _, id := range s.order {
		if !s.endpoints[id].sound(now) {
			out++
		}
	}
	return float64(out) <= mostOut*float64(len(s.order))
}

// homesOf returns the endpoints that rank highest for a part, the same at every
// instance that knows the same endpoints.
func (s *Service) homesOf(part string) [homes]string {
	var out [homes]string
	if part == "" {
		return out
	}
	var score [homes]uint64
	for _, id := range s.order {
		h := xxhash.Sum64String(part + "/" + id)
		for i := range homes {
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

// medianPace returns the middle of the known paces, 0 when none is known.
func (s *Service) medianPace() float64 {
	var paces []float64
	for _, id := range s.order {
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
