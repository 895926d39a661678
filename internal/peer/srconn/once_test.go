package srconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srpipe"
)

const address = "10.0.0.1:80"

func options(dial srconn.DialFunc) srconn.Options {
	return srconn.Options{
		Dial:     dial,
		Timeouts: srconn.Timeouts{Dial: time.Second, Write: time.Second, Idle: time.Minute},
	}
}

func post(ctx context.Context, t *testing.T) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/book", strings.NewReader("lot 7"))
	assert.NilError(t, err)
	return req
}

// server counts the requests that it reads and handles each with a script.
type server struct {
	requests atomic.Int64
	conns    atomic.Int64
	// ids is the set of the Request-Id headers received.
	ids sync.Map
}

// serve accepts connections until l is closed. The script receives the number of the
// request on all connections, from 1, and reports whether to keep the connection open.
func (s *server) serve(l net.Listener, script func(c net.Conn, n int64) bool) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			wg.Go(func() { s.serveConn(c, script) })
		}
	})
	return wg.Wait
}

// serveConn reads requests from c and runs the script for each.
func (s *server) serveConn(c net.Conn, script func(net.Conn, int64) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := s.requests.Add(1)
		s.ids.Store(req.Header.Get("Request-Id"), true)
		_, _ = io.Copy(io.Discard, req.Body)
		if !script(c, n) {
			return
		}
	}
}

func answer(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// reset closes a connection without an answer. On TCP it sends a RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func TestFailureToConnectIsNotSent(t *testing.T) {
	once := srconn.NewOnce(options(func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("refused")
	}))
	_, err := once.Send(post(t.Context(), t), time.Time{})
	assert.Assert(t, errors.Is(err, sr.ErrNotSent))
}

func TestDialTimeoutIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		defer l.Close()
		start := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		assert.Equal(t, time.Since(start), time.Second)
	})
}

func TestNothingIsWrittenPastTheTimeToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		defer l.Close()
		startBy := time.Now().Add(100 * time.Millisecond)
		slow := func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(200 * time.Millisecond)
			return n.DialContext(ctx, network, address)
		}
		var s server
		wait := s.serve(l, func(net.Conn, int64) bool { return false })
		_, err = srconn.NewOnce(options(slow)).Send(post(t.Context(), t), startBy)
		assert.Assert(t, errors.Is(err, sr.ErrNotSent), "got %v", err)
		l.Close()
		wait()
		assert.Equal(t, s.requests.Load(), int64(0))
	})
}

func TestFailedWriteMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		defer l.Close()
		tested := make(chan struct{})
		defer close(tested)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// Nothing reads from c, so the write blocks until its timeout.
			<-tested
			_ = c.Close()
		}()
		start := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, time.Since(start), time.Second)
	})
}

func TestCancelledWaitForTheAnswerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		var s server
		wait := s.serve(l, func(net.Conn, int64) bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(ctx, t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, s.requests.Load(), int64(1))
		_ = l.Close()
		wait()
	})
}

func TestSilentPeerFailsAfterTheIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		var s server
		wait := s.serve(l, func(net.Conn, int64) bool { return true })
		start := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, time.Since(start), time.Minute)
		_ = l.Close()
		wait()
	})
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// The context is cancelled around the first write. After ErrNotSent, no byte may be
// written, also not by the goroutine in which net/http writes the request.
func TestNotSentNeverWritesAfterwards(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var s server
	wait := s.serve(l, func(c net.Conn, _ int64) bool { answer(c); return true })
	const attempts = 400
	written := make([]atomic.Int64, attempts)
	notSent := make(map[int]bool)
	for i := range attempts {
		once := srconn.NewOnce(options(func(ctx context.Context, network, _ string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, l.Addr().String())
			return countingConn{c, &written[i]}, err
		}))
		ctx, cancel := context.WithCancel(t.Context())
		hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			if i%2 == 0 {
				cancel()
			} else {
				go cancel()
			}
		}}
		req := post(httptrace.WithClientTrace(ctx, hooks), t)
		req.Header.Set("Request-Id", strconv.Itoa(i))
		resp, err := once.Send(req, time.Time{})
		if err == nil {
			_ = resp.Body.Close()
		}
		notSent[i] = errors.Is(err, sr.ErrNotSent)
		cancel()
	}
	_ = l.Close()
	wait()
	for i := range attempts {
		if notSent[i] {
			_, arrived := s.ids.Load(strconv.Itoa(i))
			assert.Assert(t, !arrived, "attempt %d", i)
			assert.Equal(t, written[i].Load(), int64(0), "attempt %d", i)
		}
	}
}

func TestSealedConnRefusesWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := srconn.New(local, srconn.DefaultTimeouts())
	defer c.Close()
	assert.Assert(t, !c.Seal())
	_, err := c.Write([]byte("late"))
	assert.ErrorContains(t, err, "sealed")
	assert.Assert(t, !c.Seal())
}

// The server answers the first request and resets every connection that carries a later
// one. In this case net/http itself retries a request that is marked as idempotent and
// was sent on a reused connection.
func TestResetAfterAnAnswerIsNotRepeated(t *testing.T) {
	script := func(c net.Conn, n int64) bool {
		if n == 1 {
			answer(c)
			return true
		}
		reset(c)
		return false
	}
	start := func(t *testing.T) (*server, srconn.Options) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := new(server)
		wait := s.serve(l, script)
		t.Cleanup(func() { _ = l.Close(); wait() })
		return s, options(func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
		})
	}

	t.Run("once", func(t *testing.T) {
		s, o := start(t)
		once := srconn.NewOnce(o)
		resp, err := once.Send(post(t.Context(), t), time.Time{})
		assert.NilError(t, err)
		_, err = srconn.ReadBody(resp, 2)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		_, err = once.Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, s.requests.Load(), int64(2))
		assert.Equal(t, s.conns.Load(), int64(2))
	})

	t.Run("the transport for repeatable requests does repeat", func(t *testing.T) {
		s, o := start(t)
		transport := srconn.NewTransport(o)
		defer transport.CloseIdleConnections()
		for i := range 2 {
			req := post(t.Context(), t)
			req.Header["Idempotency-Key"] = []string{"t1"}
			resp, err := transport.RoundTrip(req)
			if i == 1 {
				assert.Assert(t, err != nil)
				break
			}
			assert.NilError(t, err)
			srconn.CloseBody(resp)
		}
		assert.Equal(t, s.requests.Load(), int64(3))
	})
}

func TestIdleConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var s server
	wait := s.serve(l, func(c net.Conn, _ int64) bool { answer(c); return false })
	once := srconn.NewOnce(options(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
	}))
	const requests = 20
	for range requests {
		resp, err := once.Send(post(t.Context(), t), time.Time{})
		assert.NilError(t, err)
		_, err = srconn.ReadBody(resp, 2)
		assert.NilError(t, err)
		_ = resp.Body.Close()
	}
	_ = l.Close()
	wait()
	assert.Equal(t, s.requests.Load(), int64(requests))
	assert.Equal(t, s.conns.Load(), int64(requests))
}

func TestProxyFromTheEnvironmentIsNotUsed(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://10.9.9.9:3128")
	t.Setenv("http_proxy", "http://10.9.9.9:3128")
	var dialled []string
	o := options(func(_ context.Context, _, address string) (net.Conn, error) {
		dialled = append(dialled, address)
		return nil, errors.New("refused")
	})
	_, err := srconn.NewOnce(o).Send(post(t.Context(), t), time.Time{})
	assert.Assert(t, err != nil)
	_, err = srconn.NewTransport(o).RoundTrip(post(t.Context(), t))
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, dialled, []string{address, address})
}

func TestNotTakenNeedsAnExplicitFalse(t *testing.T) {
	for body, want := range map[string]bool{
		`{"taken":false}`:                true,
		` {"taken":false,"reason":"x"} `: true,
		`{"taken":true}`:                 false,
		`{"taken":null}`:                 false,
		`{}`:                             false,
		``:                               false,
		`{"taken":false`:                 false,
		`{"taken":false}{}`:              false,
		`{"taken":"false"}`:              false,
		`{"taken":false,"pad":"` + strings.Repeat("x", 2000) + `"}`: false,
	} {
		assert.Equal(t, srconn.NotTaken([]byte(body)), want, "body %.40q", body)
	}
}

func TestAddressMustBeAnIPAddress(t *testing.T) {
	for _, bad := range []string{"", "localhost:80", "10.0.0.1", "10.0.0.1:80/x", "10.0.0.1:80@h:1"} {
		_, err := srconn.URL(bad, "/")
		assert.Assert(t, errors.Is(err, sr.ErrInvalid), "address %q", bad)
	}
	for _, good := range []string{"10.0.0.1:80", "[::1]:80"} {
		u, err := srconn.URL(good, "/v1/load")
		assert.NilError(t, err)
		assert.Equal(t, u, "http://"+good+"/v1/load")
	}
}
