package sradmit

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

// bucket is what is known of one workspace.
type bucket struct {
	limits sr.Workspace
	// tokens is how many requests may be admitted, as of at.
	tokens float64
	at     time.Time
	// promised is the latest time for which a refused caller was told to return.
	promised time.Time
	waiting  int
	retries  float64
	// arrivals is the rate of arrivals here as of fade, fleet that of all instances.
	arrivals float64
	fade     srdecay.Decay
	fleet    float64
}

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	past := now.Sub(b.at).Seconds()
	b.at = now
	b.tokens = min(b.tokens+max(past, 0)*rate, burst)
}

// promise returns when a refused caller may come back: each one when a token
// of its own is due.
func (b *bucket) promise(now time.Time, rate float64) time.Duration {
	next := now.Add(seconds((1 - b.tokens) / rate))
	if turn := b.promised.Add(seconds(1 / rate)); turn.After(next) {
		next = turn
	}
	if last := now.Add(maxRetry); next.After(last) {
		next = last
	}
	b.promised = next
	return next.Sub(now)
}

func (b *bucket) arrive(now time.Time) {
	b.decay(now)
	b.arrivals += 1 / arrivalSpan.Seconds()
}

func (b *bucket) decay(now time.Time) {
	b.arrivals *= b.fade.Keep(now, arrivalSpan)
}
