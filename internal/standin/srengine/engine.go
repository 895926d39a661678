// Package srengine is a stand-in for a model engine. It simulates continuous
// batching, a prefix cache, cold starts, delayed load reports, and the
// resumption and cancellation of streams. It reads time only through package
// time, so that tests can run it in the virtual time of testing/synctest.
//
// # Usage
//
//	e := srengine.New(srengine.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
//	s, err := e.Dispatch(ctx, sr.Dispatch{Stream: "s1", Prompt: "Hello", Tokens: 8})
//	t, err := s.Next(ctx)
//
// Answer computes the complete answer to a prompt, so that a test can check an
// answer without having stored it. A Fleet maps addresses to engines and
// implements sr.Engine; Handler serves an engine over HTTP. Runs returns how
// often a prompt was accepted.
package srengine

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
)

// CutCancelled is the reason in Token.Cut at the end of a cancelled stream.
const CutCancelled = "cancelled"

// Engine simulates one model engine. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu    sync.Mutex
	rng   *rand.Rand
	speed float64
	up    bool
	// outageEnd is when the engine is up again after a crash in a cold start.
	outageEnd time.Time
	frozen    bool
	// thawed is closed when the engine is no longer frozen.
	thawed chan struct{}
	counts counts

	// The fields below are reset when the simulated process ends.

	// start identifies the current process.
	start     string
	started   time.Time
	completed int
	running   []*job
	waiting   []*job
	// held are the requests that arrived while the engine was frozen.
	held   []*job
	jobs   map[string]*job
	ended  []*job
	cache  *cache
	report *report
	timer  *time.Timer
	// stepNumber is the number of the step at whose end timer fires. Timers of
	// cancelled steps find another number and do nothing.
	stepNumber uint64
}

// New returns a running engine. It is cold when cfg.Cold is set.
func New(cfg Config, rng *rand.Rand) *Engine {
	e := &Engine{cfg: cfg.withMinimums(), rng: rng, speed: 1, up: true}
	e.counts = newCounts(e.cfg.Counted)
	e.reset()
	return e
}

// Dispatch submits a request. It returns ErrNotSent when the engine is down, or
// frozen and holding too many requests, ErrNotTaken when its waiting list is full,
// and ErrConnectionLost when the request makes a cold engine crash.
func (e *Engine) Dispatch(ctx context.Context, d sr.Dispatch) (sr.Stream, error) {
	if d.Stream == "" || d.Tokens < 1 || d.Tokens > e.cfg.MaxTokens {
		return nil, errors.Wrapf(sr.ErrInvalid, "srengine: stream %q with %d tokens", d.Stream, d.Tokens)
	}
	e.mu.Lock()
	if !e.alive() {
		e.mu.Unlock()
		return nil, errors.Wrap(sr.ErrNotSent, "srengine: engine is down")
	}
	j := e.newJob(d)
	if !e.frozen {
		defer e.mu.Unlock()
		return e.accept(j)
	}
	err := e.holdUntilThaw(j)
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return e.awaitThaw(ctx, j)
}

// Resume returns the rest of a known stream, which starts after the token with the
// sequence number after.
func (e *Engine) Resume(ctx context.Context, id string, after int) (sr.Stream, error) {
	if err := e.lockRunning(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	e.expire()
	j, ok := e.jobs[id]
	if !ok || after < 0 || after > j.generated {
		return nil, errors.Wrapf(sr.ErrNoStream, "srengine: stream %s behind %d", id, after)
	}
	return e.openStream(j, after), nil
}

// Cancel ends a stream. It does nothing when the stream is unknown or has ended.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.lockRunning(ctx); err != nil {
		return err
	}
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok || j.ended {
		return nil
	}
	e.removeJob(j)
	e.finish(j, CutCancelled)
	e.recordLoad()
	return nil
}

// Load returns a delayed load report and the cache events whose sequence number
// is above after. Each start of the engine restarts the sequence numbers.
func (e *Engine) Load(ctx context.Context, after uint64) (sr.Load, error) {
	if err := e.lockRunning(ctx); err != nil {
		return sr.Load{}, err
	}
	defer e.mu.Unlock()
	l := e.report.load(time.Now(), after)
	l.Start = e.start
	return l, nil
}

// lockRunning locks the engine as soon as it isn't frozen, and fails when it is
// down.
func (e *Engine) lockRunning(ctx context.Context) error {
	for {
		e.mu.Lock()
		if !e.alive() {
			e.mu.Unlock()
			return errors.Wrap(sr.ErrUnreachable, "srengine: engine is down")
		}
		if !e.frozen {
			return nil
		}
		thawed := e.thawed
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "srengine: engine is frozen")
		case <-thawed:
		}
	}
}

func (e *Engine) alive() bool { return e.up && !time.Now().Before(e.outageEnd) }

func (e *Engine) cold() bool {
	if e.cfg.Cold == 0 {
		return false
	}
	return e.completed < e.cfg.WarmRequests || time.Since(e.started) < e.cfg.WarmTime
}

func (e *Engine) newJob(d sr.Dispatch) *job {
	j := &job{
		d:        d,
		digest:   Digest(d.Prompt),
		blocks:   srprefix.Blocks(d.Workspace, d.Prompt),
		length:   d.Tokens,
		streams:  make(map[*stream]struct{}),
		accepted: make(chan struct{}),
	}
	if e.cfg.EarlyStop {
		j.length = Length(d.Prompt, d.Tokens)
	}
	return j
}

// accept adds a request to the waiting list and fills the batch from it. A
// request for a stream that exists, or one that makes the engine crash, is
// counted as a run and then fails.
func (e *Engine) accept(j *job) (sr.Stream, error) {
	e.expire()
	if len(e.running) >= e.cfg.Slots && len(e.waiting) >= e.cfg.Queue {
		e.counts.refused++
		return nil, errors.Wrap(sr.ErrNotTaken, "srengine: waiting list is full")
	}
	e.counts.add(j)
	j.start = e.start
	if _, ok := e.jobs[j.d.Stream]; ok {
		return nil, errors.Errorf("srengine: stream %s is in use", j.d.Stream)
	}
	e.jobs[j.d.Stream] = j
	e.waiting = append(e.waiting, j)
	e.counts.peak = max(e.counts.peak, e.requests())
	if e.cold() && e.requests() > e.cfg.Cold {
		e.crashCold()
		return nil, errors.Wrap(sr.ErrConnectionLost, "srengine: cold engine crashed under too many requests")
	}
	e.admit()
	e.recordLoad()
	e.schedule()
	return e.openStream(j, 0), nil
}

// holdUntilThaw keeps a request that reached a frozen engine. Like the accept
// queue of a socket, it holds a limited number.
func (e *Engine) holdUntilThaw(j *job) error {
	if len(e.held) >= e.cfg.Slots+e.cfg.Queue {
		return errors.Wrap(sr.ErrNotSent, "srengine: frozen engine accepts no more connections")
	}
	e.held = append(e.held, j)
	return nil
}

// awaitThaw waits until a frozen engine runs again. The engine still runs the
// request when the caller gives up.
func (e *Engine) awaitThaw(ctx context.Context, j *job) (sr.Stream, error) {
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "srengine: engine is frozen")
	case <-j.accepted:
	}
	if j.err != nil {
		return nil, j.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openStream(j, 0), nil
}

func (e *Engine) openStream(j *job, after int) *stream {
	s := &stream{e: e, j: j, after: after, ready: make(chan struct{}, 1)}
	j.streams[s] = struct{}{}
	return s
}

// requests returns the number of requests in the batch and the waiting list.
func (e *Engine) requests() int { return len(e.running) + len(e.waiting) }

func (e *Engine) recordLoad() {
	e.report.record(sample{at: time.Now(), running: len(e.running), waiting: len(e.waiting), cached: e.cache.len()})
}

// reset discards the state of the engine process and starts a new one.
func (e *Engine) reset() {
	e.start = e.cfg.Run + strconv.FormatUint(e.rng.Uint64(), 36)
	e.started = time.Now()
	e.completed = 0
	e.running, e.waiting, e.held, e.ended = nil, nil, nil, nil
	e.jobs = make(map[string]*job)
	e.report = newReport(e.cfg, e.rng)
	e.cache = newCache(e.cfg.Cache, e.report.recordEvent)
	e.cancelStep()
	e.recordLoad()
}
