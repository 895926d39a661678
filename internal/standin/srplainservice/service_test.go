package srplainservice_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

func testConfig() srplainservice.Config {
	return srplainservice.Config{Slots: 2, Latency: 10 * time.Millisecond, Slow: 5, Once: []string{"book"}}
}

func call(id, body string) sr.Call {
	return sr.Call{Service: "desk", Operation: "book", ID: id, Workspace: "yard", Body: body}
}

func TestCallIsCountedByIDAndByBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srplainservice.New(testConfig())
		began := time.Now()
		for _, id := range []string{"t1", "t2"} {
			a, err := s.Call(t.Context(), call(id, "lot 7"))
			assert.NilError(t, err)
			assert.Equal(t, a, sr.Answer{Code: 200, Body: srplainservice.Reply("book", id, "lot 7")})
		}
		assert.Equal(t, time.Since(began), 20*time.Millisecond)
		assert.Equal(t, s.Runs("t1"), 1)
		assert.Equal(t, s.Runs("t3"), 0)
		assert.Equal(t, s.BodyRuns("book", "lot 7"), 2)
		assert.Equal(t, s.BodyRuns("read", "lot 7"), 0)
		assert.Equal(t, s.Stats().Duplicates, 1)
	})
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		fault srplainservice.Fault
		want  error
		runs  int
		took  time.Duration
	}{
		{srplainservice.FaultNone, nil, 1, 10 * time.Millisecond},
		{srplainservice.FaultBeforeRead, sr.ErrConnectionLost, 0, 0},
		{srplainservice.FaultAfterRun, sr.ErrConnectionLost, 1, 10 * time.Millisecond},
		{srplainservice.FaultSlow, nil, 1, 50 * time.Millisecond},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := srplainservice.New(testConfig())
				assert.NilError(t, s.SetFault(tc.fault))
				began := time.Now()
				_, err := s.Call(t.Context(), call("t1", "lot 7"))
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Equal(t, s.Runs("t1"), tc.runs)
				assert.Equal(t, time.Since(began), tc.took)
			})
		})
	}
	assert.Assert(t, errors.Is(srplainservice.New(testConfig()).SetFault("other"), sr.ErrInvalid))
}

func TestCallAboveTheSlotsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srplainservice.New(testConfig())
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				_, err := s.Call(t.Context(), call(fmt.Sprint(i), "lot"))
				assert.Check(t, err)
			})
		}
		synctest.Wait()
		l, err := s.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, l.Running, 2)
		_, err = s.Call(t.Context(), call("t9", "lot"))
		assert.Assert(t, errors.Is(err, sr.ErrNotTaken))
		assert.Equal(t, s.Runs("t9"), 0)
		wg.Wait()
	})
}

func TestKilledServiceFailsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srplainservice.New(testConfig())
		before, err := s.Load(t.Context())
		assert.NilError(t, err)
		time.AfterFunc(time.Millisecond, s.Kill)
		_, err = s.Call(t.Context(), call("t1", "lot"))
		assert.Assert(t, errors.Is(err, sr.ErrConnectionLost))
		_, err = s.Call(t.Context(), call("t2", "lot"))
		assert.Assert(t, errors.Is(err, sr.ErrNotSent))
		_, err = s.Load(t.Context())
		assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		s.Restart()
		after, err := s.Load(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, before.Start != after.Start)
		assert.Equal(t, s.Runs("t1"), 1)
	})
}

func TestCancelledCallMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := srplainservice.New(testConfig())
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.Call(ctx, call("t1", "lot"))
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Equal(t, s.Runs("t1"), 1)
	})
}
