package srforward

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srgroup"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srclock"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/platform"
)

// newLoneInstance returns an instance with one workspace that has a quota.
func newLoneInstance() *Instance {
	n := NewInstance(Deps{Self: id("self"), Clock: srclock.Now, Log: srlog.New(io.Discard, srlog.Options{}), Settings: srforwardsettings.Settings{Memory: 112, Seeds: []string{"peer"}}})
	n.limits.configure(time.Now(), &sr.Routing{Workspaces: map[string]sr.RoutedWorkspace{"w": {Name: "w", Allowance: sr.Quota{Rate: 100, Burst: 100}}}})
	return n
}

// soundGossip returns a message that is applied.
func soundGossip() sr.Gossip {
	return sr.Gossip{
		From: id("peer"), Domain: "d", Known: []sr.InstanceID{id("other")},
		Usage:   sr.Usage{Spent: map[string]float64{"w": 10}, Running: map[string]int{"e": 2}, Pending: map[string]int{"e": 3000}},
		Crashes: sr.CrashReport{Crashes: []sr.Crash{{Endpoint: "e", Requests: [][]string{{"p"}}, Ran: []time.Duration{time.Millisecond}}}, Sound: []sr.SoundPart{{ID: "p"}}, Suspects: []sr.SuspectPart{{ID: "q"}}},
	}
}

// TestMalformedGossipIsNotApplied: one field of a message is out of range.
func TestMalformedGossipIsNotApplied(t *testing.T) {
	for name, spoil := range map[string]func(g *sr.Gossip){
		"no sender":            func(g *sr.Gossip) { g.From.Address = "" },
		"long sender":          func(g *sr.Gossip) { g.From.Address = strings.Repeat("x", 1<<20) },
		"long domain":          func(g *sr.Gossip) { g.Domain = strings.Repeat("x", 1<<20) },
		"long endpoint":        func(g *sr.Gossip) { g.Usage.Pending[strings.Repeat("x", 1<<20)] = 1 },
		"long crashed one":     func(g *sr.Gossip) { g.Crashes.Crashes[0].Endpoint = strings.Repeat("x", 1<<20) },
		"many known instances": func(g *sr.Gossip) { g.Known = make([]sr.InstanceID, maxKnownMembers+1) },
		"unnamed instance":     func(g *sr.Gossip) { g.Known[0].Address = "" },
		"total is no number":   func(g *sr.Gossip) { g.Usage.Spent["w"] = math.NaN() },
		"infinite total":       func(g *sr.Gossip) { g.Usage.Spent["w"] = math.Inf(1) },
		"negative total":       func(g *sr.Gossip) { g.Usage.Spent["w"] = -1e18 },
		"power is no number":   func(g *sr.Gossip) { g.Power = math.NaN() },
		"infinite power":       func(g *sr.Gossip) { g.Power = math.Inf(1) },
		"negative requests":    func(g *sr.Gossip) { g.Usage.Running["e"] = -5 },
		"many requests":        func(g *sr.Gossip) { g.Usage.Running["e"] = math.MaxInt },
		"negative tokens":      func(g *sr.Gossip) { g.Usage.Pending["e"] = -5 },
		"many tokens":          func(g *sr.Gossip) { g.Usage.Pending["e"] = math.MaxInt },
		"negative age":         func(g *sr.Gossip) { g.Age = -time.Hour },
		"age of a crash":       func(g *sr.Gossip) { g.Crashes.Crashes[0].Age = math.MinInt64 },
		"time to a crash":      func(g *sr.Gossip) { g.Crashes.Crashes[0].Ran[0] = math.MaxInt64 },
		"age of a sound part":  func(g *sr.Gossip) { g.Crashes.Sound[0].Age = math.MaxInt64 },
		"age of a suspect":     func(g *sr.Gossip) { g.Crashes.Suspects[0].Age = math.MinInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			n := newLoneInstance()
			g := soundGossip()
			spoil(&g)
			_, err := n.Gossip(t.Context(), g)
			assert.ErrorIs(t, err, sr.ErrInvalid)
			assert.Equal(t, len(n.members.alive(time.Now())), 0)
			_, err = n.Gossip(t.Context(), soundGossip())
			assert.NilError(t, err)
			assert.DeepEqual(t, n.members.alive(time.Now()), []string{"peer"})
			assertQuotaWorks(t, n)
		})
	}
}

// assertQuotaWorks checks that a cost far above the quota is refused.
func assertQuotaWorks(t *testing.T, n *Instance) {
	t.Helper()
	for range 100 {
		if ok, _, _ := n.limits.acquire(time.Now(), "w", 50, 0); !ok {
			return
		}
	}
	t.Fatal("the quota has no effect")
}

// TestPanicOfACallIsAnError: a handler of calls of other instances panics.
func TestPanicOfACallIsAnError(t *testing.T) {
	n := newLoneInstance()
	panics := func() (err error) {
		defer n.recoverPanic("gossip", &err)
		panic(errors.New("unexpected"))
	}
	assert.ErrorContains(t, panics(), "panic in gossip: unexpected")
	// An instance without a view panics in its handlers.
	_, err := guardedHandler{&Instance{Deps: n.Deps, stats: n.stats}}.Gossip(context.Background(), soundGossip())
	assert.ErrorContains(t, err, "panic in gossip")
}

// TestPanicOfARequestIsAnswered: a request whose answer has not begun gets 502, another one is cut.
func TestPanicOfARequestIsAnswered(t *testing.T) {
	for begun, want := range map[bool]string{false: "502 Bad Gateway", true: "200 OK"} {
		n := &Instance{Deps: Deps{Codec: platform.Headers{}, Log: srlog.New(io.Discard, srlog.Options{})}, stats: newStats()}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer n.recoverRequest(w, r)
			if begun {
				assert.NilError(t, http.NewResponseController(w).Flush())
			}
			panic(errors.New("unexpected"))
		}))
		conns := srdownstream.New(srdownstream.Options{HeaderTimeout: time.Minute})
		conns.Install(server.Config)
		server.Listener = conns.Listener(server.Listener)
		server.Start()
		defer server.Close()
		resp, err := http.Get(server.URL)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, want)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.Equal(t, err != nil, begun, "%v", err)
		assert.NilError(t, resp.Body.Close())
	}
}

// endlessFleet sends parts of a configuration without end.
type endlessFleet struct {
	sr.FleetHandler
	part  sr.RoutingPart
	newer uint64
	calls int
}

func (f *endlessFleet) FleetPeer(string) sr.FleetHandler { return f }
func (f *endlessFleet) CloseIdleExcept([]string)         {}

func (f *endlessFleet) RoutingPart(context.Context, sr.RoutingRequest) (sr.RoutingPart, error) {
	if f.calls++; f.calls > 1000 {
		return sr.RoutingPart{}, sr.ErrUnreachable
	}
	p := f.part
	p.Revision += uint64(f.calls) * f.newer
	return p, nil
}

// TestConfigurationWithoutEndIsGivenUp: another instance sends parts without end.
func TestConfigurationWithoutEndIsGivenUp(t *testing.T) {
	part := make([]byte, routingPartBytes)
	for name, f := range map[string]*endlessFleet{
		"size":  {part: sr.RoutingPart{Revision: 7, Size: math.MaxInt, Data: part}},
		"newer": {part: sr.RoutingPart{Revision: 7, Size: 2 * routingPartBytes, Data: part}, newer: 1},
	} {
		t.Run(name, func(t *testing.T) {
			n := newLoneInstance()
			n.Fleet = f
			_, err := n.pullParts(t.Context(), "peer", sr.Position{Revision: 7})
			assert.ErrorIs(t, err, sr.ErrInvalid)
			assert.Assert(t, f.calls < 10, f.calls)
		})
	}
}

// TestLongNamesAreNotRelayed: another instance relays a registration with a long name.
func TestLongNamesAreNotRelayed(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, e := range map[string]sr.RegistryEntry{
		"name":    {Name: long},
		"address": {Endpoint: sr.LiveEndpoint{Address: long}},
		"service": {Endpoint: sr.LiveEndpoint{Service: long}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, checkEntries(sr.Changes{Facts: []sr.RegistryEntry{e}}), sr.ErrInvalid)
		})
	}
	c := sr.Changes{Facts: []sr.RegistryEntry{{Invalid: long}}}
	assert.NilError(t, checkEntries(c))
	assert.Equal(t, len(c.Facts[0].Invalid), maxName)
}

// FuzzGossip feeds messages to an instance. They must not panic, and the quota keeps its
// effect.
func FuzzGossip(f *testing.F) {
	seed, err := json.Marshal(soundGossip())
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"From":{"Address":"p"},"Leaving":true,"Era":1,"AsOf":18446744073709551615,"Prior":{"Era":9}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var g sr.Gossip
		if json.Unmarshal(data, &g) != nil {
			return
		}
		n := newLoneInstance()
		for range 2 {
			_, _ = n.Gossip(t.Context(), g)
			n.updateFleet(time.Now())
			n.queues.setPeerLoad(n.members.load(time.Now()))
		}
		assertQuotaWorks(t, n)
	})
}

// unreachableFleet does not reach other instances.
type unreachableFleet struct{ sr.FleetHandler }

func (f unreachableFleet) FleetPeer(string) sr.FleetHandler { return f }
func (f unreachableFleet) CloseIdleExcept([]string)         {}

func (f unreachableFleet) ReportSlots(context.Context, sr.SlotReport) (sr.SlotReply, error) {
	return sr.SlotReply{}, sr.ErrUnreachable
}

func (f unreachableFleet) DeliverSlots(context.Context, sr.SlotGrants) error {
	return sr.ErrUnreachable
}

// slotMessages are messages about slots from the instance "peer".
type slotMessages struct {
	Reports []sr.SlotReport
	Grants  []sr.SlotGrants
}

func soundSlotMessages() slotMessages {
	return slotMessages{
		Reports: []sr.SlotReport{
			{From: id("peer"), Group: testGroup, Sequence: 1, Asks: []sr.SlotAsk{{ID: 1, Target: time.Second, Deadline: time.Minute}, {ID: 2, Weight: 1, Avoid: []string{"e"}}}, Own: map[string]int{"e": 1}},
			{From: id("peer"), Group: testGroup, Sequence: 2, Started: []sr.SlotStart{{Endpoint: "e", First: time.Second}}, Silent: []string{"e"}, Released: []sr.SlotRelease{{Ask: 1, Result: sr.SlotResult{Pace: time.Second}}}, Waiting: []uint64{2}, Held: map[uint64]string{3: "e"}},
		},
		Grants: []sr.SlotGrants{{From: id("peer"), To: id("self"), Group: testGroup, Decisions: []sr.SlotDecision{{Ask: 1, Granted: true, Endpoint: "e"}, {Ask: 2, Reason: "full", After: time.Second}}}},
	}
}

// newSlotInstance returns an instance that coordinates a group and asks "peer" for another one's.
func newSlotInstance(t testing.TB) *Instance {
	n := newLoneInstance()
	n.Fleet = unreachableFleet{}
	_, err := n.Gossip(t.Context(), soundGossip())
	assert.NilError(t, err)
	n.coordinator.configure(time.Now(), map[string][]srdispatch.Endpoint{testGroup: {{ID: "e", Slots: 2}}})
	n.holders.configure(map[string][]groupRoute{"s": {{name: testGroup, coordinator: "peer", endpoints: []string{"e"}}}})
	return n
}

// TestMalformedSlotMessagesAreNotApplied: one field of a message is out of range.
func TestMalformedSlotMessagesAreNotApplied(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, spoil := range map[string]func(r *sr.SlotReport, g *sr.SlotGrants){
		"group": func(r *sr.SlotReport, g *sr.SlotGrants) { r.Group, g.Decisions[0].Endpoint = long, long },
		"time": func(r *sr.SlotReport, g *sr.SlotGrants) {
			r.Asks[0].Target, g.Decisions[0].After = math.MaxInt64, math.MaxInt64
		},
		"negative time": func(r *sr.SlotReport, g *sr.SlotGrants) {
			r.Asks[0].Patience, g.Decisions[0].Waited = math.MinInt64, -1
		},
		"weight": func(r *sr.SlotReport, g *sr.SlotGrants) { r.Asks[0].Weight, g.Decisions[0].Reason = math.NaN(), long },
		"number": func(r *sr.SlotReport, g *sr.SlotGrants) {
			r.Waiting, g.Decisions = make([]uint64, maxReported+1), make([]sr.SlotDecision, maxGrants+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, m := newSlotInstance(t), soundSlotMessages()
			spoil(&m.Reports[0], &m.Grants[0])
			_, err := n.ReportSlots(t.Context(), m.Reports[0])
			assert.ErrorIs(t, err, sr.ErrInvalid)
			assert.ErrorIs(t, n.DeliverSlots(t.Context(), m.Grants[0]), sr.ErrInvalid)
		})
	}
	n, m := newSlotInstance(t), soundSlotMessages()
	m.Grants[0].To.Incarnation++
	assert.ErrorIs(t, n.DeliverSlots(t.Context(), m.Grants[0]), sr.ErrMissing)
	m.Reports[0].From.Incarnation++
	_, err := n.ReportSlots(t.Context(), m.Reports[0])
	assert.ErrorIs(t, err, sr.ErrMissing)
}

// FuzzSlots feeds messages about slots to a group and to a holder, if an instance would. They must
// not panic, and all slots are free once their sender is silent.
func FuzzSlots(f *testing.F) {
	seed, err := json.Marshal(soundSlotMessages())
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m slotMessages
		if json.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Now()
		g, h := srgroup.New(srgroup.Options{Name: testGroup}), srgroup.NewHolder(testGroup, id("self"), 0)
		g.Configure(now, []srdispatch.Endpoint{{ID: "e", Slots: 2}})
		h.Ask(now, 1, srdispatch.Ask{})
		_, _ = h.Next(now, nil)
		for _, r := range m.Reports {
			if checkReport(r) == nil {
				_, _, _ = g.Report(now, r)
			}
		}
		for _, d := range m.Grants {
			if checkDecisions(d.Decisions) == nil {
				h.Deliver(now, d.Decisions)
			}
		}
		later := now.Add(10 * time.Second)
		g.Tick(later)
		assert.Equal(t, g.Free(later), 2)
	})
}

// The last part of a prompt with a long ID made the whole report of an instance to a coordinator
// invalid, with the asks of other requests in it.
func TestAskWithALongPartIsAccepted(t *testing.T) {
	for _, last := range []string{"e4402b7d", strings.Repeat("e", maxName), strings.Repeat("e", maxName+1), strings.Repeat("e", 4000)} {
		now := time.Now()
		q := &request{Instance: newLoneInstance(), start: now, deadline: now.Add(time.Second), inbound: sr.Inbound{Parts: []sr.PromptPart{{ID: "5c1e07a2"}, {ID: last}}}}
		assert.NilError(t, checkReport(sr.SlotReport{From: id("peer"), Asks: []sr.SlotAsk{srgroup.NewAsk(now, 1, q.ask())}}))
	}
}
