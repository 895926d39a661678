package srconfig_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
)

func set(t *testing.T, s *srconfig.Store, key, data string) uint64 {
	t.Helper()
	revision, err := s.Set(key, []byte(data))
	assert.NilError(t, err)
	return revision
}

func read(t *testing.T, s *srconfig.Store, key string) string {
	t.Helper()
	v, err := s.Read(t.Context(), key)
	assert.NilError(t, err)
	return string(v.Data)
}

func TestWatchReturnsTheNextRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srconfig.New(srconfig.DefaultConfig())
		_, err := s.Read(t.Context(), "a")
		assert.Assert(t, errors.Is(err, sr.ErrMissing))
		time.AfterFunc(time.Second, func() { set(t, s, "b", "other") })
		time.AfterFunc(2*time.Second, func() { set(t, s, "a", "one") })
		v, err := s.Watch(t.Context(), "a", 0)
		assert.NilError(t, err)
		assert.Equal(t, string(v.Data), "one")
		time.AfterFunc(time.Minute, func() { set(t, s, "a", "two") })
		w, err := s.Watch(t.Context(), "a", v.Revision)
		assert.NilError(t, err)
		assert.Equal(t, string(w.Data), "two")
		assert.Assert(t, w.Revision > v.Revision)
		// The second watch waited for a minute, which takes several calls of at most
		// 30 seconds.
		c := s.Calls()
		assert.Equal(t, c.Reads, 1)
		assert.Assert(t, c.Watches == 3 || c.Watches == 4, "%d watches", c.Watches)
	})
}

func TestWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srconfig.New(srconfig.DefaultConfig())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Watch(ctx, "a", 0)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	})
}

func TestValuesAreBounded(t *testing.T) {
	s := srconfig.New(srconfig.DefaultConfig())
	_, err := s.Set("a", make([]byte, srconfig.MaxValue))
	assert.NilError(t, err)
	_, err = s.Set("a", make([]byte, srconfig.MaxValue+1))
	assert.Assert(t, errors.Is(err, sr.ErrInvalid))
	_, err = s.Set("", nil)
	assert.Assert(t, errors.Is(err, sr.ErrInvalid))
}

func TestCallsAboveTheRateAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := srconfig.DefaultConfig()
		cfg.Rate, cfg.Burst = 10, 10
		s := srconfig.New(cfg)
		set(t, s, "a", "one")
		for range 10 {
			read(t, s, "a")
		}
		_, err := s.Read(t.Context(), "a")
		assert.Assert(t, errors.Is(err, sr.ErrLimited))
		time.Sleep(100 * time.Millisecond)
		read(t, s, "a")
		assert.Equal(t, s.Calls(), srconfig.Calls{Reads: 11, Limited: 1})
	})
}

func TestStoppedServiceGivesNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srconfig.New(srconfig.DefaultConfig())
		time.AfterFunc(time.Second, func() { s.SetStopped(true) })
		_, err := s.Watch(t.Context(), "a", 0)
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		_, err = s.Instances(t.Context())
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		s.SetStopped(false)
		set(t, s, "a", "one")
		assert.Equal(t, read(t, s, "a"), "one")
	})
}

func TestStaleServiceShowsOldValues(t *testing.T) {
	s := srconfig.New(srconfig.DefaultConfig())
	first := set(t, s, "a", "one")
	set(t, s, "a", "two")
	s.SetStale(true)
	set(t, s, "a", "three")
	set(t, s, "b", "new")
	assert.Equal(t, read(t, s, "a"), "two")
	_, err := s.Read(t.Context(), "b")
	assert.Assert(t, errors.Is(err, sr.ErrMissing))
	s.SetStaleAt(first)
	assert.Equal(t, read(t, s, "a"), "one")
	s.SetStale(false)
	assert.Equal(t, read(t, s, "a"), "three")
}

func TestReplayPublishesAnOldValueAgain(t *testing.T) {
	s := srconfig.New(srconfig.DefaultConfig())
	first := set(t, s, "a", "one")
	second := set(t, s, "a", "two")
	third, err := s.Replay("a", first)
	assert.NilError(t, err)
	assert.Assert(t, third > second)
	assert.Equal(t, read(t, s, "a"), "one")
	_, err = s.Replay("a", 99)
	assert.Assert(t, errors.Is(err, sr.ErrMissing))
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srconfig.New(srconfig.DefaultConfig())
		lag := srconfig.DefaultConfig().Lag
		one := []sr.Instance{{Address: "10.0.0.1:1", Domain: "brno-a"}}
		two := append(one, sr.Instance{Address: "10.0.0.2:1", Domain: "brno-b", Leaving: true})
		check := func(want []sr.Instance) {
			t.Helper()
			got, err := s.Instances(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
		assert.NilError(t, s.SetInstances(one))
		check(nil)
		time.Sleep(lag)
		assert.NilError(t, s.SetInstances(two))
		check(one)
		time.Sleep(lag)
		check(two)
	})
}
