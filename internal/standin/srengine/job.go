package srengine

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// job is one request inside the engine.
type job struct {
	d      sr.Dispatch
	digest uint64
	// start identifies the engine process that accepted the request.
	start string
	// blocks are the prefix blocks of the prompt.
	blocks []uint64
	// length is the number of tokens in the complete answer.
	length int
	// prefill is the number of prompt tokens still to process.
	prefill int
	// chunk is the number of prompt tokens that the current step processes.
	chunk int
	// decoding marks a job for which the current step generates a token.
	decoding bool
	// generated is the number of tokens generated so far.
	generated int
	ended     bool
	endedAt   time.Time
	// cut is the reason when the answer ended before length tokens.
	cut string
	// lost marks a job whose engine process ended before it did.
	lost    bool
	streams map[*stream]struct{}
	// accepted is closed when a frozen engine has thawed and accepted the request
	// or refused it with err.
	accepted chan struct{}
	err      error
}

func (j *job) wake() {
	for s := range j.streams {
		s.wake()
	}
}

// disconnect closes the connections that read the answer.
func (j *job) disconnect() {
	for s := range j.streams {
		s.broken = true
		s.wake()
	}
	clear(j.streams)
}
