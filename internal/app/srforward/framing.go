package srforward

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// writeHeader writes the header of an answer. The client gets no more proof that the answer
// is complete than this instance does: an answer that ends with its connection does so at
// the client too. Until finishAnswer such a connection can only end with a reset.
func (q *request) writeHeader(a *srupstream.Answer) error {
	h := q.w.Header()
	if a.Framing == srupstream.FramingClose {
		// Keeps net/http from using chunks.
		h.Set("Transfer-Encoding", "identity")
	}
	q.endsWithConnection = h.Get("Content-Length") == "" && (a.Framing == srupstream.FramingClose || !q.r.ProtoAtLeast(1, 1))
	if c := srdownstream.FromContext(q.ctx); c != nil && q.endsWithConnection {
		if err := c.SetResetOnClose(true); err != nil {
			return errors.Wrap(err, "prepare connection of client")
		}
	}
	q.w.WriteHeader(a.Status)
	q.headerSent = true
	return nil
}

// finishAnswer lets the connection end normally after an answer that ends with it.
func (q *request) finishAnswer() error {
	c := srdownstream.FromContext(q.ctx)
	if c == nil || !q.endsWithConnection {
		return nil
	}
	// What has not been written yet would be lost without an error.
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return errors.Wrap(err, "write to client")
	}
	return errors.Wrap(c.SetResetOnClose(false), "end connection of client")
}
