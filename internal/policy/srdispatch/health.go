package srdispatch

import "time"

const (
	// leaveOut is how long an endpoint is left out after its first failure; the
	// time doubles with each further one, up to leaveOutMost.
	leaveOut     = 200 * time.Millisecond
	leaveOutMost = 3200 * time.Millisecond
	// probeFor is how long the outcome of the first request after a time out is
	// waited for; a request that takes longer is a sign of a hanging endpoint.
	probeFor = 1200 * time.Millisecond
	// mostOut is the part of the endpoints that may be left out; beyond it the
	// trouble is not the endpoints' own and leaving them out helps nobody.
	mostOut = 0.5
	// mostErrors is how many answered failures in a row an endpoint may have:
	// some requests fail wherever they run.
	mostErrors = 3
)

// Verdict is a change in what is believed of an endpoint.
type Verdict struct {
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
	// failures is the number of failures in a row, of which an answer that ended
	// well takes half back.
	failures int
	errors   int
	outUntil time.Time
	// failed is set when the last outcome was a failure.
	failed bool
	// probeUntil is until when only one request, sent after a time out, is on its
	// way; its outcome ends that sooner.
	probeUntil time.Time
}

// observe takes the outcome of a request.
func (h *health) observe(now time.Time, r Result) {
	if r.Unknown {
		return
	}
	h.probeUntil = time.Time{}
	if r.Error {
		h.errors++
		if h.errors < mostErrors {
			return
		}
	}
	if !r.NotRun && !r.Failed && !r.Error {
		h.works()
		h.failures /= 2
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
	h.failed = true
	h.outUntil = now.Add(min(out, leaveOutMost))
}

// works notes that an answer has begun, long before a stream ends. It opens the
// endpoint again, but its failures count until an answer has ended: an endpoint
// that falls silent in the middle of answers begins all of them.
func (h *health) works() {
	h.errors, h.probeUntil, h.failed = 0, time.Time{}, false
}

// probe notes that a request is sent.
func (h *health) probe(now time.Time) {
	if h.failed && !now.Before(h.outUntil) {
		h.probeUntil = now.Add(probeFor)
	}
}

// sound reports whether the endpoint is not left out.
func (h *health) sound(now time.Time) bool {
	return !now.Before(h.outUntil) && !now.Before(h.probeUntil)
}
