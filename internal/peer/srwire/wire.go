// Package srwire defines the JSON bodies that model engines, plain services and the
// platform exchange with their clients. docs/PROTOCOLS.md specifies them.
//
// # Usage
//
//	line, err := json.Marshal(srwire.NewToken(t))
//	load := body.Load()
package srwire

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Media types of the bodies.
const (
	JSON  = "application/json"
	Lines = "application/x-ndjson"
	Text  = "text/plain; charset=utf-8"
)

// Names of HTTP headers.
const (
	// HeaderRequestID carries the ticket of a call.
	HeaderRequestID = "Request-Id"
	// HeaderWorkspace carries the workspace of a call.
	HeaderWorkspace = "Workspace"
	// HeaderRevision carries the revision of a configuration value.
	HeaderRevision = "Revision"
	// HeaderStart carries the identifier of the run of the engine process that answers.
	HeaderStart = "Start"
)

// Refusal is the body of a response with status 503. Taken is false when the endpoint
// did not accept the request, so that it will not run; without Taken it may run.
type Refusal struct {
	Taken *bool `json:"taken"`
}

// NotTaken returns the refusal of a request that will not run.
func NotTaken() Refusal {
	taken := false
	return Refusal{Taken: &taken}
}

// Dispatch is the body of a model request.
type Dispatch struct {
	Stream    string `json:"stream"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Tokens    int    `json:"tokens"`
}

// Token is one line of an answer. It holds a token's text or, with End, ends the answer;
// Cut is then the reason if the answer was ended early.
type Token struct {
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	End  bool   `json:"end,omitempty"`
	Cut  string `json:"cut,omitempty"`
}

// NewToken converts an engine token to a line of an answer.
func NewToken(t sr.Token) Token { return Token(t) }

// Token converts the line to an engine token.
func (t Token) Token() sr.Token { return sr.Token(t) }

// Load is the body of a load report. Its fields have the meaning of those of sr.Load.
type Load struct {
	// Age is in microseconds.
	Age     int64        `json:"age"`
	Start   string       `json:"start"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Cached  int          `json:"cached"`
	Events  []CacheEvent `json:"events,omitempty"`
}

// CacheEvent reports that a prefix block was added to the cache or evicted from it.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block,string"`
	Added bool   `json:"added"`
}

// NewLoad converts l to the body of a load report.
func NewLoad(l sr.Load) Load {
	body := Load{
		Age:     l.Age.Microseconds(),
		Start:   l.Start,
		Running: l.Running,
		Waiting: l.Waiting,
		Cached:  l.Cached,
	}
	for _, ev := range l.Events {
		body.Events = append(body.Events, CacheEvent(ev))
	}
	return body
}

// Load converts the body to a load report.
func (l Load) Load() sr.Load {
	load := sr.Load{
		Age:     time.Duration(l.Age) * time.Microsecond,
		Start:   l.Start,
		Running: l.Running,
		Waiting: l.Waiting,
		Cached:  l.Cached,
	}
	for _, ev := range l.Events {
		load.Events = append(load.Events, sr.CacheEvent(ev))
	}
	return load
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}
