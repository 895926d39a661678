package srupstream

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	peer   Peer
	reader *bufio.Reader
	// header reserves memory for the header that is being read, head checks it.
	header srmemory.Header
	head   srconn.Head
	// lastID is the ID of the last request that was written, "" for a connection that has
	// carried none.
	lastID string
	// reusableUntil is when an idle connection is too old to be used again.
	reusableUntil time.Time
	// unread is for how long the peer may leave bytes unread, 0 for what Dial has set.
	unread time.Duration
	// silence is that of the current request, nil for none. deadlineSet is set while reads
	// time out.
	silence     *Silence
	deadlineSet bool
	// tail is what was read last, endsAnswer set while an answer is read that ends with the
	// connection.
	tail       []byte
	endsAnswer bool
	// reset is the error with which the connection was reset, nil if that is not known. failed is
	// set once a read has returned an error.
	reset  error
	failed bool
}

func newConn(nc net.Conn, peer Peer) *conn {
	c := &conn{Conn: nc, peer: peer}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c
}

func (c *conn) close() { _ = c.Conn.Close() }

// allowUnread lets the peer leave bytes unread for d, from now on: a body may stay unread while
// the next request is sent.
func (c *conn) allowUnread(d time.Duration) {
	if d == 0 || c.unread == d {
		return
	}
	c.unread = d
	if raw, err := srconn.Socket(c.Conn); err == nil {
		// A socket that has failed shows that when it is used.
		_ = srconn.SetUnackedTimeout(raw, d)
	}
}

// openAndEmpty reports whether the connection is open and has no unread data. Data on
// an idle connection does not belong to the next request.
func (c *conn) openAndEmpty() bool { return c.reader.Buffered() == 0 && c.socketOpenAndEmpty() }

// socketOpenAndEmpty is openAndEmpty without regard to data that has been buffered.
func (c *conn) socketOpenAndEmpty() bool {
	data, err := srconn.Unread(c.Conn, 1)
	if errors.Is(err, srconn.ErrNoSocket) {
		return true
	}
	c.keepReset(err)
	return err == nil && len(data) == 0
}

// keepReset keeps the error of a reset for the next read, which would not return it any more.
func (c *conn) keepReset(err error) {
	if err != nil && err != io.EOF {
		c.reset = err
	}
}

// readHeader reads the header of the next response and skips interim (1xx) responses. It
// returns an error of srmemory for headers that cannot be held, and ErrMalformed for
// those that are malformed.
func (c *conn) readHeader(method string, held *srmemory.Reservation) (*http.Response, error) {
	c.header = srmemory.NewHeader(held, maxHeaderBytes)
	c.head.Begin()
	if _, err := c.head.Add(c.buffered()); err != nil {
		return nil, err
	}
	for {
		c.header.Next()
		if err := c.header.Add(c.buffered()); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err := c.headerErr(); err != nil {
			// The parser may have dropped it.
			return nil, err
		}
		if err != nil {
			return nil, c.cause(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// buffered returns the bytes that have arrived and were not parsed yet.
func (c *conn) buffered() []byte {
	b, _ := c.reader.Peek(c.reader.Buffered())
	return b
}

// addToHeader takes the bytes that were read next, and returns why they are no header that can be
// passed on, nil if they are or do not belong to one.
func (c *conn) addToHeader(b []byte) error {
	if err := c.header.Add(b); err != nil {
		return err
	}
	_, err := c.head.Add(b)
	return err
}

// headerErr returns the error of the current header, nil for none.
func (c *conn) headerErr() error { return cmp.Or(c.header.Err(), c.head.Err()) }

// cause returns why a parser failed: the error of the socket, which it may have replaced, or
// ErrMalformed if no read has failed.
func (c *conn) cause(err error) error {
	switch {
	case err == nil, err == io.EOF:
		return err
	case errors.Is(c.reset, syscall.ECONNRESET), errors.Is(c.reset, syscall.ETIMEDOUT):
		return fmt.Errorf("%w: %w", ErrReset, c.reset)
	case c.reset != nil:
		return c.reset
	case c.failed:
		return err
	}
	return fmt.Errorf("%w: %w", sr.ErrMalformed, err)
}

// idleTime returns how long a connection may stay idle after a response.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			// Half of the stated time, so that the endpoint does not close the connection
			// while a request is on its way.
			return min(time.Duration(n)*time.Second/2, maxIdleTime)
		}
	}
	return maxIdleTime
}
