package srcaller

import (
	"context"
	"strconv"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
)

type sendFunc func(context.Context, *requests.Event) error

// deliver streams an answer's events until its end. A request that ends without any
// event is answered with a refusal.
func deliver(ctx context.Context, f sr.Follower, send sendFunc) error {
	lastSeq := 0
	for {
		events, status, err := f.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && lastSeq == 0 {
			return newProblemFromError(err)
		}
		if err != nil {
			return send(ctx, newUnknownEnd(lastSeq, err.Error()))
		}
		for _, event := range events {
			lastSeq = event.Seq
			extendWriteDeadline(ctx)
			if err := send(ctx, newEvent(event)); err != nil {
				return nil
			}
		}
		if !finished(status) {
			continue
		}
		if lastSeq > 0 && status.State == sr.StateUnknown {
			return send(ctx, newUnknownEnd(lastSeq, status.Reason))
		}
		if lastSeq > 0 {
			return nil
		}
		return problemWithoutEvents(status)
	}
}

// finished reports whether no more events will follow. In StateIssued the ticket has not
// been used, so there is no request to follow.
func finished(s sr.Status) bool {
	return s.State == sr.StateUnknown || s.State == sr.StateIssued || s.State == sr.StateEnded
}

// problemWithoutEvents returns the refusal for a request without any event.
func problemWithoutEvents(s sr.Status) error {
	switch {
	case s.State == sr.StateIssued:
		return newProblem("missing", "the ticket was not used yet; its request may still arrive", sr.OutcomeUnknown)
	case s.State == sr.StateEnded && s.Outcome == sr.OutcomeComplete:
		return answerExpired()
	}
	return newProblemFromStatus(s)
}

// waitForAnswer waits until a call of a plain service has ended and returns its answer.
func waitForAnswer(ctx context.Context, f sr.Follower, ticket string) (*requests.CallResult, error) {
	for {
		_, status, err := f.Next(ctx)
		if err != nil {
			return nil, newProblemFromError(err)
		}
		if status.State == sr.StateUnknown {
			return nil, newProblemFromStatus(status)
		}
		if status.State != sr.StateEnded {
			continue
		}
		if status.Outcome == sr.OutcomeNotRun {
			return nil, newProblemFromStatus(status)
		}
		if status.Trimmed && status.Outcome == sr.OutcomeComplete {
			return nil, answerExpired()
		}
		return &requests.CallResult{
			Ticket:   ticket,
			Outcome:  string(status.Outcome),
			Reason:   nilIfEmpty(status.Reason),
			Status:   &status.Code,
			Body:     nilIfEmpty(status.Body),
			Endpoint: nilIfEmpty(status.Endpoint),
		}, nil
	}
}

// answerExpired returns the refusal for a complete answer that is no longer stored.
func answerExpired() *requests.Problem {
	return newProblem("expired", "the answer was complete and is not kept any longer", sr.OutcomeComplete)
}

func newEvent(e sr.Event) *requests.Event {
	data := &requests.EventData{
		Ticket:   nilIfEmpty(e.Ticket),
		Receipt:  nilIfEmpty(e.Receipt),
		Endpoint: nilIfEmpty(e.Endpoint),
		Text:     nilIfEmpty(e.Text),
		Outcome:  nilIfEmpty(string(e.Outcome)),
		Reason:   nilIfEmpty(e.Reason),
	}
	if e.Type == sr.EventEnd {
		data.Tokens = &e.Tokens
	}
	return &requests.Event{ID: strconv.Itoa(e.Seq), Type: string(e.Type), Data: data}
}

// newUnknownEnd returns the last event of an answer whose remaining events are
// unavailable.
func newUnknownEnd(lastSeq int, reason string) *requests.Event {
	return newEvent(sr.Event{
		Seq:     lastSeq + 1,
		Type:    sr.EventEnd,
		Outcome: sr.OutcomeUnknown,
		Reason:  reason,
	})
}
