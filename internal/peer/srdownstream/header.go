package srdownstream

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

// maxDropped is how many bytes are read from a client after its header was refused. net/http
// reads as many after an answer.
const maxDropped = 256 << 10

// header reserves memory for a header from its first byte on.
type header struct {
	srmemory.Header
	begun bool
}

// release drops the memory. The next bytes begin another header.
func (h *header) release() {
	h.Release()
	h.begun = false
}

// addHeader takes bytes that have arrived, and ignores them while a request is served. It
// returns an error of srmemory if they belong to a header that cannot be held.
func (c *Conn) addHeader(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns.opts.BeginHeader == nil || c.serving {
		return nil
	}
	if !c.header.begun {
		c.header = header{Header: c.conns.opts.BeginHeader(), begun: true}
	}
	return c.header.Add(b)
}

// refuseUnheld answers a header that cannot be held, and ends the connection. It reads and
// drops what the client still sends, through the buffer p, so that the client gets the answer.
func (c *Conn) refuseUnheld(p []byte, err error) {
	c.mu.Lock()
	c.cause = HeaderUnheld
	c.mu.Unlock()
	answer := c.conns.opts.HeaderUnheld(c.RemoteAddr().String(), err)
	// The client may have disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(answer)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	for left := maxDropped; left > 0; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		left -= n
	}
}
