package srload

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
)

// client speaks the caller interface with one key.
type client struct {
	transport *http.Transport
	instances []string
	key       string
	batch     int

	mu      sync.Mutex
	tickets []ticket
}

type ticket struct {
	text    string
	expires time.Time
}

// refused is an answer with a status other than 200.
type refused struct {
	status int
	problem
}

// Error implements error.
func (r *refused) Error() string {
	return cmp.Or(r.Name, http.StatusText(r.status)) + ": " + r.Reason
}

// ticket returns an unused ticket. When none is left it fetches some, from the
// instance with index from or the next ones.
func (c *client) ticket(ctx context.Context, from, attempts int) (string, error) {
	if text, ok := c.take(); ok {
		return text, nil
	}
	var err error
	for try := range attempts {
		var fresh []ticket
		if fresh, err = c.fetch(ctx, from+try); err == nil {
			c.keep(fresh[1:])
			return fresh[0].text, nil
		}
	}
	return "", err
}

func (c *client) take() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.tickets) > 0 {
		t := c.tickets[0]
		c.tickets = c.tickets[1:]
		if time.Now().Before(t.expires) {
			return t.text, true
		}
	}
	return "", false
}

// keep keeps tickets for later, up to a few batches.
func (c *client) keep(fresh []ticket) {
	const batches = 4
	c.mu.Lock()
	defer c.mu.Unlock()
	room := max(batches*c.batch-len(c.tickets), 0)
	c.tickets = append(c.tickets, fresh[:min(len(fresh), room)]...)
}

func (c *client) fetch(ctx context.Context, from int) ([]ticket, error) {
	var body struct {
		Tickets  []string `json:"tickets"`
		Lifetime int      `json:"lifetime"`
	}
	// A kept ticket is used within half its lifetime, and the rest is left to its request.
	const parts = 2
	now := time.Now()
	resp, err := c.post(ctx, from, "/v1/tickets", "", map[string]int{"count": c.batch})
	if err != nil {
		return nil, err
	}
	defer srconn.CloseBody(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "srload: tickets")
	}
	if len(body.Tickets) == 0 {
		return nil, errors.New("srload: no tickets in the answer")
	}
	expires := now.Add(time.Duration(body.Lifetime) * time.Second / parts)
	var fresh []ticket
	for _, text := range body.Tickets {
		fresh = append(fresh, ticket{text: text, expires: expires})
	}
	return fresh, nil
}

func (c *client) generate(ctx context.Context, at int, ticket, model string, a Arrival, deadline time.Duration) (*http.Response, error) {
	return c.post(ctx, at, "/v1/generate", ticket, struct {
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Tokens   int    `json:"tokens"`
		Tier     string `json:"tier"`
		Deadline int64  `json:"deadline"`
	}{model, a.Body, a.Tokens, a.Mix.Tier, milliseconds(deadline)})
}

func (c *client) resume(ctx context.Context, at int, ticket, receipt string, after int) (*http.Response, error) {
	return c.post(ctx, at, "/v1/requests/"+url.PathEscape(ticket)+"/events", "", struct {
		Receipt string `json:"receipt,omitempty"`
		After   int    `json:"after"`
	}{receipt, after})
}

// callResult is the answer to a call of a plain service.
type callResult struct {
	Outcome sr.Outcome `json:"outcome"`
	Reason  string     `json:"reason"`
	Status  int        `json:"status"`
	Body    string     `json:"body"`
}

func (c *client) call(ctx context.Context, at int, ticket, service, operation, body string, deadline time.Duration) (callResult, error) {
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	resp, err := c.post(ctx, at, path, ticket, struct {
		Body     string `json:"body"`
		Deadline int64  `json:"deadline"`
	}{body, milliseconds(deadline)})
	if err != nil {
		return callResult{}, err
	}
	defer srconn.CloseBody(resp)
	var result callResult
	err = json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&result)
	return result, errors.Wrap(err, "srload: call")
}

// post sends a request to the instance with index at. A status other than 200
// is an error of type refused.
func (c *client) post(ctx context.Context, at int, path, ticket string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "srload: request")
	}
	address := c.instances[at%len(c.instances)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "srload: request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	if ticket != "" {
		req.Header.Set("Ticket", ticket)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrap(err, "srload: request")
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer srconn.CloseBody(resp)
	r := &refused{status: resp.StatusCode}
	// A refusal without a readable body has no outcome, which counts as unknown.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&r.problem)
	return nil, r
}

// milliseconds returns d for a deadline, where 0 would mean none.
func milliseconds(d time.Duration) int64 { return max(d.Milliseconds(), 1) }
