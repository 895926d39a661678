package srrequest

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Table holds the records of one issuer's requests by ticket. It is safe for
// concurrent use.
type Table struct {
	maxRequests int
	maxEvents   int

	mu       sync.Mutex
	requests map[string]*Request
	// sweptAt is the latest time of a sweep. The record of a ticket that had expired
	// by then may have been removed.
	sweptAt time.Time
	// lastNumber is the Number of the newest request.
	lastNumber uint64
}

// New returns a Table that holds at most maxRequests records with at most maxEvents
// events each.
func New(maxRequests, maxEvents int) *Table {
	return &Table{
		maxRequests: maxRequests,
		maxEvents:   maxEvents,
		requests:    make(map[string]*Request),
	}
}

// Begin records a request under its ticket, which expires at expiresAt. When the
// ticket is in use it returns the existing record with created false, or ErrConflict
// when that is of a different request. ErrOverloaded means that the table is full,
// ErrExpired that an earlier record of the ticket may have been removed.
func (t *Table) Begin(now time.Time, ticket string, expiresAt time.Time, req sr.Request) (r *Request, created bool, err error) {
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
	if t.sweptAt.After(expiresAt) {
		return nil, false, errors.Wrap(sr.ErrExpired, "srrequest: begin")
	}
	t.lastNumber++
	r = &Request{
		Ticket:    ticket,
		Number:    t.lastNumber,
		Request:   req,
		Arrived:   now,
		bodyHash:  sha256.Sum256([]byte(req.Body)),
		bodiless:  withoutBody(req),
		expiresAt: expiresAt,
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

// Sweep removes the records of requests that ended more than retain ago and whose
// tickets have expired. Of the other requests that ended more than retain ago it
// drops the answers. Requests with readers are left as they are.
func (t *Table) Sweep(now time.Time, retain time.Duration) (removed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.sweptAt) {
		t.sweptAt = now
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
	// Readers is the number of attached readers of all answers.
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
