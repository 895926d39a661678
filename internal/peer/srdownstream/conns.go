// Package srdownstream tracks the connections of an HTTP server to its clients. It ends those
// that are idle or whose header takes too long, and those of a server that stops, so that no
// request is lost that has arrived. It limits the memory of connections and of headers that
// arrive.
//
// # Usage
//
//	conns := srdownstream.New(srdownstream.Options{Closed: report})
//	conns.Install(server)
//	go server.Serve(conns.Listener(ln))
//	conns.Sweep(time.Now(), limits) // now and then
//
//	// to stop
//	conns.Stop()
//	conns.WaitIdle(ctx)
//	ln.Close()
//	conns.EndAll(ctx)
//
// net/http ends idle connections by a deadline or from another goroutine, in both cases
// although a request may have arrived.
package srdownstream

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// idleGrace is added to the limit on idle time, so that a request that is in transit at
	// the limit still arrives.
	idleGrace = time.Second
	// noIdleLimit stands for a configuration without a limit.
	noIdleLimit time.Duration = math.MaxInt64
	// drainInterval is the interval at which the connections of a server that stops are
	// looked at.
	drainInterval = 20 * time.Millisecond
)

// Cause is why a connection was closed.
type Cause string

const (
	// ByClient means that the client closed or reset it first.
	ByClient Cause = "client"
	// Idle means that it was idle for longer than the limit.
	Idle Cause = "idle"
	// Draining means that it was idle in a planned stop.
	Draining Cause = "draining"
	// HeaderSlow means that a header took too long.
	HeaderSlow Cause = "header-slow"
	// HeaderUnheld means that a header was too large, or the memory used up.
	HeaderUnheld Cause = "header-unheld"
	// Full means that it was idle, or had sent nothing, when there were too many connections.
	Full Cause = "full"
	// Served means that the server closed it, after an answer or instead of one.
	Served Cause = "served"
)

// Closed is a connection that was closed.
type Closed struct {
	Cause   Cause
	Address string
	// Unread are the first bytes that had arrived and were not read, at most 4 KiB. Partial
	// is set if a part of a header was read.
	Unread  []byte
	Partial bool
	// Unanswered is set if a handler had a request.
	Unanswered bool
	// Idle is the time since the connection became idle, 0 if it was not.
	Idle time.Duration
}

// Options configure a Conns.
type Options struct {
	// Grace is the time by which a change of the limit on idle time may arrive here later
	// than at the clients.
	Grace time.Duration
	// HeaderTimeout bounds the reading of a header, whatever the limits are.
	HeaderTimeout time.Duration
	// Closed is called for each connection that closes, HeaderSlow for each header that
	// took too long. Both may be nil.
	Closed     func(Closed)
	HeaderSlow func(address string, after time.Duration)
	// BeginHeader returns the reservation of memory for a header that begins, and
	// HeaderUnheld the response to one that cannot be held, with the error of srmemory.
	// Without BeginHeader headers are not limited.
	BeginHeader  func() srmemory.Header
	HeaderUnheld func(address string, err error) []byte
	// Memory is charged for each connection. All together may take MaxMemory bytes; at that
	// limit one that has sent nothing for a second ends for a new one, or else an idle one. If
	// there is none, the new one is closed and Full is called. Without Memory their number is
	// not limited.
	Memory    *srmemory.Budget
	MaxMemory int64
	Full      func(address string)
}

// Conns are the connections of a server. It is safe for concurrent use.
type Conns struct {
	opts Options
	// lingering is the number of connections that are half open after their last answer,
	// lingeringUnread that of those with unread bytes.
	lingering       atomic.Int64
	lingeringUnread atomic.Int64
	// charged is the memory charged for the connections, in bytes.
	charged atomic.Int64
	// endLinger is how long a connection that ended without a request stays half open.
	endLinger time.Duration
	// stopping is set once answers close their connections.
	stopping atomic.Bool

	mu   sync.Mutex
	open map[*Conn]struct{}
	// idleLimit is the limit on idle time at the last sweep, 0 before.
	idleLimit time.Duration
}

// New returns a Conns without connections.
func New(o Options) *Conns {
	o.Grace += idleGrace
	if o.Closed == nil {
		o.Closed = func(Closed) {}
	}
	if o.HeaderSlow == nil {
		o.HeaderSlow = func(string, time.Duration) {}
	}
	return &Conns{opts: o, endLinger: endLinger, open: make(map[*Conn]struct{})}
}

// Install makes a server report its connections. It must be called before the server serves,
// once its handler is set. The server gets a timeout for headers, and none for idle connections.
func (c *Conns) Install(s *http.Server) {
	const never = -1
	s.Handler = c.track(s.Handler)
	s.ReadHeaderTimeout, s.IdleTimeout = c.opts.HeaderTimeout, never
	s.ConnState = c.connState
	s.ConnContext = withConn
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// FromContext returns the connection of a request, nil if it is not tracked.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Listener returns a listener whose connections are tracked. It goes on after a failed accept.
func (c *Conns) Listener(ln net.Listener) net.Listener {
	return listener{srconn.KeepAccepting(ln), c}
}

// connState is the ConnState hook of the server.
func (c *Conns) connState(nc net.Conn, s http.ConnState) {
	conn, ok := nc.(*Conn)
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
		conn.setServing()
	case http.StateIdle:
		conn.setIdle(time.Now(), c.currentIdleLimit())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}
}

// Sweep ends the connections that exceed the limits on idle time and on the time
// for a header.
func (c *Conns) Sweep(now time.Time, limits sr.ClientLimits) {
	limit := cmp.Or(limits.IdleTime, noIdleLimit)
	c.mu.Lock()
	c.idleLimit = limit
	c.mu.Unlock()
	// Without a limit, net/http's own does not apply to the first bytes of a header.
	headerLimit := cmp.Or(limits.HeaderTime, c.opts.HeaderTimeout)
	for _, conn := range c.all() {
		idleSince, header := conn.timestamps()
		switch {
		case !header.IsZero():
			if now.Sub(header) > headerLimit {
				conn.end(HeaderSlow, header)
			}
		case !idleSince.IsZero() && now.Sub(idleSince)-c.opts.Grace > conn.raiseIdleLimit(limit):
			conn.end(Idle, idleSince)
		}
	}
}

// currentIdleLimit returns the limit on idle time at the last sweep, 0 before.
func (c *Conns) currentIdleLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleLimit
}

// Stop makes each answer close its connection, since the server is to stop.
func (c *Conns) Stop() { c.stopping.Store(true) }

// WaitIdle ends idle connections, for a planned stop, until no request is in flight or ctx ends,
// and returns the number of requests that are still in flight. Connections that have not sent a
// request yet stay open.
func (c *Conns) WaitIdle(ctx context.Context) int {
	for {
		busy := 0
		for _, conn := range c.all() {
			if conn.isBusy() {
				busy++
			} else if idleSince, _ := conn.timestamps(); !idleSince.IsZero() {
				conn.end(Draining, idleSince)
			}
		}
		if busy == 0 || srtimer.Wait(ctx, drainInterval) != nil {
			return busy
		}
	}
}

// EndAll ends all connections, once their requests have been answered and their clients have
// had time to read the answers, until none is open or ctx ends.
func (c *Conns) EndAll(ctx context.Context) {
	for c.endUnused() > 0 || c.lingering.Load() > 0 {
		if srtimer.Wait(ctx, drainInterval) != nil {
			return
		}
	}
}

// endUnused ends all connections without a request, and returns the number of connections that
// are still open.
func (c *Conns) endUnused() int {
	open := c.all()
	for _, conn := range open {
		idleSince, _ := conn.timestamps()
		conn.end(Draining, idleSince)
	}
	return len(open)
}

// addLingering adds n connections that stay half open for d.
func (c *Conns) addLingering(d time.Duration, n int64) {
	c.lingering.Add(n)
	if d == lingerTime {
		c.lingeringUnread.Add(n)
	}
}

func (c *Conns) all() []*Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// track returns a handler that records which connections have a request without an answer,
// and tells clients how long their connection may stay idle.
func (c *Conns) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if conn == nil {
			h.ServeHTTP(w, r)
			return
		}
		conn.setAnswered(false)
		a := &answerWriter{ResponseWriter: w, conn: conn, r: r}
		h.ServeHTTP(a, r)
		a.setConnection()
		conn.setAnswered(true)
	})
}

// answerWriter adds to an answer whether its connection is kept, and for how long, when its
// header is written: a server may have begun to stop since its request arrived.
type answerWriter struct {
	http.ResponseWriter
	conn *Conn
	r    *http.Request
	done bool
}

// HasBegun reports whether the header of an answer has been written, to a writer that a handler
// of this package was given. It is true for other writers.
func HasBegun(w http.ResponseWriter) bool {
	a, ok := w.(*answerWriter)
	return !ok || a.done
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.setConnection()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answerWriter) Write(p []byte) (int, error) {
	a.setConnection()
	return a.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// FlushError is for http.ResponseController.
func (a *answerWriter) FlushError() error {
	a.setConnection()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

func (a *answerWriter) setConnection() {
	if a.done {
		return
	}
	a.done = true
	c := a.conn.conns
	limit := c.currentIdleLimit()
	switch {
	case c.stopping.Load():
		a.Header().Set("Connection", "close")
	case a.Header().Get("Connection") == "close":
	case limit != noIdleLimit && limit >= time.Second && a.r.ProtoAtLeast(1, 1):
		a.conn.raiseIdleLimit(limit)
		a.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(limit/time.Second)))
	}
}
