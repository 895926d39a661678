package srforward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

var errUnprovenEnd = errors.New("the end of the connection does not prove that the stream is complete")

// handleStream passes on a stream of events, each as soon as it is complete. A stream
// that breaks between events, or within one, can be resumed at another endpoint
// after the last complete event.
func (q *request) handleStream(t attempt, a *srupstream.Answer) attempt {
	events := t.events
	if events == nil {
		events = newEventReader(a.Body, q.heldAnswer, q.inbound.Output)
	}
	defer events.release()
	before, resumed := q.eventsSent, q.headerSent
	var first time.Time
	var pace paceMeter
	// reached is set when an answer that began at the first event has had the last one, too.
	reached := false
	for {
		if q.headerSent {
			t.silence.After = maxStall
		}
		event, err := events.next()
		if err == nil {
			t.silence.Progress()
		}
		if err == io.EOF {
			err = q.checkEnd(a, event, q.eventsSent-before, reached)
		} else if err == nil && resumed {
			reached = reached || t.resume == "" && eventID(event) == q.lastEvent
			err = q.checkContinuation(eventID(event), q.eventsSent == before)
		}
		if err == nil {
			if first.IsZero() {
				first = time.Now()
				t.result.Prompt = 0
				q.queues.get(q.service).answerStarted(t.endpoint, q.inbound.Prompt, first.Sub(t.sent))
			}
			t.sound = t.sound || time.Since(first) >= soundAfter
			begin := time.Now()
			werr := q.writeEvent(a, event)
			pace.observe(time.Since(begin))
			if werr != nil {
				t.outcome, t.err = outcomeEnded, q.clientWriteFailed(werr)
				return t
			}
			continue
		}
		t.result.Pace = pace.pace(first)
		if err == io.EOF {
			t.end = endOf(a)
			t.sound = t.sound || t.end == endComplete
			if t.resume == "" {
				t.result.Events, t.result.Length = q.eventsSent-before, q.inbound.Length
			}
			t.broken = !t.sound
			return q.endStream(t, a)
		}
		t.end, t.broken = endBroken, !isUnheld(err) && !errors.Is(err, errNotContinuation)
		t.result.Failed = q.ctx.Err() == nil
		q.observeUnheld(&t, err)
		switch {
		case errors.Is(err, errUnprovenEnd):
			t.end, t.result.Failed = endClosed, false
		case errors.Is(err, errEmptyContinuation):
			t.end, t.broken, t.result.Failed = endOf(a), false, false
		}
		t.outcome, t.err = outcomeMayRun, errors.Wrap(err, "read stream")
		q.avoid = append(q.avoid, t.endpoint)
		return t
	}
}

// maxWriteShare is the share of the time of a stream up to which writing it to the client does
// not hide the speed of the endpoint.
const maxWriteShare = 0.1

// paceMeter measures the time per event of a stream.
type paceMeter struct {
	// events counts those that were read, also those that the client already has.
	events int
	// writing is the time for which events were written to the client.
	writing time.Duration
}

// observe adds an event that was written for some time.
func (p *paceMeter) observe(writing time.Duration) {
	p.events++
	p.writing += writing
}

// pace returns the time per event since the first one, 0 when it is not known because there
// are too few events or the client reads slowly.
func (p *paceMeter) pace(first time.Time) time.Duration {
	if p.events < 2 {
		return 0
	}
	total := time.Since(first)
	if float64(p.writing) > maxWriteShare*float64(total) {
		return 0
	}
	return total / time.Duration(p.events-1)
}

// checkEnd returns io.EOF if an answer of some events may end here, after the bytes rest of
// an incomplete event. If the answer to the client needs a last chunk, which proves that it
// is complete, the end of a connection is not enough. reached is set if the answer began at
// the first event and repeated the last one.
func (q *request) checkEnd(a *srupstream.Answer, rest []byte, events int, reached bool) error {
	switch {
	case len(bytes.TrimSpace(rest)) > 0:
		return io.ErrUnexpectedEOF
	case events == 0 && a.Framing == srupstream.FramingClose:
		return io.ErrUnexpectedEOF
	case events == 0 && q.headerSent && !reached:
		return errEmptyContinuation
	case a.Framing != srupstream.FramingClose:
		return io.EOF
	case q.headerSent && !q.endsWithConnection:
		return errUnprovenEnd
	}
	return io.EOF
}

// endStream completes an answer after the endpoint's last event.
func (q *request) endStream(t attempt, a *srupstream.Answer) attempt {
	var err error
	if !q.headerSent {
		err = q.beginStream(a)
	}
	if err == nil {
		err = q.finishAnswer()
	}
	t.outcome, t.err = outcomeEnded, err
	q.recordAnswer(t, a.Status, err)
	return t
}

func (q *request) beginStream(a *srupstream.Answer) error {
	q.copyHeader(a)
	if err := q.writeHeader(a); err != nil {
		return err
	}
	q.firstByte = time.Since(q.start)
	q.stats.observe("first", q.firstByte)
	return nil
}

// writeEvent writes one event, unless the client already has it.
func (q *request) writeEvent(a *srupstream.Answer, event []byte) error {
	id := eventID(event)
	if q.eventsSent > 0 && id != "" && !isLater(id, q.lastEvent) {
		return nil
	}
	if !q.headerSent {
		if err := q.beginStream(a); err != nil {
			return err
		}
	}
	control := http.NewResponseController(q.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := q.w.Write(event); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	q.recordEvent(id)
	return nil
}

func (q *request) clientWriteFailed(err error) error {
	q.stats.count("ended." + reasonClientGone)
	q.outcomes.record(q, outcomeLeft, "")
	q.Log.Failed("client-gone", srlog.Request, q.inbound.ID, srlog.Attempt, q.attempts, srlog.Events, q.eventsSent, srlog.Error, errorText(err), srlog.Total, time.Since(q.start))
	return errors.Wrap(err, "write to client")
}

// isLater reports whether an event id is later than the last one. Ids that are not
// numbers are later if they differ.
func isLater(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
