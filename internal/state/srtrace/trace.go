// Package srtrace records the decisions about recent requests in a ring buffer in
// memory, so that an operator can find out why a request ended as it did.
//
// # Usage
//
//	log := srtrace.New(maxSteps)
//	log.Add(ticket, time.Now(), "grant", "endpoint r03, waited 12ms")
//	steps, err := log.Steps(ticket)
package srtrace

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Log is a bounded log of steps by ticket. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	ring []entry
	// next is the index in ring of the next step.
	next int
	// full is set once every index of ring is in use.
	full bool
	// byTicket holds the indexes in ring of each ticket's steps, oldest first.
	byTicket map[string][]int
	dropped  int64
}

type entry struct {
	ticket string
	step   sr.Step
}

// New returns a Log that keeps the last capacity steps.
func New(capacity int) *Log {
	return &Log{
		ring:     make([]entry, max(capacity, 1)),
		byTicket: make(map[string][]int),
	}
}

// Add records one step and drops the oldest one when the ring is full.
func (l *Log) Add(ticket string, at time.Time, step, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full {
		l.drop(l.next)
	}
	l.ring[l.next] = entry{ticket: ticket, step: sr.Step{At: at, Step: step, Detail: detail}}
	l.byTicket[ticket] = append(l.byTicket[ticket], l.next)
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.full = true
	}
}

// Steps returns the recorded steps of a ticket in order, or ErrMissing.
func (l *Log) Steps(ticket string) ([]sr.Step, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	indexes := l.byTicket[ticket]
	if len(indexes) == 0 {
		return nil, errors.Wrapf(sr.ErrMissing, "srtrace: ticket %q has no record", ticket)
	}
	steps := make([]sr.Step, 0, len(indexes))
	for _, i := range indexes {
		steps = append(steps, l.ring[i].step)
	}
	return steps, nil
}

// Len returns the number of steps kept and the number dropped so far.
func (l *Log) Len() (kept int, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full {
		return len(l.ring), l.dropped
	}
	return l.next, l.dropped
}

// drop removes the step at index i of the ring, the oldest one, which is always at
// index 0 of its ticket's steps.
func (l *Log) drop(i int) {
	ticket := l.ring[i].ticket
	rest := l.byTicket[ticket][1:]
	if len(rest) == 0 {
		delete(l.byTicket, ticket)
	} else {
		l.byTicket[ticket] = rest
	}
	l.dropped++
}
