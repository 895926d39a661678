package srforward

import (
	"net/http"

	"github.com/pkg/errors"
)

// writeHeader writes the header of an answer. Without a length and chunks the client takes
// the end of the connection for the end of the answer, so until finishAnswer the connection
// can only end with a reset.
func (q *request) writeHeader(status int) error {
	q.endsWithConnection = q.w.Header().Get("Content-Length") == "" && !q.r.ProtoAtLeast(1, 1)
	if c, ok := q.ctx.Value(clientConnKey{}).(*clientConn); ok && q.endsWithConnection {
		if err := c.setResetOnClose(true); err != nil {
			return errors.Wrap(err, "prepare connection of client")
		}
	}
	q.w.WriteHeader(status)
	q.headerSent = true
	return nil
}

// finishAnswer lets the connection end normally after an answer that ends with it.
func (q *request) finishAnswer() error {
	c, ok := q.ctx.Value(clientConnKey{}).(*clientConn)
	if !ok || !q.endsWithConnection {
		return nil
	}
	// What has not been written yet would be lost without an error.
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return errors.Wrap(err, "write to client")
	}
	return errors.Wrap(c.setResetOnClose(false), "end connection of client")
}
