package srrig

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
)

const (
	// maxAttempts is the maximum number of exchanges of a caller for one request.
	maxAttempts = 12
	// retryPause is the pause between two exchanges for one request.
	retryPause = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange of a caller with an instance.
	exchangeTimeout = 5 * time.Minute
	// callerAddress is the address of all callers in the network.
	callerAddress = "caller"
)

// TopTierRequest returns a short model request of the top tier.
func TopTierRequest(body string) srhistory.Request { return ModelRequest(body, 1, 20) }

// ModelRequest returns a model request of a tier.
func ModelRequest(body string, tier sr.Tier, tokens int) srhistory.Request {
	return srhistory.Request{Kind: sr.KindModel, Workspace: tiers[tier], Tier: tier, Target: Model, Body: body, Tokens: tokens}
}

// Booking returns a call of the plain service that may not be repeated.
func Booking(body string) srhistory.Request {
	return srhistory.Request{Kind: sr.KindCall, Workspace: tiers[1], Tier: 1, Target: Service, Operation: Book, Body: body}
}

// IssueTicket gets a ticket from a process and returns the request with it. It
// records the request in the history.
func (r *Rig) IssueTicket(p *Process, q srhistory.Request) (srhistory.Request, error) {
	tickets, err := p.Instance.Entry().Tickets(q.Workspace, 1)
	if err != nil {
		return q, errors.Wrap(err, "srrig")
	}
	q.Ticket = tickets[0]
	r.History.AddRequest(q)
	return q, nil
}

// Submit gets a ticket from instance issuer and sends the request there. While
// there is no outcome, it retries at the others in turn.
func (r *Rig) Submit(q srhistory.Request, issuer int, others ...int) srhistory.Answer {
	q, err := r.IssueTicket(r.Process(issuer), q)
	if err != nil {
		// An instance refuses to issue a ticket only while it drains.
		return srhistory.Answer{Name: "draining", Reason: err.Error()}
	}
	return r.SubmitTicket(q, append([]int{issuer}, others...)...)
}

// SubmitTicket sends a request that already has a ticket to the given instances in
// turn until there is an outcome. Once events have arrived, it resumes the answer.
func (r *Rig) SubmitTicket(q srhistory.Request, instances ...int) srhistory.Answer {
	after, receipt := 0, ""
	var a srhistory.Answer
	for attempt := range maxAttempts {
		p := r.Process(instances[attempt%len(instances)])
		if after > 0 {
			a = r.Resume(p, q, receipt, after)
		} else {
			a = r.Send(p, q)
		}
		for _, e := range a.Events {
			after = e.Seq
			if e.Receipt != "" {
				receipt = e.Receipt
			}
		}
		if !a.ConnectionLost() && a.Outcome != sr.OutcomeUnknown {
			return a
		}
		time.Sleep(retryPause)
	}
	return a
}

// Send sends a request to a process once and records the answer.
func (r *Rig) Send(p *Process, q srhistory.Request) srhistory.Answer {
	return r.exchange(p, q, 0, func(ctx context.Context, s *sink) error {
		if q.Kind == sr.KindCall {
			return s.call(ctx, q)
		}
		return p.caller.Generate(ctx, &requests.GeneratePayload{
			Key: bearer(q.Workspace), Ticket: &q.Ticket, Model: q.Target, Prompt: q.Body, Tokens: q.Tokens, Tier: &tiers[q.Tier], Deadline: int(q.Budget.Milliseconds()),
		}, s)
	})
}

// Resume requests the rest of an answer, which starts after the event with the
// sequence number after, and records it.
func (r *Rig) Resume(p *Process, q srhistory.Request, receipt string, after int) srhistory.Answer {
	return r.exchange(p, q, after, func(ctx context.Context, s *sink) error {
		return p.caller.Resume(ctx, &requests.ResumePayload{Key: bearer(q.Workspace), Ticket: q.Ticket, Receipt: &receipt, After: after}, s)
	})
}

func bearer(workspace string) *string {
	key := "Bearer " + Key(workspace)
	return &key
}

// exchange runs one request of a caller to a process through send and records the
// answer. Cuts, pauses and the death of the process apply in both directions.
func (r *Rig) exchange(p *Process, q srhistory.Request, after int, send func(context.Context, *sink) error) srhistory.Answer {
	ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
	defer cancel()
	p.openExchanges.Add(1)
	defer p.openExchanges.Add(-1)
	s := &sink{p: p, answer: srhistory.Answer{Ticket: q.Ticket, Via: p.ID.Address, Began: r.Now(), After: after}}
	done := make(chan srhistory.Answer, 1)
	go func() {
		if !p.awaitRunning() || !r.transmit(callerAddress, p.ID.Address) {
			done <- s.answer
			return
		}
		err := send(ctx, s)
		if p.awaitRunning() && r.transmit(p.ID.Address, callerAddress) && p.Alive() {
			s.finish(err)
		} else {
			// The end of the connection is lost, but the end event may have arrived.
			s.applyEndEvent()
		}
		done <- s.answer
	}()
	a := <-done
	a.Ended = r.Now()
	r.History.AddAnswer(a)
	return a
}

// sink collects what a process sends to a caller.
type sink struct {
	p      *Process
	answer srhistory.Answer
}

var _ requests.GenerateServerStream = (*sink)(nil)

// Send implements requests.GenerateServerStream.
func (s *sink) Send(e *requests.Event) error { return s.SendWithContext(context.Background(), e) }

// SendWithContext implements requests.GenerateServerStream.
func (s *sink) SendWithContext(_ context.Context, e *requests.Event) error {
	if !s.p.awaitRunning() {
		return errors.New("srrig: connection to the caller was lost")
	}
	seq, err := strconv.Atoi(e.ID)
	if err != nil {
		return errors.Wrap(err, "srrig")
	}
	event := sr.Event{
		Seq: seq, Type: sr.EventType(e.Type), Receipt: valueOf(e.Data.Receipt),
		Endpoint: valueOf(e.Data.Endpoint), Text: valueOf(e.Data.Text), Outcome: sr.Outcome(valueOf(e.Data.Outcome)), Reason: valueOf(e.Data.Reason),
	}
	s.answer.Events = append(s.answer.Events, event)
	return nil
}

// Close implements requests.GenerateServerStream.
func (s *sink) Close() error { return nil }

func (s *sink) call(ctx context.Context, q srhistory.Request) error {
	result, err := s.p.caller.Call(ctx, &requests.CallPayload{
		Key: bearer(q.Workspace), Ticket: &q.Ticket, Service: q.Target, Operation: q.Operation, Body: &q.Body,
	})
	if err != nil {
		return err
	}
	s.answer.Outcome = sr.Outcome(result.Outcome)
	s.answer.Reason = valueOf(result.Reason)
	s.answer.Body = valueOf(result.Body)
	return nil
}

// finish sets the outcome of the answer from the refusal or the last event.
func (s *sink) finish(err error) {
	var problem *requests.Problem
	if errors.As(err, &problem) {
		s.answer.Outcome = sr.Outcome(problem.Outcome)
		s.answer.Name = problem.Name
		s.answer.Reason = problem.Reason
		return
	}
	if err != nil {
		s.answer.Reason = err.Error()
		return
	}
	s.applyEndEvent()
}

// applyEndEvent sets the outcome of the answer from the end event, if it arrived.
func (s *sink) applyEndEvent() {
	n := len(s.answer.Events)
	if n == 0 || s.answer.Events[n-1].Type != sr.EventEnd {
		return
	}
	s.answer.Outcome = s.answer.Events[n-1].Outcome
	s.answer.Reason = s.answer.Events[n-1].Reason
}

func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// Bodies returns n distinct request bodies, which also differ from those of other
// names.
func Bodies(name string, n int) []string {
	bodies := make([]string, n)
	for i := range bodies {
		bodies[i] = fmt.Sprintf("%s %d", name, i)
	}
	return bodies
}
