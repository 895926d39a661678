package srforward

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// idleExtra is how much longer than stated an unused client connection is kept,
// so that a request that is on its way at the limit still arrives.
const idleExtra = time.Second

// slowHeader is the answer to a client whose header takes too long. No handler
// runs yet, so it is written past the server.
const slowHeader = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// clients tracks the connections of clients.
type clients struct {
	log *srlog.Log

	mu   sync.Mutex
	open map[*clientConn]struct{}
}

func newClients(log *srlog.Log) *clients {
	return &clients{log: log, open: make(map[*clientConn]struct{})}
}

// listen returns ln with connections that clients can track.
func (c *clients) listen(ln net.Listener) net.Listener { return clientListener{ln} }

// state is the ConnState hook of the server.
func (c *clients) state(nc net.Conn, s http.ConnState) {
	conn, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		c.mu.Lock()
		c.open[conn] = struct{}{}
		c.mu.Unlock()
	case http.StateActive:
		// The header has arrived.
		conn.set(true, time.Time{})
	case http.StateIdle:
		conn.set(false, time.Now())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}
}

// sweep closes the connections that have been idle for longer, or whose header has
// taken longer, than the limits say. It returns how many headers were too slow.
func (c *clients) sweep(now time.Time, limits sr.ClientLimits) (slow int) {
	for _, conn := range c.all() {
		idle, header := conn.since()
		switch {
		case !header.IsZero():
			if limits.HeaderTime > 0 && now.Sub(header) > limits.HeaderTime && conn.late() {
				c.log.Failed("header-slow", srlog.Address, conn.RemoteAddr().String(), srlog.After, now.Sub(header))
				conn.refuse(now)
				slow++
			}
		case !idle.IsZero() && limits.IdleTime > 0 && now.Sub(idle) > limits.IdleTime+idleExtra:
			// The connection is of no use, whatever Close says.
			_ = conn.Close()
		}
	}
	return slow
}

func (c *clients) all() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// clientListener accepts clientConns.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc}, nil
}

// clientConn is a client's connection that knows when the first byte of a header
// came.
type clientConn struct {
	net.Conn

	mu sync.Mutex
	// serving is set from the end of a header to the end of its answer.
	serving bool
	// idle is when the last answer ended, header when the first byte of the next
	// header came; zero for neither.
	idle   time.Time
	header time.Time
	// seen is the header that was late at the last look.
	seen time.Time
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.serving && c.header.IsZero() {
		c.header = time.Now()
	}
	return n, err
}

// CloseWrite lets the server end its side first.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *clientConn) set(serving bool, idle time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idle, c.header = serving, idle, time.Time{}
}

func (c *clientConn) since() (idle, header time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.header
}

// late reports whether the header was late at the last look already: after a
// standstill of the process its rest may have arrived and not been read yet.
func (c *clientConn) late() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	again := c.seen.Equal(c.header)
	c.seen = c.header
	return again
}

// refuse answers a header that is not whole and closes the connection.
func (c *clientConn) refuse(now time.Time) {
	// The client may have left; the connection ends in any case.
	_ = c.SetWriteDeadline(now.Add(sweepEvery))
	_, _ = io.WriteString(c.Conn, slowHeader)
	_ = c.Close()
}

// keepConnections closes kept connections to endpoints that are not in use.
func (n *Instance) keepConnections() {
	st := n.view.State()
	peers := make(map[srupstream.Peer]bool, len(st.Endpoints))
	for id, e := range st.Endpoints {
		peers[srupstream.Peer{ID: id, Address: e.Address, Born: e.Born}] = true
	}
	n.Upstream.Keep(peers, time.Now())
	n.Fleet.Keep(n.members.alive(time.Now()))
}
