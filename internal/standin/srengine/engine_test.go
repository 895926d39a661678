package srengine_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

// testConfig has round numbers: 1000 prompt tokens per second, 10 ms per step.
func testConfig() srengine.Config {
	cfg := srengine.DefaultConfig()
	cfg.Slots, cfg.Queue = 4, 2
	cfg.Prefill, cfg.Chunk = 1000, 100
	cfg.Step, cfg.Growth = 10*time.Millisecond, 0
	cfg.LoadLag, cfg.EventLag, cfg.EventLoss = 0, 0, 0
	return cfg
}

func newEngine(cfg srengine.Config) *srengine.Engine {
	return srengine.New(cfg, rand.New(rand.NewPCG(1, 2)))
}

func dispatch(id, prompt string, tokens int) sr.Dispatch {
	return sr.Dispatch{Stream: id, Workspace: "mill", Model: "m", Prompt: prompt, Tokens: tokens}
}

// collect reads a stream to its end.
func collect(s sr.Stream) (texts []string, cut string, err error) {
	for {
		t, err := s.Next(context.Background())
		if err != nil {
			return texts, "", err
		}
		if t.End {
			return texts, t.Cut, nil
		}
		texts = append(texts, t.Text)
	}
}

func TestAnswerIsCompleteAndTakesTheTimeOfItsSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		prompt := strings.Repeat("salt", 250)
		began := time.Now()
		s, err := e.Dispatch(t.Context(), dispatch("a", prompt, 11))
		assert.NilError(t, err)
		texts, cut, err := collect(s)
		assert.NilError(t, err)
		assert.Equal(t, cut, "")
		assert.DeepEqual(t, texts, srengine.Answer(prompt, 11))
		assert.Equal(t, time.Since(began), 250*time.Millisecond+10*10*time.Millisecond)
		_, err = s.Next(t.Context())
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Equal(t, e.Runs(prompt), 1)
		assert.Equal(t, e.StreamRuns("a"), 1)
	})
}

func TestAnswersToOtherPromptsDiffer(t *testing.T) {
	a, b := srengine.Answer("lot 7", 4), srengine.Answer("lot 8", 4)
	for i := range a {
		assert.Assert(t, a[i] != b[i], "token %d", i)
	}
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		prefix := strings.Repeat("a", 4*srprefix.BlockTokens*srprefix.TokenBytes)
		for i, prompt := range []string{prefix + "long", prefix + "tall"} {
			s, err := e.Dispatch(t.Context(), dispatch(prompt, prompt, 1))
			assert.NilError(t, err)
			_, _, err = collect(s)
			assert.NilError(t, err)
			if i == 0 {
				assert.Equal(t, e.Stats().Prefilled, 4*srprefix.BlockTokens+1)
			}
		}
		assert.Equal(t, e.Stats().Prefilled, 4*srprefix.BlockTokens+2)
		other := dispatch("other", prefix+"long", 1)
		other.Workspace = "yard"
		_, err := e.Dispatch(t.Context(), other)
		assert.NilError(t, err)
		assert.Equal(t, e.Stats().Prefilled, 8*srprefix.BlockTokens+3)
	})
}

func TestLargerBatchLengthensEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.Growth = 0.1
		cfg.Prefill = 1e9
		e := newEngine(cfg)
		var streams []sr.Stream
		for _, id := range []string{"a", "b", "c"} {
			s, err := e.Dispatch(t.Context(), dispatch(id, id, 11))
			assert.NilError(t, err)
			streams = append(streams, s)
		}
		began := time.Now()
		for _, s := range streams {
			_, _, err := collect(s)
			assert.NilError(t, err)
		}
		// With two and three requests in the batch a step takes 11 and 12 ms.
		took := time.Since(began)
		assert.Assert(t, took >= 10*11*time.Millisecond && took <= 12*12*time.Millisecond, "took %v", took)
	})
}

func TestFullWaitingListRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		e := newEngine(cfg)
		for i := range cfg.Slots + cfg.Queue {
			_, err := e.Dispatch(t.Context(), dispatch(string(rune('a'+i)), "q", 5))
			assert.NilError(t, err)
		}
		_, err := e.Dispatch(t.Context(), dispatch("z", "refused", 5))
		assert.Assert(t, errors.Is(err, sr.ErrNotTaken))
		assert.Equal(t, e.Runs("refused"), 0)
		assert.Equal(t, e.Runs("q"), cfg.Slots+cfg.Queue)
	})
}

func TestColdEngineCrashesAboveItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig().WithCold(2, 2, time.Second)
		cfg.Outage = time.Second
		e := newEngine(cfg)
		before, err := e.Load(t.Context(), 0)
		assert.NilError(t, err)
		a, err := e.Dispatch(t.Context(), dispatch("a", "a", 5))
		assert.NilError(t, err)
		_, err = e.Dispatch(t.Context(), dispatch("b", "b", 5))
		assert.NilError(t, err)
		_, err = e.Dispatch(t.Context(), dispatch("c", "c", 5))
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		_, err = a.Next(t.Context())
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		assert.Equal(t, e.ColdCrashes(), 1)
		assert.Equal(t, e.Runs("c"), 1)

		_, err = e.Dispatch(t.Context(), dispatch("d", "d", 5))
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		time.Sleep(time.Second)
		after, err := e.Load(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, before.Start != after.Start)
		_, err = e.Resume(t.Context(), "a", 0)
		assert.Assert(t, errors.Is(err, sr.ErrNoStream))
	})
}

func TestColdStartEndsAfterBothRequestsAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig().WithCold(1, 2, time.Second))
		run := func(id string) {
			s, err := e.Dispatch(t.Context(), dispatch(id, id, 2))
			assert.NilError(t, err)
			_, _, err = collect(s)
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Second)
		run("a")
		assert.Assert(t, e.Cold())
		run("b")
		assert.Assert(t, !e.Cold())
		e.GoCold()
		run("c")
		run("d")
		assert.Assert(t, e.Cold())
		time.Sleep(time.Second)
		assert.Assert(t, !e.Cold())
		assert.Equal(t, e.ColdCrashes(), 0)
	})
}

func TestStreamIsResumedAfterAToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		e := newEngine(cfg)
		s, err := e.Dispatch(t.Context(), dispatch("a", "p", 6))
		assert.NilError(t, err)
		_, err = s.Next(t.Context())
		assert.NilError(t, err)
		e.Disconnect()
		_, _, err = collect(s)
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))

		s, err = e.Resume(t.Context(), "a", 1)
		assert.NilError(t, err)
		texts, _, err := collect(s)
		assert.NilError(t, err)
		assert.DeepEqual(t, texts, srengine.Answer("p", 6)[1:])

		time.Sleep(cfg.Retention - time.Millisecond)
		_, err = e.Resume(t.Context(), "a", 6)
		assert.NilError(t, err)
		time.Sleep(time.Millisecond)
		_, err = e.Resume(t.Context(), "a", 6)
		assert.Assert(t, errors.Is(err, sr.ErrNoStream))
		assert.Equal(t, e.Runs("p"), 1)
	})
}

func TestRetainedStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.Retained = 1
		e := newEngine(cfg)
		for _, id := range []string{"a", "b"} {
			s, err := e.Dispatch(t.Context(), dispatch(id, id, 1))
			assert.NilError(t, err)
			_, _, err = collect(s)
			assert.NilError(t, err)
		}
		_, err := e.Resume(t.Context(), "a", 0)
		assert.Assert(t, errors.Is(err, sr.ErrNoStream))
		_, err = e.Resume(t.Context(), "b", 0)
		assert.NilError(t, err)
	})
}

func TestCancelIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		s, err := e.Dispatch(t.Context(), dispatch("a", "p", 100))
		assert.NilError(t, err)
		_, err = s.Next(t.Context())
		assert.NilError(t, err)
		for range 2 {
			assert.NilError(t, e.Cancel(t.Context(), "a"))
		}
		assert.NilError(t, e.Cancel(t.Context(), "unknown"))
		texts, cut, err := collect(s)
		assert.NilError(t, err)
		assert.Equal(t, cut, srengine.CutCancelled)
		assert.Assert(t, len(texts) < 99)
		l, err := e.Load(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, l.Running, 0)
	})
}

func TestFrozenEngineAcceptsRequestsWhenThawed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		running, err := e.Dispatch(t.Context(), dispatch("a", "p", 3))
		assert.NilError(t, err)
		e.Freeze()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.Dispatch(ctx, dispatch("b", "late", 3))
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Equal(t, e.Runs("late"), 0)
		e.Thaw()
		assert.Equal(t, e.Runs("late"), 1)
		texts, _, err := collect(running)
		assert.NilError(t, err)
		assert.DeepEqual(t, texts, srengine.Answer("p", 3))
		s, err := e.Resume(t.Context(), "b", 0)
		assert.NilError(t, err)
		texts, _, err = collect(s)
		assert.NilError(t, err)
		assert.DeepEqual(t, texts, srengine.Answer("late", 3))
	})
}

func TestKilledEngineIsDownUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		s, err := e.Dispatch(t.Context(), dispatch("a", "p", 50))
		assert.NilError(t, err)
		e.Kill()
		_, _, err = collect(s)
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		_, err = e.Dispatch(t.Context(), dispatch("b", "p", 50))
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		_, err = e.Load(t.Context(), 0)
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		e.Restart()
		_, err = e.Resume(t.Context(), "a", 0)
		assert.Assert(t, errors.Is(err, sr.ErrNoStream))
		assert.Equal(t, e.Runs("p"), 1)
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.LoadLag = time.Second
		e := newEngine(cfg)
		time.Sleep(2 * time.Second)
		_, err := e.Dispatch(t.Context(), dispatch("a", "p", 1000))
		assert.NilError(t, err)
		stale := 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			l, err := e.Load(t.Context(), 0)
			assert.NilError(t, err)
			assert.Assert(t, l.Age >= 0 && l.Age <= cfg.LoadLag)
			stale += 1 - l.Running
		}
		assert.Assert(t, stale > 0 && stale < 20, "%d reports without the request", stale)
		time.Sleep(cfg.LoadLag)
		l, err := e.Load(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, l.Running, 1)
	})
}

func TestCacheEventsAreDelayedOrderedAndMayBeLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.Cache, cfg.EventLag, cfg.EventLoss = 50, time.Second, 0.3
		e := newEngine(cfg)
		s, err := e.Dispatch(t.Context(), dispatch("a", strings.Repeat("abcd", 100*srprefix.BlockTokens), 1))
		assert.NilError(t, err)
		_, _, err = collect(s)
		assert.NilError(t, err)
		l, err := e.Load(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, l.Cached, 50)
		early := len(l.Events)
		time.Sleep(cfg.EventLag)
		l, err = e.Load(t.Context(), 0)
		assert.NilError(t, err)
		// 100 blocks are added and 50 evicted.
		assert.Assert(t, early < len(l.Events) && len(l.Events) < 150)
		for i := 1; i < len(l.Events); i++ {
			assert.Assert(t, l.Events[i].Seq > l.Events[i-1].Seq)
		}
		rest, err := e.Load(t.Context(), l.Events[9].Seq)
		assert.NilError(t, err)
		assert.DeepEqual(t, rest.Events, l.Events[10:])
	})
}
