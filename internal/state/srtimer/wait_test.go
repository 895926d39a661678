package srtimer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

func TestWaitEndsAfterTheTimeOrWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NilError(t, srtimer.Wait(t.Context(), time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		assert.NilError(t, srtimer.Wait(t.Context(), 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(srtimer.Wait(ctx, time.Hour), context.DeadlineExceeded))
		assert.Assert(t, errors.Is(srtimer.Wait(ctx, 0), context.DeadlineExceeded))
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}
