package srentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

// pollWait is how long one poll of an issuer waits for events.
const pollWait = time.Second

// issuerTries is how often a silent issuer is asked before its answer is
// resumed from the endpoint.
const issuerTries = 3

// Follower delivers the events of one answer to a caller, each once and in
// order. It is used by one goroutine.
type Follower struct {
	entry     *Entry
	ticket    string
	workspace string
	receipt   string
	after     int
	failures  int
	stream    sr.Stream
	endpoint  string
	closed    bool
}

// Follow returns a Follower that delivers the events behind after. With a
// receipt the answer can be had even when the ticket's issuer is gone. A
// shutdown waits until the Follower is closed.
func (e *Entry) Follow(ticket, workspace, receipt string, after int) sr.Follower {
	e.callers.Add(1)
	return &Follower{entry: e, ticket: ticket, workspace: workspace, receipt: receipt, after: after}
}

// Next returns the next events, or none after a while without news. Status is
// ended or unknown when no more events will come.
func (f *Follower) Next(ctx context.Context) ([]sr.Event, sr.Status, error) {
	if f.stream != nil {
		return f.fromEndpoint(ctx)
	}
	batch, err := f.entry.poll(ctx, sr.Poll{Ticket: f.ticket, Workspace: f.workspace, After: f.after, Wait: pollWait})
	if ctx.Err() != nil {
		return nil, sr.Status{}, ctx.Err()
	}
	if err == nil {
		f.failures = 0
		return f.accept(batch)
	}
	if errors.Is(err, sr.ErrNotIssuer) {
		return f.issuerGone(ctx)
	}
	if !errors.Is(err, sr.ErrUnreachable) {
		return nil, sr.Status{}, err
	}
	f.failures++
	if f.failures >= issuerTries {
		return f.issuerGone(ctx)
	}
	return nil, sr.Status{State: sr.StateWaiting}, sleep(ctx, jitter(relayPause))
}

// Close ends the direct connection to the endpoint, if there is one, and lets
// a shutdown go on.
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

func (f *Follower) accept(batch sr.Events) ([]sr.Event, sr.Status, error) {
	for _, event := range batch.Events {
		if event.Seq != f.after+1 {
			return nil, sr.Status{}, errors.Wrapf(sr.ErrBroken, "srentry: event %d follows event %d", event.Seq, f.after)
		}
		f.after = event.Seq
		if event.Receipt != "" {
			f.receipt = event.Receipt
		}
	}
	if batch.Status.State == sr.StateEnded && len(batch.Events) == 0 && f.after < batch.Status.Events {
		return nil, sr.Status{}, errors.Wrap(sr.ErrBroken, "srentry: events are missing")
	}
	status := batch.Status
	if status.State == sr.StateEnded && f.after < status.Events {
		status.State = sr.StateSent
	}
	return batch.Events, status, nil
}

// issuerGone resumes the answer from its endpoint when a receipt is known.
func (f *Follower) issuerGone(ctx context.Context) ([]sr.Event, sr.Status, error) {
	if f.receipt == "" {
		return nil, unknown(f.ticket), nil
	}
	receipt, err := srticket.ParseReceipt(f.receipt)
	if err != nil {
		return nil, sr.Status{}, err
	}
	m, ok := f.entry.deps.Manifest()
	endpoint, known := m.Endpoints[receipt.Endpoint]
	if !ok || !known {
		return nil, unknown(f.ticket), nil
	}
	f.entry.count("resumes.receipt")
	stream, err := f.entry.deps.Engine.Resume(ctx, endpoint.Address, receipt.Stream, max(f.after-1, 0))
	if errors.Is(err, sr.ErrNoStream) {
		return nil, unknown(f.ticket), nil
	}
	if err != nil {
		return f.resumeLater(ctx)
	}
	f.failures = 0
	f.stream = stream
	f.endpoint = receipt.Endpoint
	return f.firstEvent(), sr.Status{Ticket: f.ticket, State: sr.StateSent}, nil
}

// firstEvent returns the receipt for a caller that has seen no event yet.
func (f *Follower) firstEvent() []sr.Event {
	if f.after > 0 {
		return nil
	}
	f.after = 1
	return []sr.Event{{Seq: 1, Type: sr.EventReceipt, Ticket: f.ticket, Receipt: f.receipt, Endpoint: f.endpoint}}
}

// resumeLater gives up on an endpoint that stays out of reach.
func (f *Follower) resumeLater(ctx context.Context) ([]sr.Event, sr.Status, error) {
	f.failures++
	if f.failures > issuerTries+resumeTries {
		return nil, unknown(f.ticket), nil
	}
	return nil, sr.Status{State: sr.StateSent}, sleep(ctx, jitter(relayPause))
}

// fromEndpoint reads one token of a resumed answer.
func (f *Follower) fromEndpoint(ctx context.Context) ([]sr.Event, sr.Status, error) {
	token, err := f.stream.Next(ctx)
	if err != nil {
		f.closeStream()
		return f.resumeLater(ctx)
	}
	status := sr.Status{Ticket: f.ticket, State: sr.StateSent, Endpoint: f.endpoint}
	if token.Seq < f.after {
		return nil, status, nil
	}
	if token.Seq > f.after {
		f.closeStream()
		return f.resumeLater(ctx)
	}
	f.failures = 0
	f.after++
	event := sr.Event{Seq: f.after, Type: sr.EventText, Ticket: f.ticket, Endpoint: f.endpoint, Text: token.Text}
	if token.End {
		status = endOfResumed(status, token)
		event = sr.Event{
			Seq: f.after, Type: sr.EventEnd, Ticket: f.ticket, Endpoint: f.endpoint,
			Outcome: status.Outcome, Reason: status.Reason, Tokens: token.Seq - 1,
		}
	}
	return []sr.Event{event}, status, nil
}

func endOfResumed(s sr.Status, token sr.Token) sr.Status {
	s.State = sr.StateEnded
	s.Outcome = sr.OutcomeComplete
	if token.Cut != "" {
		s.Outcome = sr.OutcomeCutShort
		s.Reason = "the endpoint ended the answer early: " + token.Cut
	}
	return s
}
