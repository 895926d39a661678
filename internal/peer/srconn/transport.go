package srconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 16 << 10
	// maxIdleConns and maxIdleConnsPerPeer limit the idle connections to all peers
	// together and to each peer.
	maxIdleConns        = 256
	maxIdleConnsPerPeer = 2
	idleConnTimeout     = 30 * time.Second
)

// Options configure the connections to peers.
type Options struct {
	Dial     DialFunc
	Timeouts Timeouts
}

// withDefaults returns o with defaults for the options that are not set.
func (o Options) withDefaults() Options {
	def := DefaultTimeouts()
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Timeouts.Dial <= 0 {
		o.Timeouts.Dial = def.Dial
	}
	if o.Timeouts.Write <= 0 {
		o.Timeouts.Write = def.Write
	}
	if o.Timeouts.Idle <= 0 {
		o.Timeouts.Idle = def.Idle
	}
	return o
}

// Transport sends requests and checks the heads of their answers.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport for requests that are safe to repeat.
func NewTransport(o Options) Transport {
	o = o.withDefaults()
	return Transport{&http.Transport{
		Proxy:                  nil,
		DialContext:            o.dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		IdleConnTimeout:        idleConnTimeout,
		ResponseHeaderTimeout:  o.Timeouts.Idle,
	}}
}

// RoundTrip implements http.RoundTripper. It returns ErrMalformed for a malformed head, and
// for one that came before the request.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// Precedes the first byte of the request.
			if c, ok := info.Conn.(*Conn); ok {
				c.expectAnswer(info.Reused)
				used.Store(c)
			}
		},
		GotFirstResponseByte: func() {
			if c := used.Load(); c != nil {
				c.beginAnswer()
			}
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if c := used.Load(); c != nil && c.malformedErr() != nil {
		// The parser replaces an error in the middle of a line.
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, c.malformedErr()
	}
	return resp, err
}

// dial opens a connection within the dial timeout.
func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeouts.Dial)
	defer cancel()
	c, err := o.Dial(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "srconn: dial")
	}
	return New(c, o.Timeouts), nil
}
