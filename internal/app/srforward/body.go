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

// read reads the body whole, since a request that waits or is sent again needs
// it, and since clients leave when their request is not read at once.
func (q *request) read(limits sr.ClientLimits) *refusal {
	most := int64(limits.Body)
	if most > 0 && q.r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodySize}
	}
	q.hasBody = q.r.ContentLength != 0
	if !q.hasBody {
		return nil
	}
	until := time.Now().Add(bodyTime)
	if q.deadline.Before(until) {
		until = q.deadline
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(until); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodyBroken}
	}
	body, ref := q.readAll(most)
	if ref != nil {
		return ref
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodyBroken}
	}
	q.body = body
	return nil
}

// readPart is how much of a body is reserved in memory at a time, in bytes.
const readPart = 16 << 10

// readAll returns the body and reserves memory for it.
func (q *request) readAll(most int64) ([]byte, *refusal) {
	var body []byte
	if n := q.r.ContentLength; n > 0 {
		body = make([]byte, 0, min(n, readPart))
	}
	for {
		if cap(body)-len(body) < readPart/2 {
			grown := make([]byte, len(body), 2*cap(body)+readPart)
			copy(grown, body)
			body = grown
		}
		n, err := q.r.Body.Read(body[len(body):cap(body)])
		if !q.memory.take(int64(n)) {
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonMemory, after: laterSoon}
		}
		q.reserved += int64(n)
		body = body[:len(body)+n]
		switch {
		case most > 0 && int64(len(body)) > most:
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodySize}
		case err == io.EOF:
			return body, nil
		case err != nil && timedOut(err):
			return nil, &refusal{status: http.StatusRequestTimeout, reason: reasonBodySlow}
		case err != nil:
			return nil, &refusal{status: http.StatusBadRequest, reason: reasonBodyBroken}
		}
	}
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
