package srengine

import (
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
)

// admit moves requests from the waiting list into the batch.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.match(j.blocks) * srprefix.BlockTokens
		prompt := srprefix.Tokens(j.d.Prompt)
		j.prefill = max(prompt-cached, 1)
		e.counts.prompted += prompt
		e.counts.prefilled += j.prefill
		e.running = append(e.running, j)
	}
}

// schedule plans the next step of the batch and sets the timer for its end.
func (e *Engine) schedule() {
	if e.timer != nil || e.frozen {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	d := e.planStep()
	number := e.stepNumber
	e.timer = time.AfterFunc(d, func() { e.step(number) })
}

// planStep divides the prefill chunk of one step among the batch, in order, and
// returns the duration of the step.
func (e *Engine) planStep() time.Duration {
	left, decoding := e.cfg.Chunk, 0
	for _, j := range e.running {
		j.chunk = min(j.prefill, left)
		left -= j.chunk
		j.decoding = j.prefill == 0
		if j.decoding {
			decoding++
		}
	}
	d := float64(e.cfg.Chunk-left) / e.cfg.Prefill * float64(time.Second)
	if decoding > 0 {
		d += float64(e.cfg.Step) * (1 + e.cfg.Growth*float64(decoding-1))
	}
	return time.Duration(d / e.speed)
}

// step applies the planned step when its time has passed.
func (e *Engine) step(number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != e.stepNumber {
		return
	}
	e.cancelStep()
	for _, j := range slices.Clone(e.running) {
		e.advance(j)
	}
	e.recordLoad()
	e.schedule()
}

func (e *Engine) advance(j *job) {
	if j.chunk > 0 {
		j.prefill -= j.chunk
		if j.prefill > 0 {
			return
		}
		e.cache.add(j.blocks)
	} else if !j.decoding {
		return
	}
	j.generated++
	e.counts.decoded++
	if j.generated == j.length {
		e.removeJob(j)
		e.completed++
		e.finish(j, "")
		return
	}
	j.wake()
}

// removeJob removes a job from the batch and the waiting list.
func (e *Engine) removeJob(j *job) {
	isJob := func(other *job) bool { return other == j }
	e.running = slices.DeleteFunc(e.running, isJob)
	e.waiting = slices.DeleteFunc(e.waiting, isJob)
}

// finish ends a job and keeps its stream for the retention time. cut is the
// reason when the answer is not complete.
func (e *Engine) finish(j *job, cut string) {
	j.ended = true
	j.endedAt = time.Now()
	j.cut = cut
	e.ended = append(e.ended, j)
	j.wake()
	e.expire()
}

// expire drops ended streams that are too old or too many.
func (e *Engine) expire() {
	for len(e.ended) > 0 {
		j := e.ended[0]
		if len(e.ended) <= e.cfg.Retained && time.Since(j.endedAt) < e.cfg.Retention {
			return
		}
		delete(e.jobs, j.d.Stream)
		e.ended = e.ended[1:]
	}
}

// cancelStep cancels the planned step.
func (e *Engine) cancelStep() {
	e.stepNumber++
	if e.timer != nil {
		e.timer.Stop()
		e.timer = nil
	}
}
