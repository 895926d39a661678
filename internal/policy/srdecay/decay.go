// Package srdecay fades averages with time.
//
// # Usage
//
//	var d srdecay.Decay
//	average *= d.Keep(now, 10*time.Second)
package srdecay

import (
	"math"
	"time"
)

// Decay remembers when averages were last faded. Its zero value is ready for
// averages that are 0.
type Decay struct {
	at time.Time
}

// Keep returns the part of an average over span that is left since the last call.
func (d *Decay) Keep(now time.Time, span time.Duration) float64 {
	past := now.Sub(d.at)
	d.at = now
	if past <= 0 {
		return 1
	}
	return math.Exp(-float64(past) / float64(span))
}
