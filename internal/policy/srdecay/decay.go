// Package srdecay computes factors for exponential decay, for averages that are updated
// at irregular times.
//
// # Usage
//
//	var d srdecay.Decay
//	average *= d.Factor(now, 10*time.Second)
package srdecay

import (
	"math"
	"time"
)

// Decay stores when averages were last decayed. The zero value is ready for averages that
// start at 0.
type Decay struct {
	at time.Time
}

// Factor returns the factor by which an average has decayed since the last call. The
// factor is 1/e after the time constant.
func (d *Decay) Factor(now time.Time, timeConstant time.Duration) float64 {
	elapsed := now.Sub(d.at)
	d.at = now
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
