// Package srcaller is the caller interface: it checks the key and the input
// of each call, passes it to the entry and turns outcomes into HTTP answers.
//
// # Usage
//
//	handler := srcaller.New(entry, manifest, srcaller.Options{Body: 1 << 20})
//	server := srcaller.NewServer(handler)
//	go server.Serve(listener)
//
// Refusals carry a stable name, a reason, the outcome ("not-run" only when the
// request has not run and never will) and advice on when to retry.
package srcaller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
)

// Entry is the issuer that carries the calls out.
type Entry interface {
	Tickets(workspace string, n int) ([]string, error)
	Lifetime() time.Duration
	SubmitAnywhere(ctx context.Context, s sr.Submission) (sr.Status, error)
	Follow(ticket, workspace, receipt string, after int) sr.Follower
	Status(ctx context.Context, ticket, workspace string) (sr.Status, error)
}

// Options bound what callers may send.
type Options struct {
	// Body is the size of the largest request body in bytes.
	Body int64
	// ReadHeader, ReadBody and Write bound the parts of an exchange.
	ReadHeader time.Duration
	ReadBody   time.Duration
	Write      time.Duration
	// Idle is how long a connection is kept without a request.
	Idle time.Duration
}

// Caller implements the generated caller service.
type Caller struct {
	entry    Entry
	manifest func() (sr.Manifest, bool)
	opts     Options

	mu      sync.Mutex
	version sr.Version
	keys    map[string]string
}

// New returns a Caller.
func New(entry Entry, manifest func() (sr.Manifest, bool), opts Options) *Caller {
	return &Caller{entry: entry, manifest: manifest, opts: opts}
}

// Tickets issues tickets.
func (c *Caller) Tickets(_ context.Context, p *requests.TicketsPayload) (*requests.TicketsResult, error) {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, err
	}
	tickets, err := c.entry.Tickets(w.Name, p.Count)
	if err != nil {
		return nil, problemOf(err)
	}
	return &requests.TicketsResult{
		Tickets:  tickets,
		Lifetime: int(c.entry.Lifetime() / time.Second),
	}, nil
}

// Generate submits a model request and delivers its answer.
func (c *Caller) Generate(ctx context.Context, p *requests.GeneratePayload, stream requests.GenerateServerStream) error {
	m, w, err := c.authorize(p.Key)
	if err != nil {
		return ofTicket(err, p.Ticket)
	}
	req, err := modelRequest(w, p)
	if err != nil {
		return err
	}
	ticket, err := c.ticket(ctx, w, p.Ticket, w.Ticketed)
	if err != nil {
		return err
	}
	req, refusal := complete(m, w, req, value(p.Tier), p.Deadline)
	if _, err := c.entry.SubmitAnywhere(ctx, sr.Submission{Ticket: ticket, Request: req, Refusal: refusal}); err != nil {
		return ofTicket(problemOf(err), p.Ticket)
	}
	f := c.entry.Follow(ticket, w.Name, "", 0)
	defer f.Close()
	return deliver(ctx, f, stream.SendWithContext)
}

// Call calls a plain service.
func (c *Caller) Call(ctx context.Context, p *requests.CallPayload) (*requests.CallResult, error) {
	m, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, ofTicket(err, p.Ticket)
	}
	req, err := callRequest(w, p)
	if err != nil {
		return nil, err
	}
	ticket, err := c.ticket(ctx, w, p.Ticket, false)
	if err != nil {
		return nil, err
	}
	req, refusal := complete(m, w, req, "", p.Deadline)
	if _, err := c.entry.SubmitAnywhere(ctx, sr.Submission{Ticket: ticket, Request: req, Refusal: refusal}); err != nil {
		return nil, ofTicket(problemOf(err), p.Ticket)
	}
	f := c.entry.Follow(ticket, w.Name, "", 0)
	defer f.Close()
	return await(ctx, f, ticket)
}

// Status says what became of a request.
func (c *Caller) Status(ctx context.Context, p *requests.StatusPayload) (*requests.StatusResult, error) {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, ofTicket(err, &p.Ticket)
	}
	s, err := c.entry.Status(ctx, p.Ticket, w.Name)
	if err != nil {
		return nil, ofTicket(problemOf(err), &p.Ticket)
	}
	return &requests.StatusResult{
		Ticket:   p.Ticket,
		State:    string(s.State),
		Outcome:  string(s.Outcome),
		Reason:   optional(s.Reason),
		Endpoint: optional(s.Endpoint),
		Receipt:  optional(s.Receipt),
		Events:   &s.Events,
		Status:   &s.Code,
		Body:     optional(s.Body),
	}, nil
}

// Resume delivers the rest of an answer.
func (c *Caller) Resume(ctx context.Context, p *requests.ResumePayload, stream requests.ResumeServerStream) error {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return ofTicket(err, &p.Ticket)
	}
	if p.After < 0 {
		return newProblem("invalid", "after is negative, expected the last sequence number received", sr.OutcomeUnknown)
	}
	f := c.entry.Follow(p.Ticket, w.Name, value(p.Receipt), p.After)
	defer f.Close()
	return ofTicket(deliver(ctx, f, stream.SendWithContext), &p.Ticket)
}

// authorize returns the workspace of a key.
func (c *Caller) authorize(key *string) (sr.Manifest, sr.Workspace, error) {
	m, ok := c.manifest()
	if !ok {
		return m, sr.Workspace{}, newProblem("overloaded", "no manifest was accepted yet", sr.OutcomeNotRun)
	}
	text, found := strings.CutPrefix(value(key), "Bearer ")
	if !found {
		return m, sr.Workspace{}, newProblem("unauthorized", "the header Authorization is missing, expected 'Bearer KEY'", sr.OutcomeNotRun)
	}
	name, ok := c.workspace(m, text)
	if !ok {
		return m, sr.Workspace{}, newProblem("unauthorized", "the key belongs to no workspace", sr.OutcomeNotRun)
	}
	return m, m.Workspaces[name], nil
}

// workspace finds the workspace of a key by the key's hash.
func (c *Caller) workspace(m sr.Manifest, key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil || c.version != m.Version {
		c.keys = indexKeys(m)
		c.version = m.Version
	}
	name, ok := c.keys[hex.EncodeToString(sum[:])]
	return name, ok
}

// ticket returns the caller's ticket, or a fresh one where the workspace
// answers for its own repeats.
func (c *Caller) ticket(ctx context.Context, w sr.Workspace, given *string, onArrival bool) (string, error) {
	if value(given) != "" {
		return value(given), nil
	}
	fresh, err := c.entry.Tickets(w.Name, 1)
	if err != nil {
		return "", problemOf(err)
	}
	if !onArrival {
		p := newProblem("ticket-required", "the header Ticket is missing; send the request again with the ticket of this answer", sr.OutcomeNotRun)
		p.Ticket = &fresh[0]
		return "", p
	}
	setTicketHeader(ctx, fresh[0])
	return fresh[0], nil
}

func indexKeys(m sr.Manifest) map[string]string {
	keys := make(map[string]string, len(m.Workspaces))
	for name, w := range m.Workspaces {
		for _, key := range w.Keys {
			keys[strings.ToLower(key)] = name
		}
	}
	return keys
}

func setTicketHeader(ctx context.Context, ticket string) {
	if w, ok := ctx.Value(writerKey{}).(http.ResponseWriter); ok {
		w.Header().Set("Ticket", ticket)
	}
}

func value(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
