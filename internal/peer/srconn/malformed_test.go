package srconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srplatform"
)

// serveAnswers answers each request with what answer returns, and keeps the connection.
func serveAnswers(t *testing.T, answer func(r *http.Request) string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, answer(r)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// serveAnswer answers each request with the same bytes.
func serveAnswer(t *testing.T, answer string) (address string) {
	return serveAnswers(t, func(*http.Request) string { return answer })
}

// malformedHeads are heads without their last lines, by what is wrong with them.
var malformedHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 X\r\n",
	"status 099":                   "HTTP/1.1 099 X\r\n",
	"switch":                       "HTTP/1.1 101 X\r\n",
	"another protocol":             "HTTP/2.0 200 OK\r\n",
	"control byte in status line":  "HTTP/1.1 200 O\x00K\r\n",
	"blank in a name":              "HTTP/1.1 200 OK\r\nX Field: v\r\n",
	"blank before a colon":         "HTTP/1.1 200 OK\r\nX-Field : v\r\n",
	"blank after an encoding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX-Fie\x01ld: v\r\n",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nX-Field: \x01\r\n",
	"encoding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
	"length of an interim answer":  "HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\n",
	"blank in an interim answer":   "HTTP/1.1 103 X\r\nX Field: v\r\n\r\nHTTP/1.1 200 OK\r\n",
	"status 000 after another one": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n",
}

// clientCalls are the calls of the clients of an entry instance, with bodies that would be
// sound answers.
var clientCalls = map[string]struct {
	run  func(context.Context, string) error
	body string
	// err is the error of a broken answer.
	err error
}{
	"answer of an engine": {generate, `{"seq":1,"text":"hidden","end":true}` + "\n", sr.ErrConnectionLost},
	"resumed answer":      {resume, `{"seq":2,"text":"hidden","end":true}` + "\n", sr.ErrUnreachable},
	"load of an engine":   {load, `{"start":"s","events":[]}`, sr.ErrUnreachable},
	"cancellation":        {cancelStream, "{}", sr.ErrUnreachable},
	"answer of a service": {call, "hidden", sr.ErrConnectionLost},
	"load of a service":   {probe, `{"start":"s","events":[]}`, sr.ErrUnreachable},
	"value": {withPlatform(func(ctx context.Context, c *srplatform.Client) error {
		_, err := c.Read(ctx, "k")
		return err
	}), "hidden", sr.ErrUnreachable},
	"watch": {withPlatform(func(ctx context.Context, c *srplatform.Client) error {
		_, err := c.Watch(ctx, "k", 1)
		return err
	}), "hidden", sr.ErrUnreachable},
	"instances": {withPlatform(func(ctx context.Context, c *srplatform.Client) error {
		_, err := c.Instances(ctx)
		return err
	}), `[]`, sr.ErrUnreachable},
}

// A malformed answer is no answer to any client of an entry instance, and a call or dispatch that
// gets one may have run.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for client, c := range clientCalls {
		lines := "Revision: 7\r\nContent-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body
		t.Run(client+", sound", func(t *testing.T) {
			err := c.run(t.Context(), serveAnswer(t, "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n"+lines))
			assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%v", err)
		})
		for name, head := range malformedHeads {
			t.Run(client+", "+name, func(t *testing.T) {
				err := c.run(t.Context(), serveAnswer(t, head+lines))
				assert.ErrorIs(t, err, c.err)
				assert.ErrorIs(t, err, sr.ErrMalformed)
			})
		}
	}
}

// A trailer with a malformed name ends no sound answer.
func TestMalformedTrailerIsAnError(t *testing.T) {
	for client, c := range clientCalls {
		if client == "cancellation" || strings.HasSuffix(client, "of an engine") && client != "load of an engine" || client == "resumed answer" {
			// These do not read the end of the body: a line marks the end of the answer.
			continue
		}
		for name, field := range map[string]string{"blank in a name": "X Field: v", "blank before a colon": "X-Field : v", "control byte in a name": "X-Fie\x01ld: v", "no colon": "X-Field"} {
			t.Run(client+", "+name, func(t *testing.T) {
				answer := "HTTP/1.1 200 OK\r\nRevision: 7\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(c.body)), 16) + "\r\n" + c.body + "\r\n0\r\n" + field + "\r\n\r\n"
				assert.ErrorIs(t, c.run(t.Context(), serveAnswer(t, answer)), c.err)
			})
		}
	}
}

// The answer after another one on a connection is checked as well, and a malformed one ends the
// connection.
func TestMalformedAnswerOnAReusedConnectionIsAnError(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			var s server
			wait := s.serve(ln, func(c net.Conn, n int64) bool {
				answer := sound
				if n%2 == 0 {
					answer = head + "Content-Length: 6\r\n\r\nhidden"
				}
				_, _ = io.WriteString(c, answer)
				return true
			})
			tr := srconn.NewTransport(srconn.Options{})
			get := func() (string, error) {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String(), nil)
				assert.NilError(t, err)
				resp, err := tr.RoundTrip(req)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				body, err := srconn.ReadBody(resp, 100)
				return string(body), err
			}
			for range 4 {
				body, err := get()
				assert.NilError(t, err)
				assert.Equal(t, body, "sound")
				_, err = get()
				assert.ErrorContains(t, err, "malformed")
			}
			assert.Equal(t, s.conns.Load(), int64(4))
			tr.CloseIdleConnections()
			ln.Close()
			wait()
		})
	}
}

// An endpoint sends an answer more than once. A copy that has arrived before the next request is
// written must not become the answer to it, whoever waits for the connection.
func TestExtraAnswerIsNotThatOfTheNextRequest(t *testing.T) {
	const callers, requests = 16, 500
	address := serveAnswers(t, func(r *http.Request) string {
		answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(r.URL.Path)) + "\r\n\r\n" + r.URL.Path
		return answer + answer
	})
	tr := srconn.NewTransport(srconn.Options{})
	defer tr.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range requests {
				path := fmt.Sprintf("/%d/%d", i, n)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
				assert.Check(t, err)
				resp, err := tr.RoundTrip(req)
				if err != nil {
					assert.Check(t, errors.Is(err, sr.ErrMalformed), "%v", err)
					continue
				}
				body, err := srconn.ReadBody(resp, 100)
				assert.Check(t, err)
				assert.Check(t, string(body) == path, "%s instead of %s", body, path)
				resp.Body.Close()
			}
		})
	}
	wg.Wait()
}
