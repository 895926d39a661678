package srforward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

const (
	// streamBuffer is the read buffer of a stream in bytes.
	streamBuffer = 4 << 10
	// maxEvent is the greatest size of one event in bytes.
	maxEvent = 1 << 20
)

var errEventSize = errors.New("event is too long")

// stream passes on a series of events, each as soon as it is whole. A stream that
// breaks between events, or within one, can go on at another endpoint behind the
// last whole event.
func (q *request) stream(t try, a *srupstream.Answer, sent time.Time) try {
	r := bufio.NewReaderSize(a.Body, streamBuffer)
	before := q.events
	var first time.Time
	for {
		if q.begun {
			t.silence.arm(mostSilent)
		}
		event, err := readEvent(r)
		t.silence.disarm()
		if len(event) > 0 && (err == nil || err == io.EOF) {
			if first.IsZero() {
				first = time.Now()
				t.result.Prompt = 0
				q.queues.of(q.service).began(t.endpoint, q.in.Prompt, first.Sub(sent))
			}
			if werr := q.pass(a, event); werr != nil {
				t.outcome, t.err = ended, q.clientBroke(werr)
				return t
			}
		}
		if err == nil {
			continue
		}
		if n := q.events - before; n > 1 {
			t.result.Pace = time.Since(first) / time.Duration(n-1)
		}
		if err == io.EOF {
			return q.endStream(t, a)
		}
		t.outcome, t.err = mayRun, errors.Wrap(err, "stream")
		t.result.Failed = q.ctx.Err() == nil
		q.avoid = append(q.avoid, t.endpoint)
		return t
	}
}

// endStream ends an answer after the endpoint's last event.
func (q *request) endStream(t try, a *srupstream.Answer) try {
	if !q.begun {
		q.beginStream(a)
	}
	t.outcome = ended
	q.done(a.Status, t.endpoint, nil)
	return t
}

func (q *request) beginStream(a *srupstream.Answer) {
	q.header(a)
	q.w.WriteHeader(a.Status)
	q.begun = true
	q.firstByte = time.Since(q.start)
	q.figures.observe("first", q.firstByte)
}

// pass writes one event, unless the client has it already.
func (q *request) pass(a *srupstream.Answer, event []byte) error {
	id := eventID(event)
	if q.events > 0 && id != "" && !follows(id, q.lastEvent) {
		return nil
	}
	if !q.begun {
		q.beginStream(a)
	}
	control := http.NewResponseController(q.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := q.w.Write(event); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	q.events++
	if id != "" {
		q.lastEvent = id
	}
	return nil
}

func (q *request) clientBroke(err error) error {
	q.figures.count("ended." + reasonGone)
	q.Log.Failed("client-gone", srlog.Request, q.in.ID, srlog.Attempt, q.tries, srlog.Events, q.events, srlog.Error, errorText(err), srlog.Total, time.Since(q.start))
	return errors.Wrap(err, "client")
}

// follows reports whether an event id is behind the last one. Ids that are not
// numbers follow when they differ.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// readEvent reads up to and with the empty line that ends an event. At the end
// of the stream it returns what is left with io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEvent:
			return nil, errEventSize
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return event, err
		}
		if blank := bytes.TrimRight(line, "\r\n"); len(blank) == 0 && endsLine(event, line) {
			return event, nil
		}
	}
}

// endsLine reports whether line is a whole line of event, not the rest of one
// that was longer than the buffer.
func endsLine(event, line []byte) bool {
	before := len(event) - len(line)
	return before == 0 || event[before-1] == '\n'
}

// eventID returns the id of an event, "" when it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
