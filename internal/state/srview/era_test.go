package srview_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// registered returns a registration with what tells later ones from earlier ones.
func registered(id string, revision uint64, state sr.EndpointState, born int64, sequence uint64) sr.RegistryEntry {
	e := ready(id, revision)
	e.Endpoint.State, e.Endpoint.Born, e.Endpoint.Sequence = state, born, sequence
	return e
}

func evacuated(domain string, revision uint64) sr.RegistryEntry {
	return sr.RegistryEntry{Kind: sr.EntryEvacuation, Name: domain, Revision: revision}
}

func evacuationOver(domain string, revision uint64) sr.RegistryEntry {
	return sr.RegistryEntry{Kind: sr.EntryEvacuation, Name: domain, Revision: revision, Gone: true}
}

func list(v *srview.View, d time.Duration, era, asOf uint64, facts ...sr.RegistryEntry) srview.Update {
	return apply(v, d, sr.Changes{Whole: true, Era: era, AsOf: asOf, Facts: facts})
}

func change(v *srview.View, d time.Duration, era, asOf uint64, facts ...sr.RegistryEntry) srview.Update {
	return apply(v, d, sr.Changes{Era: era, AsOf: asOf, Facts: facts})
}

func usable(v *srview.View, id string, d time.Duration) bool { return v.State().Usable(id, at(d)) }

// A restored registry has earlier registrations, which must not be used in place of later
// ones.
func TestRestoreDoesNotReplaceLaterRegistrations(t *testing.T) {
	const ready, leaving = sr.EndpointReady, sr.EndpointLeaving
	for name, c := range map[string]struct {
		known, listed sr.RegistryEntry
		// want and born are the state of the endpoint after the restore.
		want sr.EndpointState
		born int64
	}{
		"the same":                     {registered("e", 9, ready, 1, 1), registered("e", 3, ready, 1, 1), ready, 1},
		"left":                         {registered("e", 9, leaving, 1, 5), registered("e", 3, ready, 1, 1), leaving, 1},
		"left, without count":          {registered("e", 9, leaving, 0, 0), registered("e", 3, ready, 0, 0), leaving, 0},
		"leaving is known again":       {registered("e", 9, leaving, 1, 5), registered("e", 3, leaving, 1, 8), leaving, 1},
		"restarted before the restore": {registered("e", 9, ready, 2, 1), registered("e", 3, ready, 1, 7), ready, 2},
		"restarted after it":           {registered("e", 9, leaving, 1, 5), registered("e", 3, ready, 2, 1), ready, 2},
		"leaves after it":              {registered("e", 9, ready, 1, 1), registered("e", 3, leaving, 1, 7), leaving, 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := newView()
			list(v, 0, 1, 9, c.known)
			list(v, time.Second, 2, 4, c.listed)
			e := v.State().Endpoints["e"]
			assert.Equal(t, e.State, c.want)
			assert.Equal(t, e.Born, c.born)
			assert.Equal(t, usable(v, "e", time.Second), c.want == ready)
			assert.Equal(t, v.Position(), sr.Position{Era: 2, Revision: 4})
		})
	}
}

// An endpoint that had gone is registered in the copy until its registration expires.
func TestRestoreHoldsEndpointsThatHadGone(t *testing.T) {
	v := newView()
	list(v, 0, 1, 9, ready("stays", 1), ready("e", 2))
	change(v, time.Second, 1, 10, gone("e", 10))
	copied := []sr.RegistryEntry{ready("stays", 1), ready("e", 2), ready("earlier", 3)}
	list(v, 2*time.Second, 2, 9, copied...)
	for d := 2 * time.Second; d < 7*time.Second; d += 100 * time.Millisecond {
		change(v, d, 2, 9)
		v.Sweep(at(d))
		assert.Assert(t, usable(v, "stays", d))
		assert.Assert(t, !usable(v, "e", d) && !usable(v, "earlier", d), "%v", d)
	}
	// A second restore, and an outage, hold them for longer.
	list(v, 7*time.Second, 3, 8, copied...)
	v.RecordFailure()
	v.Sweep(at(13 * time.Second))
	assert.Assert(t, !usable(v, "e", 13*time.Second))
	change(v, 13*time.Second, 3, 8)
	v.Sweep(at(17 * time.Second))
	assert.Assert(t, !usable(v, "e", 17*time.Second))
	// A registration of the endpoint itself ends that.
	change(v, 17*time.Second, 3, 11, ready("earlier", 11))
	assert.Assert(t, usable(v, "earlier", 17*time.Second))
	// What is registered longer than a registration lasts is there.
	change(v, 19*time.Second, 3, 11)
	v.Sweep(at(19 * time.Second))
	assert.Assert(t, usable(v, "e", 19*time.Second))
}

// An endpoint whose registration was unreadable may have a readable one in the copy. When it is
// used after all, other instances must not take it for unreadable.
func TestUnreadableRegistrationIsHeldAfterARestore(t *testing.T) {
	v, other := newView(), newView()
	list(v, 0, 1, 9, ready("e", 2))
	change(v, time.Second, 1, 10, sr.RegistryEntry{Kind: sr.EntryEndpoint, Name: "e", Revision: 10, Invalid: "truncated"})
	list(v, 2*time.Second, 2, 9, ready("e", 2))
	assert.Assert(t, !usable(v, "e", 2*time.Second))
	change(v, 8*time.Second, 2, 9)
	v.Sweep(at(8 * time.Second))
	apply(other, 8*time.Second, v.Since(sr.Position{}, at(8*time.Second)))
	assert.Assert(t, usable(v, "e", 8*time.Second))
	assert.Assert(t, usable(other, "e", 8*time.Second))
}

// The order of the eras, not of the revisions, decides which of two answers is outdated.
func TestAnswersOfAnotherEraAreNotMixed(t *testing.T) {
	v := newView()
	list(v, 0, 1, 20, routing(5, 20, "a"), ready("e", 2))
	assert.Assert(t, change(v, time.Second, 2, 22, gone("e", 22)).Ignored)
	assert.Equal(t, v.Age(at(time.Second)), time.Second)
	list(v, 2*time.Second, 2, 10, routing(5, 10, "a"), ready("e", 2))
	assert.Assert(t, list(v, 3*time.Second, 1, 30, routing(4, 30, "b")).Ignored)
	assert.Assert(t, change(v, 3*time.Second, 1, 31, gone("e", 31)).Ignored)
	v.Confirm(at(3*time.Second), sr.Position{Era: 1, Revision: 31}, 0)
	assert.Equal(t, v.Age(at(3*time.Second)), time.Second)
	assert.Assert(t, usable(v, "e", 3*time.Second))
	// Another instance that has not noticed the restore gets a listing.
	assert.Assert(t, v.Since(sr.Position{Era: 1, Revision: 15}, at(3*time.Second)).Whole)
	assert.Assert(t, !v.Since(sr.Position{Era: 2, Revision: 10}, at(3*time.Second)).Whole)
}

// What the registry lost stays in force until it is written again, or would have been.
func TestRestoreKeepsWhatIsMissingInTheCopy(t *testing.T) {
	v := newView()
	list(v, 0, 1, 20, routing(5, 18, "new"), ready("again", 19), ready("not-again", 19), ready("emptied", 2), evacuated("d", 20))
	copied := []sr.RegistryEntry{routing(4, 7, "old"), ready("emptied", 2)}
	update := list(v, time.Second, 2, 8, copied...)
	assert.Equal(t, update.Left, sr.Position{Era: 1, Revision: 20})
	assert.Equal(t, update.Carried, 4)
	check := func(d time.Duration, notAgain, evacuation bool) {
		t.Helper()
		v.Sweep(at(d))
		st := v.State()
		assert.Equal(t, st.Routing.Version, uint64(5))
		_, ok := st.Workspace("new")
		assert.Assert(t, ok)
		assert.Assert(t, usable(v, "again", d) && usable(v, "emptied", d))
		assert.Equal(t, usable(v, "not-again", d), notAgain)
		assert.Equal(t, st.Evacuated["d"], evacuation)
	}
	check(2*time.Second, true, true)
	change(v, 2*time.Second, 2, 9, ready("again", 9))
	list(v, 2*time.Second, 2, 9, append(copied, ready("again", 9))...)
	check(2900*time.Millisecond, true, true)
	check(3100*time.Millisecond, false, true)
	check(time.Hour, false, true)
	change(v, time.Hour, 2, 10, evacuationOver("d", 10))
	check(time.Hour, false, false)
	change(v, time.Hour, 2, 11, routing(6, 11, "newest"))
	assert.Equal(t, v.State().Routing.Version, uint64(6))
}

// An evacuation that the registry lost is an operator's order. Only what shows that it was taken
// back ends it.
func TestLostEvacuationDoesNotLapse(t *testing.T) {
	lost := sr.Position{Era: 1, Revision: 20}
	for name, c := range map[string]struct {
		then func(v *srview.View)
		over bool
	}{
		"nothing":                      {func(*srview.View) {}, false},
		"taken back":                   {func(v *srview.View) { change(v, 0, 2, 9, evacuationOver("d", 9)) }, true},
		"written again":                {func(v *srview.View) { change(v, 0, 2, 9, evacuated("d", 9)) }, false},
		"written again and taken back": {func(v *srview.View) { change(v, 0, 2, 10, evacuated("d", 9), evacuationOver("d", 10)) }, true},
		"written again and not listed": {func(v *srview.View) { change(v, 0, 2, 9, evacuated("d", 9)); list(v, 0, 2, 10) }, true},
		"not listed":                   {func(v *srview.View) { list(v, 0, 2, 9) }, false},
		"not listed in another era":    {func(v *srview.View) { list(v, 0, 3, 5) }, false},
		"over at one that knew it":     {func(v *srview.View) { v.Settle(at(0), sr.Position{Era: 2, Revision: 8}, lost) }, true},
		"over at one that is behind":   {func(v *srview.View) { v.Settle(at(0), sr.Position{Era: 2, Revision: 7}, lost) }, false},
		"again at one that is ahead":   {func(v *srview.View) { v.Settle(at(0), sr.Position{Era: 2, Revision: 9}, lost) }, false},
		"at one that did not know it": {func(v *srview.View) {
			v.Settle(at(0), sr.Position{Era: 2, Revision: 8}, sr.Position{Era: 1, Revision: 19})
		}, false},
		"at one that started later": {func(v *srview.View) { v.Settle(at(0), sr.Position{Era: 2, Revision: 8}, sr.Position{}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			v := newView()
			list(v, 0, 1, 20, ready("e", 3), evacuated("d", 20))
			list(v, 0, 2, 8, ready("e", 3))
			c.then(v)
			v.Sweep(at(time.Hour))
			assert.Equal(t, v.State().Evacuated["d"], !c.over)
		})
	}
}

// An invalid configuration of a restored registry is not used, nor one of an earlier version
// that is written again.
func TestRestoreDoesNotReplaceTheConfigurationByAnEarlierOne(t *testing.T) {
	v := newView()
	list(v, 0, 1, 20, routing(5, 18, "new"))
	list(v, time.Second, 2, 8, sr.RegistryEntry{Kind: sr.EntryRouting, Revision: 7, Invalid: "truncated"})
	assert.Equal(t, v.State().Routing.Version, uint64(5))
	for version := uint64(3); version <= 5; version++ {
		change(v, 2*time.Second, 2, 8+version, routing(version, 8+version, "old"))
		assert.Equal(t, v.State().Routing.Version, uint64(5))
		_, ok := v.State().Workspace("new")
		assert.Assert(t, ok)
	}
}

// A copy that is older than an earlier one must not bring back what had gone before both.
func TestRemovalIsRememberedThroughSeveralRestores(t *testing.T) {
	v := newView()
	list(v, 0, 1, 9, registered("e", 9, sr.EndpointReady, 2, 1))
	change(v, time.Second, 1, 10, gone("e", 10))
	list(v, 2*time.Second, 2, 1)
	list(v, 3*time.Second, 3, 5, registered("e", 5, sr.EndpointReady, 1, 1))
	assert.Assert(t, !usable(v, "e", 3*time.Second))
	// The registration was renewed without this view's knowledge before the endpoint went.
	list(v, 4*time.Second, 4, 9, registered("e", 9, sr.EndpointReady, 2, 4))
	assert.Assert(t, !usable(v, "e", 4*time.Second))
}
