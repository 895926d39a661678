package srconn

import (
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Once sends requests that must not be repeated.
type Once struct {
	transport *http.Transport
}

// NewOnce returns a Once that keeps no connections.
func NewOnce(o Options) *Once {
	t := NewTransport(o)
	t.DisableKeepAlives = true
	return &Once{transport: t}
}

// Send sends req at most once, and not when its first write would begin after
// startBy, unless that is zero. When it fails, ErrNotSent means that no byte was
// written and none will be, ErrConnectionLost that the peer may have received it.
func (o *Once) Send(req *http.Request, startBy time.Time) (*http.Response, error) {
	used := conns{startBy: startBy}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: used.add})
	resp, err := o.transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if used.seal() {
		return nil, errors.Wrapf(sr.ErrConnectionLost, "srconn: %v", err)
	}
	return nil, errors.Wrapf(sr.ErrNotSent, "srconn: %v", err)
}

// conns are the connections that net/http chose for one request.
type conns struct {
	startBy time.Time

	mu   sync.Mutex
	list []*Conn
	// foreign is set by a connection of another type, which may carry anything.
	foreign bool
}

func (c *conns) add(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := info.Conn.(*Conn)
	if !ok {
		c.foreign = true
		return
	}
	conn.StartBy(c.startBy)
	c.list = append(c.list, conn)
}

// seal seals the connections and reports whether a write has begun on any.
func (c *conns) seal() (began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	began = c.foreign
	for _, conn := range c.list {
		if conn.Seal() {
			began = true
		}
	}
	return began
}
