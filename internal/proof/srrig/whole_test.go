package srrig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

func TestAnswersThatBreakOffAreResumedWhole(t *testing.T) {
	t.Parallel()
	for _, f := range []Fault{FaultResetAfterAccept, FaultCutShort, FaultDuplicateToken, FaultMissingToken} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			t.Parallel()
			runRig(t, Options{Seed: uint64(f), Delay: 20 * time.Millisecond}, func(t *testing.T, r *Rig) {
				r.SetFaults(func(string) Fault { return f })
				var wg sync.WaitGroup
				for i, body := range Bodies("crossed", 4*Instances) {
					wg.Go(func() {
						a := r.Submit(TopTierRequest(body), i%Instances, (i+1)%Instances)
						assert.Check(t, a.Outcome == sr.OutcomeComplete, a.Reason)
					})
				}
				wg.Wait()
			}, srhistory.AllAnswered)
		})
	}
}

func TestAnswerIsResumedAfterTheIssuersDeath(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed}, func(t *testing.T, r *Rig) {
			var wg sync.WaitGroup
			for _, body := range Bodies("long", 6) {
				wg.Go(func() {
					a := r.Submit(ModelRequest(body, 1, 100), 0, 1, 2)
					assert.Check(t, a.Outcome == sr.OutcomeComplete, a.Reason)
					assert.Check(t, joinedText(r, body) == strings.Join(srengine.Answer(body, 100), ""))
				})
			}
			time.Sleep(time.Second + time.Duration(r.intN(1000))*time.Millisecond)
			r.Process(0).Kill()
			time.Sleep(time.Duration(r.intN(300)) * time.Millisecond)
			r.Process(1).Kill()
			wg.Wait()
		}, srhistory.AllAnswered)
	})
}

// joinedText returns the text of an answer, joined from all exchanges in which
// parts of it arrived.
func joinedText(r *Rig, body string) string {
	e := r.History.Events()
	ticket := ""
	for _, q := range e.Requests {
		if q.Body == body {
			ticket = q.Ticket
		}
	}
	var b strings.Builder
	for _, a := range e.Answers {
		for _, event := range a.Events {
			if a.Ticket == ticket {
				b.WriteString(event.Text)
			}
		}
	}
	return b.String()
}

func TestFrozenEndpointAnswersLateAndWhole(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 3}, func(t *testing.T, r *Rig) {
		var wg sync.WaitGroup
		for i, body := range Bodies("late", 2*Instances) {
			wg.Go(func() { r.Submit(TopTierRequest(body), i%Instances, (i+3)%Instances) })
		}
		time.Sleep(150 * time.Millisecond)
		for _, e := range r.manifest.modelEndpoints {
			r.Engines.Engine(e.Address).Freeze()
		}
		time.Sleep(8 * time.Second)
		for _, e := range r.manifest.modelEndpoints {
			r.Engines.Engine(e.Address).Thaw()
		}
		wg.Wait()
	}, srhistory.AllAnswered)
}

// After its retention an answer can no longer be returned. The request is reported
// as expired, with its outcome but without an answer.
func TestAnswerThatIsNotKeptIsNotCalledWhole(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 9}, func(t *testing.T, r *Rig) {
		for _, q := range []srhistory.Request{Booking("early lot"), TopTierRequest("early question")} {
			q, err := r.IssueTicket(r.Process(0), q)
			assert.NilError(t, err)
			assert.Equal(t, r.SubmitTicket(q, 0).Outcome, sr.OutcomeComplete)
			// Answers are retained for 30 seconds; see settings.
			time.Sleep(40 * time.Second)
			a := r.Send(r.Process(3), q)
			assert.Equal(t, a.Name, "expired")
			assert.Equal(t, a.Outcome, sr.OutcomeComplete)
		}
	})
}

func TestFollowReturnsWhenItsCallerCancels(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 1}, func(t *testing.T, r *Rig) {
		q, err := r.IssueTicket(r.Process(0), ModelRequest("left alone", 3, 100))
		assert.NilError(t, err)
		go r.SubmitTicket(q, 0)
		time.Sleep(200 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f := r.Process(0).Instance.Entry().Follow(q.Ticket, q.Workspace, "", 1000)
		defer f.Close()
		_, _, err = f.Next(ctx)
		assert.ErrorIs(t, err, context.Canceled)
	})
}
