// Package srentry is the issuer's side of a request: it issues tickets,
// records submissions, asks pool owners for leases, dispatches each request
// at most once and keeps its answer for its caller.
//
// # Usage
//
//	entry := srentry.New(deps)
//	tickets, err := entry.Tickets("intake", 8)
//	status, err := entry.Submit(ctx, sr.Submission{Ticket: tickets[0], Request: req})
//	f := entry.Follow(tickets[0], "intake", "", 0)
//	events, status, err := f.Next(ctx)
//
// Submissions, polls and explanations of another instance's tickets are
// relayed to it. An issuer that is gone gives the outcome "unknown"; nothing
// is ever dispatched for it by another instance.
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
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrecord"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// Fleet is what an entry needs to know of the other instances.
type Fleet interface {
	// Owner returns the instance that owns a pool as far as is known.
	Owner(pool sr.PoolID) (sr.InstanceID, bool)
	// News returns the latest summaries of a target's pools.
	News(target string) []sr.PoolNews
	// Fresh returns once the view of the world is not older than the
	// heartbeat lapse, or ctx has ended.
	Fresh(ctx context.Context) error
}

// Admitter limits what a workspace may submit. It is safe for concurrent use.
type Admitter interface {
	// Admit takes a request in, which waits until Leave is called.
	Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool)
	// Leave says that an admitted request no longer waits.
	Leave(workspace string)
	// Retry takes one retry from a workspace's budget.
	Retry(now time.Time, w sr.Workspace) (sr.Refusal, bool)
}

// Limits bound what an entry keeps.
type Limits struct {
	// Requests is the most records, Events the most events of one answer.
	Requests int
	Events   int
	// Batch is the most tickets of one call.
	Batch int
	// Retain is how long the answer of an ended request is kept.
	Retain time.Duration
}

// Deps are what an entry works with.
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
	Record  *srrecord.Log
	Limits  Limits
	Metrics metrics.Registry
}

// Entry is the issuer of one instance. It is safe for concurrent use.
type Entry struct {
	deps     Deps
	table    *srrequest.Table
	holdings *holdings
	// accepting is held for reading while a request is accepted, so that a
	// shutdown sees it either whole or not at all.
	accepting sync.RWMutex
	draining  atomic.Bool
	active    sync.WaitGroup
	// callers counts the exchanges with callers, relayed ones included.
	callers atomic.Int64
	pickMu  sync.Mutex
}

// New returns an Entry.
func New(deps Deps) *Entry {
	return &Entry{
		deps:     deps,
		table:    srrequest.New(deps.Limits.Requests, deps.Limits.Events),
		holdings: newHoldings(),
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

// Wait returns when every accepted request has ended, or with ctx.
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

// Callers returns the number of callers that are being served.
func (e *Entry) Callers() int { return int(e.callers.Load()) }

// Sweep drops the records and answers that need not be kept any longer.
func (e *Entry) Sweep(now time.Time) { e.table.Sweep(now, e.deps.Limits.Retain) }

// Count returns the number of records by state.
func (e *Entry) Count() srrequest.Count { return e.table.Count() }

// Held lists the leases held in the given pools, in full.
func (e *Entry) Held(pools []sr.PoolNews) []sr.HeldPool { return e.holdings.list(pools) }

// count adds to a counter.
func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.deps.Metrics).Inc(1)
}

// note records a decision for explain.
func (e *Entry) note(ticket, step, format string, args ...any) {
	e.deps.Record.Add(ticket, time.Now(), step, format, args...)
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) error { return srtimer.Wait(ctx, d) }
