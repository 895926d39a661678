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
	// arrived is when the ask was first received, asked when it was last repeated.
	arrived time.Time
	asked   time.Time
	// deadline is when the answer becomes useless and firstBy when the first token
	// becomes late. Each is zero when the ask has no such budget.
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

// compareWaiters orders by deadline, then by arrival. Asks without a deadline come
// last.
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
	// virtualStart is the virtual start time of the flow's next ask.
	virtualStart float64
	waiters      []*waiter
	// service is the sum of the expected service times of the waiters.
	service time.Duration
	// index is the position in the heap, -1 when no ask waits.
	index int
	// idleElement is the position among the idle flows, nil when an ask waits.
	idleElement *list.Element
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

// weightedBacklog returns the seconds of service that wait, divided by the share.
func (f *flow) weightedBacklog() float64 { return f.service.Seconds() / f.share }

// newest returns the ask that arrived last.
func (f *flow) newest() *waiter {
	return slices.MaxFunc(f.waiters, compareSeq)
}

// flowHeap orders flows by virtual start time, then by their first deadline.
type flowHeap struct {
	flows []*flow
	// byArrival orders flows by the arrival of their first ask instead.
	byArrival bool
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if h.byArrival {
		return a.waiters[0].seq < b.waiters[0].seq
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
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

// tierQueue holds the waiting asks of one tier. It applies start-time fair queueing
// among the workspaces, weighted by their shares, and orders the asks of one
// workspace by deadline.
type tierQueue struct {
	tier sr.Tier
	// flows holds the flows with waiting asks and the idle ones by workspace.
	flows map[string]*flow
	// backlog holds the flows with waiting asks.
	backlog flowHeap
	// idle holds flows without waiting asks, the one idle for longest first.
	idle        *list.List
	maxIdle     int
	virtualTime float64
	// waiting, service and tokens are the number of the waiting asks and the sums of
	// their service times and of their work.
	waiting int
	service time.Duration
	tokens  int
	// totalShare is the sum of the shares of the flows with waiting asks.
	totalShare float64
}

func newTierQueue(tier sr.Tier, maxIdle int, byArrival bool) *tierQueue {
	return &tierQueue{
		tier:    tier,
		flows:   make(map[string]*flow),
		backlog: flowHeap{byArrival: byArrival},
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
	f.virtualStart = max(f.virtualStart, q.virtualTime)
	q.totalShare += f.share
	heap.Push(&q.backlog, f)
}

// remove removes a waiting ask without serving it.
func (q *tierQueue) remove(w *waiter) {
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
	q.totalShare -= f.share
	q.markIdle(f)
}

// serve removes a waiting ask and charges its work to its workspace.
func (q *tierQueue) serve(w *waiter) {
	f := w.flow
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += float64(tokens(w.ask.Work)) / f.share
	q.remove(w)
}

// flow returns the flow of a workspace and removes it from the idle ones.
func (q *tierQueue) flow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, virtualStart: q.virtualTime, index: -1}
		q.flows[workspace] = f
	}
	if f.idleElement != nil {
		q.idle.Remove(f.idleElement)
		f.idleElement = nil
	}
	return f
}

// markIdle keeps a flow without waiting asks while its virtual start time is ahead
// of the queue's, so that its workspace can't reset the work charged to it by
// leaving the queue.
func (q *tierQueue) markIdle(f *flow) {
	if q.waiting == 0 {
		q.forgetIdle()
		delete(q.flows, f.workspace)
		return
	}
	if f.virtualStart <= q.virtualTime {
		delete(q.flows, f.workspace)
		return
	}
	f.idleElement = q.idle.PushBack(f)
	if q.idle.Len() > q.maxIdle {
		q.forget(q.idle.Front())
	}
}

// mostBacklogged returns the flow with the most waiting work relative to its share,
// the first by name among equals. At least one ask must be waiting.
func (q *tierQueue) mostBacklogged() *flow {
	return slices.MaxFunc(q.backlog.flows, func(a, b *flow) int {
		if c := cmp.Compare(a.weightedBacklog(), b.weightedBacklog()); c != 0 {
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

// tokens returns an amount of work in tokens, at least 1.
func tokens(w sr.Work) int {
	return max(w.Prefill+w.Decode, 1)
}

// shareOf returns the share of an ask, 1 if that is missing or infinite.
func shareOf(a sr.Ask) float64 {
	if a.Share > 0 && !math.IsInf(a.Share, 1) {
		return a.Share
	}
	return 1
}
