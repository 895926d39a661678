// Package srbudget bounds the retries of the requests of a service in a sliding window.
//
// # Usage
//
//	b := srbudget.New(limit, now)
//	b.AddRequest(now)
//	if b.AllowRetry(now, fleetSize) { send again }
//
// A retry is allowed if each window that contains it stays within the ratio, also one that has just
// begun and gets no further requests: such a window may have as many retries as the ratio allows for
// its own requests, those of the window before it or those of the one half a window before it.
//
// Load pattern: endpoints reject or fail most of their requests, and every request needs
// a retry; and a burst of retries while the load rises, which then ends. Each instance may
// spend the allowed ratio of its own requests, so the limit holds for the sum over all
// instances without any exchange of counts. The fixed allowance (RetryLimit.Slack) is
// divided by the number of instances.
package srbudget

import (
	"math"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

// windowParts is the number of parts into which a window is divided for counting.
const windowParts = 20

// slackFraction is the fraction of the fixed allowance that is used. The rest covers
// instances that have restarted and lost their counts.
const slackFraction = 0.5

// Budget counts the requests and retries of one service. It is not safe for concurrent
// use.
type Budget struct {
	limit srforwardsettings.RetryLimit
	// requests and retries are rings with one entry per part of a window. requests also has the
	// window before.
	requests [2 * windowParts]int
	retries  [windowParts]int
	// current is the number, since start, of the latest part that was counted.
	current int64
	start   time.Time
}

// New returns an empty Budget.
func New(l srforwardsettings.RetryLimit, now time.Time) *Budget {
	return &Budget{limit: l, start: now}
}

// AddRequest counts a new request. It is called once per request.
func (b *Budget) AddRequest(now time.Time) {
	b.requests[ring(b.advance(now), len(b.requests))]++
}

// AllowRetry reports whether the budget allows a retry, and counts it if so. fleetSize is
// the number of instances, including this one.
func (b *Budget) AllowRetry(now time.Time, fleetSize int) bool {
	part := b.advance(now)
	if b.remaining(fleetSize) < 1 {
		return false
	}
	b.retries[ring(part, windowParts)]++
	return true
}

// remaining returns how many retries are allowed now.
func (b *Budget) remaining(fleetSize int) float64 {
	// before is the number of requests in the parts that are younger than a number of parts.
	var before [len(b.requests) + 1]int
	for age := range b.requests {
		before[age+1] = before[age] + b.requests[ring(b.current-int64(age), len(b.requests))]
	}
	between := func(youngest, oldest int) int { return before[min(oldest, len(b.requests))] - before[max(youngest, 0)] }
	fixed := b.limit.Slack * slackFraction / float64(max(fleetSize, 1))
	least, retries := math.Inf(1), 0
	for parts := 1; parts <= windowParts; parts++ {
		// The window has begun with the oldest of so many parts.
		retries += b.retries[ring(b.current-int64(parts-1), windowParts)]
		requests := between(0, parts)
		if parts < windowParts {
			half := between(parts-windowParts/2, parts+windowParts/2)
			requests = max(requests, between(parts, parts+windowParts), half)
		}
		least = min(least, b.limit.Ratio*float64(requests)+fixed-float64(retries))
	}
	return least
}

// advance moves the window to now, clears the parts that have left it, and returns the
// number of the current part.
func (b *Budget) advance(now time.Time) int64 {
	part := int64(now.Sub(b.start) / (b.limit.Window / windowParts))
	b.current = max(b.current, part-int64(len(b.requests)))
	for b.current < part {
		b.current++
		b.requests[ring(b.current, len(b.requests))] = 0
		b.retries[ring(b.current, windowParts)] = 0
	}
	return b.current
}

// ring returns the index of a part in a ring of a size. Parts before the first are empty.
func ring(part int64, size int) int { return int((part + int64(size)) % int64(size)) }
