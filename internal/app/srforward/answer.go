package srforward

import (
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
	// wholeBody is the most bytes of a plain answer that are read before its
	// header is passed on, so that a broken one can still become a failure.
	wholeBody = 64 << 10
	// copyPart is the size of the parts in which longer answers are passed on.
	copyPart = 32 << 10
)

var (
	errNotGenuine = errors.New("the answer is not the endpoint's own")
	errFailure    = errors.New("the endpoint failed")
	errRejected   = errors.New("the endpoint did not run the request")
)

// take deals with the header of an answer.
func (q *request) take(t try, a *srupstream.Answer, sent time.Time) try {
	switch {
	case a.Reply.NotRun:
		t.outcome, t.err = notRun, errors.Wrapf(errRejected, "status %d", a.Status)
		// Where another endpoint has the address, the one that was meant is gone.
		t.result.NotRun, t.result.Gone = true, a.Reply.Misdirected
		q.avoid = append(q.avoid, t.endpoint)
		return t
	case !a.Reply.Genuine:
		q.runs++
		t.outcome, t.err, t.result.Failed = mayRun, errors.Wrapf(errNotGenuine, "status %d", a.Status), true
		q.avoid = append(q.avoid, t.endpoint)
		return t
	}
	q.runs++
	if q.route.Kind == sr.RouteStream && a.Status == http.StatusOK {
		return q.stream(t, a, sent)
	}
	return q.plain(t, a, sent)
}

// plain passes on an answer that is not a stream.
func (q *request) plain(t try, a *srupstream.Answer, sent time.Time) try {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBody))
	t.silence.disarm()
	whole := err == nil && len(body) < wholeBody
	t.result.Pace = time.Since(sent)
	switch {
	case err != nil:
		t.outcome, t.err, t.result.Failed = mayRun, errors.Wrap(err, "body"), q.ctx.Err() == nil
		q.avoid = append(q.avoid, t.endpoint)
		return t
	case a.Status >= http.StatusInternalServerError:
		t.result.Error = true
		if q.begun || whole && q.route.Repeatable() {
			t.outcome, t.err, t.answer, t.body = mayRun, errors.Wrapf(errFailure, "status %d", a.Status), a, body
			q.avoid = append(q.avoid, t.endpoint)
			return t
		}
	case q.begun:
		// A stream that went on elsewhere got another kind of answer.
		t.outcome, t.err = mayRun, errors.Errorf("status %d in the middle of a stream", a.Status)
		return t
	}
	t.outcome = ended
	if whole {
		q.passOn(a, body, t.endpoint)
		return t
	}
	if err := q.passLong(a, body, t.endpoint); err != nil {
		t.outcome, t.err = cut, err
	}
	return t
}

// passOn writes a whole answer.
func (q *request) passOn(a *srupstream.Answer, body []byte, endpoint string) {
	q.header(a)
	if q.r.Method != http.MethodHead {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(a.Status)
	q.begun = true
	_, err := q.w.Write(body)
	q.done(a.Status, endpoint, err)
}

// passLong writes an answer whose end has not been seen yet.
func (q *request) passLong(a *srupstream.Answer, body []byte, endpoint string) error {
	q.header(a)
	if a.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	q.w.WriteHeader(a.Status)
	q.begun = true
	control := http.NewResponseController(q.w)
	part := make([]byte, copyPart)
	for {
		if err := control.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
			return errors.Wrap(err, "client")
		}
		if _, err := q.w.Write(body); err != nil {
			return errors.Wrap(err, "client")
		}
		n, err := a.Body.Read(part)
		body = part[:n]
		if err == io.EOF && n == 0 {
			q.done(a.Status, endpoint, nil)
			return nil
		}
		if err != nil && err != io.EOF {
			return errors.Wrap(err, "endpoint")
		}
	}
}

// header copies the header of an answer.
func (q *request) header(a *srupstream.Answer) {
	h := q.w.Header()
	maps.Copy(h, q.Wire.Back(a.Header))
	if _, ok := h["Content-Type"]; !ok {
		// An answer without a type is not given one.
		h["Content-Type"] = nil
	}
}

// done notes a final answer.
func (q *request) done(status int, endpoint string, err error) {
	q.figures.count("ended." + strconv.Itoa(status))
	total := time.Since(q.start)
	q.figures.observe("total."+kindName(q.route.Kind), total)
	line := q.Log.Served
	if status >= http.StatusBadRequest || err != nil {
		line = q.Log.Failed
	}
	line("ended", srlog.Request, q.in.ID, srlog.Route, q.route.Name, srlog.Endpoint, endpoint, srlog.Status, status, srlog.Attempt, q.tries, srlog.Events, q.events, srlog.First, q.firstByte, srlog.Total, total, srlog.Error, errorText(err))
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
