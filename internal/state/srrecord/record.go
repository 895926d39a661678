// Package srrecord keeps the decisions taken for recent requests in a bounded
// in-memory ring, so that an operator can ask why a request ended as it did.
//
// # Usage
//
//	log := srrecord.New(maxSteps)
//	log.Add(ticket, time.Now(), "grant", "endpoint r03, waited 12ms")
//	steps, err := log.Steps(ticket)
package srrecord

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Log is a bounded record of decisions by ticket. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	ring    []entry
	next    int
	filled  bool
	byID    map[string][]int
	dropped int64
}

type entry struct {
	ticket string
	step   sr.Step
}

// New returns a Log that keeps the last capacity steps.
func New(capacity int) *Log {
	return &Log{
		ring: make([]entry, max(capacity, 1)),
		byID: make(map[string][]int),
	}
}

// Add records one decision and drops the oldest one when the ring is full.
func (l *Log) Add(ticket string, at time.Time, step, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filled {
		l.drop(l.next)
	}
	l.ring[l.next] = entry{ticket: ticket, step: sr.Step{At: at, Step: step, Detail: detail}}
	l.byID[ticket] = append(l.byID[ticket], l.next)
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.filled = true
	}
}

// Steps returns the recorded decisions for a ticket in order, or ErrMissing.
func (l *Log) Steps(ticket string) ([]sr.Step, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	indexes := l.byID[ticket]
	if len(indexes) == 0 {
		return nil, errors.Wrapf(sr.ErrMissing, "srrecord: ticket %q has no record", ticket)
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
	if l.filled {
		return len(l.ring), l.dropped
	}
	return l.next, l.dropped
}

// drop removes the oldest step of its ticket, which is always at index 0.
func (l *Log) drop(i int) {
	ticket := l.ring[i].ticket
	rest := l.byID[ticket][1:]
	if len(rest) == 0 {
		delete(l.byID, ticket)
	} else {
		l.byID[ticket] = rest
	}
	l.dropped++
}
