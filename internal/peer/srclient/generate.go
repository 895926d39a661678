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

// maxLineBytes is the maximum length of a line of an event stream.
const maxLineBytes = 1 << 20

// errIncomplete means that a stream ended before its end event or skipped an event.
var errIncomplete = errors.New("srclient: the answer ended before its end event")

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

// Generate sends a model request under a new ticket. onEvent, unless nil, is called for
// each event when it is received.
func (c *Client) Generate(ctx context.Context, p Prompt, onEvent func(sr.Event)) (Result, error) {
	return c.withNewTicket(ctx, func(ticket string) (Result, error) {
		return c.GenerateWith(ctx, ticket, p, onEvent)
	})
}

// GenerateWith sends a model request under the given ticket. See Generate.
func (c *Client) GenerateWith(ctx context.Context, ticket string, p Prompt, onEvent func(sr.Event)) (Result, error) {
	a := &answerReader{client: c, result: Result{Ticket: ticket}, onEvent: onEvent}
	err := c.retry(ctx, func(address string) error {
		return a.read(ctx, address, "/v1/generate", p)
	})
	for resumes := 0; errors.Is(err, errIncomplete) && resumes < maxAttempts; resumes++ {
		a.result.Resumes++
		err = c.retry(ctx, func(address string) error { return a.resume(ctx, address) })
	}
	return a.finish(err)
}

// answerReader receives the events of one answer, over one or more streams.
type answerReader struct {
	client  *Client
	result  Result
	onEvent func(sr.Event)
	receipt string
	// lastSeq is the sequence number of the last event received.
	lastSeq int
	text    strings.Builder
	ended   bool
}

// resume requests the events after the last one received.
func (a *answerReader) resume(ctx context.Context, address string) error {
	path := "/v1/requests/" + url.PathEscape(a.result.Ticket) + "/events"
	return a.read(ctx, address, path, map[string]any{"receipt": a.receipt, "after": a.lastSeq})
}

// read sends one request and handles the events of its answer. Once an event has been
// received, a generate request is replaced by a resume. It returns errIncomplete if the
// stream ends before the end event.
func (a *answerReader) read(ctx context.Context, address, path string, body any) error {
	if a.lastSeq > 0 && path == "/v1/generate" {
		return a.resume(ctx, address)
	}
	res, err := a.client.send(ctx, address, path, a.result.Ticket, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	err = a.readEvents(res.Body)
	if err == nil && !a.ended {
		return errIncomplete
	}
	return err
}

// readEvents reads server-sent events until the end of the stream.
func (a *answerReader) readEvents(r io.Reader) error {
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
			if err := a.handleEvent(event); err != nil {
				return err
			}
			event = sr.Event{}
		}
	}
	if scanner.Err() != nil {
		return errIncomplete
	}
	return nil
}

// handleEvent adds an event to the result. It ignores repeated events and returns
// errIncomplete if an event is missing before this one.
func (a *answerReader) handleEvent(e sr.Event) error {
	if e.Seq <= a.lastSeq {
		return nil
	}
	if e.Seq != a.lastSeq+1 {
		return errIncomplete
	}
	a.lastSeq = e.Seq
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
	if a.onEvent != nil {
		a.onEvent(e)
	}
	return nil
}

// finish returns the result after the last attempt, which ended with err.
func (a *answerReader) finish(err error) (Result, error) {
	a.result.Text = a.text.String()
	var refusal *Refusal
	switch {
	case err == nil:
		return a.result, nil
	case errors.As(err, &refusal) && a.lastSeq == 0:
		return a.result.withRefusal(refusal)
	case errors.As(err, &refusal) && refusal.Code == http.StatusBadGateway:
		a.result.Reason = refusal.Error()
	default:
		a.result.Reason = err.Error()
	}
	a.result.Outcome = sr.OutcomeUnknown
	return a.result, nil
}

// decodeData decodes the JSON payload of an event into event.
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
