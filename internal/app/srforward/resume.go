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
	// minRegularIDs is the number of events without gaps between their ids after which a gap
	// at a resumption means lost events.
	minRegularIDs = 2
)

var (
	// errNotContinuation means that an answer does not continue a stream that has begun.
	errNotContinuation = errors.New("answer does not continue the stream")
	// errEmptyContinuation means that an answer has no event after the last one. It does not
	// show whether the stream that broke off had ended there.
	errEmptyContinuation = errors.New("answer has no further events")
)

// isEventStream reports whether an answer is a stream of events. One that states no type is
// taken for the one that was asked for.
func isEventStream(a *srupstream.Answer) bool {
	kind, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	kind = strings.TrimSpace(kind)
	return a.Status == http.StatusOK && (kind == "" || strings.EqualFold(kind, eventStream))
}

// checkContinuation returns errNotContinuation if an event with this id cannot continue the
// stream that has begun. first is set until the answer has had a later event than the
// client has. The ids rise, and an event may only be missing where they had gaps before.
func (q *request) checkContinuation(id string, first bool) error {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return errors.Wrapf(errNotContinuation, "event id %q", id)
	}
	last, err := strconv.ParseInt(q.lastEvent, 10, 64)
	if err != nil {
		return errors.Wrapf(errNotContinuation, "event id %q after %q", id, q.lastEvent)
	}
	if first && n > last+1 && q.eventsSent >= minRegularIDs && !q.idGaps {
		return errors.Wrapf(errNotContinuation, "event id %d after %d", n, last)
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
