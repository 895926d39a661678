package srentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// relayPause is the longest pause before a call to an issuer is retried.
const relayPause = 200 * time.Millisecond

// maxRelayAttempts is the maximum number of attempts to relay a submission.
const maxRelayAttempts = 3

// Tickets issues n tickets for a workspace.
func (e *Entry) Tickets(workspace string, n int) ([]string, error) {
	if e.Draining() {
		return nil, errors.Wrap(sr.ErrDraining, "srentry: tickets")
	}
	if n < 1 || n > e.deps.Limits.Batch {
		return nil, errors.Wrapf(sr.ErrInvalid, "srentry: count is %d, expected 1 to %d", n, e.deps.Limits.Batch)
	}
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, e.deps.Issuer.Issue(time.Now(), workspace))
	}
	e.count("tickets")
	return tickets, nil
}

// Lifetime returns how long a ticket is valid.
func (e *Entry) Lifetime() time.Duration { return e.deps.Issuer.Lifetime() }

// SubmitAnywhere submits a request. If another instance issued the ticket, the
// submission is relayed to it. ErrIssuerGone means that the submission did not
// reach the issuer, ErrUnreachable that the outcome is unknown. Every other
// error means that the request does not run.
func (e *Entry) SubmitAnywhere(ctx context.Context, s sr.Submission) (sr.Status, error) {
	t, err := srticket.Parse(s.Ticket)
	if err != nil {
		return sr.Status{}, err
	}
	if t.Issuer == e.deps.Self {
		return e.Submit(ctx, s)
	}
	e.count("relays")
	e.callers.Add(1)
	defer e.callers.Add(-1)
	return e.relay(ctx, t.Issuer, s)
}

// relay sends a submission to the ticket's issuer. An unanswered call is
// retried, which is safe because the issuer joins submissions of one ticket.
func (e *Entry) relay(ctx context.Context, issuer sr.InstanceID, s sr.Submission) (sr.Status, error) {
	var status sr.Status
	var err error
	mayHaveArrived := false
	for range maxRelayAttempts {
		status, err = e.deps.Peers.Peer(issuer.Address).Submit(ctx, s)
		if !errors.Is(err, sr.ErrUnreachable) {
			break
		}
		mayHaveArrived = mayHaveArrived || !errors.Is(err, sr.ErrNotSent)
		if sleep(ctx, jitter(relayPause)) != nil {
			break
		}
	}
	gone := errors.Is(err, sr.ErrNotIssuer) || errors.Is(err, sr.ErrUnreachable)
	if gone && !mayHaveArrived {
		e.count("relays.gone")
		return status, errors.Wrapf(sr.ErrIssuerGone, "srentry: %s", issuer.Address)
	}
	return status, err
}

// Submit starts a request whose ticket was issued here. Submitting the same
// ticket and request again joins the first submission.
func (e *Entry) Submit(_ context.Context, s sr.Submission) (sr.Status, error) {
	e.accepting.RLock()
	defer e.accepting.RUnlock()
	now := time.Now()
	if r, ok := e.table.Get(s.Ticket); ok {
		return e.join(r, s)
	}
	if err := e.deps.Issuer.Check(now, s.Ticket, s.Request.Workspace); err != nil {
		e.count("refusals.ticket")
		return sr.Status{}, err
	}
	if e.Draining() {
		e.count("refusals.draining")
		return sr.Status{}, errors.Wrap(sr.ErrDraining, "srentry: submit")
	}
	t, err := srticket.Parse(s.Ticket)
	if err != nil {
		return sr.Status{}, err
	}
	e.active.Add(1)
	r, created, err := e.table.Begin(now, s.Ticket, e.deps.Issuer.Expires(t), s.Request)
	if err != nil || !created {
		e.active.Done()
	}
	if err != nil {
		return sr.Status{}, err
	}
	if created {
		go e.run(r, s.Refusal)
	}
	return r.Status(), nil
}

// join answers a repeated submission with the status of the first one. It fails
// with ErrConflict if the requests differ.
func (e *Entry) join(r *srrequest.Request, s sr.Submission) (sr.Status, error) {
	if !r.Same(s.Request) {
		return sr.Status{}, errors.Wrap(sr.ErrConflict, "srentry: submit")
	}
	e.count("joins")
	return r.Status(), nil
}

// Poll returns events of a request whose ticket was issued here.
func (e *Entry) Poll(ctx context.Context, p sr.Poll) (sr.Events, error) {
	r, err := e.lookUp(p.Ticket, p.Workspace)
	if err != nil {
		return sr.Events{}, err
	}
	if r == nil {
		return sr.Events{Status: sr.Status{Ticket: p.Ticket, State: sr.StateIssued}}, nil
	}
	defer r.Attach()()
	events, status := r.Wait(ctx, p.After, p.Wait)
	return sr.Events{Status: status, Events: events}, nil
}

// lookUp returns the record of a ticket issued here, or nil if the ticket is valid
// and was not used yet.
func (e *Entry) lookUp(ticket, workspace string) (*srrequest.Request, error) {
	if r, ok := e.table.Get(ticket); ok {
		if r.Request.Workspace != workspace {
			return nil, errors.Wrap(sr.ErrInvalid, "srentry: ticket belongs to another workspace")
		}
		return r, nil
	}
	return nil, e.deps.Issuer.Check(time.Now(), ticket, workspace)
}

// Status returns the status of a request, whichever instance issued its ticket.
func (e *Entry) Status(ctx context.Context, ticket, workspace string) (sr.Status, error) {
	events, err := e.poll(ctx, sr.Poll{Ticket: ticket, Workspace: workspace, After: -1})
	if errors.Is(err, sr.ErrUnreachable) || errors.Is(err, sr.ErrNotIssuer) {
		return unknownStatus(ticket), nil
	}
	return events.Status, err
}

// poll polls the issuer of a ticket, which may be this instance.
func (e *Entry) poll(ctx context.Context, p sr.Poll) (sr.Events, error) {
	t, err := srticket.Parse(p.Ticket)
	if err != nil {
		return sr.Events{}, err
	}
	if t.Issuer == e.deps.Self {
		return e.Poll(ctx, p)
	}
	ctx, cancel := context.WithTimeout(ctx, p.Wait+time.Second)
	defer cancel()
	return e.deps.Peers.Peer(t.Issuer.Address).Poll(ctx, p)
}

func unknownStatus(ticket string) sr.Status {
	return sr.Status{
		Ticket:  ticket,
		State:   sr.StateUnknown,
		Outcome: sr.OutcomeUnknown,
		Name:    "unknown-outcome",
		Reason:  "the instance that issued the ticket is gone; the request will not be dispatched by another one",
	}
}
