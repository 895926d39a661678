package srgob

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// waitForMemory is how long a message waits for the memory of others.
	waitForMemory = 5 * time.Second
	// arriveSoon is the time in which a part of a message arrives that is sent at once, also if the
	// machine is busy. A connection that takes longer may be closed for others.
	arriveSoon = time.Second
)

// Pool is memory that the messages of many connections share. When it is used up, the connection
// with the largest message of those that arrive slowly is closed, so that one peer does not keep it
// from the others. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	messages *srmemory.Budget
	// types is the memory for definitions of types, which connections keep.
	types *srmemory.Budget
	// size is the memory for messages in all.
	size int64
	// holders are the connections that hold memory.
	holders map[*holder]struct{}
	// queue holds the messages that wait for memory: those that hold some first, then the short
	// ones, so that large messages do not keep memory from gossip.
	queue []*waiter
}

// waiter is a message that waits for n bytes. done is closed when it has them, or its holder is
// closed.
type waiter struct {
	h    *holder
	n    int64
	done chan struct{}
}

// NewPool returns a Pool of a number of bytes for messages, and as many as types for definitions of
// types.
func NewPool(messages, types int64) *Pool {
	return &Pool{messages: srmemory.New(messages), types: srmemory.New(types), size: messages, holders: make(map[*holder]struct{})}
}

// holder is the part of a Pool that one connection holds. Its fields belong to the Pool.
type holder struct {
	pool *Pool
	conn io.Closer
	// message is held until the next message, types until the connection ends.
	message, types *srmemory.Reservation
	// bytes is the size of message, arriving whether it is still read, waiting whether for memory.
	bytes    int64
	arriving bool
	waiting  bool
	// since is when the last part of the message was begun.
	since  time.Time
	closed bool
	// evicted is set when the connection was closed for the memory of others.
	evicted bool
}

func (p *Pool) hold(conn io.Closer) *holder {
	return &holder{pool: p, conn: conn, message: p.messages.Hold(), types: p.types.Hold()}
}

// keep takes n bytes for types until the connection ends, and reports whether they were available.
func (h *holder) keep(n int64) bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return !h.closed && h.types.Grow(n)
}

// grow takes n bytes for the message that arrives, and reports whether they were available in time.
func (h *holder) grow(n int64) bool {
	w, ok := h.enqueue(n)
	if ok || w == nil {
		return ok
	}
	timeout := time.NewTimer(waitForMemory)
	defer timeout.Stop()
	evict := time.NewTicker(arriveSoon)
	defer evict.Stop()
	for {
		select {
		case <-w.done:
			closed, _ := h.state()
			return !closed
		case <-evict.C:
			h.pool.evictSlow()
		case <-timeout.C:
			return h.pool.withdraw(w)
		}
	}
}

// enqueue takes n bytes if they are available, and otherwise returns a waiter for them. It returns
// neither if the connection was closed, or if the pool has less than that.
func (h *holder) enqueue(n int64) (w *waiter, ok bool) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.closed || h.bytes+n > p.size {
		return nil, false
	}
	w = &waiter{h: h, n: n, done: make(chan struct{})}
	at := slices.IndexFunc(p.queue, func(o *waiter) bool { return h.bytes > 0 || o.h.bytes == 0 && o.n > n })
	if at < 0 {
		at = len(p.queue)
	}
	p.queue = slices.Insert(p.queue, at, w)
	p.grant()
	if h.waiting = slices.Contains(p.queue, w); !h.waiting {
		return nil, true
	}
	return w, false
}

// grant gives memory to those that wait, in order, as far as it lasts. The caller must hold p.mu.
func (p *Pool) grant() {
	p.queue = slices.DeleteFunc(p.queue, func(w *waiter) bool {
		h := w.h
		if !h.message.Grow(w.n) {
			return false
		}
		p.holders[h] = struct{}{}
		h.bytes, h.arriving, h.waiting, h.since = h.bytes+w.n, true, false, time.Now()
		close(w.done)
		return true
	})
}

// withdraw removes a waiter, and reports whether it was given its memory meanwhile.
func (p *Pool) withdraw(w *waiter) (granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.queue, w)
	if i < 0 {
		return !w.h.closed
	}
	p.queue = slices.Delete(p.queue, i, i+1)
	p.grant()
	return false
}

// evictSlow closes the connection with the largest message of those that arrive slowly.
func (p *Pool) evictSlow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := p.largestSlow(time.Now())
	if slow == nil {
		return
	}
	slow.evicted = true
	slow.closeLocked()
	_ = slow.conn.Close()
}

// largestSlow returns the holder of the largest message of which a part has been arriving for
// arriveSoon, or nil. The caller must hold p.mu.
func (p *Pool) largestSlow(now time.Time) *holder {
	var out *holder
	for h := range p.holders {
		if h.arriving && !h.waiting && now.Sub(h.since) >= arriveSoon && (out == nil || h.bytes > out.bytes) {
			out = h
		}
	}
	return out
}

// arrived records that the message has arrived. It is handled soon, and not closed for others.
func (h *holder) arrived() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.arriving = false
}

// state reports whether the holder was closed, and whether that was for the memory of others.
func (h *holder) state() (closed, evicted bool) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.closed, h.evicted
}

// release returns the memory of the message.
func (h *holder) release() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.releaseLocked()
}

func (h *holder) releaseLocked() {
	if h.bytes == 0 {
		return
	}
	h.message.Release()
	h.bytes, h.arriving = 0, false
	h.pool.grant()
}

// close returns all memory. The holder takes none afterwards.
func (h *holder) close() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.closeLocked()
}

func (h *holder) closeLocked() {
	h.closed = true
	h.pool.queue = slices.DeleteFunc(h.pool.queue, func(w *waiter) bool {
		if w.h == h {
			close(w.done)
		}
		return w.h == h
	})
	h.releaseLocked()
	h.types.Release()
	delete(h.pool.holders, h)
}
