package srconn

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Once sends requests that must not be repeated, each on a new connection.
type Once struct {
	transport Transport
}

// NewOnce returns a Once, which opens a new connection for each request.
func NewOnce(o Options) *Once {
	t := NewTransport(o)
	t.DisableKeepAlives = true
	return &Once{transport: t}
}

// Send sends req at most once. Unless startBy is zero, it sends nothing if the first
// write would begin after startBy. If Send fails, ErrNotSent means that no byte was
// written and none will be, and ErrConnectionLost that the peer may have received the
// request.
func (o *Once) Send(req *http.Request, startBy time.Time) (*http.Response, error) {
	used := conns{startBy: startBy}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: used.add})
	resp, err := o.transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if used.seal() {
		return nil, fmt.Errorf("srconn: %w: %w", err, sr.ErrConnectionLost)
	}
	return nil, fmt.Errorf("srconn: %w: %w", err, sr.ErrNotSent)
}

// conns records the connections that net/http used for one request.
type conns struct {
	startBy time.Time

	mu   sync.Mutex
	list []*Conn
	// unknownType is set when a connection is not a *Conn, so that it is unknown whether
	// a write on it has begun.
	unknownType bool
}

// add is the GotConn hook of the request.
func (c *conns) add(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := info.Conn.(*Conn)
	if !ok {
		c.unknownType = true
		return
	}
	conn.SetStartBy(c.startBy)
	c.list = append(c.list, conn)
}

// seal seals the connections and reports whether a write may have begun on any of them.
func (c *conns) seal() (mayHaveBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayHaveBegun = c.unknownType
	for _, conn := range c.list {
		if conn.Seal() {
			mayHaveBegun = true
		}
	}
	return mayHaveBegun
}
