package sassafrasrail

import "time"

// Tier is the rank of a request class: 1 is the most important.
type Tier uint8

// TopTier is the most important tier.
const TopTier Tier = 1

// Outranks reports whether t is more important than other.
func (t Tier) Outranks(other Tier) bool { return t < other }

// Kind tells model requests from calls of plain services.
type Kind uint8

// Kinds of request.
const (
	KindModel Kind = iota + 1
	KindCall
)

// Request is one unit of work as its caller described it.
type Request struct {
	Kind      Kind
	Workspace string
	Tier      Tier
	// Target is the model for KindModel and the service for KindCall.
	Target string
	// Operation is the operation of the service, for KindCall.
	Operation string
	// Body is the prompt or the body of the call.
	Body string
	// Tokens is the most tokens to generate, for KindModel.
	Tokens int
	// Budget is how long after its arrival the answer is still of use.
	Budget time.Duration
	// Repeatable reports whether a second run would do no harm.
	Repeatable bool
}

// Same reports whether a caller asked for the same thing twice. The tier and
// the budget are left out, since the manifest may have changed in between.
func (r Request) Same(other Request) bool {
	return r.Kind == other.Kind &&
		r.Workspace == other.Workspace &&
		r.Target == other.Target &&
		r.Operation == other.Operation &&
		r.Body == other.Body &&
		r.Tokens == other.Tokens
}

// Cancellable reports whether a running request may be cut for a higher tier.
func (r Request) Cancellable() bool { return r.Kind == KindModel }

// Work is an amount of engine work in tokens.
type Work struct {
	// Prefill is the number of prompt tokens, cached or not.
	Prefill int
	// Decode is the expected number of generated tokens.
	Decode int
}

// Outcome says what became of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeNone marks a request that has not ended.
	OutcomeNone Outcome = ""
	// OutcomeComplete: the whole answer was delivered.
	OutcomeComplete Outcome = "complete"
	// OutcomeCutShort: the request was sent and its answer is not whole; it may have run.
	OutcomeCutShort Outcome = "cut-short"
	// OutcomeNotRun: no endpoint has seen or will see the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: this instance cannot tell; it will not dispatch the request again.
	OutcomeUnknown Outcome = "unknown"
)

// State is the position of a request in its life.
type State string

// States, in order.
const (
	StateIssued  State = "issued"
	StateWaiting State = "waiting"
	StateSent    State = "sent"
	StateEnded   State = "ended"
	StateUnknown State = "unknown"
)

// EventType is the kind of an event of an answer.
type EventType string

// Event types.
const (
	EventReceipt EventType = "receipt"
	EventText    EventType = "text"
	EventEnd     EventType = "end"
)

// Event is one event of an answer as the caller sees it. Sequence numbers
// start at 1 and have no gaps: the receipt is 1, engine token n is n+1.
type Event struct {
	Seq      int
	Type     EventType
	Ticket   string
	Receipt  string
	Endpoint string
	Text     string
	Outcome  Outcome
	Reason   string
	Tokens   int
}

// Receipt names a stream at an endpoint, so that any instance can resume it.
type Receipt struct {
	Endpoint string
	Stream   string
}

// Status is what an issuer knows of a request.
type Status struct {
	Ticket  string
	State   State
	Outcome Outcome
	// Name is the stable name of a refusal, "" when there is none.
	Name     string
	Reason   string
	Endpoint string
	Receipt  string
	Events   int
	// Code and Body are the answer of a plain service.
	Code int
	Body string
	// Trimmed reports whether the answer is not kept any longer.
	Trimmed bool
	// Retry is when a refused caller may come back, 0 when it should not.
	Retry time.Duration
}
