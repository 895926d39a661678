package srclient

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxLineBytes is the longest line of an event stream.
const maxLineBytes = 1 << 20

// errNoEnd means that a stream broke before its last event.
var errNoEnd = errors.New("srclient: the answer broke before its end")

// eventData is the JSON payload of an event.
type eventData struct {
	Ticket   string     `json:"ticket"`
	Receipt  string     `json:"receipt"`
	Endpoint string     `json:"endpoint"`
	Text     string     `json:"text"`
	Outcome  sr.Outcome `json:"outcome"`
	Reason   string     `json:"reason"`
	Tokens   int        `json:"tokens"`
}

// Generate sends a model request under a fresh ticket. The function on, when
// not nil, is called for each event as it comes.
func (c *Client) Generate(ctx context.Context, p Prompt, on func(sr.Event)) (Result, error) {
	return c.withFreshTicket(ctx, func(ticket string) (Result, error) {
		return c.GenerateWith(ctx, ticket, p, on)
	})
}

// GenerateWith sends a model request under a given ticket.
func (c *Client) GenerateWith(ctx context.Context, ticket string, p Prompt, on func(sr.Event)) (Result, error) {
	a := &reception{client: c, result: Result{Ticket: ticket}, on: on}
	err := c.retry(ctx, func(address string) error {
		return a.read(ctx, address, "/v1/generate", p)
	})
	for resumes := 0; errors.Is(err, errNoEnd) && resumes < tries; resumes++ {
		a.result.Resumes++
		err = c.retry(ctx, func(address string) error { return a.resume(ctx, address) })
	}
	return a.finish(err)
}

// reception is an answer as it comes in.
type reception struct {
	client  *Client
	result  Result
	on      func(sr.Event)
	receipt string
	last    int
	text    strings.Builder
	ended   bool
}

func (a *reception) resume(ctx context.Context, address string) error {
	path := "/v1/requests/" + url.PathEscape(a.result.Ticket) + "/events"
	return a.read(ctx, address, path, map[string]any{"receipt": a.receipt, "after": a.last})
}

// read sends one request and takes the events of its answer. A stream that
// breaks after an event returns errNoEnd at the next try.
func (a *reception) read(ctx context.Context, address, path string, body any) error {
	if a.last > 0 && path == "/v1/generate" {
		return a.resume(ctx, address)
	}
	res, err := a.client.open(ctx, address, path, a.result.Ticket, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	err = a.takeEvents(res.Body)
	if err == nil && !a.ended {
		return errNoEnd
	}
	return err
}

// takeEvents reads server-sent events until the end of the stream.
func (a *reception) takeEvents(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var event sr.Event
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "id":
			event.Seq, _ = strconv.Atoi(value)
		case "event":
			event.Type = sr.EventType(value)
		case "data":
			if err := decodeData(value, &event); err != nil {
				return err
			}
		case "":
			if err := a.take(event); err != nil {
				return err
			}
			event = sr.Event{}
		}
	}
	if scanner.Err() != nil {
		return errNoEnd
	}
	return nil
}

// take accepts the next event; a repeated one is dropped.
func (a *reception) take(e sr.Event) error {
	if e.Seq <= a.last {
		return nil
	}
	if e.Seq != a.last+1 {
		return errNoEnd
	}
	a.last = e.Seq
	switch e.Type {
	case sr.EventReceipt:
		a.receipt = e.Receipt
		a.result.Endpoint = e.Endpoint
	case sr.EventText:
		a.result.Tokens++
		a.text.WriteString(e.Text)
	case sr.EventEnd:
		a.ended = true
		a.result.Outcome = e.Outcome
		a.result.Reason = e.Reason
	}
	if a.on != nil {
		a.on(e)
	}
	return nil
}

func (a *reception) finish(err error) (Result, error) {
	a.result.Text = a.text.String()
	var refusal *Refusal
	switch {
	case err == nil:
		return a.result, nil
	case errors.As(err, &refusal) && a.last == 0:
		return a.result.refused(refusal)
	case errors.As(err, &refusal) && refusal.Code == http.StatusBadGateway:
		a.result.Reason = refusal.Error()
	default:
		a.result.Reason = err.Error()
	}
	a.result.Outcome = sr.OutcomeUnknown
	return a.result, nil
}

func decodeData(value string, event *sr.Event) error {
	var data eventData
	if err := json.Unmarshal([]byte(value), &data); err != nil {
		return errors.Wrap(err, "srclient: event")
	}
	event.Ticket = data.Ticket
	event.Receipt = data.Receipt
	event.Endpoint = data.Endpoint
	event.Text = data.Text
	event.Outcome = data.Outcome
	event.Reason = data.Reason
	event.Tokens = data.Tokens
	return nil
}
