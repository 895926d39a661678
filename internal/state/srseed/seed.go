// Package srseed draws the random numbers that a process needs at its start.
//
// # Usage
//
//	seed, incarnation, err := srseed.Draw()
package srseed

import (
	crand "crypto/rand"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Draw returns a seed for pseudo-random number generators and the incarnation number
// of a process, both from the operating system's random source.
func Draw() (seed, incarnation uint64, err error) {
	var b [16]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, 0, errors.Wrap(err, "srseed: read random numbers")
	}
	return binary.BigEndian.Uint64(b[:]), binary.BigEndian.Uint64(b[8:]), nil
}
