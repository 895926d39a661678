package srupstream

import (
	"bytes"
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// suspensionSlack is how late a read may time out before the process counts as having been
// suspended. Timers of a loaded process are late by some tens of milliseconds.
const suspensionSlack = 150 * time.Millisecond

// Silence says what happens when a peer sends nothing for some time while its answer is
// read. Only time in which this process could have read something counts.
type Silence struct {
	// After is the time without a byte after which Handle is called. 0 turns it off. It
	// may be changed between two reads.
	After time.Duration
	// Handle is called by the reading goroutine, again after each further After of the
	// same silence. ctx ends once the peer has gone on. An error ends the read.
	Handle func(ctx context.Context, silent time.Duration) error
}

// Read implements io.Reader for the answers of the peer.
func (c *conn) Read(b []byte) (int, error) {
	start := time.Now()
	for {
		armed := time.Now()
		if err := c.setSilenceDeadline(armed); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !c.deadlineSet || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := time.Now()
		if suspended(armed, now, c.silence.After) {
			start = now
			continue
		}
		if err := c.handleSilence(now.Sub(start)); err != nil {
			return 0, err
		}
	}
}

// suspended reports whether the process was suspended during a read that was to time out
// after some time. What the peer sent meanwhile may not have been read.
func suspended(armed, now time.Time, after time.Duration) bool {
	return now.Sub(armed) > after+suspensionSlack
}

// setSilenceDeadline sets the time out of the next read, or clears an earlier one.
func (c *conn) setSilenceDeadline(now time.Time) error {
	if c.silence != nil && c.silence.After > 0 {
		c.deadlineSet = true
		return c.SetReadDeadline(now.Add(c.silence.After))
	}
	return c.clearSilenceDeadline()
}

func (c *conn) clearSilenceDeadline() error {
	if !c.deadlineSet {
		return nil
	}
	c.deadlineSet = false
	return c.SetReadDeadline(time.Time{})
}

// handleSilence calls the handler, unless there is something to read.
func (c *conn) handleSilence(silent time.Duration) error {
	if err := c.clearSilenceDeadline(); err != nil {
		return err
	}
	if !c.socketOpenAndEmpty() {
		return nil
	}
	ctx, stop := c.untilGoingOn()
	defer stop()
	return c.silence.Handle(ctx, silent)
}

// untilGoingOn returns a context that ends when the peer has sent an empty line, as at the
// end of a header, an event, or the last chunk. A part of these says little, and the end of
// the connection that the peer does not go on. stop must be called before the next read.
func (c *conn) untilGoingOn() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	raw, err := c.raw()
	if err != nil {
		// Without a socket there is no way to look at data without reading it.
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = raw.Read(func(fd uintptr) bool {
			data, open := peek(fd, peekSize)
			if hasEmptyLine(data) {
				cancel()
				return true
			}
			return !open
		})
	}()
	return ctx, func() {
		// A deadline in the past ends the wait. If it cannot be set, the connection is
		// closed, which ends the wait as well.
		c.deadlineSet = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		cancel()
	}
}

// raw returns access to the socket. It returns errNoSocket for other connections, such as
// those in memory.
func (c *conn) raw() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return sc.SyscallConn()
}

// peekSize is how many bytes of what a silent peer sends are looked at. An event is smaller.
const peekSize = 4 << 10

func hasEmptyLine(b []byte) bool {
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// peek returns the first bytes that can be read from a socket, and whether it is open.
func peek(fd uintptr, size int) (data []byte, open bool) {
	data = make([]byte, size)
	n, _, err := syscall.Recvfrom(int(fd), data, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return data[:max(n, 0)], n > 0 || err == syscall.EAGAIN
}
