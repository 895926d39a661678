package srforward

import (
	"bufio"
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// clientReports counts and logs what happens to the connections of clients.
type clientReports struct {
	n *Instance
	// idleClosed counts the connections that were idle for too long, since it was last logged.
	idleClosed atomic.Int64
}

// closed counts the end of a connection by its cause, and logs a request that ends with it
// because it has arrived and was not read, wholly or in part.
func (c *clientReports) closed(e srdownstream.Closed) {
	cause := string(e.Cause)
	c.n.stats.count("connections.closed." + cause)
	if e.Cause == srdownstream.Idle {
		c.idleClosed.Add(1)
	}
	if e.Unanswered {
		c.n.stats.count("connections.unanswered." + cause)
	}
	if len(e.Unread) == 0 && !e.Partial {
		return
	}
	c.n.stats.count("connections.unread." + cause)
	c.n.Log.Failed("closed-unread", srlog.Request, c.peekID(e.Unread), srlog.Address, e.Address, srlog.Reason, cause,
		srlog.Bytes, len(e.Unread), srlog.State, choose(e.Partial, "reading", "unread"), srlog.After, e.Idle)
}

// headerSlow counts and logs a header that was refused because it took too long.
func (c *clientReports) headerSlow(address string, after time.Duration) {
	c.n.stats.count("refused." + reasonHeaderSlow)
	c.n.Log.Failed("header-slow", srlog.Address, address, srlog.After, after)
}

// peekID returns the id of a request that begins with data, "" if it cannot be seen.
func (c *clientReports) peekID(data []byte) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return ""
	}
	in, _ := c.n.Codec.Inbound(r.Header)
	return in.ID
}

// pruneConnections closes the idle connections to endpoints that are no longer
// registered and to members that are not alive.
func (n *Instance) pruneConnections() {
	st := n.view.State()
	peers := make(map[srupstream.Peer]bool, len(st.Endpoints))
	for id, e := range st.Endpoints {
		peers[srupstream.Peer{ID: id, Address: e.Address, Born: e.Born}] = true
	}
	n.Upstream.CloseIdleExcept(peers, time.Now())
	n.Fleet.CloseIdleExcept(n.members.alive(time.Now()))
}
