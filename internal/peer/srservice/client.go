// Package srservice is the HTTP client of the plain services. docs/PROTOCOLS.md
// specifies the protocol.
//
// # Usage
//
//	c := srservice.New(srservice.Options{Conn: srconn.Options{Dial: dial}})
//	defer c.Close()
//	answer, err := c.Call(ctx, "10.0.0.9:8000", call)
//
// A call is sent on a new connection and never retried. A response with any status is
// the answer of the call, except a 503 that states that the call will not run. An answer
// without length and chunks may be incomplete and counts as a broken connection.
package srservice

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

var _ sr.Service = (*Client)(nil)

// Limits limit the size of a service's responses.
type Limits struct {
	// Answer is the maximum length of an answer, in bytes.
	Answer int64
	// Load is the maximum length of a load report, in bytes.
	Load int64
}

// DefaultLimits returns limits for answers that hold data records.
func DefaultLimits() Limits { return Limits{Answer: 1 << 20, Load: 64 << 10} }

// Options configure a Client.
type Options struct {
	Conn   srconn.Options
	Limits Limits
}

// Client sends calls to plain services. It is safe for concurrent use.
type Client struct {
	srconn.Client
	limits Limits
}

// New returns a Client. Limits that are not set have their defaults.
func New(o Options) *Client {
	return &Client{
		Client: srconn.NewClient(o.Conn),
		limits: o.Limits.withDefaults(),
	}
}

// Call implements sr.Service.
func (c *Client) Call(ctx context.Context, address string, call sr.Call) (sr.Answer, error) {
	req, err := newCall(address, call)
	if err != nil {
		return sr.Answer{}, errors.Wrapf(sr.ErrNotSent, "srservice: %v", err)
	}
	resp, err := c.Once.Send(req.WithContext(ctx), call.StartBy)
	if err != nil {
		return sr.Answer{}, errors.Wrapf(err, "srservice: call at %s", address)
	}
	defer resp.Body.Close()
	body, err := srconn.ReadBody(resp, c.limits.Answer)
	if err != nil {
		return sr.Answer{}, fmt.Errorf("srservice: answer of %s: %w: %w", address, err, sr.ErrConnectionLost)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && srconn.NotTaken(body) {
		return sr.Answer{}, errors.Wrapf(sr.ErrNotTaken, "srservice: %s", address)
	}
	if srconn.EndsWithConnection(resp) {
		return sr.Answer{}, errors.Wrapf(sr.ErrConnectionLost, "srservice: answer of %s has neither a length nor chunks", address)
	}
	return sr.Answer{Code: resp.StatusCode, Body: string(body)}, nil
}

// Probe implements sr.Service.
func (c *Client) Probe(ctx context.Context, address string) (sr.Load, error) {
	u, err := srconn.URL(address, "/v1/load")
	if err != nil {
		return sr.Load{}, errors.Wrap(err, "srservice")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return sr.Load{}, errors.Wrap(err, "srservice")
	}
	l, err := srconn.Load(c.Repeat, req, c.limits.Load)
	return l, errors.Wrap(err, "srservice: probe")
}

func (l Limits) withDefaults() Limits {
	def := DefaultLimits()
	if l.Answer <= 0 {
		l.Answer = def.Answer
	}
	if l.Load <= 0 {
		l.Load = def.Load
	}
	return l
}

func newCall(address string, call sr.Call) (*http.Request, error) {
	switch call.Operation {
	case "", ".", "..":
		return nil, errors.Wrapf(sr.ErrInvalid, "operation %q", call.Operation)
	}
	u, err := srconn.URL(address, "/v1/"+url.PathEscape(call.Operation))
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, u, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the body again.
	req.GetBody = nil
	req.Header.Set("Content-Type", srwire.Text)
	req.Header.Set(srwire.HeaderRequestID, call.ID)
	req.Header.Set(srwire.HeaderWorkspace, call.Workspace)
	return req, nil
}
