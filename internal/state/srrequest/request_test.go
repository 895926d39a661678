package srrequest_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

var request = sr.Request{Kind: sr.KindModel, Workspace: "intake", Target: "m", Body: "q", Budget: time.Minute}

func TestTicketIsUsedOnce(t *testing.T) {
	table := srrequest.New(8, 8)
	now := time.Unix(0, 0)
	first, created, err := table.Begin(now, "t1", now.Add(time.Hour), request)
	assert.NilError(t, err)
	assert.Assert(t, created)
	again, created, err := table.Begin(now, "t1", now.Add(time.Hour), request)
	assert.NilError(t, err)
	assert.Assert(t, !created)
	assert.Equal(t, first, again)

	other := request
	other.Body = "another question"
	_, _, err = table.Begin(now, "t1", now.Add(time.Hour), other)
	assert.Assert(t, errors.Is(err, sr.ErrConflict))
}

func TestRequestIsSentOnce(t *testing.T) {
	table := srrequest.New(8, 8)
	now := time.Unix(0, 0)
	r, _, err := table.Begin(now, "t1", now.Add(time.Hour), request)
	assert.NilError(t, err)
	assert.Assert(t, r.MarkSent("r1", "x"))
	assert.Assert(t, !r.MarkSent("r2", "y"))
	r.MarkNotTaken()
	assert.Assert(t, r.MarkSent("r2", "y"))
	assert.NilError(t, r.Append(sr.Event{Seq: 1, Type: sr.EventReceipt}))
	r.MarkNotTaken()
	assert.Equal(t, r.Status().State, sr.StateSent)
	assert.Assert(t, r.End(now, sr.Status{Outcome: sr.OutcomeCutShort}))
	assert.Assert(t, !r.End(now, sr.Status{Outcome: sr.OutcomeComplete}))
	assert.Equal(t, r.Status().Outcome, sr.OutcomeCutShort)
}

func TestEventsHaveNoGaps(t *testing.T) {
	table := srrequest.New(8, 8)
	now := time.Unix(0, 0)
	r, _, err := table.Begin(now, "t1", now, request)
	assert.NilError(t, err)
	assert.NilError(t, r.Append(sr.Event{Seq: 1}))
	assert.Assert(t, errors.Is(r.Append(sr.Event{Seq: 3}), sr.ErrInvalid))
	assert.Assert(t, errors.Is(r.Append(sr.Event{Seq: 1}), sr.ErrInvalid))
}

func TestRecordOutlivesItsTicket(t *testing.T) {
	table := srrequest.New(1, 8)
	now := time.Unix(0, 0)
	r, _, err := table.Begin(now, "t1", now.Add(time.Hour), request)
	assert.NilError(t, err)
	r.End(now, sr.Status{Outcome: sr.OutcomeComplete})
	assert.Equal(t, table.Sweep(now.Add(30*time.Minute), time.Minute), 0)
	_, _, err = table.Begin(now, "t2", now, request)
	assert.Assert(t, errors.Is(err, sr.ErrOverloaded))
	assert.Equal(t, table.Sweep(now.Add(61*time.Minute), time.Minute), 1)
}

func TestWaitReturnsNewEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := srrequest.New(8, 8)
		r, _, err := table.Begin(time.Now(), "t1", time.Now(), request)
		assert.NilError(t, err)
		go func() {
			time.Sleep(time.Second)
			assert.Check(t, r.Append(sr.Event{Seq: 1}))
		}()
		start := time.Now()
		events, _ := r.Wait(t.Context(), 0, time.Minute)
		assert.Equal(t, len(events), 1)
		assert.Equal(t, time.Since(start), time.Second)
		events, status := r.Wait(t.Context(), 1, time.Minute)
		assert.Equal(t, len(events), 0)
		assert.Equal(t, status.State, sr.StateWaiting)
	})
}
