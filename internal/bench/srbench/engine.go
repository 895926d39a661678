package srbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// batchSlowdown is how much slower a stream decodes in a full batch.
	batchSlowdown = 0.3
	// coldSpeed is the speed of a cold engine relative to a warm one.
	coldSpeed = 0.6
	// restartTime is how long an engine that fell over is down.
	restartTime = 8 * time.Second
	// reportLag and reportJitter are the age of load reports.
	reportLag    = 200 * time.Millisecond
	reportJitter = 200 * time.Millisecond
	// eventLoss is the share of cache events that never arrive.
	eventLoss = 0.1
	// gapTarget is the target time between tokens.
	gapTarget = 35 * time.Millisecond
	// epsilon is the work in tokens that counts as done.
	epsilon = 1e-6
)

type ending uint8

const (
	endingDone ending = iota + 1
	endingCut
	endingBroken
)

// stream is a request at an engine.
type stream struct {
	req     *request
	lease   sr.LeaseID
	cached  int
	prefill float64
	decode  float64
	started time.Duration
	first   time.Duration
	// slow counts the tokens that came later than gapTarget.
	slow float64
	// spent is the number of prompt tokens prefilled so far.
	spent float64
	ended bool
	end   func(s *stream, e ending)
}

// engine is a fake model engine, or a plain service when it prefills nothing.
type engine struct {
	q         *queue
	rng       *rand.Rand
	spec      EndpointSpec
	class     sr.Class
	up        bool
	runs      int
	completed int
	running   []*stream
	waiting   []*stream
	cache     *cache
	last      time.Duration
	wake      uint64
	falls     int
}

func newEngine(q *queue, rng *rand.Rand, spec EndpointSpec, class sr.Class) *engine {
	class.Prefill *= spec.Speed
	class.Decode *= spec.Speed
	e := &engine{q: q, rng: rng, spec: spec, class: class, up: true, runs: 1, cache: newCache(class.Cache)}
	e.completed = class.Slots
	return e
}

// bears returns how many requests the engine runs without falling over.
func (e *engine) bears() int {
	return min(e.class.Slots, e.class.Cold+e.completed)
}

func (e *engine) cold() bool { return e.bears() < e.class.Slots }

func (e *engine) runID() string { return fmt.Sprint(e.spec.Name, "-", e.runs) }

// accept starts a request and returns false when the engine is down.
func (e *engine) accept(s *stream) bool {
	if !e.up {
		return false
	}
	e.advance()
	s.started = e.q.now
	if e.cold() && len(e.running) >= e.bears() {
		e.running = append(e.running, s)
		e.fall()
		return true
	}
	if len(e.running) >= e.class.Slots {
		e.waiting = append(e.waiting, s)
		return true
	}
	e.start(s)
	e.schedule()
	return true
}

func (e *engine) start(s *stream) {
	depth := e.cache.depth(s.req.blocks)
	s.cached = min(depth*blockTokens, s.req.prompt)
	s.prefill = float64(max(1, s.req.prompt-s.cached))
	s.decode = float64(s.req.output - 1)
	e.running = append(e.running, s)
}

// cancel ends a stream early.
func (e *engine) cancel(s *stream) {
	if s.ended {
		return
	}
	e.advance()
	e.remove(s)
	e.finish(s, endingCut)
	e.schedule()
}

// fall breaks all streams and restarts the engine cold.
func (e *engine) fall() {
	e.falls++
	e.stop()
	e.q.after(restartTime, e.boot)
}

func (e *engine) stop() {
	e.advance()
	e.up = false
	e.wake++
	broken := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, s := range broken {
		e.finish(s, endingBroken)
	}
}

func (e *engine) boot() {
	if e.up {
		return
	}
	e.up = true
	e.runs++
	e.completed = 0
	e.cache = newCache(e.class.Cache)
	e.last = e.q.now
}

// rates returns the prefill rate per prompt in progress and the decode rate
// per stream.
func (e *engine) rates() (prefill, decode float64) {
	prompts := 0
	for _, s := range e.running {
		if s.prefill > epsilon {
			prompts++
		}
	}
	speed := 1.0
	if e.cold() {
		speed = coldSpeed
	}
	full := float64(len(e.running)-1) / float64(max(1, e.class.Slots-1))
	return speed * e.class.Prefill / float64(max(1, prompts)), speed * e.class.Decode / (1 + batchSlowdown*full)
}

// advance does the work of the time since the last change.
func (e *engine) advance() {
	dt := (e.q.now - e.last).Seconds()
	e.last = e.q.now
	if dt <= 0 {
		return
	}
	prefill, decode := e.rates()
	late := decode*gapTarget.Seconds() < 1
	for _, s := range e.running {
		if s.prefill > epsilon {
			n := min(s.prefill, prefill*dt)
			s.prefill -= n
			s.spent += n
			continue
		}
		n := min(s.decode, decode*dt)
		s.decode -= n
		if late {
			s.slow += n
		}
	}
}

// schedule plans the next change of the batch.
func (e *engine) schedule() {
	e.wake++
	if !e.up || len(e.running) == 0 {
		return
	}
	prefill, decode := e.rates()
	next := math.Inf(1)
	for _, s := range e.running {
		if s.prefill > epsilon {
			next = min(next, s.prefill/prefill)
		} else {
			next = min(next, s.decode/decode)
		}
	}
	wake := e.wake
	e.q.after(time.Duration(next*float64(time.Second))+1, func() {
		if wake == e.wake {
			e.step()
		}
	})
}

// step ends what is done and starts what waits.
func (e *engine) step() {
	e.advance()
	var done []*stream
	for _, s := range e.running {
		if s.prefill > epsilon {
			continue
		}
		if s.first == 0 {
			s.first = e.q.now - s.started
			e.cache.add(s.req.blocks)
		}
		if s.decode <= epsilon {
			done = append(done, s)
		}
	}
	for _, s := range done {
		e.remove(s)
		e.completed++
		e.finish(s, endingDone)
	}
	e.schedule()
}

func (e *engine) remove(s *stream) {
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
	for len(e.waiting) > 0 && len(e.running) < e.class.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
}

func (e *engine) finish(s *stream, how ending) {
	s.ended = true
	s.end(s, how)
}

// report takes a load report; it is delivered later and says so by its age.
func (e *engine) report() (load sr.Load, ok bool) {
	if !e.up {
		return sr.Load{}, false
	}
	load = sr.Load{
		Age:     reportLag + time.Duration(e.rng.Int64N(int64(reportJitter))),
		Start:   e.runID(),
		Running: len(e.running),
		Waiting: len(e.waiting),
		Cached:  len(e.cache.blocks),
	}
	for _, event := range e.cache.events {
		if e.rng.Float64() >= eventLoss {
			load.Events = append(load.Events, event)
		}
	}
	e.cache.events = nil
	return load, true
}

func without(list []*stream, s *stream) []*stream {
	for i, x := range list {
		if x == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
