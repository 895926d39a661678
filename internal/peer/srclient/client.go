// Package srclient is the client of the caller interface. It fetches tickets in
// advance, retries a request under the same ticket, and resumes an interrupted answer
// at another instance.
//
// # Usage
//
//	c := srclient.New([]string{"10.0.0.1:7100", "10.0.0.2:7100"}, key, &http.Client{})
//	result, err := c.Generate(ctx, srclient.Prompt{Model: "m", Text: "...", Tokens: 64}, nil)
//
// Result.Outcome is "complete", "cut-short", "not-run" or "unknown". An error
// is returned only when the input is refused or no ticket can be fetched.
package srclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// ticketBatch is the number of tickets fetched at once.
	ticketBatch = 16
	// maxAttempts is the maximum number of attempts of a request and of each resume,
	// the maximum number of resumes of an answer, and the maximum number of tickets
	// tried for a request.
	maxAttempts = 8
	// retryDelay is the time between two attempts.
	retryDelay = 200 * time.Millisecond
	// maxAnswerBytes is the maximum size of an answer that is not a stream.
	maxAnswerBytes = 8 << 20
)

// Prompt is a model request.
type Prompt struct {
	Model  string `json:"model"`
	Text   string `json:"prompt"`
	Tokens int    `json:"tokens"`
	// Tier is the name of the tier; if empty, the workspace's own tier applies.
	Tier string `json:"tier,omitempty"`
	// Deadline is in milliseconds; if 0, the tier's time budget applies.
	Deadline int `json:"deadline,omitempty"`
}

// Call is a call of a plain service.
type Call struct {
	Service   string
	Operation string
	Body      string
	// Deadline is in milliseconds; if 0, the tier's time budget applies.
	Deadline int
}

// Result is the outcome and the answer of a request.
type Result struct {
	Ticket   string
	Outcome  sr.Outcome
	Reason   string
	Endpoint string
	// Text is the answer, or the part of it that was received.
	Text string
	// Tokens is the number of text events received, Resumes the number of resumes.
	Tokens  int
	Resumes int
	// Status and Body are the answer of a plain service.
	Status int
	Body   string
	// unused is set when the request certainly has not run under the ticket, so that it
	// may be sent under another one.
	unused bool
}

// Refusal is a response with a status other than 200.
type Refusal struct {
	Code    int
	Name    string     `json:"name"`
	Reason  string     `json:"reason"`
	Outcome sr.Outcome `json:"outcome"`
	Ticket  string     `json:"ticket"`
	Retry   int        `json:"retry"`
}

// Error implements error.
func (r *Refusal) Error() string { return r.Name + ": " + r.Reason }

// unused reports whether the submission was certainly not accepted.
func (r *Refusal) unused() bool {
	return r.Name == refusalIssuerGone || r.Name == refusalDraining && r.Outcome == sr.OutcomeNotRun
}

// Names of refusals after which the request may be sent under another ticket.
const (
	refusalIssuerGone = "issuer-gone"
	refusalDraining   = "draining"
)

// Client sends requests of one workspace. It is safe for concurrent use.
type Client struct {
	addresses []string
	key       string
	http      *http.Client

	mu        sync.Mutex
	nextIndex int
	tickets   []string
}

// New returns a Client that sends requests to the instances at addresses in turn.
func New(addresses []string, key string, h *http.Client) *Client {
	return &Client{addresses: addresses, key: key, http: h}
}

// Ticket returns a ticket, from those fetched in advance if there are any.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	if t, ok := c.popTicket(); ok {
		return t, nil
	}
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	err := c.retry(ctx, func(address string) error {
		return c.post(ctx, address, "/v1/tickets", "", map[string]int{"count": ticketBatch}, &answer)
	})
	if err != nil {
		return "", err
	}
	if len(answer.Tickets) == 0 {
		return "", errors.New("srclient: the answer contains no ticket")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = append(c.tickets, answer.Tickets[1:]...)
	return answer.Tickets[0], nil
}

// Call calls a plain service under a new ticket.
func (c *Client) Call(ctx context.Context, call Call) (Result, error) {
	return c.withNewTicket(ctx, func(ticket string) (Result, error) {
		return c.CallWith(ctx, ticket, call)
	})
}

// withNewTicket sends a request under a new ticket. While the ticket's issuer is gone or
// shutting down and the request cannot have run, it sends the request under another one.
func (c *Client) withNewTicket(ctx context.Context, send func(ticket string) (Result, error)) (Result, error) {
	var result Result
	for range maxAttempts {
		ticket, err := c.Ticket(ctx)
		if err != nil {
			return Result{}, err
		}
		result, err = send(ticket)
		if err != nil || !result.unused {
			return result, err
		}
	}
	return result, nil
}

// CallWith calls a plain service under the given ticket. A call without an answer is
// retried under the same ticket, which ensures that it does not run twice.
func (c *Client) CallWith(ctx context.Context, ticket string, call Call) (Result, error) {
	result := Result{Ticket: ticket}
	path := "/v1/services/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Operation)
	body := map[string]any{"body": call.Body, "deadline": call.Deadline}
	var answer callAnswer
	err := c.retry(ctx, func(address string) error {
		return c.post(ctx, address, path, ticket, body, &answer)
	})
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return result.withRefusal(refusal)
	}
	if err != nil {
		result.Outcome = sr.OutcomeUnknown
		result.Reason = err.Error()
		return result, nil
	}
	result.Outcome = answer.Outcome
	result.Reason = answer.Reason
	result.Endpoint = answer.Endpoint
	result.Status = answer.Status
	result.Body = answer.Body
	return result, nil
}

// callAnswer is the JSON body of the answer of a plain service.
type callAnswer struct {
	Outcome  sr.Outcome `json:"outcome"`
	Reason   string     `json:"reason"`
	Endpoint string     `json:"endpoint"`
	Status   int        `json:"status"`
	Body     string     `json:"body"`
}

// withRefusal returns r with the outcome of a refusal, and the refusal as an error if
// the input was refused: for a status below 500 other than 429.
func (r Result) withRefusal(refusal *Refusal) (Result, error) {
	r.Outcome = refusal.Outcome
	r.Reason = refusal.Error()
	r.unused = refusal.unused()
	if refusal.Code >= http.StatusInternalServerError || refusal.Code == http.StatusTooManyRequests {
		return r, nil
	}
	return r, refusal
}

// popTicket removes and returns a ticket fetched in advance, false if there is none.
func (c *Client) popTicket() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return "", false
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, true
}

// nextAddress returns the address of the next instance in turn.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextIndex++
	return c.addresses[c.nextIndex%len(c.addresses)]
}

// retry calls send with the address of one instance after the other until it gets an
// answer. Refusals with status 502, such as "unknown-outcome", are retried, since the
// issuer may only be temporarily unreachable. The refusal "issuer-gone" is final only
// if no earlier attempt can have reached the issuer.
func (c *Client) retry(ctx context.Context, send func(address string) error) error {
	var err error
	mayHaveArrived := false
	for range maxAttempts {
		err = send(c.nextAddress())
		var refusal *Refusal
		refused := errors.As(err, &refusal)
		switch {
		case err == nil:
			return nil
		case refused && refusal.Name == refusalIssuerGone && !mayHaveArrived:
			return err
		case refused && refusal.Code != http.StatusBadGateway:
			return err
		case refused && refusal.Name == refusalIssuerGone:
			refusal.Name = "unknown-outcome"
		default:
			mayHaveArrived = true
		}
		if srtimer.Wait(ctx, retryDelay) != nil {
			return errors.Wrap(ctx.Err(), "srclient")
		}
	}
	return err
}

// post sends a request and decodes its JSON answer into answer.
func (c *Client) post(ctx context.Context, address, path, ticket string, body, answer any) error {
	res, err := c.send(ctx, address, path, ticket, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "srclient: read answer")
	}
	return errors.Wrap(json.Unmarshal(data, answer), "srclient: answer")
}

// send sends a request and returns the response if its status is 200, and otherwise a
// Refusal as the error.
func (c *Client) send(ctx context.Context, address, path, ticket string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "srclient: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "srclient")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	if ticket != "" {
		req.Header.Set("Ticket", ticket)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "srclient")
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer res.Body.Close()
	return nil, readRefusal(res)
}

// readRefusal decodes a refusal. A body that is not JSON becomes the reason, limited to
// 200 bytes.
func readRefusal(res *http.Response) error {
	refusal := &Refusal{Code: res.StatusCode, Outcome: sr.OutcomeUnknown}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "srclient: read refusal")
	}
	if err := json.Unmarshal(data, refusal); err != nil {
		refusal.Reason = strings.TrimSpace(string(data[:min(len(data), 200)]))
	}
	return refusal
}
