package srengine

import (
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Kill ends the engine process: streams break and all its state is lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.unfreeze()
	e.up = false
}

// Restart begins a new run of the engine process, cold.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.unfreeze()
	e.up = true
	e.outageEnd = time.Time{}
}

// GoCold makes the engine cold again without a restart. Its cache is lost and
// requests in the batch go on.
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

// SetSpeed sets the speed as a factor of the configured one; it must be above 0.
// It holds from the next step on.
func (e *Engine) SetSpeed(factor float64) error {
	if !(factor > 0) {
		return errors.Wrapf(sr.ErrInvalid, "srengine: speed %v", factor)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = factor
	return nil
}

// Freeze pauses the engine: streams stand still and calls get no answer, but
// requests sent meanwhile are taken at Thaw.
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

// Disconnect breaks every connection and loses no state: streams can be resumed.
func (e *Engine) Disconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.disconnect()
	}
}

// fall is what too many requests do to a cold engine.
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

// crash loses the state of the process and begins another run.
func (e *Engine) crash() {
	for _, j := range e.jobs {
		j.lost = true
		j.disconnect()
	}
	for _, j := range e.held {
		j.err = errors.Wrap(sr.ErrConnectionLost, "srengine: engine died")
		close(j.accepted)
	}
	e.reset()
}
