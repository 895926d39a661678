package srforward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// restoreSettings are those of a small deployment.
var restoreSettings = srforwardsettings.Settings{
	Memory: 184, Heartbeat: 1200 * time.Millisecond, RevokeTimeout: 5 * time.Second, ConfigTimeout: 2 * time.Second, Drain: 2 * time.Second,
}

// testRestore is a fleet whose registry is restored from an older copy.
type testRestore struct {
	*testFleet
	t *testing.T
	// version is that of the newest configuration.
	version uint64
	// changing is the newest registration of an endpoint that leaves and restarts.
	changing sr.LiveEndpoint
}

// putKey writes a configuration in which the workspace w has one key.
func (f *testRestore) putKey(key string) {
	f.version++
	f.put(f.routing(f.version, key))
}

func (f *testRestore) routing(version uint64, key string) sr.RegistryEntry {
	e := testRouting(version, 20)
	e.Routing.Workspaces = map[string]sr.RoutedWorkspace{"w": {Name: "w", Keys: []string{key}}}
	e.Routing.Keyed = true
	return e
}

// registration returns a registration of an endpoint whose domain is its id.
func registration(id string, state sr.EndpointState, born int64, sequence uint64) sr.RegistryEntry {
	e := testEndpoint(id, state)
	e.Endpoint.Domain, e.Endpoint.Born, e.Endpoint.Sequence = id, born, sequence
	return e
}

func gone(id string) sr.RegistryEntry {
	return sr.RegistryEntry{Kind: sr.EntryEndpoint, Name: id, Gone: true}
}

func evacuation(domain string) sr.RegistryEntry {
	return sr.RegistryEntry{Kind: sr.EntryEvacuation, Name: domain}
}

// begin fills the registry, lets it change after a copy was made, and returns the copy.
func (f *testRestore) begin() registryCopy {
	f.putKey("old")
	for _, id := range []string{"stays", "leaves", "goes", "evacuated", "restarts"} {
		f.put(registration(id, sr.EndpointReady, 1, 1))
	}
	f.run(f.t)
	time.Sleep(3 * time.Second)
	old := f.copy()
	f.putKey("new")
	f.put(registration("leaves", sr.EndpointLeaving, 1, 5))
	f.put(gone("goes"))
	f.put(evacuation("evacuated"))
	f.put(registration("restarts", sr.EndpointReady, 2, 1))
	f.put(registration("joins", sr.EndpointReady, 1, 1))
	f.changing.Born = 10
	f.changeState(sr.EndpointReady)
	time.Sleep(3 * time.Second)
	return old
}

// changeState registers an endpoint as leaving, or as ready after a restart.
func (f *testRestore) changeState(state sr.EndpointState) {
	if state == sr.EndpointReady {
		f.changing.Born++
		f.changing.Sequence = 0
	}
	f.changing.State = state
	f.changing.Sequence++
	f.put(registration("changes", state, f.changing.Born, f.changing.Sequence))
}

// writeAgain writes what was lost with the copy, a part of it at a time.
func (f *testRestore) writeAgain() {
	f.put(evacuation("evacuated"))
	f.put(f.routing(f.version, "new"))
	time.Sleep(700 * time.Millisecond)
	f.put(registration("joins", sr.EndpointReady, 1, 4))
	time.Sleep(700 * time.Millisecond)
	f.put(registration("leaves", sr.EndpointLeaving, 1, 8))
	f.put(registration("restarts", sr.EndpointReady, 2, 5))
	f.changing.Sequence++
	f.put(registration("changes", f.changing.State, f.changing.Born, f.changing.Sequence))
}

// checkTakenBack checks that no instance of a list uses what was taken back, and that all use
// what was added.
func (f *testRestore) checkTakenBack(when string, addresses []string) {
	for _, address := range addresses {
		n := f.instance(address)
		st := n.view.State()
		_, old := st.Workspace("old")
		_, added := st.Workspace("new")
		assert.Check(f.t, !old && added, "%s: keys at %s", when, address)
		for id, want := range map[string]bool{"stays": true, "joins": true, "restarts": true, "leaves": false, "goes": false, "evacuated": false} {
			assert.Check(f.t, st.Usable(id, n.Clock()) == want, "%s: endpoint %s at %s, usable %v", when, id, address, !want)
		}
		assert.Check(f.t, st.Endpoints["restarts"].Born == 2, "%s: lifetime of an endpoint at %s", when, address)
	}
}

// checkTakenBackFor repeats checkTakenBack for some time.
func (f *testRestore) checkTakenBackFor(d time.Duration, when string, addresses []string) {
	start := time.Now()
	for time.Since(start) < d && !f.t.Failed() {
		f.checkTakenBack(fmt.Sprintf("%s, %v later", when, time.Since(start)), addresses)
		time.Sleep(50 * time.Millisecond)
	}
}

// checkFollows checks that the instances of a list follow further changes within the bounds,
// that their views are confirmed, and that they read the registry at a low rate.
func (f *testRestore) checkFollows(when string, addresses []string) {
	f.t.Helper()
	const changes = 8
	calls := f.callsOf(addresses)
	for i := range changes {
		f.version++
		f.put(f.routing(f.version, "new"))
		state := []sr.EndpointState{sr.EndpointLeaving, sr.EndpointReady}[i%2]
		f.changeState(state)
		time.Sleep(restoreSettings.ConfigTimeout)
		for _, address := range addresses {
			n := f.instance(address)
			st := n.view.State()
			assert.Check(f.t, st.Routing.Version == f.version, "%s: version %d instead of %d at %s", when, st.Routing.Version, f.version, address)
			assert.Check(f.t, st.Usable("changes", n.Clock()) == (state == sr.EndpointReady), "%s: state of an endpoint at %s", when, address)
			assert.Check(f.t, n.Ready() && n.keysCurrent() && n.configCurrent(), "%s: age %v at %s", when, n.view.Age(n.Clock()), address)
		}
	}
	perSecond := float64(f.callsOf(addresses)-calls) / changes / restoreSettings.ConfigTimeout.Seconds()
	assert.Check(f.t, perSecond < 3*float64(len(addresses)), "%s: %.1f calls a second", when, perSecond)
}

func forFleetsWithRestore(t *testing.T, run func(f *testRestore)) {
	for _, size := range []int{1, 3, 7} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run(&testRestore{testFleet: newTestFleet(t, size, restoreSettings), t: t})
			})
		})
	}
}

// A registry that is restored from an older copy gives out revisions again. Its later changes
// must be in force in time.
func TestFleetFollowsARestoredRegistry(t *testing.T) {
	forFleetsWithRestore(t, func(f *testRestore) {
		old := f.begin()
		for i := range 3 {
			f.setDown(true)
			time.Sleep(2 * time.Second)
			f.restore(old)
			f.writeAgain()
			time.Sleep(2 * time.Second)
			f.checkFollows(fmt.Sprint("restore ", i+1), f.addresses())
			f.putKey("new")
		}
	})
}

// Instances that have a large configuration must not wait for its transfer in a new era, in
// which other entries would wait behind it.
func TestRestoreDoesNotTransferTheConfigurationAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, restoreSettings)
		f.put(registration("leaves", sr.EndpointReady, 1, 1))
		f.run(t)
		// Not when instances query the registry themselves.
		time.Sleep(3100 * time.Millisecond)
		f.put(testRouting(1, 1500))
		time.Sleep(3 * time.Second)
		old := f.copy()
		parts := f.parts.Load()
		assert.Assert(t, parts > 0)
		f.setDown(true)
		time.Sleep(time.Second)
		f.restore(old)
		f.put(registration("leaves", sr.EndpointLeaving, 1, 5))
		time.Sleep(time.Second)
		assert.DeepEqual(t, f.behind(func(n *Instance) bool {
			return n.view.Position() == sr.Position{Era: 2, Revision: 3} && !n.view.State().Usable("leaves", n.Clock())
		}), []string(nil))
		assert.Equal(t, f.parts.Load(), parts)
	})
}

// What was taken back after the copy was made must not be used again: a key, an endpoint
// that leaves or has gone, one in an evacuated domain, an earlier lifetime of one.
func TestRestoredRegistryBringsNothingBack(t *testing.T) {
	forFleetsWithRestore(t, func(f *testRestore) {
		old := f.begin()
		f.setDown(true)
		f.checkTakenBackFor(2*time.Second, "down", f.addresses())
		f.restore(old)
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(500 * time.Millisecond)
			f.writeAgain()
			time.Sleep(1700 * time.Millisecond)
			f.put(gone("goes"))
		}()
		f.checkTakenBackFor(10*time.Second, "restored", f.addresses())
		<-done
	})
}

// An instance that is cut off while the registry is restored must not bring the earlier era
// back, and must follow the new one when it returns.
func TestInstanceOfAnEarlierEraJoinsTheNewOne(t *testing.T) {
	forFleetsWithRestore(t, func(f *testRestore) {
		old := f.begin()
		cut := f.addresses()[len(f.addresses())-1]
		f.setCut(cut, true)
		f.setDown(true)
		time.Sleep(2 * time.Second)
		f.restore(old)
		f.writeAgain()
		f.put(gone("goes"))
		time.Sleep(4 * time.Second)
		f.setCut(cut, false)
		f.checkTakenBackFor(5*time.Second, "returned", f.addresses())
		f.checkFollows("returned", f.addresses())
	})
}

// An instance that misses how a lost evacuation is written again and taken back, and then lists the
// registry, learns from the others that it is over.
func TestEndOfALostEvacuationIsLearned(t *testing.T) {
	forFleetsWithRestore(t, func(f *testRestore) {
		old := f.begin()
		f.setDown(true)
		time.Sleep(time.Second)
		f.restore(old)
		time.Sleep(time.Second)
		missed := f.addresses()[len(f.addresses())-1]
		f.setCut(missed, len(f.addresses()) > 1)
		f.writeAgain()
		f.put(sr.RegistryEntry{Kind: sr.EntryEvacuation, Name: "evacuated", Gone: true})
		f.put(gone("goes"))
		time.Sleep(6 * time.Second)
		n := f.instance(missed)
		c, _, err := f.query("", 0, true)
		assert.NilError(t, err)
		n.applyChanges(n.Clock(), c, sourceRegistry)
		f.setCut(missed, false)
		time.Sleep(6 * time.Second)
		for _, address := range f.addresses() {
			assert.Check(f.t, !f.instance(address).view.State().Evacuated["evacuated"], address)
		}
	})
}

// Instances of an earlier version, which do not know the era, must not keep the others from
// following a restored registry, and go on exchanging entries with them before it.
func TestInstancesOfAnEarlierVersionDoNotConfirmAnEarlierEra(t *testing.T) {
	forFleetsWithRestore(t, func(f *testRestore) {
		all := f.addresses()
		earlier := all[:len(all)/2]
		for _, address := range earlier {
			f.unaware[address] = true
		}
		old := f.begin()
		f.checkFollows("before", all)
		f.putKey("new")
		f.setDown(true)
		time.Sleep(2 * time.Second)
		f.restore(old)
		f.writeAgain()
		time.Sleep(f.cfg.RevokeTimeout)
		for _, address := range earlier {
			n := f.instance(address)
			assert.Check(f.t, !n.keysCurrent(), "age %v of a view of the earlier era at %s", n.view.Age(n.Clock()), address)
		}
		f.checkFollows("restored", all[len(earlier):])
		for _, address := range earlier {
			f.mu.Lock()
			f.unaware[address] = false
			f.mu.Unlock()
			f.replace(f.t.Context(), address)
		}
		time.Sleep(2 * time.Second)
		f.checkFollows("replaced", all)
	})
}

// An instance that starts after the registry was restored learns from the others what the
// copy lacks, before it serves.
func TestInstanceThatStartsAfterARestoreDoesNotServeTheCopy(t *testing.T) {
	checkStartAfterRestore(t, 1, func(*testRestore, context.Context) {})
}

// Instances that start together hear each other first, and know no more than the copy.
func TestInstancesThatStartTogetherDoNotServeTheCopy(t *testing.T) {
	checkStartAfterRestore(t, 6, func(*testRestore, context.Context) {})
}

// The same while the registry changes, by which the instance that starts is ahead of those
// that know what the copy lacks.
func TestInstanceThatStartsBesideChangesDoesNotServeTheCopy(t *testing.T) {
	checkStartAfterRestore(t, 1, func(f *testRestore, ctx context.Context) {
		for sequence := uint64(1); srtimer.Wait(ctx, 5*time.Millisecond) == nil; sequence++ {
			f.put(registration("busy", sr.EndpointReady, 1, sequence))
		}
	})
}

// The same while all others leave. They know what the copy lacks until they end.
func TestInstanceThatStartsWhileTheOthersLeaveDoesNotServeTheCopy(t *testing.T) {
	checkStartAfterRestore(t, 1, func(f *testRestore, ctx context.Context) {
		for _, address := range f.addresses()[1:] {
			n := f.instance(address)
			n.draining.Store(true)
			defer n.draining.Store(false)
		}
		<-ctx.Done()
	})
}

// checkStartAfterRestore starts instances, but not all of the fleet, after a restore, while
// change runs.
func checkStartAfterRestore(t *testing.T, count int, change func(*testRestore, context.Context)) {
	forFleetsWithRestore(t, func(f *testRestore) {
		if len(f.addresses()) == 1 {
			return
		}
		starting := f.addresses()[:min(count, len(f.addresses())-1)]
		old := f.begin()
		f.setDown(true)
		for _, address := range starting {
			f.setCut(address, true)
			f.stop[address]()
		}
		time.Sleep(2 * time.Second)
		f.restore(old)
		ctx, cancel := context.WithCancel(f.t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { change(f, ctx) })
		time.Sleep(300 * time.Millisecond)
		var started []*Instance
		for _, address := range starting {
			f.setCut(address, false)
			started = append(started, f.replace(f.t.Context(), address))
		}
		start := time.Now()
		for time.Since(start) < 1600*time.Millisecond {
			for _, n := range started {
				if !n.Ready() {
					continue
				}
				st := n.view.State()
				_, ok := st.Workspace("old")
				assert.Check(f.t, !ok && st.Routing.Version == f.version, "a lost key after %v", time.Since(start))
				for _, id := range []string{"leaves", "goes", "evacuated"} {
					assert.Check(f.t, !st.Usable(id, n.Clock()), "endpoint %s after %v", id, time.Since(start))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		for _, n := range started {
			assert.Check(f.t, n.Ready())
		}
		f.writeAgain()
		f.put(gone("goes"))
		time.Sleep(time.Second)
		f.checkFollows("started", f.addresses())
	})
}

// An instance that starts relies on one that has joined, not on one that starts as well, and
// serves nothing while one that knows more runs.
func TestInstanceJoinsByOneThatHasJoined(t *testing.T) {
	gossip := func(era uint64, prior sr.Position, joining bool) []sr.Gossip {
		return []sr.Gossip{{From: id("b"), Era: era, AsOf: 9, Prior: prior, Joining: joining}}
	}
	leaving := func(list []sr.Gossip) []sr.Gossip {
		list[0].Leaving = true
		return list
	}
	lost := sr.Position{Era: 1, Revision: 20}
	for name, c := range map[string]struct {
		heard  []sr.Gossip
		waited time.Duration
		joined bool
	}{
		"none":                       {waited: joinTimeout - time.Millisecond},
		"none in time":               {waited: joinTimeout, joined: true},
		"joining":                    {heard: gossip(2, sr.Position{}, true), waited: joinTimeout - time.Millisecond},
		"only joining in time":       {heard: gossip(2, sr.Position{}, true), waited: joinTimeout, joined: true},
		"joined":                     {heard: gossip(2, sr.Position{}, false), joined: true},
		"joined, knows more":         {heard: gossip(2, lost, false), waited: time.Minute},
		"joined, of an earlier era":  {heard: gossip(1, sr.Position{}, false), waited: time.Minute},
		"joined, of earlier version": {heard: gossip(0, sr.Position{}, false), joined: true},
		"leaving":                    {heard: leaving(gossip(2, sr.Position{}, false)), joined: true},
		"leaving, joining":           {heard: leaving(gossip(2, sr.Position{}, true)), waited: joinTimeout - time.Millisecond},
		"leaving, knows more":        {heard: leaving(gossip(2, lost, false)), waited: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestFleet(t, 3, restoreSettings).instance("10.0.0.0:1")
			n.view.Apply(time.Now(), time.Now(), sr.Changes{Whole: true, Era: 2, AsOf: 9})
			for _, g := range c.heard {
				assert.NilError(t, n.receive(g))
			}
			n.startedAt = time.Now().Add(-c.waited)
			assert.Equal(t, n.hasJoined(), c.joined)
		})
	}
}

// A request that arrives while the instance joins is not refused, and waits no longer than that.
func TestRequestWaitsUntilTheInstanceHasJoined(t *testing.T) {
	const heardAfter = 100 * time.Millisecond
	for _, c := range []struct{ heard, waits time.Duration }{{heardAfter, heardAfter}, {time.Hour, joinTimeout}} {
		synctest.Test(t, func(t *testing.T) {
			n := newTestFleet(t, 3, restoreSettings).instance("10.0.0.0:1")
			n.view.Apply(time.Now(), time.Now(), sr.Changes{Whole: true, Era: 2, AsOf: 9})
			time.AfterFunc(c.heard, func() { _, _ = n.Gossip(t.Context(), sr.Gossip{From: id("b"), Era: 2, AsOf: 9}) })
			start := time.Now()
			(&request{Instance: n, ctx: t.Context()}).awaitJoin()
			assert.Assert(t, n.hasJoined() && time.Since(start) <= c.waits+joinTick, time.Since(start))
		})
	}
}
