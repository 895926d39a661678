// Package srdesk is a stand-in for a plain service. It answers calls after a
// configured latency, counts them by ID and by body, and injects faults.
//
// # Usage
//
//	d := srdesk.New(srdesk.Config{Slots: 8, Latency: 5 * time.Millisecond})
//	answer, err := d.Call(ctx, sr.Call{Operation: "book", ID: "t1", Body: "lot 7"})
//	runs := d.Runs("t1")
//
// Reply computes the body of the answer to a call, so that a test detects an
// answer that was delivered to the wrong caller. A Fleet maps addresses to
// services and implements sr.Service; Handler serves one over HTTP.
package srdesk

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
	// run nevertheless, and Stats.Doubled counts it.
	Once []string
	// Counted is the maximum number of IDs, and of bodies, that are counted.
	Counted int
}

// Desk simulates one plain service. It is safe for concurrent use.
type Desk struct {
	cfg  Config
	once map[string]bool

	mu         sync.Mutex
	up         bool
	run        uint64
	fault      Fault
	running    int
	peak       int
	total      int
	refused    int
	uncounted  int
	duplicates int
	ids        map[string]int
	bodies     map[uint64]int
	killed     chan struct{}
}

// Stats are totals since the stand-in was created.
type Stats struct {
	Total   int `json:"total"`
	Refused int `json:"refused"`
	// Peak is the highest number of concurrent calls.
	Peak int `json:"peak"`
	// Doubled counts runs of a Once operation beyond the first with its body.
	Doubled int `json:"doubled"`
	// Uncounted is the number of calls that were not counted by ID and body,
	// because Config.Counted was reached.
	Uncounted int `json:"uncounted"`
}

// New returns a running service.
func New(cfg Config) *Desk {
	if cfg.Counted <= 0 {
		cfg.Counted = defaultCounted
	}
	d := &Desk{
		cfg:    cfg,
		once:   make(map[string]bool),
		up:     true,
		run:    1,
		fault:  FaultNone,
		ids:    make(map[string]int),
		bodies: make(map[uint64]int),
		killed: make(chan struct{}),
	}
	for _, op := range cfg.Once {
		d.once[op] = true
	}
	return d
}

// Call runs a call. It returns ErrNotSent when the service is down, ErrNotTaken
// when it has no free slot, and ErrConnectionLost after a fault or Kill, when the
// call may have run.
func (d *Desk) Call(ctx context.Context, c sr.Call) (sr.Answer, error) {
	fault, killed, err := d.startCall(c)
	if err != nil {
		return sr.Answer{}, err
	}
	defer d.finishCall()
	select {
	case <-time.After(d.latency(fault)):
	case <-killed:
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srdesk: service process ended")
	case <-ctx.Done():
		return sr.Answer{}, errors.Wrap(ctx.Err(), "srdesk: call")
	}
	if fault == FaultAfterRun {
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srdesk: connection reset after the call ran")
	}
	return sr.Answer{Code: http.StatusOK, Body: Reply(c.Operation, c.ID, c.Body)}, nil
}

// Load returns the current load.
func (d *Desk) Load(context.Context) (sr.Load, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.up {
		return sr.Load{}, errors.Wrap(sr.ErrUnreachable, "srdesk: service is down")
	}
	return sr.Load{Start: strconv.FormatUint(d.run, 10), Running: d.running}, nil
}

// Runs returns how many calls with id have run.
func (d *Desk) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ids[id]
}

// BodyRuns returns how many calls of an operation with body have run.
func (d *Desk) BodyRuns(operation, body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bodies[digest(operation, body)]
}

// Stats returns the totals since the stand-in was created.
func (d *Desk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{Total: d.total, Refused: d.refused, Peak: d.peak, Doubled: d.duplicates, Uncounted: d.uncounted}
}

// SetFault sets how later calls fail.
func (d *Desk) SetFault(f Fault) error {
	switch f {
	case FaultNone, FaultBeforeRead, FaultAfterRun, FaultSlow:
	default:
		return errors.Wrapf(sr.ErrInvalid, "srdesk: fault %q", f)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	return nil
}

// Kill ends the service process: running calls fail, and new ones are refused
// until Restart.
func (d *Desk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.up {
		d.up = false
		close(d.killed)
	}
}

// Restart kills the service process, if it runs, and starts a new one.
func (d *Desk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.up {
		close(d.killed)
	}
	d.up = true
	d.run++
	d.killed = make(chan struct{})
}

// Reply returns the body of the answer to a call.
func Reply(operation, id, body string) string {
	return operation + " " + id + " " + strconv.FormatUint(digest(operation, body), 16)
}

// startCall occupies a slot and counts the call. It returns the fault that applies
// and a channel that is closed when the service process ends.
func (d *Desk) startCall(c sr.Call) (Fault, chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.up:
		return "", nil, errors.Wrap(sr.ErrNotSent, "srdesk: service is down")
	case d.fault == FaultBeforeRead:
		return "", nil, errors.Wrap(sr.ErrConnectionLost, "srdesk: connection reset before the call was read")
	case d.cfg.Slots > 0 && d.running >= d.cfg.Slots:
		d.refused++
		return "", nil, errors.Wrap(sr.ErrNotTaken, "srdesk: no free slot")
	}
	d.running++
	d.peak = max(d.peak, d.running)
	d.countCall(c)
	return d.fault, d.killed, nil
}

func (d *Desk) finishCall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

func (d *Desk) countCall(c sr.Call) {
	d.total++
	if len(d.ids) >= d.cfg.Counted || len(d.bodies) >= d.cfg.Counted {
		d.uncounted++
		return
	}
	key := digest(c.Operation, c.Body)
	d.ids[c.ID]++
	d.bodies[key]++
	if d.once[c.Operation] && d.bodies[key] > 1 {
		d.duplicates++
	}
}

func (d *Desk) latency(f Fault) time.Duration {
	if f == FaultSlow {
		return d.cfg.Latency * time.Duration(max(d.cfg.Slow, 1))
	}
	return d.cfg.Latency
}

func digest(operation, body string) uint64 {
	return xxhash.Sum64String(operation + "\x00" + body)
}
