package srupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
)

// suspensionSlack is how late a read or dial may time out before the process counts as having been
// suspended. Timers of a loaded process are late by some tens of milliseconds.
const suspensionSlack = 150 * time.Millisecond

// past is a deadline that ends a read or a write at once.
var past = time.Unix(1, 0)

// Silence says what happens when a peer sends nothing for some time while its answer is
// read. Only time in which this process could have read something counts.
type Silence struct {
	// After is the time without progress after which Handle is called. 0 turns it off. It
	// may be changed between two reads.
	After time.Duration
	// Bytes means that each byte ends a silence. Otherwise only Progress does, so that a peer
	// that sends a byte now and then and never a whole event is silent.
	Bytes bool
	// Handle is called by the reading goroutine, again after each further After of the
	// same silence. ctx ends once the peer has gone on. An error ends the read.
	Handle func(ctx context.Context, silent time.Duration) error
	// Ended is called by another goroutine when the peer ends its connection while Handle runs,
	// at most once. nil is allowed.
	Ended func()

	// quiet is the time spent reading since the silence began, unhandled since the last call
	// of Handle.
	quiet     time.Duration
	unhandled time.Duration
	// err is the error of Handle. All further reads return it, since the parser of headers
	// drops an error in the middle of a line.
	err error
}

// left returns the time until the silence has to be handled.
func (s *Silence) left() time.Duration {
	if s == nil {
		return 0
	}
	return max(s.After-s.unhandled, 0)
}

// Progress ends a silence.
func (s *Silence) Progress() { s.quiet, s.unhandled = 0, 0 }

// add adds the time of a read that ended with or without a byte.
func (s *Silence) add(d time.Duration, read bool) {
	if read && s.Bytes {
		s.Progress()
		return
	}
	s.quiet += d
	s.unhandled += d
}

// Read implements io.Reader for the answers of the peer.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.readChecked(b)
	c.failed = c.failed || err != nil
	return n, err
}

// readChecked reads what may belong to a header, and checks it.
func (c *conn) readChecked(b []byte) (int, error) {
	if err := c.headerErr(); err != nil {
		return 0, err
	}
	n, err := c.readWatched(b)
	c.keepTail(b[:n])
	if err := c.addToHeader(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// readWatched reads, and handles silences of the peer.
func (c *conn) readWatched(b []byte) (int, error) {
	for {
		if c.reset != nil {
			return 0, c.reset
		}
		if s := c.silence; s != nil && s.After > 0 && s.err != nil {
			return 0, s.err
		}
		armed, wait := time.Now(), c.silence.left()
		if err := c.setSilenceDeadline(armed, wait); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		timedOut := n == 0 && c.deadlineSet && errors.Is(err, os.ErrDeadlineExceeded)
		if took := time.Since(armed); c.deadlineSet && !suspended(took, wait) {
			c.silence.add(took, n > 0)
		} else if timedOut {
			c.silence.Progress()
		}
		if !timedOut {
			c.keepReset(err)
			return n, err
		}
		if c.silence.unhandled < c.silence.After {
			continue
		}
		if err := c.handleSilence(); err != nil {
			c.silence.err = err
		}
	}
}

// suspended reports whether the process was suspended during a read or dial that was to end
// after some time. What the peer sent meanwhile may not have been noticed.
func suspended(took, wait time.Duration) bool { return took > wait+suspensionSlack }

// setSilenceDeadline lets the next read time out after wait, or clears an earlier time out if
// silences are not handled.
func (c *conn) setSilenceDeadline(now time.Time, wait time.Duration) error {
	if c.silence != nil && c.silence.After > 0 {
		c.deadlineSet = true
		return c.SetReadDeadline(now.Add(wait))
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
func (c *conn) handleSilence() error {
	c.silence.unhandled = 0
	if err := c.clearSilenceDeadline(); err != nil {
		return err
	}
	if !c.socketOpenAndEmpty() {
		return nil
	}
	ctx, stop := c.untilGoingOn()
	defer stop()
	return c.silence.Handle(ctx, c.silence.quiet)
}

// untilGoingOn returns a context that ends when the peer goes on. stop must be called before the
// next read.
func (c *conn) untilGoingOn() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	raw, err := srconn.Socket(c.Conn)
	if err != nil {
		// Without a socket there is no way to look at data without reading it.
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = raw.Read(func(fd uintptr) bool {
			data, err := srconn.Peek(fd, peekSize)
			c.keepReset(err)
			if err != nil && c.silence.Ended != nil {
				c.silence.Ended()
			}
			goesOn := c.goesOn(data, err)
			if goesOn {
				cancel()
			}
			return goesOn || err != nil
		})
	}()
	return ctx, func() {
		// A deadline in the past ends the wait. If it cannot be set, the connection is
		// closed, which ends the wait as well.
		c.deadlineSet = true
		_ = c.SetReadDeadline(past)
		<-done
		cancel()
	}
}

// peekSize is how many bytes of what a silent peer sends are looked at. One that sends as many
// goes on.
const peekSize = 4 << 10

// goesOn reports whether a peer that was silent goes on, by the next bytes or the end
// of its connection. An empty line ends a header, an event or the last chunk; less than that
// says little. The end of a connection ends only an answer that is framed by it.
func (c *conn) goesOn(next []byte, end error) bool {
	switch {
	case len(next) == 0:
		return end == io.EOF && c.endsAnswer
	case len(next) == peekSize, c.silence.Bytes:
		return true
	}
	return endsLine(c.tail, next)
}

// tailSize is the length of what may precede the end of an empty line.
const tailSize = 2

// keepTail keeps the last bytes that were read.
func (c *conn) keepTail(b []byte) {
	b = b[max(len(b)-tailSize, 0):]
	c.tail = append(c.tail[max(len(c.tail)+len(b)-tailSize, 0):], b...)
}

// endsLine reports whether an empty line ends within next, which follows tail.
func endsLine(tail, next []byte) bool {
	text := slices.Concat(tail, next)
	// An empty line that ended before does not count.
	return bytes.Contains(text[max(len(tail)-1, 0):], []byte("\n\n")) || bytes.Contains(text, []byte("\n\r\n"))
}
