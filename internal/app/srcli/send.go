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

// sendTimeout bounds one request of the command line.
const sendTimeout = 10 * time.Minute

var (
	// errNotRun means that no endpoint has seen the request.
	errNotRun = errors.New("srcli: the request was not run")
	// errMayHaveRun means that the answer is not whole.
	errMayHaveRun = errors.New("the request may have run")
)

// caller says where and for whom a request is sent.
type caller struct {
	To  []string `required:"" help:"Caller addresses of the instances, IP:PORT." sep:","`
	Key string   `required:"" help:"Key of the workspace." env:"SASSAFRASRAIL_KEY"`
}

func (c caller) client() *srclient.Client {
	return srclient.New(c.To, c.Key, &http.Client{Transport: &http.Transport{Proxy: nil}})
}

type sendCommand struct {
	caller
	Model  string `required:"" help:"Model."`
	Tokens int    `help:"Most tokens to generate." default:"64"`
	Tier   string `help:"Tier, by default the workspace's own."`
	Prompt string `arg:"" help:"Prompt."`
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
	caller
	Service   string `required:"" help:"Service."`
	Operation string `required:"" help:"Operation of the service."`
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

// sendError tells refusals of what may have run from others.
func sendError(err error) error {
	var refusal *srclient.Refusal
	if errors.As(err, &refusal) && refusal.Outcome != sr.OutcomeNotRun {
		return errors.Wrap(errMayHaveRun, refusal.Error())
	}
	return err
}

// printResult prints an answer and returns an error unless it is whole.
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
