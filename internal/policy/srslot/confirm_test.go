package srslot_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// newManualConfirmRig returns a pool with one warm endpoint and four asks for its
// four slots. The cold limit is 1, so only one is granted before a confirmation.
func newManualConfirmRig(t *testing.T) *rig {
	r := newRig(t, srslot.Options{}, "e1")
	r.manualConfirm = true
	r.ask(4, "a", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 1)
	assert.Assert(t, r.grants["a0"].Confirm)
	return r
}

func (r *rig) notifyInterrupted(id string) {
	r.Release(r.now, sr.Release{Lease: r.grants[id].ID, Pool: poolID, Holder: holder, Result: sr.ReleaseInterrupted})
}

func TestUnconfirmedLeasesAreBoundedByTheColdLimit(t *testing.T) {
	r := newManualConfirmRig(t)
	r.notifyTaken(other, "a0", "s1")
	r.tick(0)
	assert.Equal(t, len(r.grants), 1, "only the holder may confirm the lease")
	r.notifyTaken(holder, "a0", "s1")
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	r.notifyTaken(holder, "a1", "s2")
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	assert.Equal(t, r.Dump(r.now).Endpoints[0].State, "cold", "another process has answered")
}

func TestReportsConfirmLeasesThatNoHolderConfirms(t *testing.T) {
	r := newManualConfirmRig(t)
	r.tick(time.Second)
	r.report("e1", "s1", 1)
	r.tick(time.Second)
	assert.Equal(t, len(r.grants), 1, "the request could be started until now")
	r.report("e1", "s1", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
}

func TestAnswerWithoutStartIDConfirmsOnlyBesideARunningConfirmedRequest(t *testing.T) {
	r := newManualConfirmRig(t)
	r.notifyTaken(holder, "a0", "")
	r.tick(500 * time.Millisecond)
	assert.Equal(t, len(r.grants), 1, "another process may have answered")
	r.report("e1", "s1", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	r.notifyTaken(holder, "a1", "")
	r.tick(0)
	assert.Equal(t, len(r.grants), 3, "a restart would have broken the first one")
	r.notifyInterrupted("a0")
	r.notifyTaken(holder, "a2", "")
	r.tick(500 * time.Millisecond)
	assert.Equal(t, len(r.grants), 3, "a restart is suspected")
	r.report("e1", "s1", 3)
	r.tick(0)
	assert.Equal(t, len(r.grants), 4)
}

func TestConfirmedLeasesStayConfirmedAtTheNextOwner(t *testing.T) {
	r := newManualConfirmRig(t)
	r.notifyTaken(holder, "a0", "s1")
	r.tick(0)
	h := r.Handover(r.now)
	confirmed := make(map[sr.LeaseID]bool)
	for _, l := range h.Leases {
		confirmed[l.ID] = l.Confirmed
	}
	assert.DeepEqual(t, confirmed, map[sr.LeaseID]bool{r.grants["a0"].ID: true, r.grants["a1"].ID: false})
	next := newColdRig(t, srslot.Options{}, "e1")
	next.manualConfirm = true
	next.Adopt(next.now, h)
	next.SetMode(next.now, sr.PoolMode{Own: true, Majority: true})
	next.ask(2, "b", 1)
	next.tick(0)
	assert.Equal(t, len(next.grants), 0)
	next.Release(next.now, sr.Release{Lease: r.grants["a1"].ID, Holder: holder, Result: sr.ReleaseTaken, Start: "s1"})
	next.tick(0)
	assert.Equal(t, len(next.grants), 1)
}
