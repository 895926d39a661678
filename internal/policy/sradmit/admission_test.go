package sradmit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

var epoch = time.Unix(1000, 0)

// at returns the time that many milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// admit calls Admit n times and returns how many requests were admitted, and the last
// refusal.
func admit(a *sradmit.Admission, now time.Time, w sr.Workspace, n int) (int, sr.Refusal) {
	admitted, last := 0, sr.Refusal{}
	for range n {
		r, ok := a.Admit(now, w)
		if ok {
			admitted++
			continue
		}
		last = r
	}
	return admitted, last
}

func TestRateIsSharedByTheLiveInstances(t *testing.T) {
	a := sradmit.New(sradmit.Options{})
	a.SetInstances(5)
	w := sr.Workspace{Name: "w", Rate: 50, Burst: 20}
	n, r := admit(a, at(0), w, 10)
	assert.Equal(t, n, 4)
	assert.Equal(t, r.Name, sradmit.NameRate)
	assert.Equal(t, r.Reason, "workspace w is over its 50 requests a second")
	assert.Equal(t, r.Retry, 600*time.Millisecond, "the sixth refused caller waits for the sixth token")
	n, _ = admit(a, at(200), w, 10)
	assert.Equal(t, n, 2)
	n, _ = admit(a, at(200), sr.Workspace{Name: "free"}, 1000)
	assert.Equal(t, n, 1000)
}

func TestQueueIsBoundedPerWorkspace(t *testing.T) {
	a := sradmit.New(sradmit.Options{})
	w := sr.Workspace{Name: "w", Queue: 2}
	n, r := admit(a, at(0), w, 3)
	assert.Equal(t, n, 2)
	assert.Equal(t, r.Name, sradmit.NameQueue)
	a.Dequeue("w")
	n, _ = admit(a, at(0), w, 3)
	assert.Equal(t, n, 1)
}

// TestRetriesAreLimitedByFirstAttempts checks that each admitted request adds to the
// retry budget, up to the burst.
func TestRetriesAreLimitedByFirstAttempts(t *testing.T) {
	a := sradmit.New(sradmit.Options{RetryRatio: 0.5, RetryBurst: 2})
	w := sr.Workspace{Name: "w"}
	retries := func(want int) {
		t.Helper()
		for range want {
			_, ok := a.AdmitRetry(at(0), w)
			assert.Assert(t, ok)
		}
		r, ok := a.AdmitRetry(at(0), w)
		assert.Assert(t, !ok)
		assert.Equal(t, r.Name, sradmit.NameRetries)
	}
	retries(2)
	admit(a, at(0), w, 2)
	retries(1)
	admit(a, at(0), w, 100)
	retries(2)
}

// TestBucketsAreEvictedOnlyWhenFull guards against a workspace that gets a full bucket
// again by being evicted.
func TestBucketsAreEvictedOnlyWhenFull(t *testing.T) {
	a := sradmit.New(sradmit.Options{Buckets: 2})
	w := func(name string) sr.Workspace { return sr.Workspace{Name: name, Rate: 1, Burst: 5} }
	admit(a, at(0), w("a"), 5)
	admit(a, at(0), w("b"), 1)
	a.Dequeue("b")
	_, r := admit(a, at(0), w("c"), 1)
	assert.Equal(t, r.Name, sradmit.NameWorkspaces)
	assert.Equal(t, r.Retry, 5*time.Second)
	n, _ := admit(a, at(1000), w("c"), 1)
	assert.Equal(t, n, 1, "the bucket of b is full, so it is evicted")
	n, _ = admit(a, at(1000), w("a"), 9)
	assert.Equal(t, n, 1, "the bucket of a was kept and has one new token")
	assert.Equal(t, a.Len(), 2)
}

// TestRateFollowsTheArrivals checks that an instance with nearly all arrivals of a
// workspace may admit more than an equal share, within the rate of the fleet.
func TestRateFollowsTheArrivals(t *testing.T) {
	w := sr.Workspace{Name: "w", Rate: 100, Burst: 10}
	admitted := func(follow float64) (total int) {
		busy := sradmit.New(sradmit.Options{FollowArrivals: follow})
		idle := sradmit.New(sradmit.Options{FollowArrivals: follow})
		for _, a := range []*sradmit.Admission{busy, idle} {
			a.SetInstances(2)
		}
		for ms := 0; ms < 60_000; ms += 20 {
			n, _ := admit(busy, at(ms), w, 3)
			total += n
			if ms%1000 == 0 {
				n, _ = admit(idle, at(ms), w, 1)
				total += n
			}
			fleet := busy.Arrivals(at(ms), "w") + idle.Arrivals(at(ms), "w")
			busy.SetFleetArrivals("w", fleet)
			idle.SetFleetArrivals("w", fleet)
		}
		return total
	}
	even, follow := admitted(0), admitted(0.8)
	assert.Assert(t, even < 3200, "%d of 6000", even)
	assert.Assert(t, follow > 5000 && follow <= 6010, "%d of 6000", follow)
}

func TestFleetStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.IntRange(1, 4).Draw(t, "live")
		w := sr.Workspace{Name: "w", Rate: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Burst: rapid.IntRange(0, 20).Draw(t, "burst"), Queue: 15}
		opts := sradmit.Options{Buckets: 3, FollowArrivals: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "follow")}
		fleet := make([]*sradmit.Admission, live)
		waiting := make([]int, live)
		for i := range fleet {
			fleet[i] = sradmit.New(opts)
			fleet[i].SetInstances(live)
		}
		now, admitted := epoch, 0
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			sum := 0.0
			for _, a := range fleet {
				sum += a.Arrivals(now, "w")
			}
			for _, a := range fleet {
				a.SetFleetArrivals("w", sum)
			}
			i := rapid.IntRange(0, live-1).Draw(t, "i")
			fleet[i].Admit(now, sr.Workspace{Name: fmt.Sprint(step), Rate: 1, Burst: 2})
			if waiting[i] > 0 && rapid.Bool().Draw(t, "leave") {
				fleet[i].Dequeue("w")
				waiting[i]--
			}
			if _, ok := fleet[i].Admit(now, w); ok {
				admitted++
				waiting[i]++
			}
			assert.Assert(t, waiting[i] <= w.Queue)
			assert.Assert(t, fleet[i].Len() <= opts.Buckets)
			burst := max(w.Burst, live)
			if opts.FollowArrivals == 0 {
				most := float64(burst) + w.Rate*now.Sub(epoch).Seconds() + 1e-6
				assert.Assert(t, float64(admitted) <= most, "%d admitted, at most %g", admitted, most)
			}
		}
	})
}
