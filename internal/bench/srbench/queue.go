package srbench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function that is scheduled for a virtual time since epoch.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// eventQueue runs events in the order of their virtual time. Events with the same
// time run in the order in which they were scheduled.
type eventQueue struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (q *eventQueue) time() time.Time { return epoch.Add(q.now) }

func (q *eventQueue) scheduleAt(at time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(at, q.now), seq: q.seq, run: run})
}

func (q *eventQueue) scheduleAfter(d time.Duration, run func()) { q.scheduleAt(q.now+d, run) }

// scheduleEvery calls run periodically, for the first time after offset.
func (q *eventQueue) scheduleEvery(offset, period time.Duration, run func()) {
	q.scheduleAfter(offset, func() {
		run()
		q.scheduleEvery(period, period, run)
	})
}

func (q *eventQueue) run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = until
}
