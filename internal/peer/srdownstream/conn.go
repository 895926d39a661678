package srdownstream

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
)

const (
	// timeoutResponse is the response to a client whose header takes too long, or whose
	// connection ends without a request. No handler runs at that point, so it is written
	// directly to the connection.
	timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refusalTimeout bounds the write of that response.
	refusalTimeout = 250 * time.Millisecond
)

const (
	// readBufferSize is the size of net/http's read buffer for a connection.
	readBufferSize = 4 << 10
	// minPeeked is how many bytes net/http waits for before it begins to read a request.
	minPeeked = 4
)

// listener accepts Conns.
type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.accept(nc) {
			return &Conn{Conn: nc, conns: l.conns, opened: time.Now()}, nil
		}
	}
}

// Conn is a client connection that records when the first byte of a header
// arrived, and why it was closed. It is ended by the goroutine that reads requests from it,
// and only if nothing has arrived.
type Conn struct {
	net.Conn
	conns  *Conns
	opened time.Time
	closed sync.Once

	mu sync.Mutex
	// ending is set while the connection is to end: the read deadline is in the past, so
	// that the reading goroutine notices. cause is why the connection has ended, "" while
	// nothing is known of its end.
	ending Cause
	cause  Cause
	// unanswered is set while a handler has a request.
	unanswered bool
	// serving is set from the end of a header to the end of its answer.
	serving bool
	// idleSince is when the last answer ended. headerSince is when the first byte of
	// the next header arrived. Both are zero when not applicable.
	idleSince   time.Time
	headerSince time.Time
	// idleLimit is the longest limit on idle time that was in force since the client was last
	// told one.
	idleLimit time.Duration
	// resetOnClose is set while the connection has to end with a reset.
	resetOnClose bool
	// nextSince is when the first byte of the next request arrived during the current one,
	// zero if none has.
	nextSince time.Time
	// tail are the last bytes that were read.
	tail [minPeeked - 1]byte
	// header is that of the next request until it is complete.
	header header
	// deadline is the read deadline that net/http has set. It does not apply while the
	// connection is to end.
	deadline time.Time
	// extended is set once a request that had arrived at the deadline was given more time.
	extended bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.recordBuffered(readBufferSize - len(p))
	for {
		if c.hasEnded() {
			// The parser of headers drops an error in the middle of a line.
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			if unheld := c.addHeader(p[:n]); unheld != nil {
				c.refuseUnheld(p, unheld)
				return 0, os.ErrDeadlineExceeded
			}
			c.recordBytes(p[:n], len(p))
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.goOn() {
			continue
		}
		c.recordEnd(err)
		return n, err
	}
}

// Write implements net.Conn. After this instance has ended the connection nothing is written to
// it: net/http would call malformed what has arrived of a request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.hasEnded() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// recordBuffered records that a request has begun of which net/http has n bytes in its buffer: it
// has read them together with the request before. A connection that was to end goes on.
func (c *Conn) recordBuffered(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n <= 0 || c.serving || c.idleSince.IsZero() || !c.headerSince.IsZero() {
		return
	}
	if n < minPeeked && isBlank(c.tail[len(c.tail)-n:]) {
		return
	}
	c.headerSince = time.Now()
	c.keepOpen()
}

// isBlank reports whether b has only ends of lines. net/http ignores them before a request.
func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// recordBytes records that bytes have arrived for a buffer of a size. A connection that was to
// end goes on.
func (c *Conn) recordBytes(b []byte, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := b[max(0, len(b)-len(c.tail)):]
	copy(c.tail[:], c.tail[len(last):])
	copy(c.tail[len(c.tail)-len(last):], last)
	switch {
	case isBlank(b):
	case c.serving && size == 1:
		// net/http looks for the end of the connection with a buffer of one byte, and reads
		// bodies with longer ones.
		c.nextSince = time.Now()
	case !c.serving && c.headerSince.IsZero():
		c.headerSince = time.Now()
	}
	c.keepOpen()
}

// SetReadDeadline implements net.Conn. net/http sets the deadline of the next request also
// while the connection is to end. On a kept connection it does so once the request has begun,
// which may have been read together with the request before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !t.IsZero() && !c.serving && !c.idleSince.IsZero() && c.headerSince.IsZero() {
		c.headerSince = time.Now()
		c.keepOpen()
	}
	if c.ending != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// keepOpen takes back that the connection is to end. The caller must hold mu.
func (c *Conn) keepOpen() {
	if c.ending == "" {
		return
	}
	c.ending = ""
	// A connection on which no deadline can be set has ended.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// goOn reports whether the connection goes on after a read has timed out: it was to end, or has
// reached net/http's deadline for a header, but something has arrived that was not read yet.
func (c *Conn) goOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.ending == "" && c.extended {
		return false
	}
	if unread, err := srconn.Unread(c.Conn, 1); err != nil || len(unread) == 0 {
		return false
	}
	if c.ending == "" {
		c.extended = true
		c.deadline = time.Now().Add(c.conns.opts.HeaderTimeout)
		return c.Conn.SetReadDeadline(c.deadline) == nil
	}
	c.keepOpen()
	return true
}

// recordEnd records why the connection ends after a read has failed, and tells a client whose
// header took too long.
func (c *Conn) recordEnd(err error) {
	c.mu.Lock()
	late, announce := false, false
	switch {
	case errors.Is(err, net.ErrClosed):
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.cause = cmp.Or(c.cause, ByClient)
	case !c.serving && !c.headerSince.IsZero():
		late = c.cause == ""
		c.cause = HeaderSlow
	case !c.serving:
		// Without an end that was asked for, the time for the first request has passed.
		announce = c.cause == ""
		c.cause = cmp.Or(c.ending, Idle)
	}
	after := sinceIfSet(c.headerSince)
	c.mu.Unlock()
	if late {
		c.conns.opts.HeaderSlow(c.RemoteAddr().String(), after)
	}
	if late || announce {
		// A request that meets the end of its connection on its way has not been handled, and
		// its client may send it again. The client may have disconnected.
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, timeoutResponse)
	}
}

const (
	// lingerTime is how long a connection with unread bytes stays half open after its last
	// answer. The client has received the answer and closed its side before.
	lingerTime = 500 * time.Millisecond
	// maxLingering is the number of connections with unread bytes that linger at a time; the
	// bytes take memory.
	maxLingering = 64
	// endLinger is how long a connection that ended without a request stays half open, for
	// requests that are on their way. It is longer than a packet travels to a client and back.
	endLinger = 100 * time.Millisecond
)

// Close implements net.Conn. It reports how the connection ended. Closing a connection with
// unread bytes, or one on which bytes arrive later, resets it, and the client may lose the last
// answer, so only the writing side is closed at first then.
func (c *Conn) Close() error {
	linger := time.Duration(0)
	c.closed.Do(func() {
		c.conns.uncharge()
		linger = c.lingerFor(c.reportClose())
	})
	if linger == 0 {
		return c.Conn.Close()
	}
	c.conns.addLingering(linger, 1)
	if err := c.CloseWrite(); err != nil {
		// The client has reset the connection.
		c.conns.addLingering(linger, -1)
		return c.Conn.Close()
	}
	time.AfterFunc(linger, func() {
		c.conns.addLingering(linger, -1)
		c.Conn.Close()
	})
	return nil
}

// lingerFor returns how long the connection stays half open, 0 if it does not, such as when it
// has to be reset.
func (c *Conn) lingerFor(unreadBytes int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.resetOnClose:
		return 0
	case c.cause == Idle, c.cause == Draining, c.cause == Full:
		return c.conns.endLinger
	case unreadBytes > 0 && c.conns.lingeringUnread.Load() < maxLingering:
		return lingerTime
	}
	return 0
}

// maxPeeked is how many bytes of a request that was not read are looked at for its id.
const maxPeeked = 4 << 10

// reportClose reports how the connection ended, and returns the number of unread bytes that it
// has looked at.
func (c *Conn) reportClose() (unreadBytes int) {
	// A socket that has been reset may fail; what can still be read of it does not matter.
	unread, _ := srconn.Unread(c.Conn, maxPeeked)
	c.mu.Lock()
	c.header.release()
	cause := cmp.Or(c.cause, Served)
	closed := Closed{
		Cause:      cause,
		Address:    c.RemoteAddr().String(),
		Unread:     unread,
		Partial:    !c.serving && !c.headerSince.IsZero() && cause != HeaderSlow && cause != HeaderUnheld,
		Unanswered: c.unanswered,
		Idle:       sinceIfSet(c.idleSince),
	}
	c.mu.Unlock()
	c.conns.opts.Closed(closed)
	return len(unread)
}

// sinceIfSet returns the time since t, 0 if t is not set.
func sinceIfSet(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t)
}

// CloseWrite closes the writing side, which net/http does before it closes a
// connection with unread data.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// end ends the connection for a cause: because its header takes too long, or otherwise if no
// request has begun. It does nothing unless the header has begun, or the connection has been
// idle, since a time, or is new if that is zero. The server's pending read times out, so that
// the goroutine that reads requests closes the connection, unless something has arrived.
func (c *Conn) end(cause Cause, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.ending != "" || c.headerSince.IsZero() == (cause == HeaderSlow) {
		return
	}
	if now := cmp.Or(c.headerSince, c.idleSince); !now.Equal(since) {
		return
	}
	c.ending = cause
	// A connection on which no deadline can be set has ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// hasEnded reports whether this instance has ended the connection.
func (c *Conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause != "" && c.cause != ByClient
}

func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving || !c.headerSince.IsZero()
}

// setAnswered records that a handler has got a request, or has answered it.
func (c *Conn) setAnswered(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = !answered
}

// setServing records that the header of a request has arrived.
func (c *Conn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince, c.headerSince, c.idleLimit = true, time.Time{}, time.Time{}, 0
	c.header.release()
	c.extended = false
	c.keepOpen()
}

// setIdle records that a request has ended, while a limit on idle time was in force.
func (c *Conn) setIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince, c.idleLimit = false, now, max(c.idleLimit, limit)
	// The first byte of the next request has been read already.
	c.headerSince, c.nextSince = c.nextSince, time.Time{}
}

// raiseIdleLimit applies a limit on idle time, unless it is lower than that in force when the
// client was told one or the connection became idle. It returns the limit of the connection.
func (c *Conn) raiseIdleLimit(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = max(c.idleLimit, limit)
	return c.idleLimit
}

// SetResetOnClose makes the connection end with a reset, or normally again. The kernel
// does the same when the process is killed.
func (c *Conn) SetResetOnClose(reset bool) error {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	c.resetOnClose = reset
	c.mu.Unlock()
	const resetAtOnce, defaultLinger = 0, -1
	if reset {
		return tc.SetLinger(resetAtOnce)
	}
	return tc.SetLinger(defaultLinger)
}

func (c *Conn) timestamps() (idle, header time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.headerSince
}
