package srrequest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

func TestTicketDoesNotBeginAgainWithATimeFromBeforeASweep(t *testing.T) {
	start := time.Unix(0, 0)
	expires := start.Add(time.Minute)
	table := srrequest.New(10, 10)
	r, created, err := table.Begin(start, "t1", expires, sr.Request{})
	assert.NilError(t, err)
	assert.Assert(t, created)
	r.End(start, sr.Status{Outcome: sr.OutcomeComplete})

	assert.Equal(t, table.Sweep(expires.Add(time.Second), time.Second), 1)

	_, created, err = table.Begin(expires.Add(-time.Second), "t1", expires, sr.Request{})
	assert.ErrorIs(t, err, sr.ErrExpired)
	assert.Assert(t, !created)
}
