// Package srendpoint is the HTTP client of the model engines. docs/PROTOCOLS.md
// specifies the protocol.
//
// # Usage
//
//	c := srendpoint.New(srendpoint.Options{Conn: srconn.Options{Dial: dial}})
//	defer c.Close()
//	s, err := c.Dispatch(ctx, "10.0.0.7:8000", d)
//	for {
//		t, err := s.Next(ctx)
//	}
//
// A dispatch is sent on a new connection and never retried, and so is a resumption. Once
// Dispatch or Resume has returned a stream, the end of its context has no effect on the
// stream; Close ends it.
package srendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

var _ sr.Engine = (*Client)(nil)

// Limits limit the size of an engine's responses and the tokens buffered per answer.
type Limits struct {
	// Line is the maximum length of a line of an answer, in bytes.
	Line int
	// Answer is the maximum length of an answer, in bytes.
	Answer int64
	// Load is the maximum length of a load report, in bytes.
	Load int64
	// Window is the maximum number of tokens buffered ahead of Next.
	Window int
}

// DefaultLimits returns limits that allow answers of some ten thousand tokens.
func DefaultLimits() Limits {
	return Limits{Line: 16 << 10, Answer: 16 << 20, Load: 1 << 20, Window: 32}
}

// Options configure a Client.
type Options struct {
	Conn   srconn.Options
	Limits Limits
}

// Client sends requests to model engines. It is safe for concurrent use.
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

// Dispatch implements sr.Engine.
func (c *Client) Dispatch(ctx context.Context, address string, d sr.Dispatch) (sr.Stream, error) {
	req, err := newDispatch(address, d)
	if err != nil {
		return nil, errors.Wrapf(sr.ErrNotSent, "srendpoint: %v", err)
	}
	resp, cancel, err := send(ctx, req, func(req *http.Request) (*http.Response, error) {
		return c.Once.Send(req, d.StartBy)
	})
	if err != nil {
		return nil, errors.Wrapf(err, "srendpoint: dispatch to %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, errors.Wrapf(dispatchError(resp), "srendpoint: %s answered status %d", address, resp.StatusCode)
	}
	return newStream(resp, cancel, c.limits, 0), nil
}

// Resume implements sr.Engine.
func (c *Client) Resume(ctx context.Context, address, stream string, after int) (sr.Stream, error) {
	path := fmt.Sprintf("%s?after=%d", streamPath(stream), after)
	req, err := newRequest(http.MethodGet, address, path)
	if err != nil {
		return nil, err
	}
	// A late copy of another stream's answer on a reused connection would not be noticed.
	resp, cancel, err := send(ctx, req, func(req *http.Request) (*http.Response, error) {
		return c.Once.Send(req, time.Time{})
	})
	if err != nil {
		return nil, fmt.Errorf("srendpoint: resume at %s: %w: %w", address, err, sr.ErrUnreachable)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, resumeError(resp, address)
	}
	return newStream(resp, cancel, c.limits, after), nil
}

// Cancel implements sr.Engine.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	req, err := newRequest(http.MethodDelete, address, streamPath(stream))
	if err != nil {
		return err
	}
	resp, err := c.Repeat.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("srendpoint: cancel at %s: %w: %w", address, err, sr.ErrUnreachable)
	}
	defer srconn.CloseBody(resp)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	return errors.Wrapf(sr.ErrUnreachable, "srendpoint: %s answered status %d", address, resp.StatusCode)
}

// Load implements sr.Engine.
func (c *Client) Load(ctx context.Context, address string, after uint64) (sr.Load, error) {
	req, err := newRequest(http.MethodGet, address, fmt.Sprintf("/v1/load?after=%d", after))
	if err != nil {
		return sr.Load{}, err
	}
	l, err := srconn.Load(c.Repeat, req.WithContext(ctx), c.limits.Load)
	return l, errors.Wrap(err, "srendpoint: load")
}

func (l Limits) withDefaults() Limits {
	def := DefaultLimits()
	if l.Line <= 0 {
		l.Line = def.Line
	}
	if l.Answer <= 0 {
		l.Answer = def.Answer
	}
	if l.Load <= 0 {
		l.Load = def.Load
	}
	if l.Window <= 0 {
		l.Window = def.Window
	}
	return l
}

func newDispatch(address string, d sr.Dispatch) (*http.Request, error) {
	body, err := json.Marshal(srwire.Dispatch{
		Stream:    d.Stream,
		Workspace: d.Workspace,
		Model:     d.Model,
		Prompt:    d.Prompt,
		Tokens:    d.Tokens,
	})
	if err != nil {
		return nil, err
	}
	u, err := srconn.URL(address, "/v1/generate")
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the body again.
	req.GetBody = nil
	req.Header.Set("Content-Type", srwire.JSON)
	return req, nil
}

func newRequest(method, address, path string) (*http.Request, error) {
	u, err := srconn.URL(address, path)
	if err != nil {
		return nil, errors.Wrap(err, "srendpoint")
	}
	req, err := http.NewRequest(method, u, nil)
	return req, errors.Wrap(err, "srendpoint")
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }

// send sends req with roundTrip. The end of ctx aborts the request only until the
// response header has arrived; after that, only the returned function does.
func send(ctx context.Context, req *http.Request, roundTrip func(*http.Request) (*http.Response, error)) (*http.Response, context.CancelFunc, error) {
	reqCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	resp, err := roundTrip(req.WithContext(reqCtx))
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return resp, cancel, nil
}

// dispatchError returns the error for a dispatch that was not answered with status 200:
// ErrNotTaken if the engine states that it did not accept the request, and otherwise
// ErrConnectionLost, since the request may run.
func dispatchError(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		return sr.ErrConnectionLost
	}
	body, err := srconn.ReadRefusal(resp)
	if err == nil && srconn.NotTaken(body) {
		return sr.ErrNotTaken
	}
	return sr.ErrConnectionLost
}

// resumeError returns the error for a resume that was not answered with status 200.
func resumeError(resp *http.Response, address string) error {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return errors.Wrapf(sr.ErrNoStream, "srendpoint: %s", address)
	}
	return errors.Wrapf(sr.ErrUnreachable, "srendpoint: %s answered status %d", address, resp.StatusCode)
}
