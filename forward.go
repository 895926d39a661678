package sassafrasrail

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Inbound is what a client's request says of itself in its headers.
type Inbound struct {
	// ID is the client's id for this attempt.
	ID string
	// Key is the secret that the client presents, "" for none.
	Key string
	// Patience is how long the client waits, 0 when it does not say.
	Patience time.Duration
	// Resume is the id of the last event that the client has, "" for none.
	Resume string
	// Prompt and Output are the stated tokens, Output at most; both 0 when unstated.
	Prompt int
	Output int
	Parts  []PromptPart
}

// Onward is what an instance tells an endpoint beside the client's headers.
type Onward struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint  string
	Workspace string
	// Left is the time after which the endpoint stops.
	Left time.Duration
	// Resume is the id of the last event that is known, "" for a new stream.
	Resume string
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// Request is the id of the request that the answer belongs to, "" when unstated.
	Request string
	// NotRun reports that the endpoint has not run the request.
	NotRun bool
	// Misdirected reports that another endpoint has the address now.
	Misdirected bool
	// Genuine reports whether the answer is the endpoint's own.
	Genuine bool
}

// Wire translates the headers of requests and answers. It decides nothing.
type Wire interface {
	// Inbound reads a client's request.
	Inbound(h http.Header) (Inbound, error)
	// Onward returns the header for an endpoint, without connection headers.
	Onward(h http.Header, o Onward) http.Header
	// Reply reads an endpoint's answer.
	Reply(status int, h http.Header) Reply
	// Back returns the header of the answer for the client.
	Back(h http.Header) http.Header
	// Later sets after how long a refused client may come back.
	Later(h http.Header, after time.Duration)
	// Ready is the path at which the balancer asks whether requests are taken.
	Ready() string
}
