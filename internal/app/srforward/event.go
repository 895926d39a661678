package srforward

import (
	"bufio"
	"bytes"
	"io"
	"math"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// streamBuffer is the size of a stream's read buffer in bytes.
	streamBuffer = 4 << 10
	// maxEvent is the maximum size of one event in bytes, and of the comments and empty lines
	// between two events.
	maxEvent = 1 << 20
	// minEmpty is what a comment or an empty line between two events counts at least, in
	// bytes, since each of them is written to the client on its own.
	minEmpty = 1 << 10
	// A stream of n tokens at most has eventsPerToken*n events and extraEvents, for markers,
	// and since clients state their tokens roughly. A larger event counts once more for each
	// eventSize bytes.
	eventsPerToken = 8
	extraEvents    = 1 << 10
	eventSize      = 4 << 10
)

// eventReader reads the events of a stream.
type eventReader struct {
	r     *bufio.Reader
	event buffer
	// empty counts the bytes of comments and empty lines since the last event.
	empty int
	// count counts the events, of which there may be most, or any number if that is 0.
	count, most int
	// again is set when next returns the last event once more.
	again bool
}

// newEventReader returns an eventReader for an answer of at most some tokens, or of any number
// if that is 0. It reserves memory in held for the event that it holds.
func newEventReader(body io.Reader, held *srmemory.Reservation, tokens int) *eventReader {
	e := &eventReader{r: bufio.NewReaderSize(body, streamBuffer), event: buffer{held: held}}
	if tokens > 0 {
		e.most = eventsPerToken*min(tokens, math.MaxInt/eventsPerToken-extraEvents) + extraEvents
	}
	return e
}

// next returns the next event with the empty line that ends it, which is valid until the
// following call. With an error it returns the bytes of the incomplete event; io.EOF is the
// end of the stream. It returns an error of srmemory for an event that cannot be held.
func (e *eventReader) next() ([]byte, error) {
	if e.again {
		e.again = false
		return e.event.bytes, nil
	}
	e.event.reset()
	for {
		line, err := e.r.ReadSlice('\n')
		if size := len(e.event.bytes) + len(line); size > maxEvent {
			return e.event.bytes, errors.Wrapf(srmemory.ErrTooLarge, "event of %d bytes, at most %d", size, maxEvent)
		}
		if err := e.event.append(line, maxEvent); err != nil {
			return e.event.bytes, errors.Wrapf(err, "event of %d bytes", len(e.event.bytes)+len(line))
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return e.event.bytes, err
		}
		if blank := bytes.TrimRight(line, "\r\n"); len(blank) == 0 && isWholeLine(e.event.bytes, line) {
			return e.event.bytes, e.countEvent()
		}
	}
}

// countEvent returns srmemory.ErrTooLarge if a peer sends comments and empty lines only, or far
// more events than the answer has tokens.
func (e *eventReader) countEvent() error {
	for line := range bytes.Lines(e.event.bytes) {
		if line[0] != ':' && line[0] != '\n' && line[0] != '\r' {
			e.empty = 0
			if e.count += 1 + len(e.event.bytes)/eventSize; e.most > 0 && e.count > e.most {
				return errors.Wrapf(srmemory.ErrTooLarge, "stream that counts as %d events, at most %d", e.count, e.most)
			}
			return nil
		}
	}
	if e.empty += max(len(e.event.bytes), minEmpty); e.empty > maxEvent {
		return errors.Wrapf(srmemory.ErrTooLarge, "comments that count as %d bytes without an event, at most %d", e.empty, maxEvent)
	}
	return nil
}

// release drops the memory.
func (e *eventReader) release() { e.event.release() }

// isWholeLine reports whether line, which ends event, is a complete line and not the
// rest of one that was longer than the buffer.
func isWholeLine(event, line []byte) bool {
	before := len(event) - len(line)
	return before == 0 || event[before-1] == '\n'
}
