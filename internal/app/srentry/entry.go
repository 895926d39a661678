// Package srentry implements the issuer of a request: it issues tickets,
// records submissions, asks pool owners for leases, dispatches each request
// at most once (a repeatable call may be retried) and keeps its answer for its
// caller.
//
// # Usage
//
//	entry := srentry.New(deps)
//	tickets, err := entry.Tickets("intake", 8)
//	status, err := entry.Submit(ctx, sr.Submission{Ticket: tickets[0], Request: req})
//	f := entry.Follow(tickets[0], "intake", "", 0)
//	events, status, err := f.Next(ctx)
//
// Submissions, polls and explain requests for another instance's tickets are
// relayed to that instance. If it is gone, the outcome is "unknown": no other
// instance dispatches the request in its place.
package srentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

// Fleet provides the entry's view of the other instances.
type Fleet interface {
	// Owner returns the last known owner of a pool.
	Owner(pool sr.PoolID) (sr.InstanceID, bool)
	// PoolSummaries returns the latest summaries of a target's pools.
	PoolSummaries(target string) []sr.PoolSummary
	// AwaitFreshView waits until the view of the other instances is no older
	// than the heartbeat lapse. It returns an error when ctx ends first.
	AwaitFreshView(ctx context.Context) error
}

// Admitter limits what a workspace may submit. It is safe for concurrent use.
type Admitter interface {
	// Admit admits a request or refuses it. An admitted request counts as
	// waiting until Dequeue is called.
	Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool)
	// Dequeue stops counting an admitted request as waiting.
	Dequeue(workspace string)
	// AdmitRetry takes one retry from a workspace's retry budget, or refuses it.
	AdmitRetry(now time.Time, w sr.Workspace) (sr.Refusal, bool)
}

// Limits bounds the records of an entry and the size of one call.
type Limits struct {
	// Requests is the maximum number of request records, Events the maximum
	// number of events kept for one answer.
	Requests int
	Events   int
	// Batch is the maximum number of tickets issued by one call.
	Batch int
	// Retain is how long the answer of an ended request is kept.
	Retain time.Duration
}

// Deps are the dependencies of an Entry.
type Deps struct {
	Self     sr.InstanceID
	Issuer   *srticket.Issuer
	Manifest func() (sr.Manifest, bool)
	Fleet    Fleet
	Admitter Admitter
	Picker   sr.Picker
	Engine   sr.Engine
	Service  sr.Service
	Peers    sr.Peers
	// Stream returns an unguessable stream name.
	Stream  func() string
	Record  *srtrace.Log
	Limits  Limits
	Metrics metrics.Registry
}

// Entry is the issuer of one instance. It is safe for concurrent use.
type Entry struct {
	deps       Deps
	table      *srrequest.Table
	heldLeases *heldLeases
	// accepting is read-locked while a submission is accepted. Drain takes the
	// write lock, so each submission is either fully accepted before the drain
	// or refused by it.
	accepting sync.RWMutex
	draining  atomic.Bool
	// active counts accepted requests that have not ended, and messages to pool
	// owners that are being sent.
	active sync.WaitGroup
	// callers counts the callers that are following an answer or whose
	// submission is being relayed.
	callers atomic.Int64
	// pickerMu serialises the calls of the Picker.
	pickerMu sync.Mutex
}

// New returns an Entry.
func New(deps Deps) *Entry {
	return &Entry{
		deps:       deps,
		table:      srrequest.New(deps.Limits.Requests, deps.Limits.Events),
		heldLeases: newHeldLeases(),
	}
}

// Drain makes the entry refuse new requests.
func (e *Entry) Drain() {
	e.accepting.Lock()
	defer e.accepting.Unlock()
	e.draining.Store(true)
}

// Draining reports whether new requests are refused.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Wait returns when every accepted request has ended, or with the error of ctx
// when it ends first.
func (e *Entry) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Callers returns the number of callers that are following an answer or whose
// submission is being relayed.
func (e *Entry) Callers() int { return int(e.callers.Load()) }

// Sweep drops the records and answers whose retention has ended.
func (e *Entry) Sweep(now time.Time) { e.table.Sweep(now, e.deps.Limits.Retain) }

// Count returns the number of records by state.
func (e *Entry) Count() srrequest.Count { return e.table.Count() }

// HeldLeases returns the complete list of the leases that this instance holds
// in each of the given pools.
func (e *Entry) HeldLeases(pools []sr.PoolSummary) []sr.HeldPool { return e.heldLeases.list(pools) }

// count increments a counter.
func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.deps.Metrics).Inc(1)
}

// recordStep records a decision for explain.
func (e *Entry) recordStep(ticket, step, format string, args ...any) {
	e.deps.Record.Add(ticket, time.Now(), step, format, args...)
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) error { return srtimer.Wait(ctx, d) }
