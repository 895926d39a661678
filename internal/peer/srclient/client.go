// Package srclient is the caller's side of the caller interface: it fetches
// tickets ahead, sends a request again under the same ticket, and resumes a
// broken answer at another instance.
//
// # Usage
//
//	c := srclient.New([]string{"10.0.0.1:7100", "10.0.0.2:7100"}, key, &http.Client{})
//	result, err := c.Generate(ctx, srclient.Prompt{Model: "m", Text: "...", Tokens: 64}, nil)
//
// Result.Outcome is "complete", "cut-short", "not-run" or "unknown". An error
// is returned only when the input is refused or no instance answers.
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
	// batch is the number of tickets fetched at once.
	batch = 16
	// tries is how often a request or a resume is sent without progress.
	tries = 8
	// pause is the time between two tries.
	pause = 200 * time.Millisecond
	// maxAnswerBytes is the size of the largest answer that is not a stream.
	maxAnswerBytes = 8 << 20
)

// Prompt is a model request.
type Prompt struct {
	Model  string `json:"model"`
	Text   string `json:"prompt"`
	Tokens int    `json:"tokens"`
	// Tier is the workspace's own when empty.
	Tier string `json:"tier,omitempty"`
	// Deadline is in milliseconds, the tier's own when 0.
	Deadline int `json:"deadline,omitempty"`
}

// Call is a call of a plain service.
type Call struct {
	Service   string
	Operation string
	Body      string
	// Deadline is in milliseconds, the tier's own when 0.
	Deadline int
}

// Result is what became of a request.
type Result struct {
	Ticket   string
	Outcome  sr.Outcome
	Reason   string
	Endpoint string
	// Text is the answer, as far as it came.
	Text string
	// Tokens counts the pieces of the answer, Resumes the times it was resumed.
	Tokens  int
	Resumes int
	// Status and Body are the answer of a plain service.
	Status int
	Body   string
	// unused is set when the ticket was certainly not used.
	unused bool
}

// Refusal is an answer without a result.
type Refusal struct {
	Code    int
	Name    string     `json:"name"`
	Reason  string     `json:"reason"`
	Outcome sr.Outcome `json:"outcome"`
	Ticket  string     `json:"ticket"`
	Retry   int        `json:"retry"`
}

// Error returns the name and the reason.
func (r *Refusal) Error() string { return r.Name + ": " + r.Reason }

// unused reports whether the submission was certainly not passed on.
func (r *Refusal) unused() bool {
	return r.Name == refusalIssuerGone || r.Name == refusalDraining && r.Outcome == sr.OutcomeNotRun
}

// Names of refusals after which another ticket may be used.
const (
	refusalIssuerGone = "issuer-gone"
	refusalDraining   = "draining"
)

// Client sends requests of one workspace. It is safe for concurrent use.
type Client struct {
	addresses []string
	key       string
	http      *http.Client

	mu      sync.Mutex
	next    int
	tickets []string
}

// New returns a Client that uses the instances in turn.
func New(addresses []string, key string, h *http.Client) *Client {
	return &Client{addresses: addresses, key: key, http: h}
}

// Ticket returns a ticket, from those fetched ahead if there are any.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	if t, ok := c.takeTicket(); ok {
		return t, nil
	}
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	err := c.retry(ctx, func(address string) error {
		return c.post(ctx, address, "/v1/tickets", "", map[string]int{"count": batch}, &answer)
	})
	if err != nil {
		return "", err
	}
	if len(answer.Tickets) == 0 {
		return "", errors.New("srclient: the answer holds no ticket")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = append(c.tickets, answer.Tickets[1:]...)
	return answer.Tickets[0], nil
}

// Call calls a plain service under a fresh ticket.
func (c *Client) Call(ctx context.Context, call Call) (Result, error) {
	return c.withFreshTicket(ctx, func(ticket string) (Result, error) {
		return c.CallWith(ctx, ticket, call)
	})
}

// withFreshTicket sends a request under one ticket after the other as long as
// their issuers are gone or shutting down and nothing of it can have run.
func (c *Client) withFreshTicket(ctx context.Context, send func(ticket string) (Result, error)) (Result, error) {
	var result Result
	for range tries {
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

// CallWith calls a plain service. A call that got no answer is sent again
// under the same ticket, which never runs it twice.
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
		return result.refused(refusal)
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

type callAnswer struct {
	Outcome  sr.Outcome `json:"outcome"`
	Reason   string     `json:"reason"`
	Endpoint string     `json:"endpoint"`
	Status   int        `json:"status"`
	Body     string     `json:"body"`
}

// refused turns a refusal into a result, and into an error when the input is
// at fault.
func (r Result) refused(refusal *Refusal) (Result, error) {
	r.Outcome = refusal.Outcome
	r.Reason = refusal.Error()
	r.unused = refusal.unused()
	if refusal.Code >= http.StatusInternalServerError || refusal.Code == http.StatusTooManyRequests {
		return r, nil
	}
	return r, refusal
}

func (c *Client) takeTicket() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return "", false
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, true
}

// address returns the next instance in turn.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// retry calls f for one instance after the other until it gets an answer. An
// answer that the outcome is unknown is asked for again, since the issuer may
// only be out of reach. The refusal "issuer-gone" counts only when no other
// try can have reached the issuer.
func (c *Client) retry(ctx context.Context, f func(address string) error) error {
	var err error
	mayHaveArrived := false
	for range tries {
		err = f(c.address())
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
		if srtimer.Wait(ctx, pause) != nil {
			return errors.Wrap(ctx.Err(), "srclient")
		}
	}
	return err
}

func (c *Client) post(ctx context.Context, address, path, ticket string, body, answer any) error {
	res, err := c.open(ctx, address, path, ticket, body)
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

// open sends a request and returns its answer, or a Refusal for a status
// other than 200.
func (c *Client) open(ctx context.Context, address, path, ticket string, body any) (*http.Response, error) {
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
