package srslot

import "time"

// breaker is the circuit breaker of an endpoint. It opens when the endpoint refuses a
// request or a connection to it is lost, and closes on a load report taken later.
// While no report comes in, it lets single requests through, with a backoff that
// doubles each time one fails.
type breaker struct {
	open     bool
	openedAt time.Time
	probeAt  time.Time
	backoff  time.Duration
}

// trip opens the breaker, or doubles its backoff if it is open.
func (b *breaker) trip(now time.Time, minBackoff, maxBackoff time.Duration) {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.open = true
	b.openedAt = now
	b.probeAt = now.Add(b.backoff)
}

// recordReport closes the breaker if the report was taken after it opened.
func (b *breaker) recordReport(taken time.Time) {
	if b.open && taken.After(b.openedAt) {
		*b = breaker{}
	}
}

// recordGrant delays the next probe after a request was let through.
func (b *breaker) recordGrant(now time.Time) {
	if b.open {
		b.probeAt = now.Add(b.backoff)
	}
}

// limit returns how many requests the endpoint may run at once; closedLimit applies
// while the breaker is closed.
func (b *breaker) limit(now time.Time, closedLimit int) int {
	switch {
	case !b.open:
		return closedLimit
	case now.Before(b.probeAt):
		return 0
	}
	return min(closedLimit, 1)
}
