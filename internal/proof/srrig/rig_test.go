package srrig

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
)

// invariants are the checks that apply to every run.
var invariants = []srhistory.Checker{
	srhistory.AtMostOnce, srhistory.RefusedNeverRan, srhistory.CompleteAnswers, srhistory.Linearizable, srhistory.ManifestMonotonic, srhistory.NoColdCrash,
}

// runRig runs f on a rig in virtual time and checks the invariants and the checkers
// in more.
func runRig(t *testing.T, opts Options, f func(t *testing.T, r *Rig), more ...srhistory.Checker) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := New(opts)
		assert.NilError(t, err)
		defer r.Close()
		assert.NilError(t, r.WaitReady())
		f(t, r)
		assert.NilError(t, r.Finish().Check(append(invariants, more...)...))
	})
}

func TestRigServes(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 1}, func(t *testing.T, r *Rig) {
		for i := range Instances {
			a := r.Submit(TopTierRequest(Bodies("question", Instances)[i]), i)
			assert.Equal(t, a.Outcome, sr.OutcomeComplete, a.Reason)
			a = r.Submit(Booking(Bodies("booking", Instances)[i]), i)
			assert.Equal(t, a.Outcome, sr.OutcomeComplete, a.Reason)
		}
	}, srhistory.AllAnswered, srhistory.ManifestInForce)
}
