package srengine

import (
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Kill ends the engine process: open streams fail and its state is lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.unfreeze()
	e.up = false
}

// Restart kills the engine process, if it runs, and starts a new one, which is
// cold when Config.Cold is set.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.unfreeze()
	e.up = true
	e.outageEnd = time.Time{}
}

// GoCold starts a new cold start without a restart. The cache is emptied; the
// requests in the batch continue.
func (e *Engine) GoCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = time.Now()
	e.completed = 0
	for e.cache.len() > 0 {
		e.cache.evict()
	}
	e.recordLoad()
}

// Cold reports whether the engine is in a cold start.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold()
}

// SetSpeed scales the configured speed by a factor, which must be above 0. It
// takes effect with the next step.
func (e *Engine) SetSpeed(factor float64) error {
	if !(factor > 0) {
		return errors.Wrapf(sr.ErrInvalid, "srengine: speed %v", factor)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = factor
	return nil
}

// Freeze pauses the engine: streams make no progress and calls get no answer.
// Requests that arrive meanwhile are accepted at Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen || !e.alive() {
		return
	}
	e.frozen = true
	e.thawed = make(chan struct{})
	e.cancelStep()
}

// Thaw ends a pause.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.frozen {
		return
	}
	e.unfreeze()
	for len(e.held) > 0 {
		j := e.held[0]
		e.held = e.held[1:]
		_, j.err = e.accept(j)
		close(j.accepted)
	}
	e.schedule()
}

// Disconnect closes every connection. The requests continue, and their streams
// can be resumed.
func (e *Engine) Disconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.disconnect()
	}
}

// crashCold crashes a cold engine that has too many requests. It is down for
// Config.Outage; its cold start begins after that.
func (e *Engine) crashCold() {
	e.counts.coldCrashes++
	e.crash()
	e.outageEnd = time.Now().Add(e.cfg.Outage)
	e.started = e.outageEnd
}

func (e *Engine) unfreeze() {
	if e.frozen {
		e.frozen = false
		close(e.thawed)
	}
}

// crash fails the streams and held requests of the process and starts a new
// process.
func (e *Engine) crash() {
	for _, j := range e.jobs {
		j.lost = true
		j.disconnect()
	}
	for _, j := range e.held {
		j.err = errors.Wrap(sr.ErrConnectionLost, "srengine: engine process ended")
		close(j.accepted)
	}
	e.reset()
}
