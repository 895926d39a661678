package srservice_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srservice"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srpipe"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

const address = "10.0.0.1:80"

// serve runs a server with handler h at address in virtual time and calls run with a
// client for it.
func serve(t *testing.T, h http.Handler, run func(t *testing.T, c *srservice.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, srweb.Serve(ctx, l, h)) })
		c := srservice.New(srservice.Options{
			Conn:   srconn.Options{Dial: n.DialContext},
			Limits: srservice.Limits{Answer: 1000},
		})
		run(t, c)
		c.Close()
		cancel()
		wg.Wait()
	})
}

// serveStandin is serve with a stand-in service, which is created inside the synctest
// bubble.
func serveStandin(t *testing.T, cfg srplainservice.Config, run func(t *testing.T, c *srservice.Client, s *srplainservice.Service)) {
	var s *srplainservice.Service
	lazy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { srplainservice.Handler(s).ServeHTTP(w, r) })
	serve(t, lazy, func(t *testing.T, c *srservice.Client) {
		s = srplainservice.New(cfg)
		run(t, c, s)
	})
}

func booking() sr.Call {
	return sr.Call{Service: "desk", Operation: "book lot/7", ID: "t1", Workspace: "yard", Body: "two sleepers\n"}
}

func TestCallRunsOnce(t *testing.T) {
	serveStandin(t, srplainservice.Config{Latency: time.Second}, func(t *testing.T, c *srservice.Client, s *srplainservice.Service) {
		a, err := c.Call(t.Context(), address, booking())
		assert.NilError(t, err)
		assert.Equal(t, a, sr.Answer{Code: 200, Body: srplainservice.Reply("book lot/7", "t1", "two sleepers\n")})
		assert.Equal(t, s.Runs("t1"), 1)
		l, err := c.Probe(t.Context(), address)
		assert.NilError(t, err)
		want, err := s.Load(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, l, want)
	})
}

func TestErrorsStateWhetherACallMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		fault srplainservice.Fault
		kill  bool
		slots int
		want  error
		runs  int
	}{
		"reset before the call is read": {fault: srplainservice.FaultBeforeRead, want: sr.ErrConnectionLost},
		"reset after the call ran":      {fault: srplainservice.FaultAfterRun, want: sr.ErrConnectionLost, runs: 1},
		"crash":                         {kill: true, want: sr.ErrConnectionLost, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			serveStandin(t, srplainservice.Config{Latency: time.Second}, func(t *testing.T, c *srservice.Client, s *srplainservice.Service) {
				if tc.kill {
					time.AfterFunc(time.Second/2, s.Kill)
				} else {
					assert.NilError(t, s.SetFault(tc.fault))
				}
				_, err := c.Call(t.Context(), address, booking())
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Equal(t, s.Runs("t1"), tc.runs)
			})
		})
	}
}

func TestCallWithoutASlotIsNotTaken(t *testing.T) {
	serveStandin(t, srplainservice.Config{Slots: 1, Latency: time.Second}, func(t *testing.T, c *srservice.Client, s *srplainservice.Service) {
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := c.Call(t.Context(), address, booking())
			assert.Check(t, err)
		})
		synctest.Wait()
		other := booking()
		other.ID = "t2"
		_, err := c.Call(t.Context(), address, other)
		assert.Assert(t, errors.Is(err, sr.ErrNotTaken))
		assert.Equal(t, s.Runs("t2"), 0)
		wg.Wait()
	})
}

func TestAnyOtherStatusIsAnAnswer(t *testing.T) {
	for _, tc := range []struct {
		code int
		body string
	}{{201, "made"}, {404, "no such lot"}, {500, `{"taken":false}`}, {503, "closed"}, {302, "elsewhere"}} {
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Header.Get("Request-Id") == "t1" && r.Header.Get("Workspace") == "yard")
			w.Header().Set("Location", "/v1/other")
			w.WriteHeader(tc.code)
			_, _ = io.WriteString(w, tc.body)
		})
		serve(t, h, func(t *testing.T, c *srservice.Client) {
			a, err := c.Call(t.Context(), address, booking())
			assert.NilError(t, err)
			assert.Equal(t, a, sr.Answer{Code: tc.code, Body: tc.body})
		})
	}
}

func TestIncompleteAnswerIsAnError(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"too long": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 1001))
		},
		"incomplete": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		},
		"incomplete refusal": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"taken":false}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, h, func(t *testing.T, c *srservice.Client) {
				_, err := c.Call(t.Context(), address, booking())
				assert.Assert(t, errors.Is(err, sr.ErrConnectionLost), "%v", err)
			})
		})
	}
}

func TestInvalidCallIsNotSent(t *testing.T) {
	serve(t, http.NotFoundHandler(), func(t *testing.T, c *srservice.Client) {
		for name, change := range map[string]func(*sr.Call){
			"no operation":         func(call *sr.Call) { call.Operation = "" },
			"parent directory":     func(call *sr.Call) { call.Operation = ".." },
			"line break in the ID": func(call *sr.Call) { call.ID = "t1\r\nHost: x" },
		} {
			call := booking()
			change(&call)
			_, err := c.Call(t.Context(), address, call)
			assert.Assert(t, errors.Is(err, sr.ErrNotSent), "%s: %v", name, err)
		}
		_, err := c.Call(t.Context(), "10.0.0.2:80", booking())
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
	})
}

// The end of a connection does not prove that an answer without length and chunks is
// complete.
func TestAnswerThatEndsWithItsConnectionIsNotComplete(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity")
		_, err := io.WriteString(w, "booked: o")
		assert.Check(t, err)
	})
	serve(t, h, func(t *testing.T, c *srservice.Client) {
		_, err := c.Call(t.Context(), address, booking())
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost), "got %v", err)
	})
}
