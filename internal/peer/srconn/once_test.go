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

// server answers each connection by a script and counts the requests read.
type server struct {
	arrivals atomic.Int64
	conns    atomic.Int64
	// ids are the Request-Id headers that arrived.
	ids sync.Map
}

// serve accepts connections until l is closed. The script gets the number of
// the request among all, from 1, and reports whether the connection goes on.
func (s *server) serve(l net.Listener, script func(c net.Conn, n int64) bool) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			wg.Go(func() { s.converse(c, script) })
		}
	})
	return wg.Wait
}

func (s *server) converse(c net.Conn, script func(net.Conn, int64) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := s.arrivals.Add(1)
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

// reset ends a connection without an answer, by RST on TCP.
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
		began := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		assert.Equal(t, time.Since(began), time.Second)
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
		assert.Equal(t, s.arrivals.Load(), int64(0))
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
			// Nobody reads, so the write blocks until its timeout.
			<-tested
			_ = c.Close()
		}()
		began := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, time.Since(began), time.Second)
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
		assert.Equal(t, s.arrivals.Load(), int64(1))
		_ = l.Close()
		wait()
	})
}

func TestSilentPeerBreaksAtTheIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		var s server
		wait := s.serve(l, func(net.Conn, int64) bool { return true })
		began := time.Now()
		_, err = srconn.NewOnce(options(n.DialContext)).Send(post(t.Context(), t), time.Time{})
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, time.Since(began), time.Minute)
		_ = l.Close()
		wait()
	})
}

// spy counts the bytes that a connection passed on.
type spy struct {
	net.Conn
	written *atomic.Int64
}

func (s spy) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written.Add(int64(n))
	return n, err
}

func TestNotSentNeverWritesAfterwards(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var s server
	wait := s.serve(l, func(c net.Conn, _ int64) bool { answer(c); return true })
	const tries = 400
	written := make([]atomic.Int64, tries)
	notSent := make(map[int]bool)
	for i := range tries {
		once := srconn.NewOnce(options(func(ctx context.Context, network, _ string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, l.Addr().String())
			return spy{c, &written[i]}, err
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
	for i := range tries {
		if notSent[i] {
			_, arrived := s.ids.Load(strconv.Itoa(i))
			assert.Assert(t, !arrived, "try %d", i)
			assert.Equal(t, written[i].Load(), int64(0), "try %d", i)
		}
	}
}

func TestSealedConnRefusesWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := srconn.New(near, srconn.DefaultTimeouts())
	defer c.Close()
	assert.Assert(t, !c.Seal())
	_, err := c.Write([]byte("late"))
	assert.ErrorContains(t, err, "sealed")
	assert.Assert(t, !c.Seal())
}

// TestResetAfterAnAnswerIsNotRepeated has a server that answers one request,
// and resets every connection that brings another one. net/http repeats a
// request by itself in this case when it may.
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
		assert.Equal(t, s.arrivals.Load(), int64(2))
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
		assert.Equal(t, s.arrivals.Load(), int64(3))
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
	assert.Equal(t, s.arrivals.Load(), int64(requests))
	assert.Equal(t, s.conns.Load(), int64(requests))
}

func TestProxyOfTheEnvironmentIsNotUsed(t *testing.T) {
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

func TestAddressMustBeAnIPNumber(t *testing.T) {
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
