// Package srconn holds the connections below the HTTP clients of this system.
// It knows for certain whether any byte of a request was written, which
// net/http alone does not tell.
//
// # Usage
//
//	opts := srconn.Options{Dial: dialer.DialContext, Timeouts: srconn.DefaultTimeouts()}
//	once := srconn.NewOnce(opts)
//	resp, err := once.Send(req)
//
// Once sends each request on a connection of its own and never again: net/http
// repeats a request by itself only on a connection that carried one before, and
// Once keeps none. When Send fails it seals the connection, so that a write
// that is still under way cannot start afterwards; then errors.Is(err,
// sr.ErrNotSent) holds exactly if no write had begun.
//
// NewTransport is for requests that are safe to repeat and keeps connections.
// Neither reads a proxy from the environment, follows redirects, asks for
// compression or speaks HTTP/2.
package srconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errSealed is what a write after Seal returns.
var (
	errSealed = errors.New("srconn: connection is sealed")
	errLate   = errors.New("the time to start has passed")
)

// Timeouts limit each connection.
type Timeouts struct {
	// Dial is the most time to connect.
	Dial time.Duration
	// Write is the most time for one write.
	Write time.Duration
	// Idle is the most time without a byte from the peer.
	Idle time.Duration
}

// DefaultTimeouts returns timeouts for peers in the same region.
func DefaultTimeouts() Timeouts {
	return Timeouts{Dial: time.Second, Write: 5 * time.Second, Idle: time.Minute}
}

// Conn is a connection with timeouts that knows whether it was written to.
type Conn struct {
	net.Conn
	timeouts Timeouts

	mu     sync.Mutex
	began  bool
	sealed bool
	// startBy is when the first write must have begun, zero for no limit.
	startBy time.Time
}

// New returns c with timeouts.
func New(c net.Conn, t Timeouts) *Conn { return &Conn{Conn: c, timeouts: t} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeouts.Idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It fails on a sealed connection.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.timeouts.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// StartBy refuses a first write after a time.
func (c *Conn) StartBy(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startBy = t
}

// Seal refuses all writes that have not begun and reports whether one has.
func (c *Conn) Seal() (began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.began
}

func (c *Conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if !c.began && !c.startBy.IsZero() && time.Now().After(c.startBy) {
		c.sealed = true
		return errLate
	}
	c.began = true
	return nil
}
