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
	// Patience is the client's timeout, 0 when unstated.
	Patience time.Duration
	// Resume is the ID of the last event that the client received, "" for none.
	Resume string
	// Prompt is the stated number of prompt tokens, Output the stated maximum
	// number of generated tokens. Both are 0 when unstated.
	Prompt int
	Output int
	// Parts are the sections of the prompt in order.
	Parts []PromptPart
}

// Onward is the data that an instance adds to the client's headers for an endpoint.
type Onward struct {
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
	// Misdirected reports whether the address now belongs to another endpoint.
	Misdirected bool
	// Genuine reports whether the endpoint itself wrote the answer.
	Genuine bool
}

// Wire translates between HTTP headers and Inbound, Onward and Reply. It makes
// no routing decisions.
type Wire interface {
	// Inbound reads the headers of a client's request.
	Inbound(h http.Header) (Inbound, error)
	// Onward returns the headers of the request to an endpoint: h without its
	// hop-by-hop headers, and o.
	Onward(h http.Header, o Onward) http.Header
	// Reply reads the status and the headers of an endpoint's answer.
	Reply(status int, h http.Header) Reply
	// Back returns the headers of the answer to the client.
	Back(h http.Header) http.Header
	// Later sets the time after which a refused client may retry.
	Later(h http.Header, after time.Duration)
	// Ready returns the path of the load balancer's readiness check.
	Ready() string
}
