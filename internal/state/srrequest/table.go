package srrequest

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Table holds the requests of one issuer. It is safe for concurrent use.
type Table struct {
	maxRequests int
	maxEvents   int

	mu       sync.Mutex
	requests map[string]*Request
	// swept is the latest time of a sweep: no record of a ticket that had
	// expired by then is sure to be kept.
	swept  time.Time
	number uint64
}

// New returns a Table of at most maxRequests records with at most maxEvents
// events each.
func New(maxRequests, maxEvents int) *Table {
	return &Table{
		maxRequests: maxRequests,
		maxEvents:   maxEvents,
		requests:    make(map[string]*Request),
	}
}

// Begin records a request under its ticket. A ticket that is in use returns
// its record with created false, ErrConflict when it is used for a different
// request. ErrOverloaded means that the table is full, ErrExpired that the
// ticket's record may have been removed.
func (t *Table) Begin(now time.Time, ticket string, expires time.Time, req sr.Request) (r *Request, created bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.requests[ticket]; ok {
		if !r.Same(req) {
			return nil, false, errors.Wrap(sr.ErrConflict, "srrequest: begin")
		}
		return r, false, nil
	}
	if len(t.requests) >= t.maxRequests {
		return nil, false, errors.Wrapf(sr.ErrOverloaded, "srrequest: %d requests are on record", len(t.requests))
	}
	if t.swept.After(expires) {
		return nil, false, errors.Wrap(sr.ErrExpired, "srrequest: begin")
	}
	t.number++
	r = &Request{
		Ticket:    ticket,
		Number:    t.number,
		Request:   req,
		Arrived:   now,
		digest:    sha256.Sum256([]byte(req.Body)),
		head:      withoutBody(req),
		expires:   expires,
		maxEvents: t.maxEvents,
		status:    sr.Status{Ticket: ticket, State: sr.StateWaiting},
		changed:   make(chan struct{}),
	}
	t.requests[ticket] = r
	return r, true, nil
}

// Get returns the record of a ticket.
func (t *Table) Get(ticket string) (*Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.requests[ticket]
	return r, ok
}

// Sweep removes the records that ended longer than retain ago and whose
// tickets have expired. The answers of the others that ended are dropped.
func (t *Table) Sweep(now time.Time, retain time.Duration) (removed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.swept) {
		t.swept = now
	}
	for ticket, r := range t.requests {
		if r.removable(now, retain) {
			delete(t.requests, ticket)
			removed++
			continue
		}
		r.trim(now, retain)
	}
	return removed
}

// Count is the number of records by state.
type Count struct {
	Waiting int
	Sent    int
	Ended   int
	Readers int
}

// Count returns the number of records by state.
func (t *Table) Count() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Count
	for _, r := range t.requests {
		c.Readers += r.Readers()
		switch r.Status().State {
		case sr.StateWaiting:
			c.Waiting++
		case sr.StateSent:
			c.Sent++
		case sr.StateEnded:
			c.Ended++
		}
	}
	return c
}

func withoutBody(req sr.Request) sr.Request {
	req.Body = ""
	return req
}
