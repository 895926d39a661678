package srcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

const (
	// operatorTimeout bounds one request to the operator interface of an instance.
	operatorTimeout = 10 * time.Second
	// maxAnswerBytes is how much of an answer is read. A longer one is cut off.
	maxAnswerBytes = 64 << 20
)

type dumpCommand struct {
	Operate string `required:"" help:"Operator address of the instance, IP:PORT."`
}

// Run prints the state of an instance as JSON.
func (c dumpCommand) Run(o *output) error {
	body, err := operatorGet(c.Operate, "/v1/dump")
	if err != nil {
		return err
	}
	return printJSON(o.out, body)
}

type explainCommand struct {
	Operate string `required:"" help:"Operator address of any instance, IP:PORT."`
	JSON    bool   `help:"Print the answer as JSON." name:"json"`
	Ticket  string `arg:"" help:"Ticket of the request."`
}

// explanation is the answer of an instance to an explain request.
type explanation struct {
	Ticket   string `json:"ticket"`
	Instance string `json:"instance"`
	Summary  string `json:"summary"`
	Steps    []struct {
		At     string `json:"at"`
		Step   string `json:"step"`
		Detail string `json:"detail"`
	} `json:"steps"`
}

// Run prints the scheduling decisions for a ticket.
func (c explainCommand) Run(o *output) error {
	if _, err := srticket.Parse(c.Ticket); err != nil {
		return err
	}
	body, err := operatorGet(c.Operate, "/v1/explain/"+url.PathEscape(c.Ticket))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(o.out, body)
	}
	var e explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Wrap(err, "srcli: decode the answer of the instance")
	}
	return e.print(o.out)
}

func (e explanation) print(w io.Writer) error {
	fmt.Fprintf(w, "%s\nRecord kept by %s.\n", e.Summary, e.Instance)
	for _, s := range e.Steps {
		if _, err := fmt.Fprintf(w, "  %-30s %-12s %s\n", s.At, s.Step, s.Detail); err != nil {
			return err
		}
	}
	return nil
}

// operatorGet returns the answer of an instance's operator interface to a GET request.
func operatorGet(address, path string) ([]byte, error) {
	status, body, err := operatorAsk(address, path)
	if err == nil && status != http.StatusOK {
		err = answerError(status, body)
	}
	return body, err
}

// operatorAsk is operatorGet for callers that tell statuses apart.
func operatorAsk(address, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, nil, errors.Wrapf(sr.ErrInvalid, "srcli: operator address %q", address)
	}
	client := &http.Client{Transport: &http.Transport{Proxy: nil}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "srcli")
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.Wrap(err, "srcli: read the answer of the instance")
	}
	return res.StatusCode, body, nil
}

func answerError(status int, body []byte) error {
	var p struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &p) == nil && p.Reason != "" {
		return errors.Errorf("srcli: %s", p.Reason)
	}
	return errors.Errorf("srcli: the instance answered with status %d", status)
}

func printJSON(w io.Writer, body []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		return errors.Wrap(err, "srcli: decode the answer of the instance")
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
