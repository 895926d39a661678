package sradmit

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

// bucket is the state of one workspace.
type bucket struct {
	limits sr.Workspace
	// tokens is how many requests may be admitted, as of refilledAt, within the rate.
	tokens     float64
	refilledAt time.Time
	// lastReturn is the latest return time given to a refused caller.
	lastReturn time.Time
	// waiting is the number of admitted requests that wait, retries how many retries
	// may be spent.
	waiting int
	retries float64
	// arrivals is the decayed arrival rate at this instance, fleetArrivals the rate at
	// all instances.
	arrivals      float64
	lastDecay     srdecay.Decay
	fleetArrivals float64
}

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.tokens = min(b.tokens+max(elapsed, 0)*rate, burst)
}

// reserveReturn returns the delay after which a refused caller may return. The callers
// return one token apart, and none later than after maxRetryAfter.
func (b *bucket) reserveReturn(now time.Time, rate float64) time.Duration {
	next := now.Add(seconds((1 - b.tokens) / rate))
	if afterLast := b.lastReturn.Add(seconds(1 / rate)); afterLast.After(next) {
		next = afterLast
	}
	if latest := now.Add(maxRetryAfter); next.After(latest) {
		next = latest
	}
	b.lastReturn = next
	return next.Sub(now)
}

// addArrival counts an arrival.
func (b *bucket) addArrival(now time.Time) {
	b.decay(now)
	b.arrivals += 1 / arrivalTimeConstant.Seconds()
}

// decay decays the arrival rate up to now.
func (b *bucket) decay(now time.Time) {
	b.arrivals *= b.lastDecay.Factor(now, arrivalTimeConstant)
}
