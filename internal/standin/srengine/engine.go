// Package srengine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes, starts cold, reports its load with a lag, and resumes
// and cancels streams. It keeps time by package time, so that it runs in the
// virtual time of testing/synctest.
//
// # Usage
//
//	e := srengine.New(srengine.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
//	s, err := e.Dispatch(ctx, sr.Dispatch{Stream: "s1", Prompt: "Hello", Tokens: 8})
//	t, err := s.Next(ctx)
//
// Answer gives the whole answer to a prompt, so that a checker needs no copy of
// it. A Fleet puts engines behind addresses and implements sr.Engine; Handler
// serves an engine over HTTP. Runs counts how often a prompt was taken.
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

// CutCancelled is the Cut of a stream that a caller cancelled.
const CutCancelled = "cancelled"

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu    sync.Mutex
	rng   *rand.Rand
	speed float64
	up    bool
	// back is when the engine returns after it has fallen over.
	outageEnd time.Time
	frozen    bool
	// thawed is closed at the end of a pause.
	thawed chan struct{}
	counts counts

	// What follows is lost when the engine process ends.
	start     string
	started   time.Time
	completed int
	running   []*job
	waiting   []*job
	held      []*job
	jobs      map[string]*job
	ended     []*job
	cache     *cache
	report    *report
	timer     *time.Timer
	// plan is the number of the step that timer waits for.
	stepNumber uint64
}

// New returns a running engine. It is cold when cfg.Cold is set.
func New(cfg Config, rng *rand.Rand) *Engine {
	e := &Engine{cfg: cfg.withMinimums(), rng: rng, speed: 1, up: true}
	e.counts = newCounts(e.cfg.Counted)
	e.reset()
	return e
}

// Dispatch takes a request. ErrNotSent: the engine is gone. ErrNotTaken: its
// waiting list is full. ErrConnectionLost: it fell over.
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

// Resume reads a known stream behind token after.
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

// Cancel ends a stream. An unknown or ended stream is no error.
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

// Load returns the lagging load report with the cache events behind after. The
// sequence numbers start again with each start of the engine.
func (e *Engine) Load(ctx context.Context, after uint64) (sr.Load, error) {
	if err := e.lockRunning(ctx); err != nil {
		return sr.Load{}, err
	}
	defer e.mu.Unlock()
	l := e.report.load(time.Now(), after)
	l.Start = e.start
	return l, nil
}

// lock takes the engine's lock once it is alive and not frozen.
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

// take puts a request into the batch or the waiting list.
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
		return nil, errors.Wrap(sr.ErrConnectionLost, "srengine: cold engine fell over")
	}
	e.admit()
	e.recordLoad()
	e.schedule()
	return e.openStream(j, 0), nil
}

// hold keeps a request that reached a frozen engine.
func (e *Engine) holdUntilThaw(j *job) error {
	if len(e.held) >= e.cfg.Slots+e.cfg.Queue {
		return errors.Wrap(sr.ErrNotSent, "srengine: frozen engine accepts no more connections")
	}
	e.held = append(e.held, j)
	return nil
}

// await waits until a frozen engine has thawed. The request stays with the
// engine when the caller gives up.
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

// load is the number of requests in the batch and the waiting list.
func (e *Engine) requests() int { return len(e.running) + len(e.waiting) }

func (e *Engine) recordLoad() {
	e.report.record(sample{at: time.Now(), running: len(e.running), waiting: len(e.waiting), cached: e.cache.len()})
}

// reset begins a new run of the engine process.
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
