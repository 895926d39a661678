// Package srseed draws the numbers with which a process begins.
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

// Draw returns a seed for random choices and the incarnation of a process.
func Draw() (seed, incarnation uint64, err error) {
	var b [16]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, 0, errors.Wrap(err, "srseed: read random")
	}
	return binary.BigEndian.Uint64(b[:]), binary.BigEndian.Uint64(b[8:]), nil
}
