package srengine

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// job is one request inside the engine.
type job struct {
	d      sr.Dispatch
	digest uint64
	// start is the run of the engine that took the request.
	start  string
	blocks []uint64
	length int
	// prefill is the number of prompt tokens still to process.
	prefill int
	// chunk is the part of prefill that the current step processes.
	chunk int
	// decoding marks a job that the current step generates a token for.
	decoding  bool
	generated int
	ended     bool
	endedAt   time.Time
	cut       string
	// lost marks a job whose engine process has ended.
	lost    bool
	streams map[*stream]struct{}
	// admitted is closed when a frozen engine has thawed and read the request.
	accepted chan struct{}
	err      error
}

func (j *job) wake() {
	for s := range j.streams {
		s.wake()
	}
}

// disconnect breaks the connections that read the answer.
func (j *job) disconnect() {
	for s := range j.streams {
		s.broken = true
		s.wake()
	}
	clear(j.streams)
}
