package sassafrasrail

import "time"

// Tier is the priority of a request as a rank: 1 is the most important.
type Tier uint8

// TopTier is the most important tier.
const TopTier Tier = 1

// Outranks reports whether t is more important than other.
func (t Tier) Outranks(other Tier) bool { return t < other }

// Kind distinguishes model requests from calls of plain services.
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
	// Tokens is the maximum number of tokens to generate, for KindModel.
	Tokens int
	// Budget is the time from arrival to the deadline.
	Budget time.Duration
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
}

// Same reports whether r and other ask for the same work. It ignores tier, budget
// and Repeatable, because the manifest may have changed between the two requests.
func (r Request) Same(other Request) bool {
	return r.Kind == other.Kind &&
		r.Workspace == other.Workspace &&
		r.Target == other.Target &&
		r.Operation == other.Operation &&
		r.Body == other.Body &&
		r.Tokens == other.Tokens
}

// Cancellable reports whether the running request may be cancelled for a higher
// tier.
func (r Request) Cancellable() bool { return r.Kind == KindModel }

// Work is an amount of engine work in tokens.
type Work struct {
	// Prefill is the number of prompt tokens, cached or not.
	Prefill int
	// Decode is the expected number of generated tokens.
	Decode int
}

// Outcome is the final result of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeNone marks a request that has not ended.
	OutcomeNone Outcome = ""
	// OutcomeComplete: the whole answer was delivered.
	OutcomeComplete Outcome = "complete"
	// OutcomeCutShort: the request was sent, but its answer is incomplete; it may
	// have run.
	OutcomeCutShort Outcome = "cut-short"
	// OutcomeNotRun: no endpoint has run or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: this instance does not know the outcome, and will not dispatch
	// the request again.
	OutcomeUnknown Outcome = "unknown"
)

// State is the stage of a request's processing.
type State string

// States, in the order in which a request passes through them. StateUnknown is
// reported when the ticket's issuer does not answer.
const (
	StateIssued  State = "issued"
	StateWaiting State = "waiting"
	StateSent    State = "sent"
	StateEnded   State = "ended"
	StateUnknown State = "unknown"
)

// EventType is the type of an event of an answer.
type EventType string

// Event types.
const (
	EventReceipt EventType = "receipt"
	EventText    EventType = "text"
	EventEnd     EventType = "end"
)

// Event is one event of an answer as sent to the caller. Sequence numbers start
// at 1 and have no gaps: the receipt is event 1, engine token n is event n+1.
type Event struct {
	Seq    int
	Type   EventType
	Ticket string
	// Receipt is set in the receipt event only.
	Receipt  string
	Endpoint string
	// Text is set in text events only.
	Text string
	// Outcome, Reason and Tokens, the number of engine tokens, are set in the end
	// event only.
	Outcome Outcome
	Reason  string
	Tokens  int
}

// Receipt identifies a stream at an endpoint, so that any instance can resume it. The
// Receipt fields of Event and Status hold its encoded form.
type Receipt struct {
	Endpoint string
	Stream   string
}

// Status is the issuer's record of a request's state and outcome.
type Status struct {
	Ticket  string
	State   State
	Outcome Outcome
	// Name is the stable name of a refusal or a failure, "" when there is none.
	Name     string
	Reason   string
	Endpoint string
	Receipt  string
	// Events is the number of events recorded so far.
	Events int
	// Code and Body are the answer of a plain service.
	Code int
	Body string
	// Trimmed reports whether the answer was dropped after the retention time.
	Trimmed bool
	// Retry is the time after which a refused caller may retry, 0 when it should
	// not.
	Retry time.Duration
}
