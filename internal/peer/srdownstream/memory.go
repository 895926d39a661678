package srdownstream

import (
	"net"
	"time"
)

const (
	// connCost is the memory that an idle connection takes, in bytes: two buffers and a goroutine.
	connCost = 20 << 10
	// firstByteTime is how long a connection may send nothing before it ends for a new one.
	// Clients that open one for a request send that at once.
	firstByteTime = time.Second
)

// accept charges a new connection. If there are too many it ends another one, or, if none may
// end, closes the new one and returns false.
func (c *Conns) accept(nc net.Conn) bool {
	if c.opts.Memory == nil {
		return true
	}
	c.opts.Memory.Charge(connCost)
	if c.charged.Add(connCost) <= c.opts.MaxMemory || c.endUnneeded(time.Now()) {
		return true
	}
	c.uncharge()
	c.opts.Full(nc.RemoteAddr().String())
	nc.Close()
	return false
}

// uncharge returns what accept has charged.
func (c *Conns) uncharge() {
	if c.opts.Memory != nil {
		c.charged.Add(-connCost)
		c.opts.Memory.Charge(-connCost)
	}
}

// endUnneeded ends the first connection of those that have sent nothing for firstByteTime, or
// else the one that has been idle for longest. It reports whether there is one.
func (c *Conns) endUnneeded(now time.Time) bool {
	var first *Conn
	var firstIdle time.Time
	for _, conn := range c.all() {
		idle, _ := conn.timestamps()
		if conn.isBusy() || conn.isEnding() || idle.IsZero() && now.Sub(conn.opened) < firstByteTime {
			continue
		}
		// The zero time of a connection that has sent nothing comes before all others.
		if first == nil || idle.Before(firstIdle) || idle.IsZero() && firstIdle.IsZero() && conn.opened.Before(first.opened) {
			first, firstIdle = conn, idle
		}
	}
	if first == nil {
		return false
	}
	first.end(Full, firstIdle)
	return true
}

// isEnding reports whether the connection has ended or is to end.
func (c *Conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending != "" || c.cause != ""
}
