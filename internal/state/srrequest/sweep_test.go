package srrequest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// TestTicketDoesNotBeginAgainWithATimeFromBeforeASweep guards against a second run of a
// ticket: a caller reads the time, a sweep then removes the ticket's record because
// the ticket has expired, and Begin is called with the earlier time.
func TestTicketDoesNotBeginAgainWithATimeFromBeforeASweep(t *testing.T) {
	start := time.Unix(0, 0)
	expiresAt := start.Add(time.Minute)
	table := srrequest.New(10, 10)
	r, created, err := table.Begin(start, "t1", expiresAt, sr.Request{})
	assert.NilError(t, err)
	assert.Assert(t, created)
	r.End(start, sr.Status{Outcome: sr.OutcomeComplete})

	assert.Equal(t, table.Sweep(expiresAt.Add(time.Second), time.Second), 1)

	_, created, err = table.Begin(expiresAt.Add(-time.Second), "t1", expiresAt, sr.Request{})
	assert.ErrorIs(t, err, sr.ErrExpired)
	assert.Assert(t, !created)
}
