package srforward

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srgossip"
)

// knowing returns how many instances have heard all others lately, of those that run.
func (f *testFleet) knowing(size int) int {
	n := 0
	for _, i := range f.all() {
		if len(i.members.alive(time.Now())) == size-1 {
			n++
		}
	}
	return n
}

// setOlder sets whether the instances from one index to another one exchange no records.
func (f *testFleet) setOlder(from, to int, older bool) {
	for _, address := range f.addresses()[from:to] {
		f.mu.Lock()
		f.older[address] = older
		f.mu.Unlock()
	}
}

// In a rolling upgrade, and in a rolling return to the former version, instances that exchange
// records run beside others that do not. All stay known to all, and limits are shared by all.
func TestInstancesOfTwoVersionsKnowEachOther(t *testing.T) {
	const size = 24
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, size, restoreSettings)
		f.put(testRouting(1, 3))
		f.setOlder(0, size, true)
		f.run(t)
		time.Sleep(3 * time.Second)
		check := func(when string) {
			t.Helper()
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				assert.Check(t, f.knowing(size) == size, "%s: only %d know all others", when, f.knowing(size))
			}
			for address, n := range f.all() {
				assert.Check(t, n.members.limitSharers(time.Now()) == size, "%s: %d sharers at %s", when, n.members.limitSharers(time.Now()), address)
				assert.Check(t, n.keysCurrent() && n.configCurrent(), "%s: the view of %s is %v old", when, address, n.view.Age(n.Clock()))
			}
		}
		check("all of the former version")
		for _, upgraded := range []int{1, 8, 20, size, 12, 0} {
			f.setOlder(0, upgraded, false)
			f.setOlder(upgraded, size, true)
			for i, address := range f.addresses() {
				if n := f.instance(address); n.members.large() == (i >= upgraded) {
					f.replace(t.Context(), address)
				}
			}
			time.Sleep(4 * time.Second)
			check("upgraded in part")
		}
	})
}

// A member of a large fleet that is killed is silent everywhere soon, and one that stops is known
// to leave at once.
func TestEndOfAnInstanceOfALargeFleetIsKnown(t *testing.T) {
	const size = 40
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, size, restoreSettings)
		f.put(testRouting(1, 3))
		f.run(t)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.knowing(size), size)
		killed, stopped := f.addresses()[5], f.addresses()[9]
		f.setCut(killed, true)
		f.instance(stopped).draining.Store(true)
		f.instance(stopped).announceLeaving(t.Context())
		time.Sleep(100 * time.Millisecond)
		for address, n := range f.all() {
			assert.Check(t, address == killed || address == stopped || !n.members.knows(n.members.memberID(stopped)), "%s does not know that %s leaves", address, stopped)
		}
		time.Sleep(maxMissedExchanges*srgossip.Delay(size) + srgossip.Delay(size))
		for address, n := range f.all() {
			assert.Check(t, address == killed || address == stopped || len(n.members.alive(time.Now())) == size-3, "%s counts %d members", address, len(n.members.alive(time.Now())))
		}
		f.setCut(killed, false)
		time.Sleep(probeInterval + 2*srgossip.Delay(size))
		assert.Check(t, len(f.instance(killed).members.alive(time.Now())) == size-2)
	})
}

// large is isLarge for callers that do not hold m.mu.
func (m *members) large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLarge()
}

// memberID returns the identity of a member, the zero one if there is none.
func (m *members) memberID(address string) sr.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byAddress[address]; ok {
		return e.id
	}
	return sr.InstanceID{}
}

// TestMalformedRecordsAreNotApplied: one field of a relayed record is out of range.
func TestMalformedRecordsAreNotApplied(t *testing.T) {
	for name, spoil := range map[string]func(r *sr.MemberRecord){
		"no address":           func(r *sr.MemberRecord) { r.State.ID.Address = "" },
		"key of another one":   func(r *sr.MemberRecord) { r.Key++ },
		"total is no number":   func(r *sr.MemberRecord) { r.Spent["w"] = math.NaN() },
		"negative requests":    func(r *sr.MemberRecord) { r.Load.Running["e"] = -1 },
		"negative age":         func(r *sr.MemberRecord) { r.Age = -time.Second },
		"age of a crash":       func(r *sr.MemberRecord) { r.Crashes.Crashes[0].Age = math.MinInt64 },
		"age without an end":   func(r *sr.MemberRecord) { r.Age = math.MaxInt64 },
		"age of a sound part":  func(r *sr.MemberRecord) { r.Crashes.Sound[0].Age = math.MaxInt64 },
		"long failure domain":  func(r *sr.MemberRecord) { r.State.Domain = string(make([]byte, 1<<20)) },
		"tokens without bound": func(r *sr.MemberRecord) { r.Load.Pending["e"] = math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			n := newLoneInstance()
			message := func() sr.Gossip {
				sender, g := srgossip.New(srgossip.Options{Self: id("peer"), Domain: "d"}), soundGossip()
				sender.Publish(time.Now(), srgossip.Own{
					State: sr.MemberState{ID: id("peer"), Domain: "d"}, Spent: g.Usage.Spent,
					Load: sr.MemberLoad{Running: g.Usage.Running, Pending: g.Usage.Pending}, Crashes: g.Crashes,
				})
				m := sender.Message(time.Now(), "self")
				return sr.Gossip{From: id("peer"), Domain: "d", Relays: true, Relay: &m}
			}
			bad := message()
			spoil(&bad.Relay.Records[0])
			_, err := n.Exchange(t.Context(), bad)
			assert.ErrorIs(t, err, sr.ErrInvalid)
			assertQuotaWorks(t, n)
			_, err = n.Exchange(t.Context(), sr.Gossip{From: id("peer")})
			assert.ErrorIs(t, err, sr.ErrInvalid)
			_, err = n.Exchange(t.Context(), message())
			assert.NilError(t, err)
			assert.DeepEqual(t, n.members.alive(time.Now()), []string{"peer"})
			assert.Equal(t, n.members.load(time.Now())["e"].Running, 2)
		})
	}
}

// The records of a fleet left out a crash whose requests had more parts than a record holds, so
// that other instances did not learn of it.
func TestCrashWithLongPromptsIsRelayed(t *testing.T) {
	now := time.Now()
	c := sr.Crash{Endpoint: "e"}
	for i := range 17 {
		var parts []string
		for j := range 70 {
			parts = append(parts, fmt.Sprintf("%d-%d", i, j))
		}
		c.Requests = append(c.Requests, append(parts, "deadly", srsuspect.Identity(uint64(i))))
	}
	from, to := newLoneInstance(), newLoneInstance()
	// A part that was at a crash before is a likelier cause than others.
	from.crashes.addCrash(now, sr.Crash{Endpoint: "d", Age: 10 * time.Second, Requests: [][]string{{"deadly"}}})
	from.crashes.addCrash(now, c)
	sender := srgossip.New(srgossip.Options{Self: id("peer"), Domain: "d"})
	sender.Publish(now, srgossip.Own{State: sr.MemberState{ID: id("peer"), Domain: "d"}, Crashes: from.crashes.report(now)})
	m := sender.Message(now, "self")
	_, err := to.Exchange(t.Context(), sr.Gossip{From: id("peer"), Domain: "d", Relays: true, Relay: &m})
	assert.NilError(t, err)
	for _, known := range []string{"deadly", srsuspect.Identity(0), srsuspect.Identity(16)} {
		assert.Assert(t, to.crashes.isInvolved(known), known)
	}
}
