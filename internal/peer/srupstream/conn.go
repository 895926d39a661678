package srupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 4 << 10
	// maxHeader is the greatest size of an answer's header in bytes.
	maxHeader = 64 << 10
	// unlimited lets a body have any length.
	unlimited = 1 << 62
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	peer   Peer
	limit  *io.LimitedReader
	reader *bufio.Reader
	// until is when a kept connection is too old to be used.
	until time.Time
}

func newConn(nc net.Conn, peer Peer) *conn {
	limit := &io.LimitedReader{R: nc, N: unlimited}
	return &conn{Conn: nc, peer: peer, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize)}
}

func (c *conn) close() { _ = c.Conn.Close() }

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// readHeader reads the header of the next answer, interim answers left out.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.limit.N = maxHeader
	defer func() { c.limit.N = unlimited }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// keepFor returns how long a connection may be kept after an answer.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			// Half of the stated time leaves room for a request on its way.
			return min(time.Duration(n)*time.Second/2, keepIdle)
		}
	}
	return keepIdle
}
