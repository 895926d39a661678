// Package srbudget bounds the retries of the requests of a service in a sliding window.
//
// # Usage
//
//	b := srbudget.New(limit, now)
//	b.AddRequest(now)
//	if b.AllowRetry(now, fleetSize) { send again }
//
// Load pattern: endpoints reject or fail most of their requests, and every request needs
// a retry. Each instance may spend the allowed ratio of its own requests, so the limit
// holds for the sum over all instances without any exchange of counts. The fixed
// allowance (RetryLimit.Slack) is divided by the number of instances.
package srbudget

import (
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
	// requests and retries are rings with one entry per part of the window.
	requests [windowParts]int
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
	b.requests[b.advance(now)]++
}

// AllowRetry reports whether the budget allows a retry, and counts it if so. fleetSize is
// the number of instances, including this one.
func (b *Budget) AllowRetry(now time.Time, fleetSize int) bool {
	i := b.advance(now)
	if b.remaining(fleetSize) < 1 {
		return false
	}
	b.retries[i]++
	return true
}

// remaining returns how many retries are allowed now.
func (b *Budget) remaining(fleetSize int) float64 {
	var requests, retries int
	for i := range windowParts {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	fixed := b.limit.Slack * slackFraction / float64(max(fleetSize, 1))
	return b.limit.Ratio*float64(requests) + fixed - float64(retries)
}

// advance moves the window to now, clears the parts that have left it, and returns the
// index of the current part.
func (b *Budget) advance(now time.Time) int {
	part := int64(now.Sub(b.start) / (b.limit.Window / windowParts))
	for b.current < part {
		b.current++
		if part-b.current < windowParts {
			i := b.current % windowParts
			b.requests[i], b.retries[i] = 0, 0
		}
	}
	return int(b.current % windowParts)
}
