package srtrace_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

func TestStepsAreKeptInOrder(t *testing.T) {
	l := srtrace.New(4)
	at := time.Unix(1, 0)
	l.Add("a", at, "accept", "tier %d", 1)
	l.Add("b", at, "accept", "tier %d", 2)
	l.Add("a", at, "grant", "r1")
	steps, err := l.Steps("a")
	assert.NilError(t, err)
	assert.DeepEqual(t, steps, []sr.Step{{At: at, Step: "accept", Detail: "tier 1"}, {At: at, Step: "grant", Detail: "r1"}})
}

func TestOldestStepIsDropped(t *testing.T) {
	l := srtrace.New(2)
	for _, ticket := range []string{"a", "b", "c"} {
		l.Add(ticket, time.Unix(1, 0), "accept", "")
	}
	_, err := l.Steps("a")
	assert.Assert(t, errors.Is(err, sr.ErrMissing))
	kept, dropped := l.Len()
	assert.Equal(t, kept, 2)
	assert.Equal(t, dropped, int64(1))
}
