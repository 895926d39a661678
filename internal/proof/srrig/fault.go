package srrig

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Fault is a network fault of one dispatch or call.
type Fault uint8

// Faults.
const (
	FaultNone Fault = iota
	// FaultRefused refuses the connection.
	FaultRefused
	// FaultResetBeforeRead resets the connection before the endpoint reads a byte.
	FaultResetBeforeRead
	// FaultResetAfterAccept resets the connection after the endpoint has accepted
	// the request.
	FaultResetAfterAccept
	// FaultDeliveredLate resets the connection, and the endpoint reads the request
	// lateDelay afterwards.
	FaultDeliveredLate
	// FaultCutShort resets the connection after a few tokens. Like the faults below,
	// it has no effect on calls of plain services.
	FaultCutShort
	// FaultDuplicateToken delivers a token twice.
	FaultDuplicateToken
	// FaultMissingToken drops a token.
	FaultMissingToken
	// faultCount is the number of faults above, FaultNone included.
	faultCount
)

const (
	// lateDelay is the delay of the request with FaultDeliveredLate.
	lateDelay = 3 * time.Second
	// faultToken is the number of the token that FaultCutShort, FaultDuplicateToken
	// and FaultMissingToken affect.
	faultToken = 3
)

// NoFaults injects no faults.
func NoFaults(string) Fault { return FaultNone }

// RandomFaults returns a function that draws a fault, which may be FaultNone, for
// one in n dispatches.
func (r *Rig) RandomFaults(n int) func(string) Fault {
	return func(string) Fault {
		if r.intN(n) > 0 {
			return FaultNone
		}
		return Fault(r.intN(int(faultCount)))
	}
}

// stream passes the answer of an endpoint to a process and injects a fault.
type stream struct {
	sr.Stream
	p      *Process
	fault  Fault
	tokens int
	// repeated is a token to deliver a second time.
	repeated *sr.Token
}

// Next returns the next token. While the process is paused, it waits.
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
	if s.tokens != faultToken {
		return t, nil
	}
	switch s.fault {
	case FaultCutShort:
		return sr.Token{}, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset after some tokens")
	case FaultDuplicateToken:
		s.repeated = &t
	case FaultMissingToken:
		return s.Stream.Next(ctx)
	}
	return t, nil
}
