package srcaller

import (
	"context"
	"strconv"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
)

type sendFunc func(context.Context, *requests.Event) error

// deliver sends an answer's events until its end. A request without any event
// is answered by a refusal.
func deliver(ctx context.Context, f sr.Follower, send sendFunc) error {
	sent := 0
	for {
		events, status, err := f.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && sent == 0 {
			return problemOf(err)
		}
		if err != nil {
			return send(ctx, unknownEnd(sent, err.Error()))
		}
		for _, event := range events {
			sent = event.Seq
			extendWrite(ctx)
			if err := send(ctx, newEvent(event)); err != nil {
				return nil
			}
		}
		if !over(status) {
			continue
		}
		if sent > 0 && status.State == sr.StateUnknown {
			return send(ctx, unknownEnd(sent, status.Reason))
		}
		if sent > 0 {
			return nil
		}
		return problemWithoutEvents(status)
	}
}

// over reports whether no more events will come.
func over(s sr.Status) bool {
	return s.State == sr.StateUnknown || s.State == sr.StateIssued || s.State == sr.StateEnded
}

// problemWithoutEvents is the refusal for a request of which nothing was sent.
func problemWithoutEvents(s sr.Status) error {
	switch {
	case s.State == sr.StateIssued:
		return newProblem("missing", "the ticket was not used yet; its request may still arrive", sr.OutcomeUnknown)
	case s.State == sr.StateEnded && s.Outcome == sr.OutcomeComplete:
		return notKept()
	}
	return problemOfStatus(s)
}

// await returns the answer of a plain service once its request has ended.
func await(ctx context.Context, f sr.Follower, ticket string) (*requests.CallResult, error) {
	for {
		_, status, err := f.Next(ctx)
		if err != nil {
			return nil, problemOf(err)
		}
		if status.State == sr.StateUnknown {
			return nil, problemOfStatus(status)
		}
		if status.State != sr.StateEnded {
			continue
		}
		if status.Outcome == sr.OutcomeNotRun {
			return nil, problemOfStatus(status)
		}
		if status.Trimmed && status.Outcome == sr.OutcomeComplete {
			return nil, notKept()
		}
		return &requests.CallResult{
			Ticket:   ticket,
			Outcome:  string(status.Outcome),
			Reason:   optional(status.Reason),
			Status:   &status.Code,
			Body:     optional(status.Body),
			Endpoint: optional(status.Endpoint),
		}, nil
	}
}

// notKept refuses the answer of a request that ended long ago.
func notKept() *requests.Problem {
	return newProblem("expired", "the answer was complete and is not kept any longer", sr.OutcomeComplete)
}

func newEvent(e sr.Event) *requests.Event {
	data := &requests.EventData{
		Ticket:   optional(e.Ticket),
		Receipt:  optional(e.Receipt),
		Endpoint: optional(e.Endpoint),
		Text:     optional(e.Text),
		Outcome:  optional(string(e.Outcome)),
		Reason:   optional(e.Reason),
	}
	if e.Type == sr.EventEnd {
		data.Tokens = &e.Tokens
	}
	return &requests.Event{ID: strconv.Itoa(e.Seq), Type: string(e.Type), Data: data}
}

// unknownEnd is the last event of an answer whose rest cannot be had.
func unknownEnd(sent int, reason string) *requests.Event {
	return newEvent(sr.Event{
		Seq:     sent + 1,
		Type:    sr.EventEnd,
		Outcome: sr.OutcomeUnknown,
		Reason:  reason,
	})
}
