package srbench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
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

// queue runs events in order of their virtual time, then of their creation.
type queue struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (q *queue) time() time.Time { return epoch.Add(q.now) }

func (q *queue) at(at time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(at, q.now), seq: q.seq, do: do})
}

func (q *queue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// every runs do periodically, first after offset.
func (q *queue) every(offset, period time.Duration, do func()) {
	q.after(offset, func() {
		do()
		q.every(period, period, do)
	})
}

func (q *queue) run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = until
}
