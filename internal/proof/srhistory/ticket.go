package srhistory

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// ticketState is the state of a ticket in ticketModel.
type ticketState uint8

const (
	stateIssued ticketState = iota
	stateSent
	stateComplete
	stateRefused
)

// ticketInput is an operation on a ticket: the arrival of its request at an
// endpoint, or an exchange of the caller, whose output is the outcome.
type ticketInput struct {
	ticket  string
	arrival bool
}

// ticketModel specifies that a ticket is sent at most once, never after a refusal
// as "not run", and that it is complete only after it was sent.
var ticketModel = porcupine.Model{
	Partition: partition,
	Init:      func() any { return stateIssued },
	Step: func(state, input, output any) (bool, any) {
		s := state.(ticketState)
		if input.(ticketInput).arrival {
			return s == stateIssued, stateSent
		}
		switch output.(sr.Outcome) {
		case sr.OutcomeNotRun:
			return s == stateIssued || s == stateRefused, stateRefused
		case sr.OutcomeComplete:
			return s == stateSent || s == stateComplete, stateComplete
		}
		return true, s
	},
}

// Linearizable checks that the operations on each ticket of a request that may not
// be repeated are linearizable with respect to ticketModel. Answers without a known
// outcome are consistent with every state.
func Linearizable(e Events) error {
	tickets := make(map[string]string)
	for _, r := range e.Requests {
		if !r.Repeatable {
			tickets[r.Body] = r.Ticket
		}
	}
	bodies := bodiesByTicket(e)
	var ops []porcupine.Operation
	for _, a := range e.Arrivals {
		t, ok := tickets[a.Body]
		if ok && a.Accepted {
			ops = append(ops, operation(len(ops), ticketInput{ticket: t, arrival: true}, sr.OutcomeNone, a.At, a.At))
		}
	}
	for _, a := range e.Answers {
		// The outcome "cut short" implies nothing about arrival: it is also reported
		// when the request may have been sent but did not arrive.
		if _, ok := tickets[bodies[a.Ticket]]; ok && a.Outcome != sr.OutcomeCutShort {
			ops = append(ops, operation(len(ops), ticketInput{ticket: a.Ticket}, a.Outcome, a.Began, a.Ended))
		}
	}
	if !porcupine.CheckOperations(ticketModel, ops) {
		return errors.New("the operations on a ticket are not linearizable")
	}
	return nil
}

func operation(client int, in ticketInput, out sr.Outcome, from, to time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(from), Return: int64(to)}
}

// partition groups the operations by ticket, so that each is checked by itself.
func partition(ops []porcupine.Operation) [][]porcupine.Operation {
	groups := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		t := op.Input.(ticketInput).ticket
		groups[t] = append(groups[t], op)
	}
	parts := make([][]porcupine.Operation, 0, len(groups))
	for _, part := range groups {
		parts = append(parts, part)
	}
	return parts
}
