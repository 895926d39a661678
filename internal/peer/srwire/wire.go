// Package srwire holds the JSON bodies that model engines, plain services and
// the platform exchange with their callers, as docs/PROTOCOLS.md publishes them.
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

// Headers.
const (
	// HeaderRequestID carries the ticket of a call.
	HeaderRequestID = "Request-Id"
	// HeaderWorkspace carries the workspace of a call.
	HeaderWorkspace = "Workspace"
	// HeaderRevision carries the revision of a configuration value.
	HeaderRevision = "Revision"
	// HeaderStart names the run of the engine process that answers.
	HeaderStart = "Start"
)

// Refusal is the body of an answer with status 503. Taken is false when the
// request will not run.
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

// Token is one line of an answer.
type Token struct {
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	End  bool   `json:"end,omitempty"`
	Cut  string `json:"cut,omitempty"`
}

// NewToken returns t as a line of an answer.
func NewToken(t sr.Token) Token { return Token(t) }

// Token returns the line as an engine token.
func (t Token) Token() sr.Token { return sr.Token(t) }

// Load is a load report.
type Load struct {
	// Age is in microseconds.
	Age     int64        `json:"age"`
	Start   string       `json:"start"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Cached  int          `json:"cached"`
	Events  []CacheEvent `json:"events,omitempty"`
}

// CacheEvent is one cache event of a load report.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block,string"`
	Added bool   `json:"added"`
}

// NewLoad returns l as a load report.
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

// Load returns the report as the root package has it.
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

// Instance is one entry of the instance list.
type Instance struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}
