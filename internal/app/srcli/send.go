package srcli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srclient"
)

// sendTimeout bounds one request, including the wait for its answer.
const sendTimeout = 10 * time.Minute

var (
	// errNotRun means that no endpoint has received the request.
	errNotRun = errors.New("srcli: the request was not run")
	// errMayHaveRun means that the answer is not complete and the request may have run.
	errMayHaveRun = errors.New("the request may have run")
)

// senderFlags holds the flags that all commands which send a request have in common.
type senderFlags struct {
	To  []string `required:"" help:"Addresses on which the instances accept requests, IP:PORT." sep:","`
	Key string   `required:"" help:"Key of the workspace." env:"SASSAFRASRAIL_KEY"`
}

func (c senderFlags) client() *srclient.Client {
	return srclient.New(c.To, c.Key, &http.Client{Transport: &http.Transport{Proxy: nil}})
}

type sendCommand struct {
	senderFlags
	Model  string `required:"" help:"Name of the model."`
	Tokens int    `help:"Maximum number of tokens to generate." default:"64"`
	Tier   string `help:"Tier of the request. The default is the tier of the workspace."`
	Prompt string `arg:"" help:"Text of the prompt."`
}

// Run sends a model request and prints its answer.
func (c sendCommand) Run(o *output) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result, err := c.client().Generate(ctx, srclient.Prompt{
		Model:  c.Model,
		Text:   c.Prompt,
		Tokens: c.Tokens,
		Tier:   c.Tier,
	}, nil)
	if err != nil {
		return sendError(err)
	}
	return printResult(o, result, result.Text)
}

type callCommand struct {
	senderFlags
	Service   string `required:"" help:"Name of the service."`
	Operation string `required:"" help:"Name of the operation."`
	Body      string `arg:"" help:"Body of the call."`
}

// Run calls a plain service once and prints its answer.
func (c callCommand) Run(o *output) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result, err := c.client().Call(ctx, srclient.Call{Service: c.Service, Operation: c.Operation, Body: c.Body})
	if err != nil {
		return sendError(err)
	}
	return printResult(o, result, result.Body)
}

// sendError turns a refusal of a request that may have run into errMayHaveRun.
func sendError(err error) error {
	var refusal *srclient.Refusal
	if errors.As(err, &refusal) && refusal.Outcome != sr.OutcomeNotRun {
		return errors.Wrap(errMayHaveRun, refusal.Error())
	}
	return err
}

// printResult prints an answer and returns an error unless it is complete.
func printResult(o *output, r srclient.Result, text string) error {
	fmt.Fprintf(o.out, "ticket: %s\noutcome: %s\n", r.Ticket, r.Outcome)
	if r.Endpoint != "" {
		fmt.Fprintf(o.out, "endpoint: %s\n", r.Endpoint)
	}
	if r.Reason != "" {
		fmt.Fprintf(o.out, "reason: %s\n", r.Reason)
	}
	_, err := fmt.Fprintf(o.out, "answer: %s\n", text)
	if err != nil {
		return errors.Wrap(err, "srcli")
	}
	return outcomeError(r.Outcome)
}

func outcomeError(o sr.Outcome) error {
	switch o {
	case sr.OutcomeComplete:
		return nil
	case sr.OutcomeNotRun:
		return errNotRun
	}
	return errors.Wrapf(errMayHaveRun, "srcli: outcome %s", o)
}
