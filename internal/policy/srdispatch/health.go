package srdispatch

import "time"

const (
	// baseEjection is how long an endpoint is ejected after its first failure. The time
	// doubles with each further failure, up to maxEjection.
	baseEjection = 200 * time.Millisecond
	maxEjection  = 3200 * time.Millisecond
	// probeTimeout is how long to wait for the outcome of the first request after an
	// ejection. A request that takes longer indicates a hanging endpoint.
	probeTimeout = 1200 * time.Millisecond
	// maxEjectedShare is the largest share of endpoints that may be ejected at once.
	// Beyond it the cause lies outside the endpoints, and ejecting them does not help.
	maxEjectedShare = 0.5
	// maxErrors is the number of consecutive error answers that ejects an endpoint. Fewer
	// are tolerated because some requests fail on any endpoint.
	maxErrors = 3
)

// HealthChange is a change in the health of an endpoint: an ejection or a recovery.
type HealthChange struct {
	Endpoint string
	// Out is set when the endpoint is ejected for the time For after Failures failures.
	// Otherwise the endpoint has recovered.
	Out      bool
	For      time.Duration
	Failures int
}

// health detects failing endpoints by the outcomes of their requests alone: an endpoint's
// own health check may report healthy or unhealthy wrongly.
type health struct {
	// failures counts the failures that ejected the endpoint; an answer that ends
	// successfully halves it.
	failures int
	// errors counts consecutive error answers.
	errors int
	// ejectedUntil is when the current ejection ends.
	ejectedUntil time.Time
	// failed is set when the last outcome was a failure.
	failed bool
	// probeUntil is when the probe, the single request sent after an ejection, times out.
	// Its outcome ends the probe sooner. No other request is sent until then.
	probeUntil time.Time
}

// observe records the outcome of a request.
func (h *health) observe(now time.Time, r Result) {
	if r.Unknown {
		return
	}
	h.probeUntil = time.Time{}
	if r.Error {
		h.errors++
		if h.errors < maxErrors {
			return
		}
	}
	if !r.NotRun && !r.Failed && !r.Error {
		h.answerStarted()
		h.failures /= 2
		h.ejectedUntil = time.Time{}
		return
	}
	if now.Before(h.ejectedUntil) {
		// The request was sent before the ejection, so its failure adds no information.
		return
	}
	ejection := baseEjection << min(h.failures, 8)
	if r.Gone {
		ejection = maxEjection
	}
	h.failures++
	h.failed = true
	h.ejectedUntil = now.Add(min(ejection, maxEjection))
}

// answerStarted records that an answer has started, which can be long before a stream
// ends. It ends the probe and marks the endpoint as recovered, but the failure count
// stays until an answer has ended: an endpoint that goes silent in mid-answer starts all
// of its answers.
func (h *health) answerStarted() {
	h.errors, h.probeUntil, h.failed = 0, time.Time{}, false
}

// startProbe records that a request is sent; the first one after an ejection is the
// probe.
func (h *health) startProbe(now time.Time) {
	if h.failed && !now.Before(h.ejectedUntil) {
		h.probeUntil = now.Add(probeTimeout)
	}
}

// healthy reports whether the endpoint is neither ejected nor waiting for a probe.
func (h *health) healthy(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !now.Before(h.probeUntil)
}
