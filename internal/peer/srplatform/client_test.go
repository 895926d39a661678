package srplatform_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srplatform"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srpipe"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

const address = "10.0.0.1:80"

// serve runs a server with handler h at address in virtual time and calls run with a
// client for it.
func serve(t *testing.T, h http.Handler, run func(t *testing.T, c *srplatform.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := srpipe.New()
		l, err := n.Listen(address)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, srweb.Serve(ctx, l, h)) })
		c, err := srplatform.New(srplatform.Options{Address: address, Conn: srconn.Options{Dial: n.DialContext}})
		assert.NilError(t, err)
		run(t, c)
		c.Close()
		cancel()
		wg.Wait()
	})
}

// serveStore is serve with a stand-in configuration service, which is created inside
// the synctest bubble.
func serveStore(t *testing.T, run func(t *testing.T, c *srplatform.Client, s *srconfig.Store)) {
	var s *srconfig.Store
	lazy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { srconfig.Handler(s).ServeHTTP(w, r) })
	serve(t, lazy, func(t *testing.T, c *srplatform.Client) {
		cfg := srconfig.DefaultConfig()
		cfg.Rate, cfg.Burst = 100, 100
		s = srconfig.New(cfg)
		run(t, c, s)
	})
}

func TestValuesAreReadUnchanged(t *testing.T) {
	serveStore(t, func(t *testing.T, c *srplatform.Client, s *srconfig.Store) {
		for _, key := range []string{"manifest", "manifest/tiers", "a b?c%"} {
			_, err := c.Read(t.Context(), key)
			assert.Assert(t, errors.Is(err, sr.ErrMissing), "key %q: %v", key, err)
			data := bytes.Repeat([]byte(key)[:1], srplatform.MaxValueBytes)
			revision, err := s.Set(key, data)
			assert.NilError(t, err)
			v, err := c.Read(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, v.Revision, revision)
			assert.Assert(t, bytes.Equal(v.Data, data))
		}
	})
}

func TestWatchSpansSeveralCalls(t *testing.T) {
	serveStore(t, func(t *testing.T, c *srplatform.Client, s *srconfig.Store) {
		revision, err := s.Set("a", []byte("one"))
		assert.NilError(t, err)
		time.AfterFunc(100*time.Second, func() {
			_, err := s.Set("a", []byte("two"))
			assert.Check(t, err)
		})
		start := time.Now()
		v, err := c.Watch(t.Context(), "a", revision)
		assert.NilError(t, err)
		assert.Equal(t, string(v.Data), "two")
		assert.Equal(t, time.Since(start), 100*time.Second)
		assert.Equal(t, s.Calls().Watches, 4)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Watch(ctx, "a", v.Revision)
		assert.Assert(t, err != nil)
		assert.Assert(t, ctx.Err() != nil)
	})
}

func TestErrorsOfAStoppedAndARateLimitedService(t *testing.T) {
	serveStore(t, func(t *testing.T, c *srplatform.Client, s *srconfig.Store) {
		_, err := s.Set("a", []byte("one"))
		assert.NilError(t, err)
		s.SetStopped(true)
		_, err = c.Read(t.Context(), "a")
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		s.SetStopped(false)
		time.AfterFunc(time.Second, func() { s.SetStopped(true) })
		_, err = c.Watch(t.Context(), "b", 0)
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		s.SetStopped(false)
		for range 101 {
			_, err = c.Read(t.Context(), "a")
		}
		assert.Assert(t, errors.Is(err, sr.ErrLimited))
	})
}

func TestInstancesAreReadUnchanged(t *testing.T) {
	serveStore(t, func(t *testing.T, c *srplatform.Client, s *srconfig.Store) {
		want := []sr.Instance{
			{Address: "10.0.0.1:1", Domain: "oost-a"},
			{Address: "[fd00::2]:1", Domain: "oost-b", Leaving: true},
		}
		assert.NilError(t, s.SetInstances(want))
		time.Sleep(srconfig.DefaultConfig().Lag)
		got, err := c.Instances(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		revision string
		body     string
		call     func(context.Context, *srplatform.Client) error
		want     error
	}{
		"no revision":                     {"", "x", readValue, sr.ErrInvalid},
		"revision is not a number":        {"one", "x", readValue, sr.ErrInvalid},
		"long value":                      {"1", string(make([]byte, srplatform.MaxValueBytes+1)), readValue, sr.ErrUnreachable},
		"watch returns an old revision":   {"5", "x", watchValue, sr.ErrInvalid},
		"instance address is a host name": {"", `[{"address":"entry:1","domain":"a"}]`, listInstances, sr.ErrInvalid},
		"list is not JSON":                {"", `none`, listInstances, sr.ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Revision", tc.revision)
				_, _ = io.WriteString(w, tc.body)
			})
			serve(t, h, func(t *testing.T, c *srplatform.Client) {
				err := tc.call(t.Context(), c)
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			})
		})
	}
}

// A service that answers at once, without waiting, must not be called in a busy loop.
func TestWatchIsRateLimitedWhenTheServiceDoesNotWait(t *testing.T) {
	calls := 0
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusNoContent)
	})
	serve(t, h, func(t *testing.T, c *srplatform.Client) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		_, err := c.Watch(ctx, "a", 0)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Equal(t, calls, 11)
	})
}

func TestOptionsAreValidated(t *testing.T) {
	for _, o := range []srplatform.Options{
		{Address: "platform:80"},
		{Address: address, Wait: time.Millisecond},
		{Address: address, Wait: time.Hour},
	} {
		_, err := srplatform.New(o)
		assert.Assert(t, errors.Is(err, sr.ErrInvalid), "%+v", o)
	}
}

func readValue(ctx context.Context, c *srplatform.Client) error {
	_, err := c.Read(ctx, "a")
	return err
}

func watchValue(ctx context.Context, c *srplatform.Client) error {
	_, err := c.Watch(ctx, "a", 5)
	return err
}

func listInstances(ctx context.Context, c *srplatform.Client) error {
	_, err := c.Instances(ctx)
	return err
}
