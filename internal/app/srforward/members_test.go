package srforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srshare"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
)

var epoch = time.Unix(1_000_000, 0)

func id(address string) sr.InstanceID { return sr.InstanceID{Address: address, Incarnation: 1} }

// TestProofIsAskedForWhenTheOthersAlwaysBegin: an instance that is heard before
// its own turn comes never begins an exchange, and only an answer brings a proof.
func TestProofIsAskedForWhenTheOthersAlwaysBegin(t *testing.T) {
	m := newMembers(id("a"), "d", nil)
	now := epoch
	for range 10 {
		m.hear(now, sr.Gossip{From: id("b")})
		now = now.Add(gossipEvery / 2)
		assert.Equal(t, len(m.due(now, false)), 0)
	}
	assert.DeepEqual(t, m.due(now, true), []string{"b"})
	// One exchange at a time, at the usual pace.
	assert.Equal(t, len(m.due(now, true)), 0)
}

func TestReadersAreTheSameEverywhere(t *testing.T) {
	addresses := []string{"10.1.0.1:1", "10.1.0.2:1", "10.2.0.1:1", "10.2.0.2:1", "10.3.0.1:1"}
	domains := []string{"a", "a", "b", "b", "c"}
	n := 0
	taken := make(map[string]bool)
	for i, self := range addresses {
		m := newMembers(id(self), domains[i], nil)
		for j, other := range addresses {
			if i != j {
				m.hear(epoch, sr.Gossip{From: id(other), Domain: domains[j]})
			}
		}
		if m.reads(epoch) {
			n++
			assert.Assert(t, !taken[domains[i]])
			taken[domains[i]] = true
		}
	}
	assert.Equal(t, n, readers)
}

func TestFleetIsTakenAsLargeUntilSomeoneIsHeard(t *testing.T) {
	m := newMembers(id("a"), "d", []string{"a", "b"})
	assert.Equal(t, m.size(epoch), fleetUnknown)
	m.hear(epoch, sr.Gossip{From: id("b"), Known: []sr.InstanceID{id("c")}})
	assert.Equal(t, m.size(epoch), 2)
	assert.Equal(t, newMembers(id("a"), "d", []string{"a"}).size(epoch), 1)
	m.hear(epoch, sr.Gossip{From: id("b"), Leaving: true})
	m.hear(epoch, sr.Gossip{From: id("c"), Known: []sr.InstanceID{id("b")}})
	assert.Equal(t, m.size(epoch), 2)
}

// TestSilentMemberIsToldOnce: a member that falls silent, is heard again and
// falls silent again makes one line each time.
func TestSilentMemberIsToldOnce(t *testing.T) {
	m := newMembers(id("a"), "d", nil)
	now := epoch
	for range 2 {
		assert.Assert(t, m.hear(now, sr.Gossip{From: id("b")}))
		assert.Assert(t, !m.hear(now, sr.Gossip{From: id("b")}))
		assert.Equal(t, len(m.lost(now)), 0)
		now = now.Add(m.silent() + time.Millisecond)
		lost := m.lost(now)
		assert.Equal(t, len(lost), 1)
		assert.Equal(t, lost[0], loss{id: id("b"), age: m.silence() + time.Millisecond})
		assert.Equal(t, len(m.lost(now)), 0)
	}
	assert.Assert(t, m.hear(now, sr.Gossip{From: id("b"), Leaving: true}))
	assert.Assert(t, !m.hear(now, sr.Gossip{From: id("b"), Leaving: true}))
	assert.Equal(t, len(m.lost(now.Add(time.Minute))), 0)
}

// TestChangedAllowancesAreTold: only what a configuration changes.
func TestChangedAllowancesAreTold(t *testing.T) {
	l := newLimits(srsite.Settings{})
	routing := func(rate float64) *sr.Routing {
		return &sr.Routing{Workspaces: map[string]sr.RoutedWorkspace{"w": {Name: "w", Allowance: sr.Allowance{Rate: rate, Burst: 5}}, "free": {Name: "free"}}}
	}
	assert.DeepEqual(t, l.configure(epoch, routing(3)), map[string]srshare.Limit{"w": {Rate: 3, Burst: 5}})
	assert.Equal(t, len(l.configure(epoch, routing(3))), 0)
	assert.DeepEqual(t, l.configure(epoch, routing(1)), map[string]srshare.Limit{"w": {Rate: 1, Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, routing(0)), map[string]srshare.Limit{"w": {Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, routing(2)), map[string]srshare.Limit{"w": {Rate: 2, Burst: 5}})
	assert.DeepEqual(t, l.configure(epoch, &sr.Routing{}), map[string]srshare.Limit{"w": {}})
}
