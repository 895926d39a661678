// Package srbudget bounds the sends beyond the first of each request in a
// sliding window.
//
// # Usage
//
//	b := srbudget.New(limit, now)
//	b.Request(now)
//	if b.Retry(now, fleet) { send again }
//
// Load pattern: endpoints reject or fail most of what they get, and every
// request wants a second try. Each instance may spend the ratio of its own
// requests, so the sum over all instances holds without any exchange; the fixed
// part is divided by the number of instances.
package srbudget

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
)

// slots is the number of parts of a window that are counted apart.
const slots = 20

// reserve is the part of the fixed allowance that is used: the rest covers
// instances that have started anew and forgot what they had spent.
const reserve = 0.5

// Budget counts requests and retries of one service. It is used by one goroutine.
type Budget struct {
	limit srsite.RetryLimit
	// requests and retries are rings with one entry for each part of the window.
	requests [slots]int
	retries  [slots]int
	// last is the part that was counted last, by number since the start.
	last  int64
	start time.Time
}

// New returns an empty Budget.
func New(l srsite.RetryLimit, now time.Time) *Budget {
	return &Budget{limit: l, start: now}
}

// Request counts the first arrival of a request.
func (b *Budget) Request(now time.Time) {
	b.requests[b.turn(now)]++
}

// Retry takes one retry when the budget allows it in a fleet of so many
// instances.
func (b *Budget) Retry(now time.Time, fleet int) bool {
	i := b.turn(now)
	if b.left(fleet) < 1 {
		return false
	}
	b.retries[i]++
	return true
}

// left returns how many retries may be taken now.
func (b *Budget) left(fleet int) float64 {
	var requests, retries int
	for i := range slots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	fixed := b.limit.Slack * reserve / float64(max(fleet, 1))
	return b.limit.Ratio*float64(requests) + fixed - float64(retries)
}

// turn moves the window on and returns the entry of now.
func (b *Budget) turn(now time.Time) int {
	part := int64(now.Sub(b.start) / (b.limit.Window / slots))
	for b.last < part {
		b.last++
		if part-b.last < slots {
			i := b.last % slots
			b.requests[i], b.retries[i] = 0, 0
		}
	}
	return int(b.last % slots)
}
