package srdispatch

import (
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

const (
	// rankSpan is the time over which arrivals and grants of a rank are averaged.
	rankSpan = 3 * time.Second
	// leastShare is the part of the served share of all ranks below which a rank
	// goes first. The users ask for a quarter; the rest is for its variation.
	leastShare = 0.4
	// leastArrivals is the weight of arrivals from which a rank's share counts.
	leastArrivals = 5
)

// waiting is an ask in the queue.
type waiting struct {
	Ask
	since time.Time
}

// rank counts the arrivals and grants of requests of equal rank.
type rank struct {
	arrivals float64
	served   float64
	fade     srdecay.Decay
}

// rankKey orders ranks: the workspace first, then the route.
func rankKey(a Ask) int {
	const routes = 1 << 16
	return a.Workspace*routes + a.Route
}

func (s *Service) rank(a Ask) *rank {
	key := rankKey(a)
	r, ok := s.ranks[key]
	if !ok {
		r = &rank{}
		s.ranks[key] = r
	}
	return r
}

func (r *rank) arrive(now time.Time) {
	r.decay(now)
	r.arrivals++
}

func (r *rank) serve(now time.Time) {
	r.decay(now)
	r.served++
}

func (r *rank) decay(now time.Time) {
	keep := r.fade.Keep(now, rankSpan)
	r.arrivals *= keep
	r.served *= keep
}

func (r *rank) share() float64 {
	if r.arrivals == 0 {
		return 1
	}
	return r.served / r.arrivals
}

// insert keeps the queue in order.
func (s *Service) insert(w *waiting) {
	i := len(s.queue)
	for i > 0 && w.before(s.queue[i-1]) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, w)
}

func (s *Service) remove(i int) {
	s.queue = slices.Delete(s.queue, i, i+1)
}

// before orders asks: streams that have begun, then the rank, then those that can
// be in time before those that came back late, then the earliest objective.
func (w *waiting) before(o *waiting) bool {
	if w.Resumed != o.Resumed {
		return w.Resumed
	}
	if a, b := rankKey(w.Ask), rankKey(o.Ask); a != b {
		return a < b
	}
	if w.Returned != o.Returned {
		return o.Returned
	}
	return w.Target.Before(o.Target)
}

// head returns the index of the ask whose turn it is: the first in order, unless
// a lower rank has been served far less than all.
func (s *Service) head(now time.Time) int {
	if s.queue[0].Resumed || len(s.ranks) < 2 {
		return 0
	}
	least := s.leastServed(now)
	first := rankKey(s.queue[0].Ask)
	for i, w := range s.queue {
		key := rankKey(w.Ask)
		if key == first {
			continue
		}
		if s.starved(now, key, least) {
			return i
		}
		first = key
	}
	return 0
}

// leastServed is the part of its requests below which a rank goes first.
func (s *Service) leastServed(now time.Time) float64 {
	var arrivals, served float64
	for _, r := range s.ranks {
		r.decay(now)
		arrivals += r.arrivals
		served += r.served
	}
	if arrivals < leastArrivals {
		return 0
	}
	return leastShare * served / arrivals
}

// starved reports whether a rank is served less than that.
func (s *Service) starved(now time.Time, key int, least float64) bool {
	r := s.ranks[key]
	r.decay(now)
	return r.arrivals >= leastArrivals && r.share() < least
}
