package srdownstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// clientServer is a server with tracked connections.
type clientServer struct {
	t        *testing.T
	address  string
	listener net.Listener
	clients  *Conns
	handled  atomic.Int64
	// onIdle is called when a connection becomes idle, before net/http sets its deadline.
	onIdle atomic.Pointer[func(*Conn)]

	mu     sync.Mutex
	closed []Closed
}

// newClientServer starts a server, whose listener may be wrapped. Options without a header timeout
// get one that does not pass.
func newClientServer(t *testing.T, o Options, wrap ...func(net.Listener) net.Listener) *clientServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for _, w := range wrap {
		ln = w(ln)
	}
	s := &clientServer{t: t, address: ln.Addr().String(), listener: ln}
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, time.Minute)
	o.Closed = func(c Closed) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = append(s.closed, c)
	}
	s.clients = New(o)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		switch r.URL.Path {
		case "/slow":
			time.Sleep(20 * time.Millisecond)
		case "/hold":
			// Until a byte of the next request has been read.
			c := FromContext(r.Context())
			for held := true; held; time.Sleep(time.Millisecond) {
				c.mu.Lock()
				held = c.nextSince.IsZero() && r.Context().Err() == nil
				c.mu.Unlock()
			}
		}
		w.WriteHeader(http.StatusOK)
	})}
	s.clients.Install(server)
	connState := server.ConnState
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		connState(nc, state)
		if f := s.onIdle.Load(); f != nil && state == http.StateIdle {
			(*f)(nc.(*Conn))
		}
	}
	go func() { _ = server.Serve(s.clients.Listener(ln)) }()
	t.Cleanup(func() { server.Close() })
	return s
}

// sweep sweeps the connections in a loop, with limits that all of them exceed, until the
// function that it returns is called.
func (s *clientServer) sweep(limits sr.ClientLimits) (stop func()) {
	end := make(chan struct{})
	var sweeps sync.WaitGroup
	sweeps.Go(func() {
		for {
			select {
			case <-end:
				return
			default:
				s.clients.Sweep(time.Now().Add(time.Hour), limits)
			}
		}
	})
	stop = sync.OnceFunc(func() {
		close(end)
		sweeps.Wait()
	})
	s.t.Cleanup(stop)
	return stop
}

// client is a connection to a clientServer.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *clientServer) dial() *client {
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{Conn: conn, r: bufio.NewReader(conn)}
}

// readStatus reads an answer without a body.
func (c *client) readStatus() (int, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// expectEnd reads the answer with which a connection without a whole request ends.
func (c *client) expectEnd(t *testing.T) {
	status, err := c.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestTimeout)
	_, err = c.readStatus()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// A request that arrives on a kept connection while its idle time ends must either not be
// read, or be answered.
func TestIdleConnectionIsNotClosedUnderARequest(t *testing.T) {
	s := newClientServer(t, Options{})
	stop := s.sweep(sr.ClientLimits{IdleTime: time.Second})
	var answered atomic.Int64
	var senders sync.WaitGroup
	const clients, connections = 4, 300
	for range clients {
		senders.Go(func() {
			for range connections {
				sendUntilClosed(t, s.address, &answered)
			}
		})
	}
	senders.Wait()
	stop()
	assert.Equal(t, s.handled.Load(), answered.Load())
}

// A header that is completed while it is refused as too late must not be handled as well. The
// client gets one of both answers.
func TestRefusedHeaderIsNotHandled(t *testing.T) {
	s := newClientServer(t, Options{})
	stop := s.sweep(sr.ClientLimits{HeaderTime: time.Second})
	var answered int64
	statuses := make(map[int]int)
	for range 2000 {
		c := s.dial()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n")
		fmt.Fprint(c, "\r\n")
		status, err := c.readStatus()
		assert.NilError(t, err)
		statuses[status]++
		if status == http.StatusOK {
			answered++
		}
		c.Close()
	}
	stop()
	assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusRequestTimeout], 2000, "%v", statuses)
	assert.Equal(t, s.handled.Load(), answered)
}

// A request, or the begin of one, has arrived on a connection that is to end, but the
// goroutine that reads it has not run yet. It must be answered.
func TestArrivedRequestIsAnsweredBeforeItsConnectionEnds(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		// before is answered first, during is sent while it is served. then is sent right
		// before the connection is to end, rest after that.
		before, during, then, rest string
	}{
		"next request":               {before: get, then: get},
		"begin of the next request":  {before: get, then: get[:5], rest: get[5:]},
		"begun while serving":        {before: "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", during: get[:1], rest: get[1:]},
		"begun in the same packet":   {before: get + get[:1], rest: get[1:]},
		"begun with a whole line":    {before: get + get[:16], rest: get[16:]},
		"begun behind a body":        {before: "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get[:3], rest: get[3:]},
		"first request":              {then: get},
		"begin of the first request": {then: get[:5], rest: get[5:]},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientServer(t, Options{})
			for range 100 {
				conn := s.dial()
				if c.before != "" {
					fmt.Fprint(conn, c.before)
					if c.during != "" {
						time.Sleep(5 * time.Millisecond)
						fmt.Fprint(conn, c.during)
					}
					_, err := conn.readStatus()
					assert.NilError(t, err)
				}
				fmt.Fprint(conn, c.then)
				s.clients.endUnused()
				if c.rest != "" {
					time.Sleep(time.Millisecond)
					fmt.Fprint(conn, c.rest)
				}
				status, err := conn.readStatus()
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				conn.Close()
			}
		})
	}
}

// Clients go by the limit on idle time that an answer states. A lower one must not end the
// connection sooner, and a raised one applies at once.
func TestIdleConnectionKeepsItsLimit(t *testing.T) {
	const low, high, never = time.Second, 10 * time.Second, 24 * time.Hour
	for name, c := range map[string]struct {
		limits []time.Duration
		open   time.Duration
	}{
		"unchanged": {limits: []time.Duration{high, high}, open: high},
		"lowered":   {limits: []time.Duration{high, low}, open: high},
		"raised":    {limits: []time.Duration{low, high}, open: high},
		"both":      {limits: []time.Duration{low, high, low}, open: high},
		"removed":   {limits: []time.Duration{low, 0, low}, open: never},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientServer(t, Options{})
			start := time.Now()
			sweep := func(after, limit time.Duration) {
				s.clients.Sweep(start.Add(after), sr.ClientLimits{IdleTime: limit})
			}
			sweep(0, c.limits[0])
			conn := s.dial()
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(conn.r, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get("Keep-Alive"), fmt.Sprintf("timeout=%d", c.limits[0]/time.Second))
			tracked := s.clients.all()[0]
			for idle := false; !idle; time.Sleep(time.Millisecond) {
				since, _ := tracked.timestamps()
				idle = !since.IsZero()
			}
			for i, limit := range c.limits[1:] {
				sweep(time.Duration(i)*100*time.Millisecond, limit)
			}
			last := c.limits[len(c.limits)-1]
			ends := func(after time.Duration) bool {
				sweep(after, last)
				tracked.mu.Lock()
				defer tracked.mu.Unlock()
				return tracked.ending != "" || tracked.cause != ""
			}
			assert.Assert(t, !ends(c.open-time.Millisecond))
			if c.open != never {
				assert.Assert(t, ends(c.open+idleGrace+time.Minute))
			}
		})
	}
}

// An instance closes a connection after an answer although more has arrived, which makes the
// kernel reset it. The reset must not overtake the answer.
func TestCloseWithUnreadBytesIsNoReset(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	next := "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nX-Long: " + long + "\r\n\r\n"
	for name, c := range map[string]struct {
		sent string
		want int
		// idle connections end at the same time.
		idle int
	}{
		"next request behind the last one": {sent: next, want: http.StatusOK},
		"beside the end of others":         {sent: next, want: http.StatusOK, idle: 2 * maxLingering},
		"body of a malformed request":      {sent: "POST / HTTP/1.1\r\nContent-Length: 8192\r\n\r\n" + long, want: http.StatusBadRequest},
		"unknown encoding of a body":       {sent: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n" + long, want: http.StatusNotImplemented},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientServer(t, Options{})
			for range c.idle {
				_, err := fmt.Fprint(s.dial(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				assert.NilError(t, err)
			}
			for s.handled.Load() < int64(c.idle) {
				time.Sleep(time.Millisecond)
			}
			s.clients.WaitIdle(t.Context())
			conn := s.dial()
			fmt.Fprint(conn, c.sent)
			status, err := conn.readStatus()
			assert.NilError(t, err)
			assert.Equal(t, status, c.want)
			_, err = io.Copy(io.Discard, conn.r)
			assert.NilError(t, err)
		})
	}
}

// A connection is to end right before net/http sets the deadline of its next request.
func TestDeadlineOfTheNextRequestDoesNotKeepAConnection(t *testing.T) {
	s := newClientServer(t, Options{})
	end := func(c *Conn) {
		idleSince, _ := c.timestamps()
		c.end(Draining, idleSince)
	}
	s.onIdle.Store(&end)
	conn := s.dial()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := conn.readStatus()
	assert.NilError(t, err)
	conn.expectEnd(t)
}

// The time for a first request has passed when it is read, but it has arrived. It gets more
// time once.
func TestArrivedRequestIsReadAfterItsDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	conn, err := New(Options{HeaderTimeout: time.Minute}).Listener(ln).Accept()
	assert.NilError(t, err)
	defer conn.Close()
	p := make([]byte, 64)
	for i, want := range []error{nil, os.ErrDeadlineExceeded} {
		fmt.Fprint(client, "GET")
		assert.NilError(t, conn.SetReadDeadline(time.Unix(1, 0)))
		_, err = conn.Read(p)
		assert.Assert(t, errors.Is(err, want), "read %d: %v", i, err)
	}
}

// A header that stops at any of its bytes gets exactly one answer, 408, also if it has been read
// together with the request before.
func TestIncompleteHeaderGetsNoOtherAnswer(t *testing.T) {
	const get = "GET /path HTTP/1.1\r\nHost: a\r\nX-Long: 1\r\n\r\n"
	for _, before := range []string{"", get} {
		for n := 1; n < len(get); n++ {
			t.Run(fmt.Sprintf("%q", before+get[:n]), func(t *testing.T) {
				t.Parallel()
				s := newClientServer(t, Options{})
				conn := s.dial()
				fmt.Fprint(conn, before+get[:n])
				stop := s.sweep(sr.ClientLimits{HeaderTime: time.Second, IdleTime: time.Second})
				defer stop()
				if before != "" {
					status, err := conn.readStatus()
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusOK)
				}
				conn.expectEnd(t)
			})
		}
	}
}

// Some bytes on a kept connection, too few for net/http to begin with a request, must not keep it
// for longer than a header or than the limit on idle time.
func TestFewBytesDoNotKeepAConnection(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
	for sent, want := range map[string]Cause{"G": HeaderSlow, "GET": HeaderSlow, "\r\n": Idle} {
		for _, together := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q together %t", sent, together), func(t *testing.T) {
				s := newClientServer(t, Options{})
				conn := s.dial()
				if together {
					fmt.Fprint(conn, post+sent)
				} else {
					fmt.Fprint(conn, post)
				}
				_, err := conn.readStatus()
				assert.NilError(t, err)
				if !together {
					fmt.Fprint(conn, sent)
				}
				time.Sleep(20 * time.Millisecond)
				stop := s.sweep(sr.ClientLimits{IdleTime: time.Second})
				defer stop()
				conn.expectEnd(t)
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Equal(t, s.closed[0].Cause, want)
			})
		}
	}
}

// At the limit on connections, one that has sent nothing for a while ends before one that has
// served, and one that was just opened stays open.
func TestSilentConnectionEndsForANewOne(t *testing.T) {
	now := time.Now()
	long, longer := now.Add(-time.Minute), now.Add(-time.Hour)
	for name, c := range map[string]struct {
		conns []*Conn
		ends  int
	}{
		"silent before served": {conns: []*Conn{{opened: longer, idleSince: longer}, {opened: now}, {opened: long}}, ends: 2},
		"longest silent":       {conns: []*Conn{{opened: long}, {opened: longer}, {opened: longer, serving: true}}, ends: 1},
		"longest idle":         {conns: []*Conn{{opened: now}, {opened: longer, idleSince: long}, {opened: long, idleSince: longer}}, ends: 2},
		"only new":             {conns: []*Conn{{opened: now}, {opened: long, headerSince: now}}, ends: -1},
	} {
		conns := New(Options{})
		for _, conn := range c.conns {
			conn.Conn, _ = net.Pipe()
			conns.open[conn] = struct{}{}
		}
		assert.Equal(t, conns.endUnneeded(now), c.ends >= 0, name)
		for i, conn := range c.conns {
			assert.Equal(t, conn.isEnding(), i == c.ends, "%s: %d", name, i)
		}
	}
}

// A sweep has found a connection idle, and a request is served before it ends the connection.
func TestConnectionThatHasServedMeanwhileStaysOpen(t *testing.T) {
	s := newClientServer(t, Options{})
	conn := s.dial()
	for range 2 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err := conn.readStatus()
		assert.NilError(t, err)
	}
	tracked := s.clients.all()[0]
	tracked.end(Idle, time.Now().Add(-time.Minute))
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	assert.Equal(t, tracked.ending+tracked.cause, Cause(""))
}

// The end of a server waits for connections that linger. One whose client has reset it does not.
func TestEndWaitsForLingeringConnections(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct{ reset bool }{"waiting client": {}, "client that has left": {reset: true}} {
		t.Run(name, func(t *testing.T) {
			s := newClientServer(t, Options{})
			conn := s.dial()
			fmt.Fprint(conn, "GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+long)
			if c.reset {
				time.Sleep(5 * time.Millisecond)
				assert.NilError(t, conn.Conn.(*net.TCPConn).SetLinger(0))
				conn.Close()
			} else {
				_, err := conn.readStatus()
				assert.NilError(t, err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			s.clients.EndAll(ctx)
			assert.NilError(t, ctx.Err())
			assert.Equal(t, s.clients.lingering.Load(), int64(0))
		})
	}
}

// A server stops while clients send one request after the other, on connections that they keep
// and open again. Each request that is handled is answered.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	for _, reconnect := range []bool{false, true} {
		t.Run(fmt.Sprintf("reconnect %v", reconnect), func(t *testing.T) {
			s := newClientServer(t, Options{})
			var clients sync.WaitGroup
			for range 40 {
				clients.Go(func() {
					for dialed := false; !dialed || reconnect; dialed = true {
						conn, err := net.Dial("tcp", s.address)
						if err != nil {
							return
						}
						r := bufio.NewReader(conn)
						for resp := new(http.Response); err == nil && !resp.Close; {
							fmt.Fprint(conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
							resp, err = http.ReadResponse(r, nil)
						}
						conn.Close()
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			s.clients.Stop()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			s.clients.WaitIdle(ctx)
			cancel()
			s.listener.Close()
			ctx, cancel = context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			s.clients.EndAll(ctx)
			assert.NilError(t, ctx.Err())
			clients.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, c := range s.closed {
				assert.Assert(t, !c.Unanswered)
			}
		})
	}
}

// A request meets the end of its connection on its way. Its client is told that it has not been
// handled.
func TestRequestThatMeetsTheEndOfItsConnectionIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		cause Cause
		// first is the time for the first request, 0 for a connection that has had one.
		first time.Duration
	}{
		"idle":          {cause: Idle},
		"draining":      {cause: Draining},
		"first request": {cause: Idle, first: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientServer(t, Options{HeaderTimeout: c.first})
			s.clients.endLinger = 10 * time.Second
			conn := s.dial()
			if c.first == 0 {
				fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				_, err := conn.readStatus()
				assert.NilError(t, err)
			}
			switch {
			case c.first > 0:
			case c.cause == Idle:
				stop := s.sweep(sr.ClientLimits{IdleTime: time.Second})
				defer stop()
			default:
				go s.clients.EndAll(t.Context())
			}
			for closed := 0; closed == 0; time.Sleep(time.Millisecond) {
				s.mu.Lock()
				closed = len(s.closed)
				s.mu.Unlock()
			}
			handled := s.handled.Load()
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			conn.expectEnd(t)
			assert.Equal(t, s.handled.Load(), handled)
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Equal(t, s.closed[0].Cause, c.cause)
		})
	}
}

// sendUntilClosed sends requests on one connection until it ends, and counts the answers.
func sendUntilClosed(t *testing.T, address string, answered *atomic.Int64) {
	conn, err := net.Dial("tcp", address)
	assert.Check(t, err)
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode == http.StatusRequestTimeout {
			return
		}
		resp.Body.Close()
		answered.Add(1)
	}
}

// A connection that is closed with a request in it is reported with what was not read.
func TestRequestThatIsClosedUnreadIsReported(t *testing.T) {
	s := newClientServer(t, Options{})
	const next = "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r17\r\n\r\n"
	conn := s.dial()
	fmt.Fprint(conn, "GET /hold HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	for s.handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprint(conn, next)
	_, err := conn.readStatus()
	assert.NilError(t, err)
	_, err = conn.readStatus()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.closed), 1)
	assert.Equal(t, s.closed[0].Cause, Served)
	// The server has looked for the end of the connection with a read of one byte.
	assert.Equal(t, string(s.closed[0].Unread), next[1:])
}

// unableListener fails once with each of some errors.
type unableListener struct {
	net.Listener
	errors []error
}

func (l *unableListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

// A machine without memory for a connection, or whose new connection has failed, refuses no later
// ones. net/http would end the server.
func TestServerGoesOnAfterAFailedAccept(t *testing.T) {
	s := newClientServer(t, Options{}, func(ln net.Listener) net.Listener {
		return &unableListener{ln, []error{syscall.ENOBUFS, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPERM}}
	})
	conn := s.dial()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	status, err := conn.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}
