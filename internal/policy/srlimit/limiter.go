// Package srlimit learns how many requests each endpoint of a service takes well, and how
// fast it is compared with the others. It does no input or output: the time is an argument.
//
// # Usage
//
//	l := srlimit.New()
//	e := l.Add(slots)
//	e.Configure(now, slots, cold)
//	e.Placed(now, prompt, ahead, running)
//	e.Started(now, prompt, ahead, first)
//	e.Ended(now, srlimit.Answer{Pace: pace, Running: running})
//	if running < e.Limit() { ... }
//	if waiting && running >= e.Limit() { e.Probe(now) }
//	for _, c := range l.Changes() { ... }
//
// Load patterns and how they are handled:
//
//   - Endpoints that differ several-fold in speed. Speed is learned. An endpoint that is slow from
//     the start is limited for a moment at most, to see whether its load is the cause
//     (endpoint.go).
//   - An endpoint that slows down at half of its slots, with streams or whole answers. Its
//     answers are compared with its own at low load, so its limit falls to the load that it
//     takes well (endpoint.go).
//   - An endpoint that turns slow, under load or at any load, and recovers. The limit falls
//     within seconds. If the endpoint is as slow with few requests, load is not the cause and
//     the limit rises again; the slowness remains known (endpoint.go).
//   - All endpoints slow at once, as in a burst. Each one is compared with the median of the
//     others too, so that no limit falls (limiter.go).
//   - One very long prompt among short ones. The time to start is compared with the expected
//     one for the tokens ahead, and the time per event without the time that the endpoint
//     spent on prompts (model.go).
//   - Some answers late because packets are lost. A few late answers do not move a median
//     (endpoint.go).
//   - An endpoint that only few requests reach. It keeps its slots until enough answers have
//     come, and is taken for as fast as before or as the others when they are old
//     (endpoint.go).
//   - Equal endpoints under overload. They keep all their slots (limiter.go).
//   - A cold return. Nothing is learned while an endpoint is cold, and a new incarnation
//     starts from the beginning (Reset).
//
// internal/policy/srdispatch/limits_test.go replays each of them.
package srlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is how long the medians over all endpoints are used. It is well below
	// fallInterval, so each change of a limit is decided on new medians.
	refreshInterval = 100 * time.Millisecond
	// maxTried is the share of the endpoints whose limit is lowered at the same time only to see
	// whether their load makes them slow. It bounds what that costs.
	maxTried = 0.1
	// maxChanges bounds the changes that are kept for Changes, more than one for each
	// endpoint of a large service.
	maxChanges = 256
	// modelSamples is the number of samples over which the models average: each new one
	// reduces the weight of the older ones by 1/modelSamples.
	modelSamples = 200.0
	// loadVariance is added to the variance of the load in the model of the time per event,
	// so that a load that hardly varies gives no steep slope. It is the square of a tenth of
	// the slots.
	loadVariance = 0.01
	// initialSpread is the assumed mean absolute deviation of the logarithms of samples until
	// some are known, that of work that varies by a factor of 1.5.
	initialSpread = 0.4
	// spreadWeight is the weight of a new sample in the moving average of the deviation.
	spreadWeight = 0.02
)

// Reason is why a limit changed.
type Reason string

// Reasons of a change.
const (
	// Slow: answers slow down more than the load explains.
	Slow Reason = "slow"
	// Probing: requests wait, and answers are as fast as the load lets expect.
	Probing Reason = "probing"
	// Restored: a lower limit has not made the endpoint faster.
	Restored Reason = "restored"
	// Forgotten: another incarnation has started, or the endpoint is cold.
	Forgotten Reason = "forgotten"
)

// Change is a change of the limit of an endpoint.
type Change struct {
	Endpoint *Endpoint
	Limit    int
	Slots    int
	Reason   Reason
}

// Limiter holds what is known of the endpoints of one service. It is not safe for concurrent
// use.
type Limiter struct {
	endpoints []*Endpoint
	// starts predicts the seconds to the start of an answer by the prompt tokens until then,
	// paces those per event by the used share of the slots, both for an endpoint of median
	// speed.
	starts, paces model
	// spread is the mean absolute deviation of the logarithms of samples from the slowness of
	// their endpoint.
	spread float64
	// slowness and stretch are medians over the endpoints: of the logarithm of slowness, and
	// of that by which endpoints are slower than at their best. Both are as of refreshed.
	slowness, stretch float64
	// known is the number of endpoints with a sample.
	known     int
	refreshed time.Time
	changes   []Change
}

// New returns a Limiter without endpoints.
func New() *Limiter {
	return &Limiter{spread: initialSpread, paces: model{variance: loadVariance}}
}

// Add adds an endpoint.
func (l *Limiter) Add(slots int) *Endpoint {
	e := &Endpoint{limiter: l, slots: slots, limit: slots}
	l.endpoints = append(l.endpoints, e)
	return e
}

// Clone returns a copy that changes on its own, and the copies of its endpoints.
func (l *Limiter) Clone() (*Limiter, map[*Endpoint]*Endpoint) {
	c := *l
	c.endpoints, c.changes = make([]*Endpoint, len(l.endpoints)), nil
	copies := make(map[*Endpoint]*Endpoint, len(l.endpoints))
	for i, e := range l.endpoints {
		copied := *e
		copied.limiter = &c
		copied.samples, copied.pending = slices.Clone(e.samples), slices.Clone(e.pending)
		c.endpoints[i], copies[e] = &copied, &copied
	}
	return &c, copies
}

// Remove removes an endpoint.
func (l *Limiter) Remove(e *Endpoint) {
	l.endpoints = slices.DeleteFunc(l.endpoints, func(o *Endpoint) bool { return o == e })
}

// Changes returns and clears the changes since the last call. Those beyond maxChanges are
// dropped.
func (l *Limiter) Changes() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// refresh updates the medians.
func (l *Limiter) refresh(now time.Time) {
	if now.Sub(l.refreshed) < refreshInterval {
		return
	}
	l.refreshed = now
	var slowness, stretch []float64
	for _, e := range l.endpoints {
		if len(e.samples) == 0 {
			continue
		}
		slowness = append(slowness, e.current(now))
		if e.hasBest && now.Sub(e.samples[len(e.samples)-1].at) < sampleAge {
			stretch = append(stretch, e.stretch())
		}
	}
	l.known = len(slowness)
	l.slowness, l.stretch = lowerMedian(slowness), max(lowerMedian(stretch), 0)
}

// mayTry reports whether a limit may be lowered to see whether the load makes its endpoint slow.
func (l *Limiter) mayTry() bool {
	n := 0
	for _, e := range l.endpoints {
		if !e.tried && e.limit < e.slots {
			n++
		}
	}
	return n < max(int(maxTried*float64(len(l.endpoints))), 1)
}

// lowerMedian returns the median, the lower one of two, and 0 without values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// tolerance returns the logarithm of the factor by which the median of n samples may exceed
// what is expected.
func (l *Limiter) tolerance(n int) float64 {
	return max(math.Log(minTolerance), noiseFactor*l.spread/math.Sqrt(float64(n)))
}
