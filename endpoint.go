package sassafrasrail

import (
	"context"
	"time"
)

// Token is one piece of an engine's answer. Sequence numbers start at 1.
type Token struct {
	Seq  int
	Text string
	// End marks the last piece; it carries no text.
	End bool
	// Cut is set with End when the engine ended the stream early.
	Cut string
}

// Dispatch is one model request as an engine receives it.
type Dispatch struct {
	// Stream is chosen by the sender, unguessable, and unique.
	Stream    string
	Workspace string
	Model     string
	Prompt    string
	Tokens    int
	// StartBy is when the request must have begun to leave, zero for no limit;
	// later it is not sent.
	StartBy time.Time
}

// Stream is an answer on its way. Next returns ErrBroken when the connection
// ends before the token with End; the stream can then be resumed.
type Stream interface {
	Next(ctx context.Context) (Token, error)
	// Start identifies the run of the engine process that answers, as in its
	// load reports, "" when the engine does not say.
	Start() string
	Close() error
}

// Engine talks to model engines. Addresses are host:port by IP number.
type Engine interface {
	// Dispatch starts a request. ErrNotSent and ErrNotTaken mean that it does
	// not run; every other error means that it may.
	Dispatch(ctx context.Context, address string, d Dispatch) (Stream, error)
	// Resume continues a stream behind token after. ErrNoStream when unknown.
	Resume(ctx context.Context, address, stream string, after int) (Stream, error)
	// Cancel ends a stream at the engine. It is idempotent.
	Cancel(ctx context.Context, address, stream string) error
	// Load reads the lagging load report and the cache events behind after.
	Load(ctx context.Context, address string, after uint64) (Load, error)
}

// Load is an engine's lagging report about itself.
type Load struct {
	// Age is how old the figures are.
	Age time.Duration
	// Start identifies the run of the engine process: another value is a restart.
	Start   string
	Running int
	Waiting int
	// Cached is the number of prefix blocks in the cache.
	Cached int
	// Events are cache events in order of Seq, possibly with gaps.
	Events []CacheEvent
}

// CacheEvent says that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	Seq   uint64
	Block uint64
	Added bool
}

// Call is one call of a plain service.
type Call struct {
	Service   string
	Operation string
	// ID is the ticket, sent along for the service's own records.
	ID        string
	Workspace string
	Body      string
	// StartBy is when the call must have begun to leave, zero for no limit;
	// later it is not sent.
	StartBy time.Time
}

// Answer is the answer of a plain service.
type Answer struct {
	Code int
	Body string
}

// Service talks to plain services.
type Service interface {
	// Call runs one call. ErrNotSent and ErrNotTaken mean that it did not
	// run; every other error means that it may have.
	Call(ctx context.Context, address string, c Call) (Answer, error)
	// Probe reads the lagging load report of a service.
	Probe(ctx context.Context, address string) (Load, error)
}
