// Package srhistory records what callers, endpoints and operators saw of a
// concurrent run, and checks the record against what must always hold.
//
// Every request of a run has a body of its own, by which arrivals at endpoints
// are matched with it. Times count from the start of the run.
//
// # Usage
//
//	h := srhistory.New()
//	h.AddRequest(srhistory.Request{Ticket: t, Body: "load 17", Kind: sr.KindModel})
//	h.AddArrival(srhistory.Arrival{At: at, Endpoint: "e1", Body: "load 17", Taken: true})
//	h.AddAnswer(srhistory.Answer{Ticket: t, Outcome: sr.OutcomeComplete})
//	err := h.Check(srhistory.Once, srhistory.NotRun, srhistory.Whole)
package srhistory

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Request is one unit of work as its caller meant it.
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
	// Budget is the time in which the answer is of use, 0 for the tier's.
	Budget time.Duration
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	At        time.Duration
	Endpoint  string
	Domain    string
	Issuer    string
	Stream    string
	ID        string
	Workspace string
	Body      string
	// Taken is false when the endpoint answered that it did not take it.
	Accepted bool
}

// Answer is what a caller received for a ticket until its connection ended.
type Answer struct {
	Ticket string
	Via    string
	Began  time.Duration
	Ended  time.Duration
	// After is the sequence number behind which the caller asked to resume.
	After  int
	Events []sr.Event
	// Outcome is empty when the connection broke.
	Outcome sr.Outcome
	Name    string
	Reason  string
	// Code and Body are the answer of a plain service.
	Code int
	Body string
}

// Broke reports whether the connection ended before the answer.
func (a Answer) ConnectionLost() bool { return a.Outcome == sr.OutcomeNone }

// Order is a change by which operators take something out or bring it back.
type Order struct {
	At       time.Duration
	Domain   string
	Endpoint string
	Out      bool
}

// Dark is a time in which no news reached an instance.
type Isolation struct {
	Instance string
	From     time.Duration
	To       time.Duration
}

// Published is a manifest that should be accepted.
type Published struct {
	At      time.Duration
	Version sr.Version
}

// Force is the manifest in force at one run of an instance.
type ManifestSample struct {
	At       time.Duration
	Instance sr.InstanceID
	Version  sr.Version
}

// Fall is a cold endpoint that received more than it bears.
type ColdCrashCount struct {
	Endpoint string
	Count    int
}

// Shutdown is a graceful shutdown.
type Shutdown struct {
	Instance string
	Began    time.Duration
	Ended    time.Duration
	// Left is the number of accepted requests that had not ended by then.
	Left int
	Err  error
}

// Events are the parts of a history.
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

// History is a recorded run. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	e  Events
}

// New returns an empty history.
func New() *History { return &History{} }

// Check returns the first breach that the checkers find.
func (h *History) Check(checkers ...Checker) error {
	e := h.Events()
	for _, c := range checkers {
		if err := c(e); err != nil {
			return errors.Wrap(err, "srhistory")
		}
	}
	return nil
}

// Events returns a copy of what was recorded so far.
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

// AddArrival records an arrival and returns a function that corrects Taken.
func (h *History) AddArrival(a Arrival) (setAccepted func(bool)) {
	i := add(h, &h.e.Arrivals, a)
	return func(t bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.e.Arrivals[i].Accepted = t
	}
}

// AddAnswer records what a caller received.
func (h *History) AddAnswer(a Answer) { add(h, &h.e.Answers, a) }

// AddOrder records an order of the operators.
func (h *History) AddOrder(o Order) { add(h, &h.e.Orders, o) }

// AddDark records a time without news.
func (h *History) AddIsolation(d Isolation) { add(h, &h.e.Isolations, d) }

// AddPublished records a manifest that should be accepted.
func (h *History) AddPublished(p Published) { add(h, &h.e.Published, p) }

// AddForce records the manifest in force at an instance.
func (h *History) AddManifestSample(f ManifestSample) { add(h, &h.e.ManifestSamples, f) }

// AddFall records that a cold endpoint fell over.
func (h *History) AddColdCrashes(f ColdCrashCount) { add(h, &h.e.ColdCrashes, f) }

// AddShutdown records a graceful shutdown.
func (h *History) AddShutdown(s Shutdown) { add(h, &h.e.Shutdowns, s) }

func add[T any](h *History, list *[]T, v T) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, v)
	return len(*list) - 1
}

func clone[T any](list []T) []T { return append([]T(nil), list...) }
