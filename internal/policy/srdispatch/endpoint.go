package srdispatch

import "time"

const (
	// pacePart is the weight of a new measurement of an endpoint's pace.
	pacePart = 0.2
	// defaultSlots is used for endpoints that state none.
	defaultSlots = 4
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	Endpoint
	usable bool
	// mine and others are the requests in flight from here and elsewhere.
	mine   int
	others int
	// pending is the number of prompt tokens sent from here whose answers have
	// not begun.
	pending int
	// pace is the average time for an event in seconds, 0 when unknown.
	pace float64
	health
	// coldNext is when a cold endpoint may get its next request.
	coldNext time.Time
}

func (e *endpoint) set(now time.Time, c Endpoint) {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Cold > 0 && e.Cold == 0 {
		e.coldNext = now
	}
	e.Endpoint = c
}

func (e *endpoint) take(now time.Time) {
	e.mine++
	if e.Cold > 0 {
		e.coldNext = now.Add(time.Duration(float64(time.Second) / e.Cold))
	}
	e.probe(now)
}

func (e *endpoint) done(now time.Time, r Result) {
	e.mine--
	e.pending = max(e.pending-r.Prompt, 0)
	if r.Unsent {
		e.probeUntil = time.Time{}
		return
	}
	e.observe(now, r)
	if r.Pace > 0 {
		e.pace = mix(e.pace, r.Pace.Seconds())
	}
}

func mix(old, now float64) float64 {
	if old == 0 {
		return now
	}
	return old + pacePart*(now-old)
}

// room returns how many more requests the endpoint may get from here: up to its
// slots less what the others have, and at least this instance's share of them.
func (e *endpoint) room() int {
	free := e.Slots - e.others
	if e.Share == 0 {
		// What the others have is not known to the moment, so one at a time.
		if e.Cold > 0 || free-e.mine < (e.Slots+1)/2 {
			return 0
		}
		return 1 - e.mine
	}
	return max(free, e.Share) - e.mine
}

// open reports whether the endpoint may get a request now.
func (e *endpoint) open(now time.Time) bool {
	if !e.usable || e.room() <= 0 {
		return false
	}
	return e.Cold == 0 || !now.Before(e.coldNext)
}
