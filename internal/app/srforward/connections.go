package srforward

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// idleExtra is how much longer than stated an unused client connection is kept,
// so that a request that is on its way at the limit still arrives.
const idleExtra = time.Second

// clients tracks the connections of clients by when they fell idle.
type clients struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newClients() *clients { return &clients{idle: make(map[net.Conn]time.Time)} }

// state is the ConnState hook of the server.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
}

// sweep closes the connections that have been idle for longer than most.
func (c *clients) sweep(now time.Time, most time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > most+idleExtra {
			// The connection is of no use, whatever Close says.
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
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
