package srendpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srendpoint"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srpipe"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

const address = "10.0.0.1:80"

// serve runs a server with handler h at address in virtual time and calls run with a
// client for it.
func serve(t *testing.T, h http.Handler, limits srendpoint.Limits, run func(t *testing.T, c *srendpoint.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, srweb.Serve(ctx, l, h)) })
		c := srendpoint.New(srendpoint.Options{
			Conn:   srconn.Options{Dial: n.DialContext},
			Limits: limits,
		})
		run(t, c)
		c.Close()
		cancel()
		wg.Wait()
	})
}

func engineConfig() srengine.Config {
	cfg := srengine.DefaultConfig()
	cfg.LoadLag, cfg.EventLag, cfg.EventLoss = 0, 0, 0
	return cfg
}

// serveEngine is serve with an engine, which is created inside the synctest bubble.
func serveEngine(t *testing.T, cfg srengine.Config, run func(t *testing.T, c *srendpoint.Client, e *srengine.Engine)) {
	var e *srengine.Engine
	var once sync.Once
	var h http.Handler
	newEngine := func() {
		e = srengine.New(cfg, rand.New(rand.NewPCG(1, 2)))
		h = srengine.Handler(e)
	}
	lazy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(w, r) })
	serve(t, lazy, srendpoint.Limits{}, func(t *testing.T, c *srendpoint.Client) {
		once.Do(newEngine)
		run(t, c, e)
	})
}

func request(id string) sr.Dispatch {
	return sr.Dispatch{Stream: id, Workspace: "mill", Model: "m", Prompt: "prompt of " + id, Tokens: 20}
}

func collect(s sr.Stream) (tokens []sr.Token, err error) {
	for {
		t, err := s.Next(context.Background())
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, t)
	}
}

func texts(tokens []sr.Token) []string {
	var list []string
	for _, t := range tokens {
		if !t.End {
			list = append(list, t.Text)
		}
	}
	return list
}

func TestAnswersAreComplete(t *testing.T) {
	serveEngine(t, engineConfig(), func(t *testing.T, c *srendpoint.Client, e *srengine.Engine) {
		var wg sync.WaitGroup
		for i := range 10 {
			d := request(fmt.Sprint("s", i))
			wg.Go(func() {
				s, err := c.Dispatch(t.Context(), address, d)
				assert.Check(t, err)
				tokens, err := collect(s)
				assert.Check(t, errors.Is(err, io.EOF))
				assert.Check(t, tokens[len(tokens)-1].End)
				assert.Check(t, is.DeepEqual(texts(tokens), srengine.Answer(d.Prompt, d.Tokens)))
				assert.Check(t, s.Close())
			})
		}
		wg.Wait()
		for i := range 10 {
			assert.Equal(t, e.Runs(request(fmt.Sprint("s", i)).Prompt), 1)
		}
	})
}

func TestBrokenStreamIsResumedWithoutAGap(t *testing.T) {
	serveEngine(t, engineConfig(), func(t *testing.T, c *srendpoint.Client, e *srengine.Engine) {
		d := request("s")
		s, err := c.Dispatch(t.Context(), address, d)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		e.Disconnect()
		tokens, err := collect(s)
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Assert(t, len(tokens) > 0 && len(tokens) < d.Tokens)
		assert.NilError(t, s.Close())

		s, err = c.Resume(t.Context(), address, d.Stream, len(tokens))
		assert.NilError(t, err)
		rest, err := collect(s)
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.NilError(t, s.Close())
		assert.DeepEqual(t, texts(append(tokens, rest...)), srengine.Answer(d.Prompt, d.Tokens))
		assert.Equal(t, e.Runs(d.Prompt), 1)

		_, err = c.Resume(t.Context(), address, "unknown", 0)
		assert.Assert(t, errors.Is(err, sr.ErrNoStream))
	})
}

func TestCancelEndsAStream(t *testing.T) {
	serveEngine(t, engineConfig(), func(t *testing.T, c *srendpoint.Client, _ *srengine.Engine) {
		s, err := c.Dispatch(t.Context(), address, request("s"))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			assert.NilError(t, c.Cancel(t.Context(), address, "s"))
		}
		tokens, err := collect(s)
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Equal(t, tokens[len(tokens)-1].Cut, srengine.CutCancelled)
		assert.NilError(t, s.Close())
	})
}

func TestRefusedDispatchDoesNotRun(t *testing.T) {
	cfg := engineConfig()
	cfg.Slots, cfg.Queue = 1, 0
	serveEngine(t, cfg, func(t *testing.T, c *srendpoint.Client, e *srengine.Engine) {
		s, err := c.Dispatch(t.Context(), address, request("a"))
		assert.NilError(t, err)
		_, err = c.Dispatch(t.Context(), address, request("b"))
		assert.Assert(t, errors.Is(err, sr.ErrNotTaken))
		assert.Equal(t, e.Runs(request("b").Prompt), 0)
		assert.NilError(t, s.Close())
	})
}

// A cold engine that receives more than it can serve crashes. Both requests may have run.
func TestDispatchToACrashingEngineMayHaveRun(t *testing.T) {
	serveEngine(t, engineConfig().WithCold(1, 1, 0), func(t *testing.T, c *srendpoint.Client, e *srengine.Engine) {
		s, err := c.Dispatch(t.Context(), address, request("a"))
		assert.NilError(t, err)
		_, err = c.Dispatch(t.Context(), address, request("b"))
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		_, err = collect(s)
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.NilError(t, s.Close())
		assert.Equal(t, e.Runs(request("b").Prompt), 1)
	})
}

func TestLoadReportIsDecodedUnchanged(t *testing.T) {
	serveEngine(t, engineConfig(), func(t *testing.T, c *srendpoint.Client, e *srengine.Engine) {
		d := request("s")
		d.Prompt = strings.Repeat("offcuts ", 200)
		s, err := c.Dispatch(t.Context(), address, d)
		assert.NilError(t, err)
		_, _ = collect(s)
		assert.NilError(t, s.Close())
		want, err := e.Load(t.Context(), 2)
		assert.NilError(t, err)
		got, err := c.Load(t.Context(), address, 2)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, len(got.Events), 4)
	})
}

// The end of the context given to Dispatch does not end the stream.
func TestDispatchContextDoesNotEndTheStream(t *testing.T) {
	serveEngine(t, engineConfig(), func(t *testing.T, c *srendpoint.Client, _ *srengine.Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		s, err := c.Dispatch(ctx, address, request("s"))
		assert.NilError(t, err)
		cancel()
		_, err = s.Next(ctx)
		assert.Check(t, err == nil || errors.Is(err, context.Canceled))
		tokens, err := collect(s)
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Assert(t, len(tokens) >= 20)
		assert.NilError(t, s.Close())
	})
}

// Close must not block when the buffer is full and Next is never called.
func TestCloseEndsAnUnreadStream(t *testing.T) {
	endless := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for seq := 1; ; seq++ {
			if _, err := fmt.Fprintf(w, "{\"seq\":%d,\"text\":\"x\"}\n", seq); err != nil {
				return
			}
		}
	})
	serve(t, endless, srendpoint.Limits{Window: 2}, func(t *testing.T, c *srendpoint.Client) {
		s, err := c.Dispatch(t.Context(), address, request("s"))
		assert.NilError(t, err)
		synctest.Wait()
		assert.NilError(t, s.Close())
		assert.NilError(t, s.Close())
	})
}

func TestStatusOfADispatch(t *testing.T) {
	for name, tc := range map[string]struct {
		code int
		body string
		want error
	}{
		"not taken":               {503, `{"taken":false}`, sr.ErrNotTaken},
		"taken":                   {503, `{"taken":true}`, sr.ErrConnectionLost},
		"503 of another server":   {503, `busy`, sr.ErrConnectionLost},
		"503 without a body":      {503, ``, sr.ErrConnectionLost},
		"503 with a long body":    {503, `{"taken":false}` + strings.Repeat(" ", 4096), sr.ErrConnectionLost},
		"other status, same body": {500, `{"taken":false}`, sr.ErrConnectionLost},
		"too many":                {429, ``, sr.ErrConnectionLost},
		"missing":                 {404, ``, sr.ErrConnectionLost},
		"redirect":                {307, ``, sr.ErrConnectionLost},
		"no content":              {204, ``, sr.ErrConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.Header().Set("Location", "http://"+address+"/v1/elsewhere")
				w.WriteHeader(tc.code)
				_, _ = io.WriteString(w, tc.body)
			})
			serve(t, h, srendpoint.Limits{}, func(t *testing.T, c *srendpoint.Client) {
				_, err := c.Dispatch(t.Context(), address, request("s"))
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Equal(t, requests, 1)
			})
		})
	}
}

func TestIncompleteRefusalMayHaveRun(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"taken":false}`)
	})
	serve(t, h, srendpoint.Limits{}, func(t *testing.T, c *srendpoint.Client) {
		_, err := c.Dispatch(t.Context(), address, request("s"))
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost), "%v", err)
	})
}

func TestLinesOfAnAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		want string
		end  error
	}{
		"whole":             {`{"seq":1,"text":"a"}|{"seq":2,"end":true}|`, "a", io.EOF},
		"unknown field":     {`{"seq":1,"text":"a","logprob":-1}|{"seq":2,"end":true}|`, "a", io.EOF},
		"after the end":     {`{"seq":1,"end":true}|{"seq":2,"text":"b"}|`, "", io.EOF},
		"repeated":          {`{"seq":1,"text":"a"}|{"seq":1,"text":"a"}|{"seq":2,"text":"b"}|{"seq":1,"text":"a"}|{"seq":3,"end":true}|`, "ab", io.EOF},
		"missing":           {`{"seq":1,"text":"a"}|{"seq":3,"text":"c"}|{"seq":4,"end":true}|`, "a", sr.ErrConnectionLost},
		"end after missing": {`{"seq":1,"text":"a"}|{"seq":3,"end":true}|`, "a", sr.ErrConnectionLost},
		"no end":            {`{"seq":1,"text":"a"}|`, "a", sr.ErrConnectionLost},
		"cut off line":      {`{"seq":1,"text":"a"}|{"seq":2,"end":true}`, "a", sr.ErrConnectionLost},
		"not JSON":          {`{"seq":1,"text":"a"}|hello|`, "a", sr.ErrConnectionLost},
		"sequence 0":        {`{"seq":0,"text":"a"}|{"seq":1,"end":true}|`, "", sr.ErrConnectionLost},
		"long line":         {`{"seq":1,"text":"` + strings.Repeat("x", 300) + `"}|{"seq":2,"end":true}|`, "", sr.ErrConnectionLost},
		"long answer":       {strings.Repeat(`{"seq":1,"text":"a"}|`, 60) + `{"seq":2,"end":true}|`, "a", sr.ErrConnectionLost},
		"empty":             {``, "", sr.ErrConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.ReplaceAll(tc.body, "|", "\n"))
			})
			limits := srendpoint.Limits{Line: 256, Answer: 1024}
			serve(t, h, limits, func(t *testing.T, c *srendpoint.Client) {
				s, err := c.Dispatch(t.Context(), address, request("s"))
				assert.NilError(t, err)
				tokens, err := collect(s)
				assert.Assert(t, errors.Is(err, tc.end), "%v", err)
				assert.Equal(t, strings.Join(texts(tokens), ""), tc.want)
				assert.NilError(t, s.Close())
			})
		})
	}
}

func TestSilentStreamFailsAfterTheIdleTimeout(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "{\"seq\":1,\"text\":\"a\"}\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	serve(t, h, srendpoint.Limits{}, func(t *testing.T, c *srendpoint.Client) {
		start := time.Now()
		s, err := c.Dispatch(t.Context(), address, request("s"))
		assert.NilError(t, err)
		tokens, err := collect(s)
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, len(tokens), 1)
		assert.Equal(t, time.Since(start), srconn.DefaultTimeouts().Idle)
		assert.NilError(t, s.Close())
	})
}

func TestInvalidLoadReportIsRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		want error
	}{
		"negative age":     {`{"age":-1,"start":"s"}`, sr.ErrInvalid},
		"excessive age":    {`{"age":9000000000000000000,"start":"s"}`, sr.ErrInvalid},
		"no start":         {`{"age":1}`, sr.ErrInvalid},
		"negative running": {`{"start":"s","running":-1}`, sr.ErrInvalid},
		"events out of order": {
			`{"start":"s","events":[{"seq":2,"block":"1"},{"seq":1,"block":"1"}]}`, sr.ErrInvalid,
		},
		"not JSON": {`none`, sr.ErrInvalid},
		"too long": {`{"start":"` + strings.Repeat("s", 2000) + `"}`, sr.ErrUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.body) })
			serve(t, h, srendpoint.Limits{Load: 1000}, func(t *testing.T, c *srendpoint.Client) {
				_, err := c.Load(t.Context(), address, 0)
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			})
		})
	}
}

func TestUnreachableEngine(t *testing.T) {
	serve(t, http.NotFoundHandler(), srendpoint.Limits{}, func(t *testing.T, c *srendpoint.Client) {
		const unusedAddress = "10.0.0.2:80"
		_, err := c.Dispatch(t.Context(), unusedAddress, request("s"))
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		_, err = c.Dispatch(t.Context(), "engine:80", request("s"))
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		_, err = c.Resume(t.Context(), unusedAddress, "s", 0)
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		_, err = c.Load(t.Context(), unusedAddress, 0)
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		assert.Assert(t, errors.Is(c.Cancel(t.Context(), unusedAddress, "s"), sr.ErrUnreachable))
	})
}

// An engine in trouble sends the answer of an earlier resumption once more, when the next one on
// the connection is expected. Answers do not name their stream, so nothing else tells them apart.
func TestCopyOfAnAnswerIsNotThatOfAnotherStream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				earlier := ""
				for b := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					body := fmt.Sprintf(`{"seq":1,"text":%q}`+"\n"+`{"seq":2,"end":true}`+"\n", r.URL.Path)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(conn, earlier+answer)
					earlier = answer
				}
			}()
		}
	}()
	c := srendpoint.New(srendpoint.Options{})
	defer c.Close()
	for _, stream := range []string{"a", "b", "c", "d"} {
		s, err := c.Resume(t.Context(), ln.Addr().String(), stream, 0)
		assert.NilError(t, err)
		tokens, err := collect(s)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, texts(tokens), []string{"/v1/streams/" + stream})
		assert.NilError(t, s.Close())
	}
}
