// Package srplainservice is a stand-in for a plain service. It answers calls after a
// configured latency, counts them by ID and by body, and injects faults.
//
// # Usage
//
//	s := srplainservice.New(srplainservice.Config{Slots: 8, Latency: 5 * time.Millisecond})
//	answer, err := s.Call(ctx, sr.Call{Operation: "book", ID: "t1", Body: "lot 7"})
//	runs := s.Runs("t1")
//
// Reply computes the body of the answer to a call, so that a test detects an
// answer that was delivered to the wrong caller. A Fleet maps addresses to
// services and implements sr.Service; Handler serves one over HTTP.
package srplainservice

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Fault selects how calls fail.
type Fault string

// Faults.
const (
	FaultNone Fault = "none"
	// FaultBeforeRead closes the connection before the call is read, so that it
	// does not run.
	FaultBeforeRead Fault = "unread"
	// FaultAfterRun closes the connection after the call has run.
	FaultAfterRun Fault = "run"
	// FaultSlow multiplies the latency by Config.Slow.
	FaultSlow Fault = "slow"
)

const defaultCounted = 1 << 20

// Config describes one plain service.
type Config struct {
	// Slots is the maximum number of concurrent calls, beyond which calls are
	// refused. 0 sets no limit.
	Slots   int
	Latency time.Duration
	// Slow is the factor of FaultSlow.
	Slow int
	// Once lists the operations that must not run twice with the same body. They
	// run nevertheless, and Stats.Duplicates counts it.
	Once []string
	// Counted is the maximum number of IDs, and of bodies, that are counted.
	Counted int
}

// Service simulates one plain service. It is safe for concurrent use.
type Service struct {
	cfg  Config
	once map[string]bool

	mu sync.Mutex
	up bool
	// start is the number of the current process, which Load reports.
	start      uint64
	fault      Fault
	running    int
	peak       int
	total      int
	refused    int
	uncounted  int
	duplicates int
	ids        map[string]int
	bodies     map[uint64]int
	// killed is closed when the current process ends.
	killed chan struct{}
}

// Stats are totals since the stand-in was created.
type Stats struct {
	// Total counts the calls that ran.
	Total   int `json:"total"`
	Refused int `json:"refused"`
	// Peak is the highest number of concurrent calls.
	Peak int `json:"peak"`
	// Duplicates counts runs of a Once operation beyond the first with its body.
	Duplicates int `json:"doubled"`
	// Uncounted is the number of calls that were not counted by ID and body,
	// because Config.Counted was reached.
	Uncounted int `json:"uncounted"`
}

// New returns a running service.
func New(cfg Config) *Service {
	if cfg.Counted <= 0 {
		cfg.Counted = defaultCounted
	}
	s := &Service{
		cfg:    cfg,
		once:   make(map[string]bool),
		up:     true,
		start:  1,
		fault:  FaultNone,
		ids:    make(map[string]int),
		bodies: make(map[uint64]int),
		killed: make(chan struct{}),
	}
	for _, op := range cfg.Once {
		s.once[op] = true
	}
	return s
}

// Call runs a call. It returns ErrNotSent when the service is down, ErrNotTaken
// when it has no free slot, and ErrConnectionLost after a fault or Kill, when the
// call may have run.
func (s *Service) Call(ctx context.Context, c sr.Call) (sr.Answer, error) {
	fault, killed, err := s.startCall(c)
	if err != nil {
		return sr.Answer{}, err
	}
	defer s.finishCall()
	select {
	case <-time.After(s.latency(fault)):
	case <-killed:
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srplainservice: service process ended")
	case <-ctx.Done():
		return sr.Answer{}, errors.Wrap(ctx.Err(), "srplainservice: call")
	}
	if fault == FaultAfterRun {
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srplainservice: connection reset after the call ran")
	}
	return sr.Answer{Code: http.StatusOK, Body: Reply(c.Operation, c.ID, c.Body)}, nil
}

// Load returns the current load.
func (s *Service) Load(context.Context) (sr.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return sr.Load{}, errors.Wrap(sr.ErrUnreachable, "srplainservice: service is down")
	}
	return sr.Load{Start: strconv.FormatUint(s.start, 10), Running: s.running}, nil
}

// Runs returns how many calls with id have run.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// BodyRuns returns how many calls of an operation with body have run.
func (s *Service) BodyRuns(operation, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[digest(operation, body)]
}

// Stats returns the totals since the stand-in was created.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Total: s.total, Refused: s.refused, Peak: s.peak, Duplicates: s.duplicates, Uncounted: s.uncounted}
}

// SetFault sets how later calls fail.
func (s *Service) SetFault(f Fault) error {
	switch f {
	case FaultNone, FaultBeforeRead, FaultAfterRun, FaultSlow:
	default:
		return errors.Wrapf(sr.ErrInvalid, "srplainservice: fault %q", f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	return nil
}

// Kill ends the service process: running calls fail, and new ones are refused
// until Restart.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.up = false
		close(s.killed)
	}
}

// Restart kills the service process, if it runs, and starts a new one.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		close(s.killed)
	}
	s.up = true
	s.start++
	s.killed = make(chan struct{})
}

// Reply returns the body of the answer to a call.
func Reply(operation, id, body string) string {
	return operation + " " + id + " " + strconv.FormatUint(digest(operation, body), 16)
}

// startCall occupies a slot and counts the call. It returns the fault that applies
// and a channel that is closed when the service process ends.
func (s *Service) startCall(c sr.Call) (Fault, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.up:
		return "", nil, errors.Wrap(sr.ErrNotSent, "srplainservice: service is down")
	case s.fault == FaultBeforeRead:
		return "", nil, errors.Wrap(sr.ErrConnectionLost, "srplainservice: connection reset before the call was read")
	case s.cfg.Slots > 0 && s.running >= s.cfg.Slots:
		s.refused++
		return "", nil, errors.Wrap(sr.ErrNotTaken, "srplainservice: no free slot")
	}
	s.running++
	s.peak = max(s.peak, s.running)
	s.countCall(c)
	return s.fault, s.killed, nil
}

func (s *Service) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) countCall(c sr.Call) {
	s.total++
	if len(s.ids) >= s.cfg.Counted || len(s.bodies) >= s.cfg.Counted {
		s.uncounted++
		return
	}
	key := digest(c.Operation, c.Body)
	s.ids[c.ID]++
	s.bodies[key]++
	if s.once[c.Operation] && s.bodies[key] > 1 {
		s.duplicates++
	}
}

func (s *Service) latency(f Fault) time.Duration {
	if f == FaultSlow {
		return s.cfg.Latency * time.Duration(max(s.cfg.Slow, 1))
	}
	return s.cfg.Latency
}

func digest(operation, body string) uint64 {
	return xxhash.Sum64String(operation + "\x00" + body)
}
