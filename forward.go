package sassafrasrail

import (
	"net/http"
	"time"
)

// PromptPart is a section of a prompt that may be common to several requests.
type PromptPart struct {
	ID     string
	Tokens int
}

// Inbound is the data that a client's request carries in its headers.
type Inbound struct {
	// ID is the client's ID of this attempt.
	ID string
	// Key is the API key that the client presents, "" for none.
	Key string
	// Timeout is the client's timeout, 0 when unstated.
	Timeout time.Duration
	// Resume is the ID of the last event that the client received, "" for none.
	Resume string
	// Prompt is the stated number of prompt tokens, Output the stated maximum
	// number of generated tokens. Both are 0 when unstated.
	Prompt int
	Output int
	// Length is the client's estimate of the number of generated tokens, 0 when unstated.
	Length int
	// Parts are the sections of the prompt in order.
	Parts []PromptPart
}

// ForwardInfo is the data that an instance adds to the client's headers for an
// endpoint.
type ForwardInfo struct {
	// Endpoint is the ID of the only endpoint that may run this attempt.
	Endpoint  string
	Workspace string
	// Left is the time until the deadline, at which the endpoint stops.
	Left time.Duration
	// Resume is the ID of the last event received, "" for a new stream.
	Resume string
}

// Reply is the data that an endpoint's answer carries in its headers.
type Reply struct {
	// Request is the ID of the request that the answer belongs to, "" when unstated.
	Request string
	// NotRun reports whether the endpoint states that it has not run the request.
	NotRun bool
	// Unproven reports whether the status promises that the request has not run and will not
	// run, and the endpoint does not state that.
	Unproven bool
	// Misdirected reports whether the address now belongs to another endpoint.
	Misdirected bool
	// FromEndpoint reports whether the endpoint itself wrote the answer.
	FromEndpoint bool
	// Leaving reports whether the endpoint announces that it leaves.
	Leaving bool
	// RetryAfter is the time for which the endpoint asks for no further requests from this
	// instance, 0 when it does not.
	RetryAfter time.Duration
}

// HeaderCodec translates between HTTP headers and Inbound, ForwardInfo and Reply. It
// makes no routing decisions.
type HeaderCodec interface {
	// Inbound reads the headers of a client's request.
	Inbound(h http.Header) (Inbound, error)
	// EndpointHeader returns the headers of the request to an endpoint: h without
	// its hop-by-hop headers, plus the headers that carry o.
	EndpointHeader(h http.Header, o ForwardInfo) http.Header
	// Reply reads the status and the headers of an endpoint's answer.
	Reply(status int, h http.Header) Reply
	// ClientHeader returns the headers of the answer to the client.
	ClientHeader(h http.Header) http.Header
	// SetRetryAfter sets the time after which a refused client may retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// ReadyPath returns the path of the load balancer's readiness check.
	ReadyPath() string
}
