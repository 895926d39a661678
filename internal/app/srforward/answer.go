package srforward

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

const (
	// maxBufferedBody is how many bytes of a plain answer are read before its
	// header is passed on, so that a truncated one can still be reported as failed.
	maxBufferedBody = 64 << 10
	// minCopyBuffer is the least size in bytes of the buffer through which longer answers are
	// copied.
	minCopyBuffer = 4 << 10
)

var (
	errNotFromEndpoint = errors.New("answer was not produced by the endpoint")
	errServerError     = errors.New("endpoint answered with a server error")
	errRejected        = errors.New("endpoint rejected the request without running it")
	errReadAnswer      = errors.New("read from endpoint")
	// errUnproven means that the status of an answer promises that the request has not run,
	// and the endpoint does not state that.
	errUnproven = errors.New("endpoint does not state that the request has not run")
)

// handleAnswer evaluates the header of an answer and passes on the rest.
func (q *request) handleAnswer(t attempt, a *srupstream.Answer) attempt {
	t.framing = a.Framing
	t.silence.Progress()
	switch {
	case a.Reply.NotRun:
		q.possibleRuns--
		t.outcome, t.err = outcomeNotRun, errors.Wrapf(errRejected, "status %d", a.Status)
		// If another endpoint now has the address, the intended one is gone.
		t.result.NotRun, t.result.Gone = true, a.Reply.Misdirected
		q.avoid = append(q.avoid, t.endpoint)
		return t
	case !a.Reply.FromEndpoint:
		t.outcome, t.err, t.result.Failed = outcomeMayRun, errors.Wrapf(errNotFromEndpoint, "status %d", a.Status), true
		q.avoid = append(q.avoid, t.endpoint)
		return t
	}
	if q.route.Kind == sr.RouteStream && isEventStream(a) {
		return q.handleStream(t, a)
	}
	return q.handlePlain(t, a)
}

// handlePlain passes on an answer that is not a stream.
func (q *request) handlePlain(t attempt, a *srupstream.Answer) attempt {
	t.silence.Bytes = true
	start := buffer{held: q.heldAnswer}
	complete, err := q.readStart(a, &start)
	body := start.bytes
	// The rest of a long answer cannot come from another endpoint.
	t.silence.After = 0
	t.result.Pace = time.Since(t.sent)
	if complete {
		t.end = endOf(a)
	}
	switch {
	case err != nil:
		t.end, t.broken = endBroken, true
		t.outcome, t.err, t.result.Failed = outcomeMayRun, errors.Wrap(err, "read body"), q.ctx.Err() == nil
		q.avoid = append(q.avoid, t.endpoint)
		start.release()
		return t
	case a.Reply.Unproven && !q.route.Repeatable():
		q.stats.count("answer.unproven")
		t.outcome, t.err, t.result.Error = outcomeMayRun, errors.Wrapf(errUnproven, "status %d", a.Status), true
		q.avoid = append(q.avoid, t.endpoint)
		start.release()
		return t
	case a.Status >= http.StatusInternalServerError, a.Status == http.StatusMisdirectedRequest:
		t.result.Error = true
		if q.headerSent || complete && q.route.Repeatable() {
			t.outcome, t.err, t.answer, t.body = outcomeMayRun, errors.Wrapf(errServerError, "status %d", a.Status), a, body
			q.avoid = append(q.avoid, t.endpoint)
			return t
		}
	case q.headerSent:
		// The attempt to resume a stream got a plain answer.
		t.outcome, t.err = outcomeMayRun, errors.Wrapf(errNotContinuation, "status %d, type %q", a.Status, a.Header.Get("Content-Type"))
		q.avoid = append(q.avoid, t.endpoint)
		return t
	}
	t.outcome, t.broken = outcomeEnded, a.Framing == srupstream.FramingClose
	t.sound = a.Status < http.StatusBadRequest && !t.broken
	if complete {
		t.err = q.writeAnswer(t, a, body)
		return t
	}
	return q.copyAnswer(t, a, body)
}

// readStart reads a body of less than maxBufferedBody bytes, or the start of a longer one. If
// the memory is used up it reads less, since the rest can be passed on without being held. It
// reports whether the body is complete.
func (q *request) readStart(a *srupstream.Answer, b *buffer) (complete bool, err error) {
	for len(b.bytes) < maxBufferedBody {
		if err := b.room(1, maxBufferedBody); err != nil {
			q.stats.count("answer.unbuffered")
			return false, nil
		}
		n, err := a.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return len(b.bytes) < maxBufferedBody, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// writeAnswer writes an answer whose body has been read to its end.
func (q *request) writeAnswer(t attempt, a *srupstream.Answer, body []byte) error {
	q.copyHeader(a)
	if q.r.Method != http.MethodHead && a.Framing != srupstream.FramingClose {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	err := q.writeHeader(a)
	if err == nil {
		_, err = q.w.Write(body)
	}
	if err == nil {
		err = q.finishAnswer()
	}
	q.recordAnswer(t, a.Status, err)
	return err
}

// copyAnswer writes an answer of which only the start of the body has been read.
func (q *request) copyAnswer(t attempt, a *srupstream.Answer, body []byte) attempt {
	q.copyHeader(a)
	if a.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	size := int64(0)
	err := q.writeHeader(a)
	if err == nil {
		size, err = q.copyBody(a.Body, body)
	}
	if err == nil {
		err = q.finishAnswer()
	}
	switch {
	case errors.Is(err, errReadAnswer):
		t.outcome, t.end, t.err = outcomeCut, endBroken, err
		t.broken, t.sound = true, false
		t.result.Failed = q.ctx.Err() == nil
		// An endpoint that has sent that much when the time of its request is over may go on
		// without end, or is slow. Only several such answers in a row eject it.
		t.result.Error = !t.result.Failed && size > maxEvent && a.Length < 0 && q.r.Context().Err() == nil
	case err != nil:
		t.outcome, t.err = outcomeCut, err
	default:
		t.end = endOf(a)
		q.recordAnswer(t, a.Status, nil)
	}
	return t
}

// copyBody writes the start of a body, which was read before, and the rest of it, and returns
// the number of bytes. It reuses the memory of the start, and returns errReadAnswer if the
// endpoint breaks off.
func (q *request) copyBody(rest io.Reader, start []byte) (size int64, err error) {
	control := http.NewResponseController(q.w)
	part, body := start[:cap(start)], start
	if len(part) < minCopyBuffer {
		part = make([]byte, minCopyBuffer)
	}
	for {
		if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return size, errors.Wrap(err, "set write deadline of client")
		}
		if _, err := q.w.Write(body); err != nil {
			return size, errors.Wrap(err, "write to client")
		}
		size += int64(len(body))
		n, err := rest.Read(part)
		body = part[:n]
		if err == io.EOF && n == 0 {
			return size, nil
		}
		if err != nil && err != io.EOF {
			return size, fmt.Errorf("%w: %w", errReadAnswer, err)
		}
	}
}

// countBreak counts a broken answer, which ended an attempt, by its cause.
func (q *request) countBreak(err error) {
	switch {
	case errors.Is(err, sr.ErrMalformed):
		q.stats.count("answer.malformed")
	case errors.Is(err, srupstream.ErrReset):
		q.stats.count("answer.reset")
	}
}

// copyHeader copies the header of an answer to the response.
func (q *request) copyHeader(a *srupstream.Answer) {
	h := q.w.Header()
	maps.Copy(h, q.Codec.ClientHeader(a.Header))
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from adding a detected content type.
		h["Content-Type"] = nil
	}
}

// recordAnswer counts and logs a final answer.
func (q *request) recordAnswer(t attempt, status int, err error) {
	q.stats.count("ended." + strconv.Itoa(status))
	total := time.Since(q.start)
	q.stats.observe("total."+kindName(q.route.Kind), total)
	q.outcomes.record(q, q.answered(status, total, err), "")
	line := q.Log.Served
	if status >= http.StatusBadRequest || err != nil {
		line = q.Log.Failed
	}
	line("ended", srlog.Request, q.inbound.ID, srlog.Route, q.route.Name, srlog.Endpoint, t.endpoint, srlog.Status, status, srlog.Attempt, q.attempts, srlog.Events, q.eventsSent,
		srlog.Framing, t.framing.String(), srlog.End, t.end.String(), srlog.First, q.firstByte, srlog.Total, total, srlog.Error, errorText(err))
}

func kindName(k sr.RouteKind) string {
	switch k {
	case sr.RouteOnce:
		return "once"
	case sr.RouteRepeatable:
		return "repeatable"
	}
	return "stream"
}
