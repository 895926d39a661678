package srentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

// pollWait is how long one poll of the issuer waits for events.
const pollWait = time.Second

// maxIssuerFailures is the number of consecutive unanswered polls after which the
// issuer counts as gone and the answer is resumed from the endpoint.
const maxIssuerFailures = 3

// Follower delivers the events of one answer to a caller, each once and in
// order. It is used by one goroutine.
type Follower struct {
	entry     *Entry
	ticket    string
	workspace string
	receipt   string
	// lastSeq is the sequence number of the last delivered event.
	lastSeq int
	// failures counts consecutive failed calls to the issuer or the endpoint.
	failures int
	// stream is the answer resumed from its endpoint, nil while the issuer is
	// polled.
	stream   sr.Stream
	endpoint string
	closed   bool
}

// Follow returns a Follower that delivers the events after sequence number
// lastSeq. With a receipt, the answer can be resumed from its endpoint if the
// issuer is gone. A shutdown waits until the Follower is closed.
func (e *Entry) Follow(ticket, workspace, receipt string, lastSeq int) sr.Follower {
	e.callers.Add(1)
	return &Follower{entry: e, ticket: ticket, workspace: workspace, receipt: receipt, lastSeq: lastSeq}
}

// Next returns the next events, or none if none arrive within the poll's wait.
// The status is ended or unknown when no more events will follow.
func (f *Follower) Next(ctx context.Context) ([]sr.Event, sr.Status, error) {
	if f.stream != nil {
		return f.nextFromEndpoint(ctx)
	}
	batch, err := f.entry.poll(ctx, sr.Poll{Ticket: f.ticket, Workspace: f.workspace, After: f.lastSeq, Wait: pollWait})
	if ctx.Err() != nil {
		return nil, sr.Status{}, ctx.Err()
	}
	if err == nil {
		f.failures = 0
		return f.acceptBatch(batch)
	}
	if errors.Is(err, sr.ErrNotIssuer) {
		return f.resumeFromEndpoint(ctx)
	}
	if !errors.Is(err, sr.ErrUnreachable) {
		return nil, sr.Status{}, err
	}
	f.failures++
	if f.failures >= maxIssuerFailures {
		return f.resumeFromEndpoint(ctx)
	}
	return nil, sr.Status{State: sr.StateWaiting}, sleep(ctx, jitter(relayPause))
}

// Close closes the direct connection to the endpoint, if there is one. A shutdown
// no longer waits for this Follower.
func (f *Follower) Close() {
	f.closeStream()
	if !f.closed {
		f.closed = true
		f.entry.callers.Add(-1)
	}
}

func (f *Follower) closeStream() {
	if f.stream != nil {
		f.stream.Close()
		f.stream = nil
	}
}

// acceptBatch checks that a batch continues the delivered events without a gap. It
// reports the state sent for a request that has ended until its last event is
// delivered.
func (f *Follower) acceptBatch(batch sr.Events) ([]sr.Event, sr.Status, error) {
	for _, event := range batch.Events {
		if event.Seq != f.lastSeq+1 {
			return nil, sr.Status{}, errors.Wrapf(sr.ErrConnectionLost, "srentry: event %d follows event %d", event.Seq, f.lastSeq)
		}
		f.lastSeq = event.Seq
		if event.Receipt != "" {
			f.receipt = event.Receipt
		}
	}
	if batch.Status.State == sr.StateEnded && len(batch.Events) == 0 && f.lastSeq < batch.Status.Events {
		return nil, sr.Status{}, errors.Wrap(sr.ErrConnectionLost, "srentry: events are missing")
	}
	status := batch.Status
	if status.State == sr.StateEnded && f.lastSeq < status.Events {
		status.State = sr.StateSent
	}
	return batch.Events, status, nil
}

// resumeFromEndpoint resumes the answer from its endpoint if a receipt is known.
func (f *Follower) resumeFromEndpoint(ctx context.Context) ([]sr.Event, sr.Status, error) {
	if f.receipt == "" {
		return nil, unknownStatus(f.ticket), nil
	}
	receipt, err := srticket.ParseReceipt(f.receipt)
	if err != nil {
		return nil, sr.Status{}, err
	}
	m, ok := f.entry.deps.Manifest()
	endpoint, known := m.Endpoints[receipt.Endpoint]
	if !ok || !known {
		return nil, unknownStatus(f.ticket), nil
	}
	f.entry.count("resumes.receipt")
	stream, err := f.entry.deps.Engine.Resume(ctx, endpoint.Address, receipt.Stream, max(f.lastSeq-1, 0))
	f.entry.countMalformed(err)
	if errors.Is(err, sr.ErrNoStream) {
		return nil, unknownStatus(f.ticket), nil
	}
	if err != nil {
		return f.retryResume(ctx)
	}
	f.failures = 0
	f.stream = stream
	f.endpoint = receipt.Endpoint
	return f.receiptEvent(), sr.Status{Ticket: f.ticket, State: sr.StateSent}, nil
}

// receiptEvent returns the receipt event for a caller that has received no event.
func (f *Follower) receiptEvent() []sr.Event {
	if f.lastSeq > 0 {
		return nil
	}
	f.lastSeq = 1
	return []sr.Event{{Seq: 1, Type: sr.EventReceipt, Ticket: f.ticket, Receipt: f.receipt, Endpoint: f.endpoint}}
}

// retryResume pauses before the next attempt to resume, and returns the outcome
// unknown after too many failures.
func (f *Follower) retryResume(ctx context.Context) ([]sr.Event, sr.Status, error) {
	f.failures++
	if f.failures > maxIssuerFailures+maxResumeAttempts {
		return nil, unknownStatus(f.ticket), nil
	}
	return nil, sr.Status{State: sr.StateSent}, sleep(ctx, jitter(relayPause))
}

// nextFromEndpoint reads one token of a resumed answer. Token n is event n+1, since
// event 1 is the receipt.
func (f *Follower) nextFromEndpoint(ctx context.Context) ([]sr.Event, sr.Status, error) {
	token, err := f.stream.Next(ctx)
	if err != nil {
		f.closeStream()
		return f.retryResume(ctx)
	}
	status := sr.Status{Ticket: f.ticket, State: sr.StateSent, Endpoint: f.endpoint}
	if token.Seq < f.lastSeq {
		return nil, status, nil
	}
	if token.Seq > f.lastSeq {
		f.closeStream()
		return f.retryResume(ctx)
	}
	f.failures = 0
	f.lastSeq++
	event := sr.Event{Seq: f.lastSeq, Type: sr.EventText, Ticket: f.ticket, Endpoint: f.endpoint, Text: token.Text}
	if token.End {
		status = endedStatus(status, token)
		event = sr.Event{
			Seq: f.lastSeq, Type: sr.EventEnd, Ticket: f.ticket, Endpoint: f.endpoint,
			Outcome: status.Outcome, Reason: status.Reason, Tokens: token.Seq - 1,
		}
	}
	return []sr.Event{event}, status, nil
}

func endedStatus(s sr.Status, token sr.Token) sr.Status {
	s.State = sr.StateEnded
	s.Outcome = sr.OutcomeComplete
	if token.Cut != "" {
		s.Outcome = sr.OutcomeCutShort
		s.Reason = "the endpoint ended the answer early: " + token.Cut
	}
	return s
}
