// Package srhistory records what callers, endpoints and operators observed during a
// concurrent run, and checks the record against invariants.
//
// Every request of a run has a unique body, by which arrivals at endpoints are
// matched with it. Times are relative to the start of the run.
//
// # Usage
//
//	h := srhistory.New()
//	h.AddRequest(srhistory.Request{Ticket: t, Body: "load 17", Kind: sr.KindModel})
//	h.AddArrival(srhistory.Arrival{At: at, Endpoint: "e1", Body: "load 17", Accepted: true})
//	h.AddAnswer(srhistory.Answer{Ticket: t, Outcome: sr.OutcomeComplete})
//	err := h.Check(srhistory.AtMostOnce, srhistory.CompleteAnswers)
package srhistory

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Request is a request of a caller. It may be submitted several times.
type Request struct {
	Ticket     string
	Kind       sr.Kind
	Workspace  string
	Tier       sr.Tier
	Target     string
	Operation  string
	Body       string
	Tokens     int
	Repeatable bool
	// Budget is the deadline relative to the submission, 0 for the tier's default.
	Budget time.Duration
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	At       time.Duration
	Endpoint string
	Domain   string
	// Issuer is the address of the instance that sent the request.
	Issuer string
	// Stream is set for model requests, and ID for calls of a plain service.
	Stream    string
	ID        string
	Workspace string
	Body      string
	// Accepted is false when the request could not be sent or the endpoint refused
	// it.
	Accepted bool
}

// Answer is what a caller received for a ticket in one exchange with an instance.
type Answer struct {
	Ticket string
	// Via is the address of the instance.
	Via   string
	Began time.Duration
	Ended time.Duration
	// After is the sequence number after which the caller asked to resume.
	After  int
	Events []sr.Event
	// Outcome is empty when the connection was lost.
	Outcome sr.Outcome
	// Name is the error name of a refusal.
	Name   string
	Reason string
	// Code is not set by srrig.
	Code int
	// Body is set for calls of a plain service.
	Body string
}

// ConnectionLost reports whether the connection ended before the answer did.
func (a Answer) ConnectionLost() bool { return a.Outcome == sr.OutcomeNone }

// Order is an order of the operators to take a domain or an endpoint out of service,
// or back in.
type Order struct {
	At       time.Duration
	Domain   string
	Endpoint string
	Out      bool
}

// Isolation is a period in which an instance could not receive updates.
type Isolation struct {
	Instance string
	From     time.Duration
	To       time.Duration
}

// Published is the publication of a valid manifest.
type Published struct {
	At      time.Duration
	Version sr.Version
}

// ManifestSample is the manifest in force at one process of an instance at a point
// in time.
type ManifestSample struct {
	At       time.Duration
	Instance sr.InstanceID
	Version  sr.Version
}

// ColdCrashCount is the number of crashes of an endpoint from too many requests in a
// cold start.
type ColdCrashCount struct {
	Endpoint string
	Count    int
}

// Shutdown is a graceful shutdown.
type Shutdown struct {
	Instance string
	Began    time.Duration
	Ended    time.Duration
	// Left is the number of accepted requests that were unfinished at the end.
	Left int
	Err  error
}

// Events are the records of a history, by kind.
type Events struct {
	Requests        []Request
	Arrivals        []Arrival
	Answers         []Answer
	Orders          []Order
	Isolations      []Isolation
	Published       []Published
	ManifestSamples []ManifestSample
	ColdCrashes     []ColdCrashCount
	Shutdowns       []Shutdown
}

// History records a run. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	e  Events
}

// New returns an empty history.
func New() *History { return &History{} }

// Check returns the first violation that the checkers find.
func (h *History) Check(checkers ...Checker) error {
	e := h.Events()
	for _, c := range checkers {
		if err := c(e); err != nil {
			return errors.Wrap(err, "srhistory")
		}
	}
	return nil
}

// Events returns a copy of the records so far.
func (h *History) Events() Events {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Events{
		Requests:        clone(h.e.Requests),
		Arrivals:        clone(h.e.Arrivals),
		Answers:         clone(h.e.Answers),
		Orders:          clone(h.e.Orders),
		Isolations:      clone(h.e.Isolations),
		Published:       clone(h.e.Published),
		ManifestSamples: clone(h.e.ManifestSamples),
		ColdCrashes:     clone(h.e.ColdCrashes),
		Shutdowns:       clone(h.e.Shutdowns),
	}
}

// AddRequest records a request before its first submission.
func (h *History) AddRequest(r Request) { add(h, &h.e.Requests, r) }

// AddArrival records an arrival and returns a function that sets Accepted later.
func (h *History) AddArrival(a Arrival) (setAccepted func(bool)) {
	i := add(h, &h.e.Arrivals, a)
	return func(accepted bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.e.Arrivals[i].Accepted = accepted
	}
}

// AddAnswer records an answer.
func (h *History) AddAnswer(a Answer) { add(h, &h.e.Answers, a) }

// AddOrder records an order of the operators.
func (h *History) AddOrder(o Order) { add(h, &h.e.Orders, o) }

// AddIsolation records a period of isolation.
func (h *History) AddIsolation(i Isolation) { add(h, &h.e.Isolations, i) }

// AddPublished records the publication of a valid manifest.
func (h *History) AddPublished(p Published) { add(h, &h.e.Published, p) }

// AddManifestSample records the manifest in force at a process.
func (h *History) AddManifestSample(s ManifestSample) { add(h, &h.e.ManifestSamples, s) }

// AddColdCrashes records how often a cold endpoint crashed.
func (h *History) AddColdCrashes(c ColdCrashCount) { add(h, &h.e.ColdCrashes, c) }

// AddShutdown records a graceful shutdown.
func (h *History) AddShutdown(s Shutdown) { add(h, &h.e.Shutdowns, s) }

// add appends v to a list of h and returns its index.
func add[T any](h *History, list *[]T, v T) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, v)
	return len(*list) - 1
}

func clone[T any](list []T) []T { return append([]T(nil), list...) }
