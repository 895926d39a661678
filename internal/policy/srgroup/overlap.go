package srgroup

import (
	"math"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

const (
	// overlapTimeConstant is the time constant of the averages of overlap.
	overlapTimeConstant = 2 * time.Second
	// maxOverlap bounds the overlap of a request, as a fraction of the time at the endpoint, and
	// so the slots that are granted beyond those of an endpoint, as a fraction of them.
	maxOverlap = 0.5
	// minOverlapSamples is the decayed number of requests needed for an overlap.
	minOverlapSamples = 20
	// roundingError is more than the sums lose, so that a whole slot is not missed.
	roundingError = 1e-6
)

// overlap measures for which part of the time a slot is granted while the endpoint does not have
// the request: messages about it are under way. With answers of some milliseconds that is a large
// part, in which the endpoint would be idle.
type overlap struct {
	held, ran float64
	samples   float64
	decay     srdecay.Decay
}

// observe adds a request that held its slot for held, of which the endpoint had it for ran.
func (o *overlap) observe(now time.Time, held, ran time.Duration) {
	if ran <= 0 || held < ran {
		return
	}
	// Messages of one holder that are late add slots at the endpoints of all others.
	held = min(held, time.Duration((1+maxOverlap)*float64(ran)))
	f := o.decay.Factor(now, overlapTimeConstant)
	o.held = o.held*f + held.Seconds()
	o.ran = o.ran*f + ran.Seconds()
	o.samples = o.samples*f + 1
}

// slots returns how many slots of an endpoint may be granted so that it has as many requests as
// it has slots.
func (o *overlap) slots(slots int) int {
	if o.samples < minOverlapSamples {
		return slots
	}
	extra := (o.held - o.ran) / o.ran
	return slots + int(math.Floor(float64(slots)*extra+roundingError))
}
