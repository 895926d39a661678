package srupstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// A reset is reported once only. Whoever meets it, an answer that ends with its connection must
// not end as a complete one.
func TestResetOfAnAnswerWithoutLengthIsAnError(t *testing.T) {
	const unacked = 300 * time.Millisecond
	for name, c := range map[string]struct {
		body int
		// after is how long the endpoint waits, reset whether it resets the connection then. If
		// not, the kernel of the sender gives up a body that is not read.
		after time.Duration
		reset bool
		// silence is the silence of the request, nil for none.
		silence *srupstream.Silence
		// late is how long the reader waits before it reads the body.
		late time.Duration
	}{
		"met by the read":                 {body: 1, after: 20 * time.Millisecond, reset: true},
		"met by the write":                {body: 4 << 20, after: 20 * time.Millisecond, reset: true},
		"met by the write, read later":    {body: 4 << 20, after: 20 * time.Millisecond, reset: true, late: 50 * time.Millisecond},
		"met by neither, read later":      {body: 1, after: 20 * time.Millisecond, reset: true, late: 50 * time.Millisecond},
		"met by the look into the socket": {body: 1, after: 50 * time.Millisecond, reset: true, silence: waitingSilence()},
		"body that is never read":         {body: 4 << 20, after: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				tcp := conn.(*net.TCPConn)
				_ = tcp.SetReadBuffer(16 << 10)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				select {
				case <-time.After(c.after):
				case <-ended:
				}
				if c.reset {
					_ = tcp.SetLinger(0)
				}
			}()
			p := srupstream.New(srupstream.Options{
				Dial:            new(net.Dialer).DialContext,
				Reply:           func(int, http.Header) sr.Reply { return sr.Reply{} },
				LongBodyTimeout: unacked,
			})
			defer p.Close()
			r := srupstream.Request{ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, c.body), HasBody: true, Silence: c.silence}
			a, err := p.Send(t.Context(), srupstream.Peer{ID: "e", Address: ln.Addr().String()}, r, func() error { return nil })
			assert.NilError(t, err)
			defer a.Body.Close()
			time.Sleep(c.late)
			body, err := io.ReadAll(a.Body)
			assert.Assert(t, err != nil, "%q ends as a complete answer", body)
			_, again := a.Body.Read(make([]byte, 1))
			assert.Assert(t, again != nil && again != io.EOF, "%v", again)
		})
	}
}

// waitingSilence returns a silence whose handler waits until the peer goes on or ends.
func waitingSilence() *srupstream.Silence {
	ended := make(chan struct{})
	return &srupstream.Silence{
		After: 10 * time.Millisecond,
		Bytes: true,
		Handle: func(ctx context.Context, _ time.Duration) error {
			select {
			case <-ctx.Done():
			case <-ended:
			}
			return nil
		},
		Ended: func() { close(ended) },
	}
}
