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

// client calls the caller interface with the key of one workspace.
type client struct {
	transport srconn.Transport
	instances []string
	key       string
	batch     int

	mu      sync.Mutex
	tickets []unusedTicket
}

type unusedTicket struct {
	text    string
	expires time.Time
}

// refusalError is an answer with a status other than 200.
type refusalError struct {
	status int
	problem
}

// Error implements error.
func (r *refusalError) Error() string {
	return cmp.Or(r.Name, http.StatusText(r.status)) + ": " + r.Reason
}

// ticket returns an unused ticket. When none is stored it fetches a batch from the
// instance at index, and on failure from the next ones.
func (c *client) ticket(ctx context.Context, index, attempts int) (string, error) {
	if text, ok := c.popTicket(); ok {
		return text, nil
	}
	var err error
	for try := range attempts {
		var fresh []unusedTicket
		if fresh, err = c.fetchTickets(ctx, index+try); err == nil {
			c.storeTickets(fresh[1:])
			return fresh[0].text, nil
		}
	}
	return "", err
}

func (c *client) popTicket() (string, bool) {
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

// storeTickets stores tickets for later requests, up to maxBatches batches.
func (c *client) storeTickets(fresh []unusedTicket) {
	const maxBatches = 4
	c.mu.Lock()
	defer c.mu.Unlock()
	free := max(maxBatches*c.batch-len(c.tickets), 0)
	c.tickets = append(c.tickets, fresh[:min(len(fresh), free)]...)
}

func (c *client) fetchTickets(ctx context.Context, index int) ([]unusedTicket, error) {
	var body struct {
		Tickets  []string `json:"tickets"`
		Lifetime int      `json:"lifetime"`
	}
	// A stored ticket is used within half of its lifetime, so that its request has the
	// other half.
	const lifetimeDivisor = 2
	now := time.Now()
	resp, err := c.post(ctx, index, "/v1/tickets", "", map[string]int{"count": c.batch})
	if err != nil {
		return nil, err
	}
	defer srconn.CloseBody(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "srload: decode tickets")
	}
	if len(body.Tickets) == 0 {
		return nil, errors.New("srload: the answer contains no tickets")
	}
	expires := now.Add(time.Duration(body.Lifetime) * time.Second / lifetimeDivisor)
	var fresh []unusedTicket
	for _, text := range body.Tickets {
		fresh = append(fresh, unusedTicket{text: text, expires: expires})
	}
	return fresh, nil
}

func (c *client) generate(ctx context.Context, index int, ticket, model string, a Arrival, deadline time.Duration) (*http.Response, error) {
	return c.post(ctx, index, "/v1/generate", ticket, struct {
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Tokens   int    `json:"tokens"`
		Tier     string `json:"tier"`
		Deadline int64  `json:"deadline"`
	}{model, a.Body, a.Tokens, a.Mix.Tier, deadlineMilliseconds(deadline)})
}

func (c *client) resume(ctx context.Context, index int, ticket, receipt string, after int) (*http.Response, error) {
	return c.post(ctx, index, "/v1/requests/"+url.PathEscape(ticket)+"/events", "", struct {
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

func (c *client) call(ctx context.Context, index int, ticket, service, operation, body string, deadline time.Duration) (callResult, error) {
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	resp, err := c.post(ctx, index, path, ticket, struct {
		Body     string `json:"body"`
		Deadline int64  `json:"deadline"`
	}{body, deadlineMilliseconds(deadline)})
	if err != nil {
		return callResult{}, err
	}
	defer srconn.CloseBody(resp)
	var result callResult
	err = json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&result)
	return result, errors.Wrap(err, "srload: decode the answer of a call")
}

// post sends a request to the instance at index. A status other than 200 is returned
// as a *refusalError.
func (c *client) post(ctx context.Context, index int, path, ticket string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "srload: request")
	}
	address := c.instances[index%len(c.instances)]
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
	r := &refusalError{status: resp.StatusCode}
	// A refusal whose body cannot be decoded has no outcome and counts as unknown.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&r.problem)
	return nil, r
}

// deadlineMilliseconds returns d in milliseconds, but at least 1, because a deadline of
// 0 means none.
func deadlineMilliseconds(d time.Duration) int64 { return max(d.Milliseconds(), 1) }
