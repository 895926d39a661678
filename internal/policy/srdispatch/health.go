package srdispatch

import "time"

const (
	// leaveOut is how long an endpoint is left out after its first failure; the
	// time doubles with each further one, up to leaveOutMost.
	leaveOut     = 200 * time.Millisecond
	leaveOutMost = 3200 * time.Millisecond
	// mostOut is the part of the endpoints that may be left out; beyond it the
	// trouble is not the endpoints' own and leaving them out helps nobody.
	mostOut = 0.5
	// mostErrors is how many answered failures in a row an endpoint may have:
	// some requests fail wherever they run.
	mostErrors = 3
)

// Turn is a change in what is believed of an endpoint.
type Turn struct {
	Endpoint string
	// Out marks an endpoint that is left out, for a time, after so many failures;
	// otherwise it works again.
	Out      bool
	For      time.Duration
	Failures int
}

// health judges an endpoint by the outcomes of its requests alone: its own
// health answers may be wrong either way.
type health struct {
	failures int
	errors   int
	outUntil time.Time
	// probing is set while the only request after a time out is on its way.
	probing bool
}

// observe takes the outcome of a request.
func (h *health) observe(now time.Time, r Result) {
	h.probing = false
	if r.Error {
		h.errors++
		if h.errors < mostErrors {
			return
		}
	}
	if !r.NotRun && !r.Failed && !r.Error {
		h.works()
		h.outUntil = time.Time{}
		return
	}
	if now.Before(h.outUntil) {
		// Requests that were on their way before say nothing new.
		return
	}
	out := leaveOut << min(h.failures, 8)
	if r.Gone {
		out = leaveOutMost
	}
	h.failures++
	h.outUntil = now.Add(min(out, leaveOutMost))
}

// works notes that an answer has begun, long before a stream ends.
func (h *health) works() {
	h.failures, h.errors, h.probing = 0, 0, false
}

// probe notes that a request is sent.
func (h *health) probe(now time.Time) {
	if h.failures > 0 && !now.Before(h.outUntil) {
		h.probing = true
	}
}

// sound reports whether the endpoint is not left out.
func (h *health) sound(now time.Time) bool {
	return !now.Before(h.outUntil) && !h.probing
}
