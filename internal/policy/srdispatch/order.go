package srdispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srfair"
)

const (
	// rankTimeConstant is the time constant of the averages of arrivals and grants per
	// rank.
	rankTimeConstant = 3 * time.Second
	// minServedShare is the fraction of the served share of all ranks below which a rank
	// is served first. The requirement is a quarter; the margin allows for variation.
	minServedShare = 0.4
	// minArrivals is the decayed number of arrivals from which the served share of a rank
	// is meaningful.
	minArrivals = 5
	// maxRanks bounds the ranks that are remembered without a waiting ask, several times those
	// of a large deployment: other instances state the ranks of their asks.
	maxRanks = 256
	// routeRanks is the number of different ranks of routes.
	routeRanks = 1 << 16
	// maxWorkspaceRank bounds the ranks of workspaces, so that keys do not overflow.
	maxWorkspaceRank = 1 << 31
)

// queuedAsk is an ask in the queue.
type queuedAsk struct {
	Ask
	// key is the rankKey of the ask.
	key      int
	queuedAt time.Time
	// late marks an ask that goes after those of its rank and workspace that can be in time.
	late bool
	// kept marks an ask that was not refused although it cannot be in time any more. It goes
	// after all others of its rank.
	kept bool
	// tag orders the asks of a rank when slots are divided between workspaces.
	tag float64
}

// rank counts the arrivals and the grants of requests of equal rank. The counts decay with
// rankTimeConstant.
type rank struct {
	arrivals float64
	served   float64
	// timely counts those served that were not late.
	timely    float64
	lastDecay srdecay.Decay
	// shares divides the slots of the rank between workspaces.
	shares *srfair.Shares
	// lastReturn is the latest return time scheduled for a refused caller of the rank.
	lastReturn time.Time
	// usedAt is when an ask of the rank last came or was decided.
	usedAt time.Time
}

// rankKey orders ranks by workspace, then by route. A lower key comes first. Ranks out of
// bounds count as the nearest one within.
func rankKey(a Ask) int {
	workspace := min(max(a.Workspace, -maxWorkspaceRank), maxWorkspaceRank)
	route := min(max(a.Route, -routeRanks/2), routeRanks/2-1)
	return workspace*routeRanks + route
}

func (s *Service) rank(now time.Time, a Ask) *rank {
	key := rankKey(a)
	r, ok := s.ranks[key]
	if !ok {
		if len(s.ranks) >= maxRanks {
			s.forgetRank()
		}
		r = &rank{shares: srfair.New()}
		s.ranks[key] = r
	}
	r.usedAt = now
	return r
}

// forgetRank forgets the rank that was not used for longest, of those without a waiting ask.
func (s *Service) forgetRank() {
	waiting := make(map[int]bool)
	for _, w := range s.queue {
		waiting[w.key] = true
	}
	var oldest *rank
	oldestKey := 0
	for key, r := range s.ranks {
		if !waiting[key] && (oldest == nil || r.usedAt.Before(oldest.usedAt) || r.usedAt.Equal(oldest.usedAt) && key > oldestKey) {
			oldest, oldestKey = r, key
		}
	}
	if oldest != nil {
		delete(s.ranks, oldestKey)
	}
}

func (r *rank) addArrival(now time.Time) {
	r.decay(now)
	r.arrivals++
}

func (r *rank) addGrant(now time.Time, late bool) {
	r.decay(now)
	r.served++
	if !late {
		r.timely++
	}
}

func (r *rank) decay(now time.Time) {
	factor := r.lastDecay.Factor(now, rankTimeConstant)
	r.arrivals *= factor
	r.served *= factor
	r.timely *= factor
}

// share returns the served share of the arrivals, 1 when there are none.
func (r *rank) share() float64 {
	if r.arrivals == 0 {
		return 1
	}
	return r.served / r.arrivals
}

// insert adds an ask at its place in the queue.
func (s *Service) insert(w *queuedAsk) {
	i := len(s.queue)
	for i > 0 && w.precedes(s.queue[i-1]) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, w)
	s.arrange(w.key)
}

func (s *Service) remove(i int) {
	s.queue = slices.Delete(s.queue, i, i+1)
}

// precedes orders asks: resumed streams first, then by rank. Within a rank, asks that can
// still meet their objective precede late ones, and earlier objectives precede later ones;
// with Options.Fair, this is the order of each workspace alone (fair.go).
func (w *queuedAsk) precedes(o *queuedAsk) bool {
	if w.Resumed != o.Resumed {
		return w.Resumed
	}
	if w.key != o.key {
		return w.key < o.key
	}
	return compareAsks(w, o) < 0
}

// compareAsks orders the asks of one workspace and rank.
func compareAsks(a, b *queuedAsk) int {
	if c := cmp.Compare(a.lateness(), b.lateness()); c != 0 {
		return c
	}
	return a.Target.Compare(b.Target)
}

// lateness is 0 for an ask that can still be in time, 1 for a late one, 2 for one that was kept.
func (w *queuedAsk) lateness() int {
	switch {
	case w.kept:
		return 2
	case w.late:
		return 1
	}
	return 0
}

// nextIndex returns the index of the next ask to place: the first in the queue, unless a
// lower rank is starved.
func (s *Service) nextIndex(now time.Time) int {
	if s.queue[0].Resumed || len(s.ranks) < 2 {
		return 0
	}
	threshold := s.starvationThreshold(now)
	checked := s.queue[0].key
	for i, w := range s.queue {
		key := w.key
		if key == checked {
			continue
		}
		if s.starved(now, key, threshold) {
			return i
		}
		checked = key
	}
	return 0
}

// starvationThreshold returns the served share below which a rank is starved, 0 when
// there are too few arrivals to tell.
func (s *Service) starvationThreshold(now time.Time) float64 {
	var arrivals, served float64
	for _, r := range s.ranks {
		r.decay(now)
		arrivals += r.arrivals
		served += r.served
	}
	if arrivals < minArrivals {
		return 0
	}
	return minServedShare * served / arrivals
}

// starved reports whether the served share of a rank is below threshold.
func (s *Service) starved(now time.Time, key int, threshold float64) bool {
	r := s.ranks[key]
	r.decay(now)
	return r.arrivals >= minArrivals && r.share() < threshold
}
