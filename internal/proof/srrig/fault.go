package srrig

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Fault is what the network does to one dispatch or call.
type Fault uint8

// Faults.
const (
	FaultNone Fault = iota
	// FaultRefused: the connection is refused.
	FaultRefused
	// FaultLost: the connection is reset before the endpoint reads a byte.
	FaultLost
	// FaultReset: the connection is reset once the endpoint has taken it.
	FaultReset
	// FaultLate: the connection breaks, and the endpoint reads the request
	// afterwards.
	FaultLate
	// FaultBreak: the answer breaks off after a few tokens.
	FaultBreak
	// FaultRepeat: a token comes twice, and one that came before again.
	FaultRepeat
	// FaultGap: a token is missing.
	FaultGap
	faultCount
)

const (
	// lateBy is how late a request arrives with FaultLate.
	lateDelay = 3 * time.Second
	// breakAfter is the number of tokens before FaultBreak and its like.
	breakAfter = 3
)

// NoFaults lets everything pass.
func NoFaults(string) Fault { return FaultNone }

// SeededFaults draws a fault for one in n dispatches.
func (r *Rig) RandomFaults(n int) func(string) Fault {
	return func(string) Fault {
		if r.intN(n) > 0 {
			return FaultNone
		}
		return Fault(r.intN(int(faultCount)))
	}
}

// stream passes an answer on to a process, with a fault.
type stream struct {
	sr.Stream
	p        *Process
	fault    Fault
	tokens   int
	repeated *sr.Token
}

// Next returns the next token once the process is awake.
func (s *stream) Next(ctx context.Context) (sr.Token, error) {
	ctx, cancel := s.p.withProcess(ctx)
	defer cancel()
	t, err := s.next(ctx)
	if !s.p.awaitRunning() {
		return sr.Token{}, errors.Wrap(sr.ErrConnectionLost, "srrig: process is dead")
	}
	return t, err
}

func (s *stream) next(ctx context.Context) (sr.Token, error) {
	if s.repeated != nil {
		t := *s.repeated
		s.repeated = nil
		return t, nil
	}
	t, err := s.Stream.Next(ctx)
	if err != nil {
		return t, err
	}
	s.tokens++
	if s.tokens != breakAfter {
		return t, nil
	}
	switch s.fault {
	case FaultBreak:
		return sr.Token{}, errors.Wrap(sr.ErrConnectionLost, "srrig: answer broke off")
	case FaultRepeat:
		s.repeated = &t
	case FaultGap:
		return s.Stream.Next(ctx)
	}
	return t, nil
}
