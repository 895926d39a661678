package srforward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// readBody reads the complete body: a request that is queued or retried needs it,
// and clients disconnect if their request is not read immediately.
func (q *request) readBody(limits sr.ClientLimits) *refusal {
	maxBytes := int64(limits.Body)
	if maxBytes > 0 && q.r.ContentLength > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodySize}
	}
	q.hasBody = q.r.ContentLength != 0
	if !q.hasBody {
		return nil
	}
	until := time.Now().Add(bodyTimeout)
	if q.deadline.Before(until) {
		until = q.deadline
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(until); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodyBroken}
	}
	body, ref := q.readAll(maxBytes)
	if ref != nil {
		q.unread = ref.reason != reasonBodySlow && ref.reason != reasonBodyBroken
		return ref
	}
	q.unread = false
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodyBroken}
	}
	q.body = body
	return nil
}

// readChunk is the least space in bytes into which a body without a length is read.
const readChunk = 4 << 10

// readAll returns the body and reserves memory for it. The body may have up to maxBytes, or
// any length if maxBytes is 0.
func (q *request) readAll(maxBytes int64) ([]byte, *refusal) {
	b := buffer{held: q.held}
	// One byte more than the body has, to find its end, or that it is too long.
	space, most := readChunk, int(maxBytes)+1
	if n := q.r.ContentLength; n > 0 {
		space, most = 1, int(n)+1
	}
	for {
		if err := b.room(space, most); err != nil {
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonMemory, retryAfter: shortRetryAfter, err: err}
		}
		n, err := q.r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case maxBytes > 0 && int64(len(b.bytes)) > maxBytes:
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodySize}
		case err == io.EOF:
			return b.bytes, nil
		case err != nil && timedOut(err):
			return nil, &refusal{status: http.StatusRequestTimeout, reason: reasonBodySlow}
		case err != nil:
			return nil, &refusal{status: http.StatusBadRequest, reason: reasonBodyBroken}
		}
	}
}

const (
	// dropTimeout bounds the time for which the body of a refused request is read. Most are on
	// their way already.
	dropTimeout = 500 * time.Millisecond
	// maxDropped is how many bytes of such a body are read. net/http reads as many.
	maxDropped = 256 << 10
)

// refuseBody prepares the refusal of a request whose body has not been read to its end. What
// arrives soon is dropped, so that the connection may go on; otherwise it ends after the
// answer. net/http would read on before it answers, without a limit on the time.
func (q *request) refuseBody() {
	if !q.unread {
		return
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(time.Now().Add(dropTimeout)); err != nil {
		return
	}
	// A client that waits for leave to send its body is not asked for it.
	if q.r.Header.Get("Expect") == "" {
		if _, err := io.CopyN(io.Discard, q.r.Body, maxDropped); err == io.EOF && control.SetReadDeadline(time.Time{}) == nil {
			return
		}
	}
	q.w.Header().Set("Connection", "close")
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
