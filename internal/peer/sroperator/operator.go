// Package sroperator serves the HTTP interface for operators: the state dump, the
// metrics, explanations, and the liveness and readiness checks.
//
// # Usage
//
//	server := sroperator.NewServer(sroperator.New(instance), headerTimeout, idleTimeout)
//	go server.Serve(listener)
package sroperator

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/http/operator/server"
	"github.com/sassafrasrail/sassafrasrail/gen/operator"
)

// maxHeaderBytes is the maximum size of a request's header.
const maxHeaderBytes = 16 << 10

// dumpTimeout limits the time for collecting a dump.
const dumpTimeout = 5 * time.Second

// Instance is the instance that operators inspect.
type Instance interface {
	// Ready reports whether the instance accepts new requests, and if not, the reason.
	Ready() (bool, string)
	// State returns the state as a value that is encoded as JSON.
	State(ctx context.Context) any
	Metrics() map[string]map[string]any
	ExplainAnywhere(ctx context.Context, ticket string) (sr.Explanation, error)
}

// Operator implements the generated operator service.
type Operator struct {
	instance Instance
}

// New returns an Operator.
func New(i Instance) *Operator { return &Operator{instance: i} }

// NewServer returns an HTTP server for the operator interface. headerTimeout limits the
// time for reading a request's header, idleTimeout the time between two requests.
func NewServer(o *Operator, headerTimeout, idleTimeout time.Duration) *http.Server {
	mux := goahttp.NewMuxer()
	s := server.New(operator.NewEndpoints(o), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Mount(mux, s)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Dump returns the state of the process.
func (o *Operator) Dump(ctx context.Context) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	return o.instance.State(ctx), nil
}

// Metrics returns every metric by name.
func (o *Operator) Metrics(context.Context) (any, error) { return o.instance.Metrics(), nil }

// Explain returns the recorded decisions about the request of a ticket.
func (o *Operator) Explain(ctx context.Context, p *operator.ExplainPayload) (*operator.Explanation, error) {
	e, err := o.instance.ExplainAnywhere(ctx, p.Ticket)
	if err != nil {
		return nil, &operator.Problem{Name: "missing", Reason: missingReason(err), Outcome: string(sr.OutcomeUnknown)}
	}
	return newExplanation(e), nil
}

// Live always succeeds while the process runs.
func (o *Operator) Live(context.Context) (string, error) { return "live", nil }

// Ready succeeds when new requests may be sent to this instance.
func (o *Operator) Ready(context.Context) (string, error) {
	ok, cause := o.instance.Ready()
	if !ok {
		return "", &operator.Problem{Name: "not-ready", Reason: cause, Outcome: string(sr.OutcomeNotRun)}
	}
	return "ready", nil
}

// missingReason returns the reason of a refusal to explain a ticket.
func missingReason(err error) string {
	if errors.Is(err, sr.ErrNotIssuer) || errors.Is(err, sr.ErrUnreachable) {
		return "the instance that issued the ticket is gone, and its record with it: " + err.Error()
	}
	return err.Error()
}

func newExplanation(e sr.Explanation) *operator.Explanation {
	steps := make([]*operator.ExplanationStep, 0, len(e.Steps))
	for _, s := range e.Steps {
		steps = append(steps, &operator.ExplanationStep{
			At:     s.At.UTC().Format(time.RFC3339Nano),
			Step:   s.Step,
			Detail: s.Detail,
		})
	}
	return &operator.Explanation{Ticket: e.Ticket, Instance: e.Instance, Summary: e.Summary, Steps: steps}
}
