package srslot

import "time"

// breaker stops grants at an endpoint that refused a request or lost its
// connection, until a load report taken later shows that it answers. Without a
// report one request at a time is let through, ever more rarely.
type breaker struct {
	open     bool
	openedAt time.Time
	probeAt  time.Time
	wait     time.Duration
}

// trip opens the breaker.
func (b *breaker) trip(now time.Time, least, most time.Duration) {
	b.wait = min(max(2*b.wait, least), most)
	b.open = true
	b.openedAt = now
	b.probeAt = now.Add(b.wait)
}

// reported closes the breaker by a report that was taken after it opened.
func (b *breaker) reported(taken time.Time) {
	if b.open && taken.After(b.openedAt) {
		*b = breaker{}
	}
}

// granted says that a request was let through.
func (b *breaker) granted(now time.Time) {
	if b.open {
		b.probeAt = now.Add(b.wait)
	}
}

// limit returns how many requests the endpoint may run at once.
func (b *breaker) limit(now time.Time, closed int) int {
	switch {
	case !b.open:
		return closed
	case now.Before(b.probeAt):
		return 0
	}
	return min(closed, 1)
}
