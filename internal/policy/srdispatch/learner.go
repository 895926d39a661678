package srdispatch

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// learner learns how many requests an endpoint takes well, and how fast it is. It is a
// srlimit.Endpoint, which has the meaning of the methods.
type learner interface {
	Configure(now time.Time, slots int, cold bool)
	Reset(now time.Time)
	Placed(now time.Time, prompt, ahead, running int)
	Started(now time.Time, prompt, tokens int, first time.Duration)
	Ended(now time.Time, a srlimit.Answer)
	Probe(now time.Time) bool
	Limit() int
	Slowness(now time.Time) float64
	StartTime(now time.Time, tokens int) time.Duration
	EventTime(now time.Time) time.Duration
}
