package srslot_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// newSilentRig returns a pool with one warm endpoint whose four slots are
// wanted and whose cold limit is 1.
func newSilentRig(t *testing.T) *rig {
	r := newRig(t, srslot.Options{}, "e1")
	r.silent = true
	r.ask(4, "a", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 1)
	assert.Assert(t, r.grants["a0"].Confirm)
	return r
}

func (r *rig) doubt(id string) {
	r.Release(r.now, sr.Release{Lease: r.grants[id].ID, Pool: poolID, Holder: holder, Result: sr.ReleaseDoubt})
}

func TestWarmEndpointIsGrantedNoMoreThanAColdOneBearsUntilItAnswers(t *testing.T) {
	r := newSilentRig(t)
	r.taken(other, "a0", "s1")
	r.tick(0)
	assert.Equal(t, len(r.grants), 1, "only the holder may confirm")
	r.taken(holder, "a0", "s1")
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	r.taken(holder, "a1", "s2")
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	assert.Equal(t, r.Dump(r.now).Endpoints[0].State, "cold", "another run has answered")
}

func TestReportsConfirmWhatNoHolderDoes(t *testing.T) {
	r := newSilentRig(t)
	r.tick(time.Second)
	r.report("e1", "s1", 1)
	r.tick(time.Second)
	assert.Equal(t, len(r.grants), 1, "the lease could be started until now")
	r.report("e1", "s1", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
}

func TestEngineThatDoesNotNameItsRunNeedsAWitness(t *testing.T) {
	r := newSilentRig(t)
	r.taken(holder, "a0", "")
	r.tick(500 * time.Millisecond)
	assert.Equal(t, len(r.grants), 1, "it may be another run that answered")
	r.report("e1", "s1", 1)
	r.tick(0)
	assert.Equal(t, len(r.grants), 2)
	r.taken(holder, "a1", "")
	r.tick(0)
	assert.Equal(t, len(r.grants), 3, "a restart would have broken the first one")
	r.doubt("a0")
	r.taken(holder, "a2", "")
	r.tick(500 * time.Millisecond)
	assert.Equal(t, len(r.grants), 3, "the run is in doubt")
	r.report("e1", "s1", 3)
	r.tick(0)
	assert.Equal(t, len(r.grants), 4)
}

func TestConfirmedLeasesStayConfirmedAtTheNextOwner(t *testing.T) {
	r := newSilentRig(t)
	r.taken(holder, "a0", "s1")
	r.tick(0)
	h := r.Handover(r.now)
	confirmed := make(map[sr.LeaseID]bool)
	for _, l := range h.Leases {
		confirmed[l.ID] = l.Confirmed
	}
	assert.DeepEqual(t, confirmed, map[sr.LeaseID]bool{r.grants["a0"].ID: true, r.grants["a1"].ID: false})
	next := newColdRig(t, srslot.Options{}, "e1")
	next.silent = true
	next.Adopt(next.now, h)
	next.SetMode(next.now, sr.PoolMode{Own: true, Majority: true})
	next.ask(2, "b", 1)
	next.tick(0)
	assert.Equal(t, len(next.grants), 0)
	next.Release(next.now, sr.Release{Lease: r.grants["a1"].ID, Holder: holder, Result: sr.ReleaseTaken, Start: "s1"})
	next.tick(0)
	assert.Equal(t, len(next.grants), 1)
}
