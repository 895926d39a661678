package srslot

import (
	"cmp"
	"container/heap"
	"container/list"
	"math"
	"slices"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// waiter is a waiting ask.
type waiter struct {
	ask sr.Ask
	seq uint64
	// arrived is when the ask came first, asked when it was last repeated.
	arrived time.Time
	asked   time.Time
	// deadline and firstBy are zero when the ask has no budget.
	deadline time.Time
	firstBy  time.Time
	// service is the expected service time.
	service time.Duration
	flow    *flow
	queue   *tierQueue
}

func (w *waiter) expired(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

// compareWaiters orders by deadline, then by arrival; no deadline comes last.
func compareWaiters(a, b *waiter) int {
	if a.deadline.Equal(b.deadline) {
		return compareSeq(a, b)
	}
	if a.deadline.IsZero() {
		return 1
	}
	if b.deadline.IsZero() {
		return -1
	}
	return a.deadline.Compare(b.deadline)
}

func compareSeq(a, b *waiter) int {
	if a.seq < b.seq {
		return -1
	}
	if a.seq > b.seq {
		return 1
	}
	return 0
}

// flow is the queue of one workspace within a tier.
type flow struct {
	workspace string
	share     float64
	// start is the virtual start time of the flow's next ask.
	start   float64
	waiters []*waiter
	service time.Duration
	// index is the place in the heap, -1 when no ask waits.
	index int
	idle  *list.Element
}

func (f *flow) insert(w *waiter) {
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Insert(f.waiters, i, w)
	f.service += w.service
}

func (f *flow) remove(w *waiter) {
	i, found := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	if !found {
		return
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	f.service -= w.service
}

// backlog returns the waiting work over the share.
func (f *flow) backlog() float64 { return f.service.Seconds() / f.share }

// newest returns the ask that came last.
func (f *flow) newest() *waiter {
	return slices.MaxFunc(f.waiters, compareSeq)
}

// flowHeap orders flows by virtual start time, then by their first deadline.
type flowHeap struct {
	flows   []*flow
	arrival bool
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if h.arrival {
		return a.waiters[0].seq < b.waiters[0].seq
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return compareWaiters(a.waiters[0], b.waiters[0]) < 0
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index = i
	h.flows[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.index = -1
	return f
}

// tierQueue holds the waiting asks of one tier: start-time fair queueing
// among workspaces by work over share, then by deadline.
type tierQueue struct {
	tier    sr.Tier
	flows   map[string]*flow
	backlog flowHeap
	idle    *list.List
	maxIdle int
	virtual float64
	waiting int
	service time.Duration
	tokens  int
	shares  float64
}

func newTierQueue(tier sr.Tier, maxIdle int, byArrival bool) *tierQueue {
	return &tierQueue{
		tier:    tier,
		flows:   make(map[string]*flow),
		backlog: flowHeap{arrival: byArrival},
		idle:    list.New(),
		maxIdle: maxIdle,
	}
}

// push queues an ask.
func (q *tierQueue) push(w *waiter) {
	f := q.flow(w.ask.Workspace)
	w.flow = f
	w.queue = q
	q.waiting++
	q.service += w.service
	q.tokens += tokens(w.ask.Work)
	f.insert(w)
	if f.index >= 0 {
		heap.Fix(&q.backlog, f.index)
		return
	}
	f.share = shareOf(w.ask)
	f.start = max(f.start, q.virtual)
	q.shares += f.share
	heap.Push(&q.backlog, f)
}

// drop takes a waiting ask out without serving it.
func (q *tierQueue) drop(w *waiter) {
	f := w.flow
	f.remove(w)
	q.waiting--
	q.service -= w.service
	q.tokens -= tokens(w.ask.Work)
	if len(f.waiters) > 0 {
		heap.Fix(&q.backlog, f.index)
		return
	}
	heap.Remove(&q.backlog, f.index)
	q.shares -= f.share
	q.rest(f)
}

// serve takes a waiting ask out and charges its workspace.
func (q *tierQueue) serve(w *waiter) {
	f := w.flow
	q.virtual = max(q.virtual, f.start)
	f.start += float64(tokens(w.ask.Work)) / f.share
	q.drop(w)
}

// flow returns the flow of a workspace, which is no longer idle.
func (q *tierQueue) flow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, start: q.virtual, index: -1}
		q.flows[workspace] = f
	}
	if f.idle != nil {
		q.idle.Remove(f.idle)
		f.idle = nil
	}
	return f
}

// rest keeps a flow without waiting asks as long as it is ahead of the others.
func (q *tierQueue) rest(f *flow) {
	if q.waiting == 0 {
		q.forgetIdle()
		delete(q.flows, f.workspace)
		return
	}
	if f.start <= q.virtual {
		delete(q.flows, f.workspace)
		return
	}
	f.idle = q.idle.PushBack(f)
	if q.idle.Len() > q.maxIdle {
		q.forget(q.idle.Front())
	}
}

// mostBacklogged returns the flow with the most work waiting for its share, the
// first by name among equals; an ask waits.
func (q *tierQueue) mostBacklogged() *flow {
	return slices.MaxFunc(q.backlog.flows, func(a, b *flow) int {
		if c := cmp.Compare(a.backlog(), b.backlog()); c != 0 {
			return c
		}
		return strings.Compare(b.workspace, a.workspace)
	})
}

func (q *tierQueue) forgetIdle() {
	for q.idle.Len() > 0 {
		q.forget(q.idle.Front())
	}
}

func (q *tierQueue) forget(e *list.Element) {
	f := q.idle.Remove(e).(*flow)
	delete(q.flows, f.workspace)
}

// tokens returns an amount of work as one number, at least 1.
func tokens(w sr.Work) int {
	return max(w.Prefill+w.Decode, 1)
}

func shareOf(a sr.Ask) float64 {
	if a.Share > 0 && !math.IsInf(a.Share, 1) {
		return a.Share
	}
	return 1
}
