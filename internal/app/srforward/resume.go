package srforward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

const (
	// eventStream is the media type of a stream of events.
	eventStream = "text/event-stream"
	// minSteps is the number of events from which on ids without gaps are expected to go on
	// so.
	minSteps = 2
)

var (
	// errNotRest means that an answer is not the rest of a stream that has begun.
	errNotRest = errors.New("answer is not the rest of the stream")
	// errNoRest means that an answer has nothing after the last event. Whether the stream
	// ended there is not known: it broke off before its end.
	errNoRest = errors.New("answer has no further events")
)

// isEventStream reports whether an answer is a stream of events. One that states no type is
// taken for the one that was asked for.
func isEventStream(a *srupstream.Answer) bool {
	kind, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	kind = strings.TrimSpace(kind)
	return a.Status == http.StatusOK && (kind == "" || strings.EqualFold(kind, eventStream))
}

// checkRest returns errNotRest if an event with this id cannot belong to the rest of the
// stream that has begun. first is set until the answer has had a later event than the
// client has. The ids rise, and an event may only be missing where they had gaps before.
func (q *request) checkRest(id string, first bool) error {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return errors.Wrapf(errNotRest, "event id %q", id)
	}
	last, err := strconv.ParseInt(q.lastEvent, 10, 64)
	if err != nil {
		return errors.Wrapf(errNotRest, "event id %q after %q", id, q.lastEvent)
	}
	if first && n > last+1 && q.eventsSent >= minSteps && !q.idGaps {
		return errors.Wrapf(errNotRest, "event id %d after %d", n, last)
	}
	return nil
}

// recordEvent records that an event was sent to the client.
func (q *request) recordEvent(id string) {
	if q.eventsSent > 0 {
		n, err := strconv.ParseInt(id, 10, 64)
		last, errLast := strconv.ParseInt(q.lastEvent, 10, 64)
		q.idGaps = q.idGaps || err != nil || errLast != nil || n != last+1
	}
	q.eventsSent++
	q.lastEvent = id
}

// canResume reports whether another endpoint can go on after what the client has.
func (q *request) canResume() bool { return !q.headerSent || q.lastEvent != "" }
