package srforward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// linkBytesPerSecond is the bandwidth of an instance's link in each direction.
	linkBytesPerSecond = 10_000_000 / 8
	// largeConfigStoreBytes is the size of a configuration with 1,500 routes in an
	// answer of the registry, largeConfigPeerBytes its size between instances.
	largeConfigStoreBytes = 530_000
	largeConfigPeerBytes  = 200_000
	// smallMessageBytes is the size of a message without a configuration.
	smallMessageBytes = 3_000
	// slotMessageBytes is the size of a report of some asks or of its answer.
	slotMessageBytes = 300
	// segmentBytes is the number of bytes that a transfer sends before others have
	// their turn.
	segmentBytes = 16 << 10
	// networkDelay is the one-way delay of a message.
	networkDelay = 500 * time.Microsecond
)

// testLink is one direction of an instance's link. Concurrent transfers share it by
// taking turns, a segment at a time.
type testLink struct {
	mu   sync.Mutex
	free time.Time
}

// reserve books the link for size bytes and returns when they have passed.
func (l *testLink) reserve(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(size) / linkBytesPerSecond * float64(time.Second)))
	return l.free
}

// carry waits until size bytes have passed all links.
func carry(ctx context.Context, size int, links ...*testLink) error {
	for ; size > 0; size -= segmentBytes {
		until := time.Now()
		for _, l := range links {
			if t := l.reserve(min(size, segmentBytes)); t.After(until) {
				until = t
			}
		}
		if srtimer.Wait(ctx, time.Until(until)) != nil {
			return errors.Wrap(sr.ErrUnreachable, "test network")
		}
	}
	return srtimer.Wait(ctx, networkDelay)
}

// testFleet is a fleet of instances with slow links, and the registry that they read.
type testFleet struct {
	mu       sync.Mutex
	facts    []sr.RegistryEntry
	revision uint64
	changed  chan struct{}
	era      uint64
	down     bool
	// forgotten is the newest revision whose changes are no longer known.
	forgotten uint64
	cfg       srforwardsettings.Settings
	seeds     []string
	log       *srlog.Log
	instances map[string]*Instance
	// cut holds the instances that reach nothing and are not reached.
	cut map[string]bool
	// unaware holds the instances of an earlier version, which neither states nor reads
	// the era.
	unaware map[string]bool
	// older holds the instances of an earlier version that exchanges no records.
	older map[string]bool
	// stop ends an instance.
	stop map[string]context.CancelFunc
	wg   sync.WaitGroup
	// calls counts the queries of each instance to the registry.
	calls              map[string]int
	sending, receiving map[string]*testLink
	// parts counts the calls for parts of a configuration.
	parts atomic.Int64
	// cutOff is the address of an instance that receives gossip but no entries.
	cutOff atomic.Value
}

// messageBytes returns the size of an answer with entries.
func messageBytes(facts []sr.RegistryEntry, configBytes int) int {
	size := smallMessageBytes
	for _, e := range facts {
		if e.Kind == sr.EntryRouting && len(e.Routing.Routes) > 100 {
			size += configBytes
		}
	}
	return size
}

// put writes an entry to the registry.
func (f *testFleet) put(e sr.RegistryEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	e.Revision = f.revision
	kept := f.facts[:0:0]
	for _, old := range f.facts {
		if old.Kind != e.Kind || old.Name != e.Name {
			kept = append(kept, old)
		}
	}
	f.facts = append(kept, e)
	close(f.changed)
	f.changed = make(chan struct{})
}

// query returns the entries after a revision for a query of one instance, without removals
// for a listing, and a channel that is closed at the next change.
func (f *testFleet) query(address string, revision uint64, whole bool) (sr.Changes, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down || f.cut[address]:
		return sr.Changes{}, nil, errors.Wrap(sr.ErrUnreachable, "test network")
	case !whole && (revision > f.revision || revision < f.forgotten):
		return sr.Changes{}, nil, errors.Wrap(sr.ErrHistoryLost, "test registry")
	}
	out := sr.Changes{AsOf: f.revision, Era: f.era, Whole: whole}
	if f.unaware[address] {
		out.Era = 0
	}
	for _, e := range f.facts {
		if e.Revision > revision && !(whole && e.Gone) {
			out.Facts = append(out.Facts, e)
		}
	}
	return out, f.changed, nil
}

// registryCopy is the content of the registry at a revision.
type registryCopy struct {
	facts    []sr.RegistryEntry
	revision uint64
}

func (f *testFleet) copy() registryCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registryCopy{facts: slices.Clone(f.facts), revision: f.revision}
}

// restore brings the registry back from a copy, in a new era.
func (f *testFleet) restore(c registryCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.facts, f.revision, f.forgotten = slices.Clone(c.facts), c.revision, c.revision
	f.era++
	f.down = false
}

func (f *testFleet) countCall(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[address]++
}

// callsOf returns the number of queries of some instances.
func (f *testFleet) callsOf(addresses []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, address := range addresses {
		n += f.calls[address]
	}
	return n
}

func (f *testFleet) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.changed)
	f.changed = make(chan struct{})
}

// setCut sets whether an instance reaches nothing and is not reached.
func (f *testFleet) setCut(address string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[address] = cut
}

// checkPath returns an error if one of two instances is cut off.
func (f *testFleet) checkPath(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] {
		return errors.Wrap(sr.ErrUnreachable, "test network")
	}
	return nil
}

func (f *testFleet) instance(address string) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[address]
}

func (f *testFleet) all() map[string]*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.instances)
}

// addresses returns the addresses of the instances in order.
func (f *testFleet) addresses() []string { return slices.Sorted(maps.Keys(f.all())) }

// testRegistry is the registry as one instance reaches it.
type testRegistry struct {
	fleet   *testFleet
	address string
}

func (r testRegistry) List(ctx context.Context) (sr.Changes, error) {
	r.fleet.countCall(r.address)
	c, _, err := r.fleet.query(r.address, 0, true)
	if err != nil {
		return c, err
	}
	return c, carry(ctx, messageBytes(c.Facts, largeConfigStoreBytes), r.fleet.receiving[r.address])
}

func (r testRegistry) Changes(ctx context.Context, after uint64, wait time.Duration) (sr.Changes, error) {
	if r.fleet.cutOff.Load() == r.address {
		return sr.Changes{}, errors.Wrap(sr.ErrUnreachable, "test network")
	}
	r.fleet.countCall(r.address)
	until := time.After(wait)
	for {
		c, changed, err := r.fleet.query(r.address, after, false)
		if err != nil {
			return c, err
		}
		if len(c.Facts) > 0 || wait == 0 {
			return c, carry(ctx, messageBytes(c.Facts, largeConfigStoreBytes), r.fleet.receiving[r.address])
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-ctx.Done():
			return sr.Changes{}, errors.Wrap(sr.ErrUnreachable, "test network")
		}
	}
}

// testPeers are the connections of one instance to the others.
type testPeers struct {
	fleet   *testFleet
	address string
}

func (p testPeers) CloseIdleExcept([]string) {}

func (p testPeers) FleetPeer(address string) sr.FleetHandler {
	return testPeer{testPeers: p, to: address}
}

type testPeer struct {
	testPeers
	to string
}

// transfer carries a message over the links of both instances.
func (p testPeer) transfer(ctx context.Context, from, to string, size int) error {
	if err := p.fleet.checkPath(from, to); err != nil {
		return err
	}
	return carry(ctx, size, p.fleet.sending[from], p.fleet.receiving[to])
}

func (p testPeer) Gossip(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	if err := p.transfer(ctx, p.address, p.to, smallMessageBytes); err != nil {
		return sr.Gossip{}, err
	}
	if p.unaware() {
		g.Era, g.Prior = 0, sr.Position{}
	}
	if p.older() {
		g.Relays, g.Relay = false, nil
	}
	answer, err := p.fleet.instance(p.to).Gossip(ctx, g)
	if err != nil {
		return answer, err
	}
	if p.unaware() {
		answer.Era, answer.Prior = 0, sr.Position{}
	}
	if p.older() {
		answer.Relays, answer.Relay = false, nil
	}
	return answer, p.transfer(ctx, p.to, p.address, smallMessageBytes)
}

func (p testPeer) Exchange(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	if p.older() {
		return sr.Gossip{}, errors.Wrap(sr.ErrUnreachable, "test network: unknown method")
	}
	return p.Gossip(ctx, g)
}

// older reports whether the caller or the called instance exchanges no records.
func (p testPeer) older() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.older[p.address] || p.fleet.older[p.to]
}

// unaware reports whether the caller or the called instance is of an earlier version.
func (p testPeer) unaware() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.unaware[p.address] || p.fleet.unaware[p.to]
}

func (p testPeer) ReportSlots(ctx context.Context, r sr.SlotReport) (sr.SlotReply, error) {
	if p.unaware() {
		return sr.SlotReply{}, errors.New("test network: unknown method")
	}
	if err := p.transfer(ctx, p.address, p.to, slotMessageBytes); err != nil {
		return sr.SlotReply{}, err
	}
	answer, err := p.fleet.instance(p.to).ReportSlots(ctx, r)
	if err != nil {
		return answer, err
	}
	return answer, p.transfer(ctx, p.to, p.address, slotMessageBytes)
}

func (p testPeer) DeliverSlots(ctx context.Context, g sr.SlotGrants) error {
	if err := p.transfer(ctx, p.address, p.to, slotMessageBytes); err != nil {
		return err
	}
	return p.fleet.instance(p.to).DeliverSlots(ctx, g)
}

func (p testPeer) Pull(ctx context.Context, after uint64) (sr.Changes, error) {
	return p.entries(ctx, after, p.fleet.instance(p.to).Pull)
}

func (p testPeer) Entries(ctx context.Context, after uint64) (sr.Changes, error) {
	return p.entries(ctx, after, p.fleet.instance(p.to).Entries)
}

func (p testPeer) EntriesSince(ctx context.Context, after sr.Position) (sr.Changes, error) {
	if p.unaware() {
		return sr.Changes{}, errors.New("test network: unknown method")
	}
	return p.entries(ctx, 0, func(ctx context.Context, _ uint64) (sr.Changes, error) {
		return p.fleet.instance(p.to).EntriesSince(ctx, after)
	})
}

func (p testPeer) entries(ctx context.Context, after uint64, handler func(context.Context, uint64) (sr.Changes, error)) (sr.Changes, error) {
	if p.fleet.cutOff.Load() == p.address {
		return sr.Changes{}, errors.Wrap(sr.ErrUnreachable, "test network")
	}
	if err := p.transfer(ctx, p.address, p.to, smallMessageBytes); err != nil {
		return sr.Changes{}, err
	}
	c, err := handler(ctx, after)
	if p.unaware() {
		c.Era, c.Prior = 0, sr.Position{}
	}
	if err != nil {
		return c, err
	}
	return c, p.transfer(ctx, p.to, p.address, messageBytes(c.Facts, largeConfigPeerBytes))
}

func (p testPeer) RoutingPart(ctx context.Context, r sr.RoutingRequest) (sr.RoutingPart, error) {
	p.fleet.parts.Add(1)
	if err := p.transfer(ctx, p.address, p.to, smallMessageBytes); err != nil {
		return sr.RoutingPart{}, err
	}
	part, err := p.fleet.instance(p.to).RoutingPart(ctx, r)
	if err != nil {
		return part, err
	}
	return part, p.transfer(ctx, p.to, p.address, smallMessageBytes+len(part.Data))
}

// newTestFleet returns instances with slow links in four failure domains.
func newTestFleet(t *testing.T, size int, cfg srforwardsettings.Settings) *testFleet {
	f := &testFleet{
		changed: make(chan struct{}), era: 1, cfg: cfg, cut: make(map[string]bool), unaware: make(map[string]bool), older: make(map[string]bool), calls: make(map[string]int),
		instances: make(map[string]*Instance), stop: make(map[string]context.CancelFunc),
		sending: make(map[string]*testLink), receiving: make(map[string]*testLink),
	}
	f.log = srlog.New(io.Discard, srlog.Options{Name: "test", Quiet: true})
	t.Cleanup(f.log.Close)
	f.seeds = []string{"10.0.0.0:1", "10.0.1.1:1", "10.0.2.2:1"}[:min(size, 3)]
	for i := range size {
		address := fmt.Sprintf("10.0.%d.%d:1", i%4, i)
		f.sending[address], f.receiving[address] = &testLink{}, &testLink{}
		f.instances[address] = f.newInstance(address, uint64(i))
	}
	return f
}

func (f *testFleet) newInstance(address string, incarnation uint64) *Instance {
	own := f.cfg
	own.Domain = "d" + strings.Split(address, ".")[2]
	own.Peers = address
	own.Seeds = f.seeds
	return NewInstance(Deps{
		Settings: own,
		Self:     own.ID(incarnation),
		Registry: testRegistry{fleet: f, address: own.Peers},
		Fleet:    testPeers{fleet: f, address: own.Peers},
		Upstream: srupstream.New(srupstream.Options{}),
		Clock:    time.Now,
		Seed:     incarnation,
		Log:      f.log,
	})
}

// run runs the instances until the test ends.
func (f *testFleet) run(t *testing.T) {
	for address, n := range f.instances {
		f.start(t.Context(), address, n)
	}
	t.Cleanup(func() {
		for _, stop := range f.stop {
			stop()
		}
		f.wg.Wait()
	})
}

func (f *testFleet) start(ctx context.Context, address string, n *Instance) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.stop[address] = cancel
	f.mu.Unlock()
	f.wg.Go(func() { n.sync(ctx) })
	f.wg.Go(func() { n.gossip(ctx) })
	f.wg.Go(func() { n.fetch(ctx) })
	f.wg.Go(func() { n.sweep(ctx) })
}

// replace ends an instance, as a kill does, and starts another one at its address.
func (f *testFleet) replace(ctx context.Context, address string) *Instance {
	const secondIncarnation = 1000
	n := f.newInstance(address, secondIncarnation)
	f.mu.Lock()
	f.stop[address]()
	f.instances[address] = n
	f.mu.Unlock()
	f.start(ctx, address, n)
	return n
}

// behind returns the instances whose view does not satisfy ok.
func (f *testFleet) behind(ok func(*Instance) bool) []string {
	var out []string
	for address, n := range f.instances {
		if !ok(n) {
			out = append(out, address)
		}
	}
	return out
}

func testRouting(version uint64, routes int) sr.RegistryEntry {
	c := &sr.Routing{Version: version}
	r := rand.New(rand.NewPCG(1, 1))
	for range routes {
		c.Routes = append(c.Routes, sr.Route{Name: fmt.Sprintf("r-%x", r.Uint64()), Host: "a.example", Prefix: fmt.Sprintf("/%x/", r.Uint64())})
	}
	return sr.RegistryEntry{Kind: sr.EntryRouting, Routing: c}
}

func testEndpoint(id string, state sr.EndpointState) sr.RegistryEntry {
	return sr.RegistryEntry{Kind: sr.EntryEndpoint, Name: id, Endpoint: sr.LiveEndpoint{ID: id, Service: "s", State: state, Slots: 8}}
}

// A configuration of several hundred kilobytes must be in force within its bound at
// instances with links of 10 Mbit/s, and must not delay the state of endpoints.
func TestLargeConfigurationReachesInstancesWithSlowLinksInTime(t *testing.T) {
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 69, srforwardsettings.Settings{
			Memory: 184, Heartbeat: 1200 * time.Millisecond, RevokeTimeout: 5 * time.Second, ConfigTimeout: bound, Drain: bound,
		})
		f.put(testRouting(1, 49))
		f.put(testEndpoint("e-1", sr.EndpointReady))
		f.run(t)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.behind(func(n *Instance) bool { return n.view.State().Usable("e-1", n.Clock()) })), 0)
		for version := uint64(2); version < 8; version++ {
			f.put(testRouting(version, 1500))
			state := sr.EndpointLeaving
			if version%2 == 1 {
				state = sr.EndpointReady
			}
			f.put(testEndpoint("e-1", state))
			time.Sleep(bound)
			late := f.behind(func(n *Instance) bool { return n.view.State().Routing.Version >= version })
			assert.Check(t, len(late) == 0, "version %d is not in force after %v at %d instances", version, bound, len(late))
			late = f.behind(func(n *Instance) bool { return n.view.State().Endpoints["e-1"].State == state })
			assert.Check(t, len(late) == 0, "the state of an endpoint at version %d is unknown after %v at %d instances", version, bound, len(late))
		}
	})
}

// An instance that knows of a newer revision, and cannot get it, must not go on with its
// old view for longer than the bounds allow. One that knows of none must go on.
func TestSupersededViewIsNotUsedBeyondTheBounds(t *testing.T) {
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, srforwardsettings.Settings{Memory: 184, Heartbeat: 1200 * time.Millisecond, ConfigTimeout: bound, Drain: bound})
		f.put(testRouting(1, 49))
		f.put(testEndpoint("e-1", sr.EndpointReady))
		f.run(t)
		time.Sleep(10 * time.Second)
		const address = "10.0.3.3:1"
		f.cutOff.Store(address)
		n := f.instances[address]
		q := &request{Instance: n}
		for range 2 {
			time.Sleep(bound)
			assert.Assert(t, n.Ready())
			assert.NilError(t, q.checkUsable(srupstream.Peer{ID: "e-1"})())
		}
		f.put(testEndpoint("e-1", sr.EndpointLeaving))
		time.Sleep(bound)
		assert.Assert(t, errors.Is(q.checkUsable(srupstream.Peer{ID: "e-1"})(), errUnusable))
		assert.Assert(t, !n.Ready())
		f.cutOff.Store("")
		time.Sleep(bound)
		assert.Assert(t, n.Ready())
	})
}
