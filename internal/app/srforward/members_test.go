package srforward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srshare"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

var epoch = time.Unix(1_000_000, 0)

func id(address string) sr.InstanceID { return sr.InstanceID{Address: address, Incarnation: 1} }

// testUsageBytes is the memory for the loads that other instances report.
const testUsageBytes = 1 << 20

// receive records gossip that must fit, and returns whether the state of the member changed.
func receive(t *testing.T, m *members, now time.Time, g sr.Gossip) bool {
	t.Helper()
	changed, err := m.receive(now, g)
	assert.NilError(t, err)
	return changed
}

// What invented instances report does not grow without bound, and their places and memory are free
// again once they are silent. A member that is heard keeps its place.
func TestInventedMembersAreBounded(t *testing.T) {
	m := newMembers(id("a"), "d", nil, testUsageBytes)
	load := make(map[string]int)
	for i := range 100 {
		load[fmt.Sprint("endpoint-", i)] = 1
	}
	now, refused := epoch, 0
	for i := range 3 * maxMembers {
		_, err := m.receive(now, sr.Gossip{From: id(fmt.Sprint("x", i)), Usage: sr.Usage{Running: load}, Known: []sr.InstanceID{id(fmt.Sprint("y", i))}})
		if err != nil {
			assert.ErrorIs(t, err, sr.ErrOverloaded)
			refused++
		}
		receive(t, m, now, sr.Gossip{From: id(fmt.Sprint("z", i)), Leaving: true})
	}
	assert.Assert(t, refused > 2*maxMembers, refused)
	assert.Assert(t, len(m.byAddress) <= maxMembers && len(m.left) <= maxMembers)
	assert.Assert(t, len(m.load(now)) == 100)
	receive(t, m, now, sr.Gossip{From: id("b")})
	now = now.Add(maxMissedExchanges * (maxMembers + 2) * gossipIntervalPerMember)
	receive(t, m, now, sr.Gossip{From: id("b")})
	for i := range maxMembers - 1 {
		receive(t, m, now, sr.Gossip{From: id(fmt.Sprint("w", i))})
	}
	assert.Assert(t, slices.Contains(m.alive(now), "b"))
	m.sweep(now.Add(memberRetention + time.Second))
	assert.Equal(t, len(m.byAddress), 0)
	receive(t, m, now, sr.Gossip{From: id("b"), Usage: sr.Usage{Running: load}})
}

// The total of the loads is kept up to date while members report, fall silent, return and leave.
func TestLoadIsTheSumOfTheMembersThatAreNotSilent(t *testing.T) {
	m := newMembers(id("a"), "d", nil, testUsageBytes)
	report := func(now time.Time, from string, n int) {
		receive(t, m, now, sr.Gossip{From: id(from), Usage: sr.Usage{Running: map[string]int{"e": n, from: 1}, Pending: map[string]int{"e": 10 * n}}})
	}
	report(epoch, "b", 1)
	report(epoch, "c", 2)
	assert.DeepEqual(t, m.load(epoch), map[string]srdispatch.Load{"e": {Running: 3, Pending: 30}, "b": {Running: 1}, "c": {Running: 1}})
	report(epoch, "c", 5)
	now := epoch.Add(m.silenceTimeout() + time.Millisecond)
	assert.Equal(t, len(m.load(now)), 0)
	report(now, "c", 4)
	assert.DeepEqual(t, m.load(now), map[string]srdispatch.Load{"e": {Running: 4, Pending: 40}, "c": {Running: 1}})
	report(now, "b", 1)
	assert.DeepEqual(t, m.load(now), map[string]srdispatch.Load{"e": {Running: 5, Pending: 50}, "b": {Running: 1}, "c": {Running: 1}})
	receive(t, m, now, sr.Gossip{From: id("c"), Leaving: true})
	assert.DeepEqual(t, m.load(now), map[string]srdispatch.Load{"e": {Running: 1, Pending: 10}, "b": {Running: 1}})
}

// An instance that always receives gossip before its own exchange is due would
// never start one, but only the answer to an exchange confirms its view.
func TestDueConfirmsTheViewWhenOthersAlwaysStart(t *testing.T) {
	m := newMembers(id("a"), "d", nil, testUsageBytes)
	now := epoch
	for range 10 {
		receive(t, m, now, sr.Gossip{From: id("b")})
		now = now.Add(gossipInterval / 2)
		assert.Equal(t, len(m.due(now, false)), 0)
	}
	assert.DeepEqual(t, m.due(now, true), []string{"b"})
	// The next exchange is not due before the usual interval has passed.
	assert.Equal(t, len(m.due(now, true)), 0)
}

func TestInstancesAgreeOnRegistryWatchers(t *testing.T) {
	addresses := []string{"10.1.0.1:1", "10.1.0.2:1", "10.2.0.1:1", "10.2.0.2:1", "10.3.0.1:1"}
	domains := []string{"a", "a", "b", "b", "c"}
	n := 0
	seenDomain := make(map[string]bool)
	for i, self := range addresses {
		m := newMembers(id(self), domains[i], nil, testUsageBytes)
		for j, other := range addresses {
			if i != j {
				receive(t, m, epoch, sr.Gossip{From: id(other), Domain: domains[j]})
			}
		}
		if m.watchesRegistry(epoch) {
			n++
			assert.Assert(t, !seenDomain[domains[i]])
			seenDomain[domains[i]] = true
		}
	}
	assert.Equal(t, n, registryWatchers)
}

func TestFleetSizeIsAssumedBeforeTheFirstContact(t *testing.T) {
	m := newMembers(id("a"), "d", []string{"a", "b"}, testUsageBytes)
	assert.Equal(t, m.fleetSize(epoch), assumedFleet)
	receive(t, m, epoch, sr.Gossip{From: id("b"), Known: []sr.InstanceID{id("c")}})
	assert.Equal(t, m.fleetSize(epoch), 2)
	assert.Equal(t, newMembers(id("a"), "d", []string{"a"}, testUsageBytes).fleetSize(epoch), 1)
	receive(t, m, epoch, sr.Gossip{From: id("b"), Leaving: true})
	receive(t, m, epoch, sr.Gossip{From: id("c"), Known: []sr.InstanceID{id("b")}})
	assert.Equal(t, m.fleetSize(epoch), 2)
}

// An instance that starts in a large fleet is told of all others by the first one. It must not
// spend as if the limits were shared by two.
func TestLimitsAreSharedWithMembersThatOthersName(t *testing.T) {
	m := newMembers(id("a"), "d", []string{"b"}, testUsageBytes)
	assert.Equal(t, m.limitSharers(epoch), assumedFleet)
	m.due(epoch, true)
	assert.Equal(t, m.limitSharers(epoch), assumedFleet)
	receive(t, m, epoch, sr.Gossip{From: id("b"), Known: []sr.InstanceID{id("c"), id("d"), id("e")}})
	assert.Equal(t, m.limitSharers(epoch), assumedFleet)
	settled := epoch.Add(memberListSettle)
	assert.Equal(t, m.limitSharers(settled), 5)
	receive(t, m, settled, sr.Gossip{From: id("c"), Leaving: true})
	assert.Equal(t, m.limitSharers(settled), 5)
	receive(t, m, settled, sr.Gossip{From: id("c"), Leaving: true, Final: true})
	assert.Equal(t, m.limitSharers(settled), 4)
	receive(t, m, epoch.Add(memberRetention+time.Second), sr.Gossip{From: id("b")})
	assert.Equal(t, m.limitSharers(epoch.Add(memberRetention+time.Second)), 2)
	assert.Equal(t, newMembers(id("a"), "d", []string{"a"}, testUsageBytes).limitSharers(epoch), 1)
}

// A member that falls silent, makes contact again and falls silent again is
// reported once each time.
func TestSilentMemberIsReportedOnce(t *testing.T) {
	m := newMembers(id("a"), "d", nil, testUsageBytes)
	now := epoch
	for range 2 {
		assert.Assert(t, receive(t, m, now, sr.Gossip{From: id("b")}))
		assert.Assert(t, !receive(t, m, now, sr.Gossip{From: id("b")}))
		assert.Equal(t, len(m.newlySilent(now)), 0)
		now = now.Add(m.silenceTimeout() + time.Millisecond)
		silent := m.newlySilent(now)
		assert.Equal(t, len(silent), 1)
		assert.Equal(t, silent[0], silentMember{id: id("b"), age: m.silenceTimeoutLocked() + time.Millisecond})
		assert.Equal(t, len(m.newlySilent(now)), 0)
	}
	assert.Assert(t, receive(t, m, now, sr.Gossip{From: id("b"), Leaving: true}))
	assert.Assert(t, !receive(t, m, now, sr.Gossip{From: id("b"), Leaving: true}))
	assert.Equal(t, len(m.newlySilent(now.Add(time.Minute))), 0)
}

// A message that overtook the announcement, or was passed on, does not bring a leaving instance back.
// Another incarnation at its address does.
func TestLateMessageDoesNotBringBackALeavingMember(t *testing.T) {
	m := newMembers(id("a"), "d", nil, testUsageBytes)
	receive(t, m, epoch, sr.Gossip{From: id("b")})
	receive(t, m, epoch, sr.Gossip{From: id("b"), Leaving: true})
	assert.Assert(t, !receive(t, m, epoch, sr.Gossip{From: id("b")}))
	applied, _ := m.receiveRecord(epoch, 0, sr.Gossip{From: id("b"), Relays: true})
	assert.Assert(t, !applied)
	assert.Equal(t, len(m.alive(epoch)), 0)
	again := sr.InstanceID{Address: "b", Incarnation: 2}
	assert.Assert(t, receive(t, m, epoch.Add(time.Second), sr.Gossip{From: again}))
	applied, _ = m.receiveRecord(epoch.Add(time.Second), 500*time.Millisecond, sr.Gossip{From: sr.InstanceID{Address: "b", Incarnation: 3}, Relays: true})
	assert.Assert(t, !applied, "the record of an earlier incarnation")
	assert.Assert(t, m.knows(again))
}

// configure must return only the quotas that differ from the last
// configuration.
func TestConfigureReturnsChangedQuotas(t *testing.T) {
	l := newLimits(srforwardsettings.Settings{}, 1)
	routing := func(rate float64) *sr.Routing {
		return &sr.Routing{Workspaces: map[string]sr.RoutedWorkspace{"w": {Name: "w", Allowance: sr.Quota{Rate: rate, Burst: 5}}, "free": {Name: "free"}}}
	}
	assert.DeepEqual(t, l.configure(epoch, routing(3)), map[string]srshare.Limit{"w": {Rate: 3, Burst: 5}})
	assert.Equal(t, len(l.configure(epoch, routing(3))), 0)
	assert.DeepEqual(t, l.configure(epoch, routing(1)), map[string]srshare.Limit{"w": {Rate: 1, Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, routing(0)), map[string]srshare.Limit{"w": {Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, routing(2)), map[string]srshare.Limit{"w": {Rate: 2, Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, &sr.Routing{}), map[string]srshare.Limit{"w": {}})
}
