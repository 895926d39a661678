// Package srconn provides the connections and transports of this system's HTTP
// clients. It determines whether a write of a request has begun, which net/http
// alone does not report.
//
// # Usage
//
//	opts := srconn.Options{Dial: dialer.DialContext, Timeouts: srconn.DefaultTimeouts()}
//	once := srconn.NewOnce(opts)
//	resp, err := once.Send(req, startBy)
//
// Once sends each request on a new connection and never retries it: net/http retries
// a request by itself only on a reused connection, and Once reuses none. When Send
// fails, it seals the connection, so that a write that is still pending cannot begin
// afterwards; errors.Is(err, sr.ErrNotSent) is then true exactly if no write had
// begun.
//
// NewTransport is for requests that are safe to repeat; it reuses connections.
// Neither of the two uses a proxy from the environment, follows redirects, requests
// compression or uses HTTP/2. Both check the heads of answers more strictly than net/http does, see
// Head.
package srconn

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

var (
	// errSealed is returned by a write after Seal.
	errSealed = errors.New("srconn: connection is sealed")
	// errStartByPassed is returned by a first write after the time set by SetStartBy.
	errStartByPassed = errors.New("the time to start has passed")
	// errUnasked means that bytes came before the request whose answer they would be.
	errUnasked = fmt.Errorf("%w: it came before the request", sr.ErrMalformed)
)

// Values of Conn.answer.
const (
	// answerBegun: bytes belong to an answer that has begun, or to none.
	answerBegun = iota
	// answerExpected: the request of the next answer was not written yet.
	answerExpected
	// answerDue: the next bytes begin the answer.
	answerDue
)

// Timeouts are the timeouts of each connection.
type Timeouts struct {
	// Dial is the timeout for opening a connection.
	Dial time.Duration
	// Write is the timeout of one write.
	Write time.Duration
	// Idle is the maximum time without data from the peer while reading.
	Idle time.Duration
}

// DefaultTimeouts returns timeouts for peers in the same region.
func DefaultTimeouts() Timeouts {
	return Timeouts{Dial: time.Second, Write: 5 * time.Second, Idle: time.Minute}
}

// Conn is a connection with timeouts that records whether a write has begun, and whose reads fail
// within a malformed head of an answer.
type Conn struct {
	net.Conn
	timeouts Timeouts

	// answer tells whether the next bytes to read begin an answer, which head checks. Only reads
	// use head.
	answer atomic.Int32
	head   Head
	// malformed is the error of head, for other goroutines than the one that reads.
	malformed atomic.Pointer[error]

	mu         sync.Mutex
	writeBegun bool
	sealed     bool
	// startBy is the latest time at which the first write may begin, or zero for no
	// limit.
	startBy time.Time
}

// New returns c with timeouts.
func New(c net.Conn, t Timeouts) *Conn { return &Conn{Conn: c, timeouts: t} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.head.Err(); err != nil {
		// The parser drops an error in the middle of a line.
		return 0, err
	}
	if err := c.SetReadDeadline(time.Now().Add(c.timeouts.Idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		switch c.answer.Swap(answerBegun) {
		case answerExpected:
			c.malformed.Store(&errUnasked)
			return 0, errUnasked
		case answerDue:
			c.head.Begin()
		}
	}
	if sound, malformed := c.head.Add(p[:n]); malformed != nil {
		c.malformed.Store(&malformed)
		return sound, malformed
	}
	return n, err
}

// expectAnswer expects the answer to the request that is written next. A peer may end a new
// connection with an answer before it has read a request, but not a reused one.
func (c *Conn) expectAnswer(reused bool) {
	if reused {
		c.answer.Store(answerExpected)
	} else {
		c.answer.Store(answerDue)
	}
}

// beginAnswer is called when the first byte of the expected answer is parsed, by the goroutine
// that reads. If no byte was read for it, it came with the answer before.
func (c *Conn) beginAnswer() {
	if c.answer.Load() != answerBegun {
		c.malformed.Store(&errUnasked)
	}
}

// malformedErr returns ErrMalformed if the last answer was malformed, nil otherwise.
func (c *Conn) malformedErr() error {
	if err := c.malformed.Load(); err != nil {
		return *err
	}
	return nil
}

// Write implements net.Conn. It fails on a sealed connection.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	c.answer.CompareAndSwap(answerExpected, answerDue)
	if err := c.SetWriteDeadline(time.Now().Add(c.timeouts.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetStartBy makes the first write fail if it would begin after t.
func (c *Conn) SetStartBy(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startBy = t
}

// Seal makes all writes fail that have not begun, and reports whether a write has begun.
func (c *Conn) Seal() (writeBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeBegun
}

// beginWrite records that a write begins, or returns why it must not.
func (c *Conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if !c.writeBegun && !c.startBy.IsZero() && time.Now().After(c.startBy) {
		c.sealed = true
		return errStartByPassed
	}
	c.writeBegun = true
	return nil
}
