package srdispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fixedWork is the work of a request besides its prompt, in prompt tokens: any request holds a
	// slot for its answer. A prompt of a page is about as long.
	fixedWork = 1000
	// fitReserve is the fraction of the throughput on which fits does not count, since more asks
	// come meanwhile. With none, the other workspaces lose some that could have been in time.
	fitReserve = 0.2
)

// work returns the work of an ask for the division between workspaces.
func (a Ask) work() float64 { return float64(a.Prompt + fixedWork) }

// arrange orders the waiting asks of one rank, which is done after each change of the queue
// except the placement of the next ask: that one leaves the tags of the others as they are.
func (s *Service) arrange(key int) {
	if !s.opts.Fair {
		return
	}
	lo := 0
	for lo < len(s.queue) && (s.queue[lo].Resumed || s.queue[lo].key < key) {
		lo++
	}
	hi := lo
	for hi < len(s.queue) && s.queue[hi].key == key {
		hi++
	}
	list := s.queue[lo:hi]
	if len(list) < 2 {
		return
	}
	slices.SortStableFunc(list, compareAsks)
	if s.fits(list, lo) {
		return
	}
	shares := s.ranks[key].shares
	next := make(map[string]float64)
	for _, w := range list {
		tag, ok := next[w.WorkspaceName]
		if !ok {
			tag = shares.Start(w.WorkspaceName)
		}
		w.tag = tag
		next[w.WorkspaceName] = tag + shares.Span(w.Weight, w.work())
	}
	slices.SortStableFunc(list, func(a, b *queuedAsk) int {
		if a.kept != b.kept {
			return compareAsks(a, b)
		}
		return cmp.Compare(a.tag, b.tag)
	})
}

// fits reports whether each ask of a rank that was not kept is reached within its limit when
// they are served in the order of list, after others ahead of them and beside the asks of
// higher ranks that come meanwhile. Nobody gains from a division then.
func (s *Service) fits(list []*queuedAsk, others int) bool {
	rate := (1 - fitReserve) * s.throughput.rate(s.running)
	for key, r := range s.ranks {
		if key < list[0].key {
			rate -= r.timely / rankTimeConstant.Seconds()
		}
	}
	if rate <= 0 {
		return false
	}
	now := s.throughput.at
	for i, w := range list {
		wait := time.Duration(float64(others+i+1) / rate * float64(time.Second))
		if !w.kept && now.Add(wait).After(s.nextChange(w)) {
			return false
		}
	}
	return true
}

// charge records that an ask was placed.
func (s *Service) charge(now time.Time, w *queuedAsk) {
	r := s.rank(now, w.Ask)
	r.addGrant(now, w.late)
	if s.opts.Fair && !w.Resumed {
		r.shares.Serve(now, w.WorkspaceName, w.Weight, w.work())
	}
}
