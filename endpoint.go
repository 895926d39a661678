package sassafrasrail

import (
	"context"
	"time"
)

// Token is one token of an engine's answer. Sequence numbers start at 1.
type Token struct {
	Seq  int
	Text string
	// End marks the end of the answer; a Token with End carries no text.
	End bool
	// Cut is the reason why the engine ended the stream early. It is set only
	// together with End and empty after a whole answer.
	Cut string
}

// Dispatch is one model request as an engine receives it.
type Dispatch struct {
	// Stream is the ID of the answer stream, chosen by the sender. It is unique
	// and cannot be guessed.
	Stream    string
	Workspace string
	Model     string
	Prompt    string
	// Tokens is the maximum number of tokens to generate.
	Tokens int
	// StartBy is the deadline for writing the first byte of the request, zero
	// for no deadline. After it the request is not sent.
	StartBy time.Time
}

// Stream is an answer that is being received. Next returns ErrConnectionLost when the
// connection ends before the token with End; the stream can then be resumed.
type Stream interface {
	Next(ctx context.Context) (Token, error)
	// Start identifies the run of the engine process that answers, with the same
	// value as in its load reports, or "" when the engine does not state it.
	Start() string
	Close() error
}

// Engine is the client of the model engines. Addresses have the form IP:port.
type Engine interface {
	// Dispatch starts a request. After ErrNotSent or ErrNotTaken the request does
	// not run; after every other error it may run.
	Dispatch(ctx context.Context, address string, d Dispatch) (Stream, error)
	// Resume continues a stream with the token that follows sequence number after.
	// It returns ErrNoStream when the engine does not have the stream.
	Resume(ctx context.Context, address, stream string, after int) (Stream, error)
	// Cancel stops a stream at the engine. It is idempotent.
	Cancel(ctx context.Context, address, stream string) error
	// Load reads the load report, which may be out of date, and the cache events
	// with sequence numbers above after.
	Load(ctx context.Context, address string, after uint64) (Load, error)
}

// Load is an endpoint's report of its load. It may be out of date by Age.
type Load struct {
	// Age is the age of the report.
	Age time.Duration
	// Start identifies the run of the endpoint's process. It changes with every
	// restart.
	Start   string
	Running int
	Waiting int
	// Cached is the number of prefix blocks in the cache.
	Cached int
	// Events are cache events in order of Seq. There may be gaps.
	Events []CacheEvent
}

// CacheEvent reports that a prefix block was added to an engine's cache, or
// evicted from it.
type CacheEvent struct {
	Seq uint64
	// Block is the hash of the prefix block.
	Block uint64
	Added bool
}

// Call is one call of a plain service.
type Call struct {
	Service   string
	Operation string
	// ID is the ticket. It is sent along so that the service can record it.
	ID        string
	Workspace string
	Body      string
	// StartBy is the deadline for writing the first byte of the call, zero for
	// no deadline. After it the call is not sent.
	StartBy time.Time
}

// Answer is the answer of a plain service.
type Answer struct {
	// Code is the HTTP status code.
	Code int
	Body string
}

// Service is the client of the plain services.
type Service interface {
	// Call makes one call. After ErrNotSent or ErrNotTaken the call did not run;
	// after every other error it may have run.
	Call(ctx context.Context, address string, c Call) (Answer, error)
	// Probe reads the load report of a service, which may be out of date.
	Probe(ctx context.Context, address string) (Load, error)
}
