package srrig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
)

// submitEverywhere submits a request at all instances at once and retries each
// submission until it has an outcome.
func submitEverywhere(r *Rig, wg *sync.WaitGroup, q srhistory.Request) {
	for i := range Instances {
		wg.Go(func() { r.SubmitTicket(q, i, (i+1)%Instances) })
	}
}

// issueTickets returns n model requests of the top tier, n of the lowest tier and n
// bookings, with tickets issued by instance i.
func issueTickets(t *testing.T, r *Rig, i, n int) []srhistory.Request {
	t.Helper()
	var qs []srhistory.Request
	for k := range n {
		for _, q := range []srhistory.Request{
			TopTierRequest(fmt.Sprintf("question %d of %d", k, i)),
			ModelRequest(fmt.Sprintf("draft %d of %d", k, i), 3, 60),
			Booking(fmt.Sprintf("reservation %d of %d", k, i)),
		} {
			q, err := r.IssueTicket(r.Process(i), q)
			assert.NilError(t, err)
			qs = append(qs, q)
		}
	}
	return qs
}

// forEachSeed runs f as a subtest for each seed.
func forEachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Helper()
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { f(t, seed) })
	}
}

func TestSameTicketEverywhereAtOnceRunsOnce(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed}, func(t *testing.T, r *Rig) {
			r.SetFaults(r.RandomFaults(4))
			var wg sync.WaitGroup
			for _, q := range issueTickets(t, r, int(seed)%Instances, 4) {
				submitEverywhere(r, &wg, q)
			}
			wg.Wait()
		}, srhistory.AllAnswered)
	})
}

func TestIssuerKilledAroundTheSendRunsOnce(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed, Delay: 40 * time.Millisecond}, func(t *testing.T, r *Rig) {
			r.SetFaults(r.RandomFaults(6))
			issuer := int(seed) % Instances
			var wg sync.WaitGroup
			for _, q := range issueTickets(t, r, issuer, 4) {
				submitEverywhere(r, &wg, q)
			}
			time.Sleep(time.Duration(r.intN(400)) * time.Millisecond)
			r.Process(issuer).Kill()
			time.Sleep(time.Duration(r.intN(3000)) * time.Millisecond)
			_, err := r.Start(issuer)
			assert.NilError(t, err)
			wg.Wait()
		})
	})
}

func TestIssuerPausedAroundTheSendRunsOnce(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed, Delay: 40 * time.Millisecond}, func(t *testing.T, r *Rig) {
			issuer := r.Process(int(seed) % Instances)
			var wg sync.WaitGroup
			for _, q := range issueTickets(t, r, int(seed)%Instances, 4) {
				submitEverywhere(r, &wg, q)
			}
			time.Sleep(time.Duration(r.intN(400)) * time.Millisecond)
			if seed%2 == 0 {
				issuer.Pause()
			} else {
				issuer.PauseInWrite()
			}
			time.Sleep(time.Duration(1+r.intN(60)) * time.Second)
			issuer.Unpause()
			wg.Wait()
		})
	})
}

func TestTicketPastItsExpiryDoesNotRun(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 1}, func(t *testing.T, r *Rig) {
		issuer := r.Process(0)
		late, err := r.IssueTicket(issuer, TopTierRequest("late"))
		assert.NilError(t, err)
		used, err := r.IssueTicket(issuer, Booking("used"))
		assert.NilError(t, err)
		assert.Equal(t, r.SubmitTicket(used, 0).Outcome, sr.OutcomeComplete)
		issuer.Pause()
		// Tickets expire after 2 minutes; see settings.
		time.Sleep(3 * time.Minute)
		issuer.Unpause()
		for _, q := range []srhistory.Request{late, used} {
			a := r.Send(issuer, q)
			assert.Equal(t, a.Outcome, sr.OutcomeUnknown, a.Reason)
			assert.Equal(t, a.Name, "expired")
		}
		assert.Equal(t, r.Engines.Runs("late"), 0)
	})
}

func TestBookingIsNeitherCancelledNorTriedAgain(t *testing.T) {
	t.Parallel()
	for _, f := range []Fault{FaultResetBeforeRead, FaultResetAfterAccept, FaultDeliveredLate} {
		runRig(t, Options{Seed: uint64(f)}, func(t *testing.T, r *Rig) {
			r.SetFaults(func(string) Fault { return f })
			a := r.Submit(Booking("lot 7"), 2, 3)
			assert.Equal(t, a.Outcome, sr.OutcomeCutShort, a.Reason)
			time.Sleep(2 * lateDelay)
			want := 1
			if f == FaultResetBeforeRead {
				want = 0
			}
			assert.Equal(t, serviceRuns(r, "lot 7"), want)
		})
	}
}

// serviceRuns returns how often the plain services ran a body, by their own count.
func serviceRuns(r *Rig, body string) int {
	n := 0
	for _, e := range r.manifest.serviceEndpoints {
		n += r.Services.Service(e.Address).BodyRuns(Book, body)
	}
	return n
}

// A request to resume a ticket can arrive before its submission. It must not report
// "not run", since the submission runs afterwards.
func TestUnusedTicketIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 5}, func(t *testing.T, r *Rig) {
		q, err := r.IssueTicket(r.Process(0), TopTierRequest("slow to arrive"))
		assert.NilError(t, err)
		r.Resume(r.Process(1), q, "", 0)
		r.SubmitTicket(q, 0)
	})
}

// A restarted instance that has no manifest yet refuses the ticket of a running
// request. It must not report "not run", since the request runs at its issuer.
func TestFreshInstanceDoesNotCallAUsedTicketNotRun(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 6}, func(t *testing.T, r *Rig) {
		q, err := r.IssueTicket(r.Process(0), ModelRequest("asked again", 1, 200))
		assert.NilError(t, err)
		go r.SubmitTicket(q, 0)
		time.Sleep(time.Second)
		r.Process(1).Kill()
		r.Platform.SetStopped(true)
		// Without its peers the restarted instance cannot fetch the manifest.
		r.Partition([]int{1}, []int{0, 2, 3, 4, 5, 6})
		p, err := r.Start(1)
		assert.NilError(t, err)
		a := r.Send(p, q)
		assert.Equal(t, a.Name, "overloaded")
		r.Heal()
		time.Sleep(10 * time.Second)
	})
}

// A request whose target is no longer in the manifest may have run before. A
// resubmission must return its outcome instead of "not run".
func TestManifestChangeDoesNotCallAUsedTicketNotRun(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 7}, func(t *testing.T, r *Rig) {
		q, err := r.IssueTicket(r.Process(0), TopTierRequest("of a target that goes"))
		assert.NilError(t, err)
		assert.Equal(t, r.SubmitTicket(q, 0).Outcome, sr.OutcomeComplete)
		r.manifest.modelEndpoints = nil
		_, err = r.Publish()
		assert.NilError(t, err)
		time.Sleep(srhistory.ManifestBound)
		a := r.Send(r.Process(2), q)
		assert.Equal(t, a.Outcome, sr.OutcomeComplete, a.Reason)
	})
}
