package srdispatch

import (
	"cmp"
	"slices"
	"time"
)

// fixedWork is the work of a request besides its prompt, in prompt tokens: any request holds a
// slot for its answer. A prompt of a page is about as long.
const fixedWork = 1000

// work returns the work of an ask for the division between workspaces.
func (a Ask) work() float64 { return float64(a.Prompt + fixedWork) }

// arrange orders the waiting asks of one rank, which is done after each change of the queue
// except the placement of the next ask: that one leaves the tags of the others as they are.
func (s *Service) arrange(key int) {
	if !s.opts.Fair {
		return
	}
	lo := 0
	for lo < len(s.queue) && (s.queue[lo].Resumed || rankKey(s.queue[lo].Ask) < key) {
		lo++
	}
	hi := lo
	for hi < len(s.queue) && rankKey(s.queue[hi].Ask) == key {
		hi++
	}
	list := s.queue[lo:hi]
	if len(list) < 2 {
		return
	}
	slices.SortStableFunc(list, compareAsks)
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

// compareAsks orders the asks of one workspace and rank, as precedes does.
func compareAsks(a, b *queuedAsk) int {
	switch {
	case a.precedes(b):
		return -1
	case b.precedes(a):
		return 1
	}
	return 0
}

// charge records that an ask was placed.
func (s *Service) charge(now time.Time, w *queuedAsk) {
	r := s.rank(w.Ask)
	r.addGrant(now, w.late)
	if s.opts.Fair && !w.Resumed {
		r.shares.Serve(now, w.WorkspaceName, w.Weight, w.work())
	}
}
