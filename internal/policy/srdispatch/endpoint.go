package srdispatch

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// DefaultSlots applies to endpoints whose slot count is not configured.
const DefaultSlots = 4

// endpoint is the state of one endpoint.
type endpoint struct {
	Endpoint
	usable bool
	// ownInFlight counts the requests in flight from this instance, peerInFlight those
	// from all other instances.
	ownInFlight  int
	peerInFlight int
	// pendingTokens is the number of prompt tokens sent from this instance whose answers
	// have not started, peerPending the same for all other instances.
	pendingTokens int
	peerPending   int
	// learned is how many requests the endpoint takes well, and how fast it is.
	learned learner
	health
	// coldNext is when a cold endpoint may get its next request.
	coldNext time.Time
	// pausedUntil is when a pause that the endpoint has asked for ends.
	pausedUntil time.Time
}

// configure applies the configured properties of the endpoint.
func (e *endpoint) configure(now time.Time, c Endpoint) {
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.Born != e.Born {
		e.pausedUntil = time.Time{}
		e.learned.Reset(now)
	}
	e.learned.Configure(now, c.Slots, c.ColdRate > 0)
	if c.ColdRate > 0 && e.ColdRate == 0 {
		e.coldNext = now
	}
	e.Endpoint = c
}

func (e *endpoint) setPeerLoad(l Load) { e.peerInFlight, e.peerPending = l.Running, l.Pending }

// addRequest records that a request with a prompt of some tokens is sent to the endpoint.
func (e *endpoint) addRequest(now time.Time, prompt int) {
	e.ownInFlight++
	e.learned.Placed(now, prompt, e.pendingTokens+e.peerPending, e.inFlight())
	e.pendingTokens += prompt
	if e.ColdRate > 0 {
		e.coldNext = now.Add(time.Duration(float64(time.Second) / e.ColdRate))
	}
	e.startProbe(now)
}

// finishRequest records the result of a request.
func (e *endpoint) finishRequest(now time.Time, r Result) {
	e.ownInFlight--
	e.learned.Ended(now, e.answer(r))
	e.pendingTokens = max(e.pendingTokens-r.Prompt, 0)
	if r.Unsent {
		e.probeUntil = time.Time{}
		return
	}
	e.observe(now, r)
}

// answer returns what the result of a request shows about the speed of the endpoint. Errors
// and answers that broke off show nothing.
func (e *endpoint) answer(r Result) srlimit.Answer {
	a := srlimit.Answer{Prompt: r.Prompt, Running: e.inFlight()}
	if !r.Unsent && !r.NotRun && !r.Failed && !r.Error {
		a.Pace = r.Pace
	}
	return a
}

// inFlight returns the number of requests in flight from all instances.
func (e *endpoint) inFlight() int { return e.ownInFlight + e.peerInFlight }

// freeSlots returns how many more requests this instance may send to the endpoint: its
// learned limit less the requests of other instances, but never less than this instance's
// share of it. Without a share it is at most one, and none while the endpoint is cold or less
// than half free.
func (e *endpoint) freeSlots() int {
	limit := e.learned.Limit()
	free := limit - e.peerInFlight
	if e.Share == 0 {
		// The load from other instances is only known with a delay, so one at a time.
		if e.ColdRate > 0 || free-e.ownInFlight < (limit+1)/2 {
			return 0
		}
		return 1 - e.ownInFlight
	}
	share := (e.Share*limit + e.Slots - 1) / e.Slots
	return max(free, share) - e.ownInFlight
}

// forgettable reports whether nothing about an endpoint has to be remembered while it is
// not usable.
func (e *endpoint) forgettable(now time.Time) bool {
	return !e.usable && e.ownInFlight == 0 && !e.paused(now)
}

// available reports whether the endpoint may get a request now.
func (e *endpoint) available(now time.Time) bool {
	return e.usable && e.obstacle(now) == ""
}

// obstacle returns why a usable endpoint may not get a request now, "" if it may.
func (e *endpoint) obstacle(now time.Time) Obstacle {
	switch {
	case e.paused(now):
		return ObstaclePaused
	case e.freeSlots() <= 0:
		return ObstacleFull
	case e.ColdRate > 0 && now.Before(e.coldNext):
		return ObstacleCold
	}
	return ""
}
