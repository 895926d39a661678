// Package srcaller serves the HTTP interface for callers: it checks the API key and
// the input of each call, submits it to the issuer and converts outcomes into HTTP
// responses.
//
// # Usage
//
//	handler := srcaller.New(entry, manifest, srcaller.Options{Body: 1 << 20})
//	server := srcaller.NewServer(handler)
//	go server.Serve(listener)
//
// A refusal carries a stable name, a reason, the outcome ("not-run" only when the
// request has not run and never will) and optionally the time after which to retry.
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
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

// Entry issues tickets, accepts submissions and follows their answers. A request may
// belong to a ticket of another instance; calls for it are relayed to that instance.
type Entry interface {
	// Tickets issues n tickets for a workspace.
	Tickets(workspace string, n int) ([]string, error)
	// Lifetime returns how long a ticket is valid.
	Lifetime() time.Duration
	SubmitAnywhere(ctx context.Context, s sr.Submission) (sr.Status, error)
	// Follow returns a Follower of the events after sequence number after. With a
	// receipt, it can resume the answer from its endpoint if the issuer is gone.
	Follow(ticket, workspace, receipt string, after int) sr.Follower
	Status(ctx context.Context, ticket, workspace string) (sr.Status, error)
}

// Options limit the size and the duration of callers' requests.
type Options struct {
	// Body is the size of the largest request body in bytes.
	Body int64
	// ReadBody is the timeout for reading a request's body, Write that of one write of the
	// response.
	ReadBody time.Duration
	Write    time.Duration
}

// Caller implements the generated caller service.
type Caller struct {
	entry    Entry
	manifest func() (sr.Manifest, bool)
	opts     Options
	// bodies is the memory for bodies that are read.
	bodies *srmemory.Budget

	mu sync.Mutex
	// keys maps the hashes of API keys to workspaces, as of the manifest with this version.
	version sr.Version
	keys    map[string]string
}

// New returns a Caller. manifest returns the manifest in force, or false while none
// has been accepted.
func New(entry Entry, manifest func() (sr.Manifest, bool), opts Options) *Caller {
	return &Caller{entry: entry, manifest: manifest, opts: opts, bodies: srmemory.New(bodiesAtOnce * opts.Body)}
}

// Tickets issues tickets.
func (c *Caller) Tickets(_ context.Context, p *requests.TicketsPayload) (*requests.TicketsResult, error) {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, err
	}
	tickets, err := c.entry.Tickets(w.Name, p.Count)
	if err != nil {
		return nil, newProblemFromError(err)
	}
	return &requests.TicketsResult{
		Tickets:  tickets,
		Lifetime: int(c.entry.Lifetime() / time.Second),
	}, nil
}

// Generate submits a model request and streams the events of its answer.
func (c *Caller) Generate(ctx context.Context, p *requests.GeneratePayload, stream requests.GenerateServerStream) error {
	m, w, err := c.authorize(p.Key)
	if err != nil {
		return withUnknownOutcome(err, p.Ticket)
	}
	req, err := modelRequest(w, p)
	if err != nil {
		return err
	}
	ticket, err := c.ticketOrNew(ctx, w, p.Ticket, w.Ticketed)
	if err != nil {
		return err
	}
	req, refusal := applyManifest(m, w, req, valueOrEmpty(p.Tier), p.Deadline)
	if _, err := c.entry.SubmitAnywhere(ctx, sr.Submission{Ticket: ticket, Request: req, Refusal: refusal}); err != nil {
		return withUnknownOutcome(newProblemFromError(err), p.Ticket)
	}
	f := c.entry.Follow(ticket, w.Name, "", 0)
	defer f.Close()
	return deliver(ctx, f, stream.SendWithContext)
}

// Call submits a call of a plain service and returns its answer. Unlike Generate, it
// never issues a ticket on arrival.
func (c *Caller) Call(ctx context.Context, p *requests.CallPayload) (*requests.CallResult, error) {
	m, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, withUnknownOutcome(err, p.Ticket)
	}
	req, err := callRequest(w, p)
	if err != nil {
		return nil, err
	}
	ticket, err := c.ticketOrNew(ctx, w, p.Ticket, false)
	if err != nil {
		return nil, err
	}
	req, refusal := applyManifest(m, w, req, "", p.Deadline)
	if _, err := c.entry.SubmitAnywhere(ctx, sr.Submission{Ticket: ticket, Request: req, Refusal: refusal}); err != nil {
		return nil, withUnknownOutcome(newProblemFromError(err), p.Ticket)
	}
	f := c.entry.Follow(ticket, w.Name, "", 0)
	defer f.Close()
	return waitForAnswer(ctx, f, ticket)
}

// Status returns the state and the outcome of a request.
func (c *Caller) Status(ctx context.Context, p *requests.StatusPayload) (*requests.StatusResult, error) {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return nil, withUnknownOutcome(err, &p.Ticket)
	}
	s, err := c.entry.Status(ctx, p.Ticket, w.Name)
	if err != nil {
		return nil, withUnknownOutcome(newProblemFromError(err), &p.Ticket)
	}
	return &requests.StatusResult{
		Ticket:   p.Ticket,
		State:    string(s.State),
		Outcome:  string(s.Outcome),
		Reason:   nilIfEmpty(s.Reason),
		Endpoint: nilIfEmpty(s.Endpoint),
		Receipt:  nilIfEmpty(s.Receipt),
		Events:   &s.Events,
		Status:   &s.Code,
		Body:     nilIfEmpty(s.Body),
	}, nil
}

// Resume streams the events of an answer that follow the last one received.
func (c *Caller) Resume(ctx context.Context, p *requests.ResumePayload, stream requests.ResumeServerStream) error {
	_, w, err := c.authorize(p.Key)
	if err != nil {
		return withUnknownOutcome(err, &p.Ticket)
	}
	if p.After < 0 {
		return newProblem("invalid", "after is negative, expected the last sequence number received", sr.OutcomeUnknown)
	}
	f := c.entry.Follow(p.Ticket, w.Name, valueOrEmpty(p.Receipt), p.After)
	defer f.Close()
	return withUnknownOutcome(deliver(ctx, f, stream.SendWithContext), &p.Ticket)
}

// authorize returns the manifest in force and the workspace of an API key.
func (c *Caller) authorize(key *string) (sr.Manifest, sr.Workspace, error) {
	m, ok := c.manifest()
	if !ok {
		return m, sr.Workspace{}, newProblem("overloaded", "no manifest was accepted yet", sr.OutcomeNotRun)
	}
	text, found := strings.CutPrefix(valueOrEmpty(key), "Bearer ")
	if !found {
		return m, sr.Workspace{}, newProblem("unauthorized", "the header Authorization is missing, expected 'Bearer KEY'", sr.OutcomeNotRun)
	}
	name, ok := c.workspaceOfKey(m, text)
	if !ok {
		return m, sr.Workspace{}, newProblem("unauthorized", "the key belongs to no workspace", sr.OutcomeNotRun)
	}
	return m, m.Workspaces[name], nil
}

// workspaceOfKey finds the workspace of an API key by the key's hash, in an index
// that is rebuilt for each manifest version.
func (c *Caller) workspaceOfKey(m sr.Manifest, key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil || c.version != m.Version {
		c.keys = indexKeys(m)
		c.version = m.Version
	}
	name, ok := c.keys[hex.EncodeToString(digest[:])]
	return name, ok
}

// ticketOrNew returns the caller's ticket, if the request has one. Without it, a new
// ticket is used if issueOnArrival is set, and otherwise returned in a refusal for the
// caller to send the request again. With issueOnArrival, a request that is repeated
// without a ticket gets another one and may run more than once; avoiding that is up to
// the caller.
func (c *Caller) ticketOrNew(ctx context.Context, w sr.Workspace, given *string, issueOnArrival bool) (string, error) {
	if valueOrEmpty(given) != "" {
		return valueOrEmpty(given), nil
	}
	fresh, err := c.entry.Tickets(w.Name, 1)
	if err != nil {
		return "", newProblemFromError(err)
	}
	if !issueOnArrival {
		p := newProblem("ticket-required", "the header Ticket is missing; send the request again with the ticket of this answer", sr.OutcomeNotRun)
		p.Ticket = &fresh[0]
		return "", p
	}
	setTicketHeader(ctx, fresh[0])
	return fresh[0], nil
}

// indexKeys maps the hash of each API key, in lower case, to its workspace.
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

func valueOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
