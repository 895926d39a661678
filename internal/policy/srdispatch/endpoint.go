package srdispatch

import "time"

const (
	// paceWeight is the weight of a new sample in the moving average of an endpoint's
	// pace.
	paceWeight = 0.2
	// defaultSlots applies to endpoints whose slot count is not configured.
	defaultSlots = 4
)

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
	// pace is the moving average of Result.Pace in seconds, 0 when unknown.
	pace float64
	health
	// coldNext is when a cold endpoint may get its next request.
	coldNext time.Time
	// pausedUntil is when a pause that the endpoint has asked for ends.
	pausedUntil time.Time
}

// configure applies the configured properties of the endpoint.
func (e *endpoint) configure(now time.Time, c Endpoint) {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Born != e.Born {
		e.pausedUntil = time.Time{}
	}
	if c.ColdRate > 0 && e.ColdRate == 0 {
		e.coldNext = now
	}
	e.Endpoint = c
}

func (e *endpoint) setPeerLoad(l Load) { e.peerInFlight, e.peerPending = l.Running, l.Pending }

// addRequest records that a request is sent to the endpoint.
func (e *endpoint) addRequest(now time.Time) {
	e.ownInFlight++
	if e.ColdRate > 0 {
		e.coldNext = now.Add(time.Duration(float64(time.Second) / e.ColdRate))
	}
	e.startProbe(now)
}

// finishRequest records the result of a request.
func (e *endpoint) finishRequest(now time.Time, r Result) {
	e.ownInFlight--
	e.pendingTokens = max(e.pendingTokens-r.Prompt, 0)
	if r.Unsent {
		e.probeUntil = time.Time{}
		return
	}
	e.observe(now, r)
	if r.Pace > 0 {
		e.pace = movingAverage(e.pace, r.Pace.Seconds())
	}
}

// movingAverage returns average after a new sample; 0 means no samples yet.
func movingAverage(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + paceWeight*(sample-average)
}

// freeSlots returns how many more requests this instance may send to the endpoint: its
// slots less the requests of other instances, but never less than this instance's share.
// Without a share it is at most one, and none while the endpoint is cold or less than
// half free.
func (e *endpoint) freeSlots() int {
	free := e.Slots - e.peerInFlight
	if e.Share == 0 {
		// The load from other instances is only known with a delay, so one at a time.
		if e.ColdRate > 0 || free-e.ownInFlight < (e.Slots+1)/2 {
			return 0
		}
		return 1 - e.ownInFlight
	}
	return max(free, e.Share) - e.ownInFlight
}

// forgettable reports whether nothing about an endpoint has to be remembered while it is
// not usable.
func (e *endpoint) forgettable(now time.Time) bool {
	return !e.usable && e.ownInFlight == 0 && !e.paused(now)
}

// available reports whether the endpoint may get a request now.
func (e *endpoint) available(now time.Time) bool {
	if !e.usable || e.paused(now) || e.freeSlots() <= 0 {
		return false
	}
	return e.ColdRate == 0 || !now.Before(e.coldNext)
}
