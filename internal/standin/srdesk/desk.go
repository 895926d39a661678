// Package srdesk is a stand-in for a plain service: it runs calls after a
// latency, counts each by ID and by body, and can be told to fail.
//
// # Usage
//
//	d := srdesk.New(srdesk.Config{Slots: 8, Latency: 5 * time.Millisecond})
//	answer, err := d.Call(ctx, sr.Call{Operation: "book", ID: "t1", Body: "lot 7"})
//	runs := d.Runs("t1")
//
// Reply gives the body of the answer to a call, so that a checker sees an
// answer that went to the wrong caller. A Fleet puts desks behind addresses and
// implements sr.Service; Handler serves a desk over HTTP.
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

// Fault is a way to fail.
type Fault string

// Faults.
const (
	FaultNone Fault = "none"
	// FaultUnread ends the connection before the call is read; it does not run.
	FaultUnread Fault = "unread"
	// FaultRun ends the connection after the call has run.
	FaultRun Fault = "run"
	// FaultSlow multiplies the latency by Config.Slow.
	FaultSlow Fault = "slow"
)

const defaultCounted = 1 << 20

// Config describes one plain service.
type Config struct {
	// Slots is the most calls at once; above it the desk answers that it did
	// not take a call. 0 sets no limit.
	Slots   int
	Latency time.Duration
	// Slow is the factor of FaultSlow.
	Slow int
	// Once lists the operations that must not run twice with the same body.
	Once []string
	// Counted is the most calls that are counted by ID and by body.
	Counted int
}

// Desk is one plain service. It is safe for concurrent use.
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

// Stats are totals over the life of the stand-in.
type Stats struct {
	Total   int `json:"total"`
	Refused int `json:"refused"`
	// Peak is the most calls at once.
	Peak int `json:"peak"`
	// Doubled counts runs of a Once operation beyond the first with its body.
	Doubled int `json:"doubled"`
	// Uncounted is the number of calls beyond the bound on counted ones.
	Uncounted int `json:"uncounted"`
}

// New returns a running desk.
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

// Call runs a call. ErrNotSent: the desk is down. ErrNotTaken: it has no slot.
// ErrConnectionLost: it failed, and the call may have run.
func (d *Desk) Call(ctx context.Context, c sr.Call) (sr.Answer, error) {
	fault, killed, err := d.startCall(c)
	if err != nil {
		return sr.Answer{}, err
	}
	defer d.finishCall()
	select {
	case <-time.After(d.latency(fault)):
	case <-killed:
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srdesk: desk died")
	case <-ctx.Done():
		return sr.Answer{}, errors.Wrap(ctx.Err(), "srdesk: call")
	}
	if fault == FaultRun {
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srdesk: connection reset after the call ran")
	}
	return sr.Answer{Code: http.StatusOK, Body: Reply(c.Operation, c.ID, c.Body)}, nil
}

// Load returns the present load.
func (d *Desk) Load(context.Context) (sr.Load, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.up {
		return sr.Load{}, errors.Wrap(sr.ErrUnreachable, "srdesk: desk is down")
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

// Stats returns totals over the life of the stand-in.
func (d *Desk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{Total: d.total, Refused: d.refused, Peak: d.peak, Doubled: d.duplicates, Uncounted: d.uncounted}
}

// SetFault sets how later calls fail.
func (d *Desk) SetFault(f Fault) error {
	switch f {
	case FaultNone, FaultUnread, FaultRun, FaultSlow:
	default:
		return errors.Wrapf(sr.ErrInvalid, "srdesk: fault %q", f)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	return nil
}

// Kill breaks the running calls and refuses others until Restart.
func (d *Desk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.up {
		d.up = false
		close(d.killed)
	}
}

// Restart begins another run of the desk.
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

func (d *Desk) startCall(c sr.Call) (Fault, chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.up:
		return "", nil, errors.Wrap(sr.ErrNotSent, "srdesk: desk is down")
	case d.fault == FaultUnread:
		return "", nil, errors.Wrap(sr.ErrConnectionLost, "srdesk: connection reset before the call was read")
	case d.cfg.Slots > 0 && d.running >= d.cfg.Slots:
		d.refused++
		return "", nil, errors.Wrap(sr.ErrNotTaken, "srdesk: no slot")
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
