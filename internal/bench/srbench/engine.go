package srbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// batchSlowdown is the relative increase of the time per token in a full batch.
	batchSlowdown = 0.3
	// coldSpeedFactor is the speed of a cold engine relative to a warm one.
	coldSpeedFactor = 0.6
	// restartTime is the time that an engine takes to restart after a crash.
	restartTime = 8 * time.Second
	// minReportAge and reportAgeSpread define the age of a load report on arrival:
	// uniform from minReportAge to minReportAge+reportAgeSpread.
	minReportAge    = 200 * time.Millisecond
	reportAgeSpread = 200 * time.Millisecond
	// eventLossShare is the share of cache events that are lost.
	eventLossShare = 0.1
	// tokenGapTarget is the target for the time between two tokens.
	tokenGapTarget = 35 * time.Millisecond
	// negligibleWork is the remaining work in tokens that counts as finished.
	negligibleWork = 1e-6
)

// streamOutcome is how a request at an engine ended.
type streamOutcome uint8

const (
	streamDone streamOutcome = iota + 1
	streamCancelled
	streamBroken
)

// stream is a request at an engine. prefillLeft and decodeLeft are the remaining
// work in tokens, firstToken is the time from its start to its first token.
type stream struct {
	req          *request
	lease        sr.LeaseID
	cachedTokens int
	prefillLeft  float64
	decodeLeft   float64
	started      time.Duration
	firstToken   time.Duration
	// lateTokens counts the tokens that came later than tokenGapTarget.
	lateTokens float64
	// prefilled is the number of prompt tokens prefilled so far.
	prefilled float64
	ended     bool
	onEnd     func(s *stream, outcome streamOutcome)
}

// engine simulates a model engine or, with a prefill rate so high that prompts
// take no time, a plain service.
type engine struct {
	queue *eventQueue
	rng   *rand.Rand
	spec  EndpointSpec
	// class is the class of the endpoint, with the actual rates of the engine.
	class       sr.Class
	up          bool
	incarnation int
	// completed counts the requests completed since the last start. At the start of
	// a run it is class.Slots, which makes the engine warm.
	completed  int
	running    []*stream
	waiting    []*stream
	cache      *cache
	advancedAt time.Duration
	// stepSeq is the number of the scheduled step. Steps with an earlier number are
	// ignored.
	stepSeq uint64
	crashes int
}

func newEngine(q *eventQueue, rng *rand.Rand, spec EndpointSpec, class sr.Class) *engine {
	class.Prefill *= spec.Speed
	class.Decode *= spec.Speed
	e := &engine{queue: q, rng: rng, spec: spec, class: class, up: true, incarnation: 1, cache: newCache(class.Cache)}
	e.completed = class.Slots
	return e
}

// maxRunning returns the number of requests that the engine runs without crashing.
// Each completed request raises it by one until all slots are usable.
func (e *engine) maxRunning() int {
	return min(e.class.Slots, e.class.Cold+e.completed)
}

func (e *engine) isCold() bool { return e.maxRunning() < e.class.Slots }

func (e *engine) runID() string { return fmt.Sprint(e.spec.Name, "-", e.incarnation) }

// accept starts or queues a request, and returns false when the engine is down. A
// cold engine that already runs maxRunning requests crashes.
func (e *engine) accept(s *stream) bool {
	if !e.up {
		return false
	}
	e.advance()
	s.started = e.queue.now
	if e.isCold() && len(e.running) >= e.maxRunning() {
		e.running = append(e.running, s)
		e.crash()
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
	blocks := e.cache.cachedPrefix(s.req.blocks)
	s.cachedTokens = min(blocks*blockTokens, s.req.promptTokens)
	s.prefillLeft = float64(max(1, s.req.promptTokens-s.cachedTokens))
	s.decodeLeft = float64(s.req.outputTokens - 1)
	e.running = append(e.running, s)
}

// cancel ends a stream early.
func (e *engine) cancel(s *stream) {
	if s.ended {
		return
	}
	e.advance()
	e.remove(s)
	e.finish(s, streamCancelled)
	e.schedule()
}

// crash breaks all streams and restarts the engine cold after restartTime.
func (e *engine) crash() {
	e.crashes++
	e.stop()
	e.queue.scheduleAfter(restartTime, e.boot)
}

func (e *engine) stop() {
	e.advance()
	e.up = false
	e.stepSeq++
	broken := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, s := range broken {
		e.finish(s, streamBroken)
	}
}

func (e *engine) boot() {
	if e.up {
		return
	}
	e.up = true
	e.incarnation++
	e.completed = 0
	e.cache = newCache(e.class.Cache)
	e.advancedAt = e.queue.now
}

// rates returns the prefill rate of each prompt in progress and the decode rate
// of each stream, in tokens per second.
func (e *engine) rates() (prefill, decode float64) {
	prompts := 0
	for _, s := range e.running {
		if s.prefillLeft > negligibleWork {
			prompts++
		}
	}
	speed := 1.0
	if e.isCold() {
		speed = coldSpeedFactor
	}
	fill := float64(len(e.running)-1) / float64(max(1, e.class.Slots-1))
	return speed * e.class.Prefill / float64(max(1, prompts)), speed * e.class.Decode / (1 + batchSlowdown*fill)
}

// advance applies the work done since the last call to the running streams.
func (e *engine) advance() {
	dt := (e.queue.now - e.advancedAt).Seconds()
	e.advancedAt = e.queue.now
	if dt <= 0 {
		return
	}
	prefill, decode := e.rates()
	late := decode*tokenGapTarget.Seconds() < 1
	for _, s := range e.running {
		if s.prefillLeft > negligibleWork {
			n := min(s.prefillLeft, prefill*dt)
			s.prefillLeft -= n
			s.prefilled += n
			continue
		}
		n := min(s.decodeLeft, decode*dt)
		s.decodeLeft -= n
		if late {
			s.lateTokens += n
		}
	}
}

// schedule schedules a step for the time at which the next stream ends its prefill
// or its decoding. It replaces the step that was scheduled before.
func (e *engine) schedule() {
	e.stepSeq++
	if !e.up || len(e.running) == 0 {
		return
	}
	prefill, decode := e.rates()
	next := math.Inf(1)
	for _, s := range e.running {
		if s.prefillLeft > negligibleWork {
			next = min(next, s.prefillLeft/prefill)
		} else {
			next = min(next, s.decodeLeft/decode)
		}
	}
	seq := e.stepSeq
	// One nanosecond is added because the conversion rounds down.
	e.queue.scheduleAfter(time.Duration(next*float64(time.Second))+1, func() {
		if seq == e.stepSeq {
			e.step()
		}
	})
}

// step records first tokens, finishes completed streams and starts waiting ones.
func (e *engine) step() {
	e.advance()
	var done []*stream
	for _, s := range e.running {
		if s.prefillLeft > negligibleWork {
			continue
		}
		if s.firstToken == 0 {
			s.firstToken = e.queue.now - s.started
			e.cache.add(s.req.blocks)
		}
		if s.decodeLeft <= negligibleWork {
			done = append(done, s)
		}
	}
	for _, s := range done {
		e.remove(s)
		e.completed++
		e.finish(s, streamDone)
	}
	e.schedule()
}

// remove removes a stream and starts waiting ones in the free slots.
func (e *engine) remove(s *stream) {
	e.running = removeStream(e.running, s)
	e.waiting = removeStream(e.waiting, s)
	for len(e.waiting) > 0 && len(e.running) < e.class.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
}

func (e *engine) finish(s *stream, outcome streamOutcome) {
	s.ended = true
	s.onEnd(s, outcome)
}

// report returns a load report whose Age is the time that its delivery takes; ok
// is false when the engine is down.
func (e *engine) report() (load sr.Load, ok bool) {
	if !e.up {
		return sr.Load{}, false
	}
	load = sr.Load{
		Age:     minReportAge + time.Duration(e.rng.Int64N(int64(reportAgeSpread))),
		Start:   e.runID(),
		Running: len(e.running),
		Waiting: len(e.waiting),
		Cached:  len(e.cache.blocks),
	}
	for _, event := range e.cache.events {
		if e.rng.Float64() >= eventLossShare {
			load.Events = append(load.Events, event)
		}
	}
	e.cache.events = nil
	return load, true
}

func removeStream(list []*stream, s *stream) []*stream {
	for i, x := range list {
		if x == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
