// Package srrequest keeps an issuer's records of its requests: their states, the
// events of their answers, and their outcomes.
//
// A request is recorded as sent before its first byte is sent, and its record is
// kept at least until its ticket has expired. A ticket can therefore never start a
// second request.
//
// # Usage
//
//	table := srrequest.New(maxRequests, maxEvents)
//	r, created, err := table.Begin(now, ticket, expires, request)
//	if created { go run(r) }
//	events, status := r.Wait(ctx, after, time.Second)
package srrequest

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxTokenBytes is the maximum mean size of the tokens of an answer, in bytes. A token is a few
// letters.
const maxTokenBytes = 256

// Request is the record of one request. It is safe for concurrent use.
type Request struct {
	Ticket string
	// Number counts the requests of the table, from 1.
	Number  uint64
	Request sr.Request
	Arrived time.Time

	// bodyHash is kept to compare requests, since the body is dropped when the
	// request ends.
	bodyHash [sha256.Size]byte
	// bodiless is the request without its body.
	bodiless sr.Request
	// expiresAt is when the ticket expires.
	expiresAt time.Time
	maxEvents int

	mu     sync.Mutex
	status sr.Status
	answer answer
	// textBytes is the size of the tokens of a model's answer.
	textBytes int
	// endedAt is when the request ended.
	endedAt time.Time
	// mayHaveRun is set once an attempt of a repeatable call broke.
	mayHaveRun bool
	readers    int
	// changed is closed and replaced when an event is added or the request ends.
	changed chan struct{}
}

// Same reports whether req is a repetition of the recorded request; see
// sr.Request.Same.
func (r *Request) Same(req sr.Request) bool {
	if r.bodyHash != sha256.Sum256([]byte(req.Body)) {
		return false
	}
	req.Body = ""
	return r.bodiless.Same(req)
}

// Deadline returns the time by which the request has to be answered.
func (r *Request) Deadline() time.Time { return r.Arrived.Add(r.Request.Budget) }

// Status returns a copy of the status.
func (r *Request) Status() sr.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statusLocked()
}

// MarkSent records that the request is about to be sent. When it returns false, the
// request is not waiting and must not be sent.
func (r *Request) MarkSent(endpoint, receipt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State != sr.StateWaiting {
		return false
	}
	r.status.State = sr.StateSent
	r.status.Endpoint = endpoint
	r.status.Receipt = receipt
	return true
}

// MarkNotTaken records that the endpoint did not accept the request, which waits for
// another attempt. It changes nothing once the answer has an event.
func (r *Request) MarkNotTaken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State != sr.StateSent || r.answer.len() > 0 {
		return
	}
	r.status.State = sr.StateWaiting
	r.status.Endpoint = ""
	r.status.Receipt = ""
}

// Append adds an event to the answer. It returns ErrInvalid when the sequence number
// is not the next one, when the answer would have more than the maximum number of
// events or more than the tokens that were requested, or when the request has ended.
func (r *Request) Append(e sr.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State == sr.StateEnded {
		return errors.Wrap(sr.ErrInvalid, "srrequest: event after the end")
	}
	if e.Seq != r.answer.len()+1 {
		return errors.Wrapf(sr.ErrInvalid, "srrequest: event %d follows event %d", e.Seq, r.answer.len())
	}
	if r.answer.len() >= r.maxEvents {
		return errors.Wrapf(sr.ErrInvalid, "srrequest: answer has more than %d events", r.maxEvents)
	}
	if r.Request.Kind == sr.KindModel && e.Type == sr.EventText {
		tokens, bytes := len(r.answer.texts)+1, r.textBytes+len(e.Text)
		if tokens > r.Request.Tokens || bytes > r.Request.Tokens*maxTokenBytes {
			return errors.Wrapf(sr.ErrInvalid, "srrequest: answer has %d tokens of %d bytes, %d were requested", tokens, bytes, r.Request.Tokens)
		}
		r.textBytes = bytes
	}
	r.answer.add(e)
	r.notifyLocked()
	return nil
}

// MarkRetry records that the connection of a repeatable call broke. The call waits
// for another attempt.
func (r *Request) MarkRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State != sr.StateSent {
		return
	}
	r.status.State = sr.StateWaiting
	r.mayHaveRun = true
}

// MayHaveRun reports whether an earlier attempt of the request may have run.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun
}

// End records the outcome once; later calls change nothing. It reports
// whether this call ended the request.
func (r *Request) End(now time.Time, s sr.Status) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State == sr.StateEnded {
		return false
	}
	r.status.State = sr.StateEnded
	r.status.Outcome = s.Outcome
	r.status.Name = s.Name
	r.status.Reason = s.Reason
	r.status.Retry = s.Retry
	r.status.Code = s.Code
	r.status.Body = s.Body
	r.endedAt = now
	r.Request.Body = ""
	if r.answer.len() > 0 {
		r.answer.add(r.endEventLocked())
	}
	r.notifyLocked()
	return true
}

// Wait waits for events with sequence numbers above after and returns them. It
// returns without events once the request has ended, after wait, or when ctx ends.
func (r *Request) Wait(ctx context.Context, after int, wait time.Duration) ([]sr.Event, sr.Status) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, status, changed := r.next(after)
		if len(events) > 0 || status.State == sr.StateEnded {
			return events, status
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, status
		case <-ctx.Done():
			return nil, status
		}
	}
}

// Attach adds a reader of the answer until the returned function is called. An answer
// with readers is not dropped.
func (r *Request) Attach() (detach func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
	}
}

// Readers returns the number of attached readers.
func (r *Request) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers
}

// next returns the events after a sequence number, the status, and a channel that is
// closed at the next change.
func (r *Request) next(after int) ([]sr.Event, sr.Status, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.statusLocked()
	return r.answer.after(r.Ticket, after), status, r.changed
}

func (r *Request) statusLocked() sr.Status {
	s := r.status
	s.Events = r.answer.len()
	return s
}

func (r *Request) endEventLocked() sr.Event {
	return sr.Event{
		Seq:      r.answer.len() + 1,
		Type:     sr.EventEnd,
		Ticket:   r.Ticket,
		Endpoint: r.status.Endpoint,
		Outcome:  r.status.Outcome,
		Reason:   r.status.Reason,
		Tokens:   r.answer.len() - 1,
	}
}

func (r *Request) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// removable reports whether the request ended more than retain ago, its ticket has
// expired, and it has no readers.
func (r *Request) removable(now time.Time, retain time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State != sr.StateEnded || r.readers > 0 {
		return false
	}
	return now.After(r.expiresAt) && now.After(r.endedAt.Add(retain))
}

// trim drops the answer of a request that ended more than retain ago and has no
// readers.
func (r *Request) trim(now time.Time, retain time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.State == sr.StateEnded && r.readers == 0 && now.After(r.endedAt.Add(retain)) {
		r.answer = answer{}
		r.status.Body = ""
		r.status.Trimmed = true
	}
}
