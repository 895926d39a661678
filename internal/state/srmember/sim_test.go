package srmember

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	simNodes    = 7
	simDomains  = 3
	simTimeout  = time.Second
	simDelay    = 5 * time.Millisecond
	simListPoll = 500 * time.Millisecond
	// simListLag is the maximum age of the list that an instance uses.
	simListLag = 1500 * time.Millisecond
)

// sim runs several Members over a fake network in virtual time.
type sim struct {
	rand     *rand.Rand
	now      time.Time
	events   events
	lastSeq  int
	nodes    map[string]*node
	pools    []sr.PoolID
	opts     Options
	ablation ablation
	// cuts are the links on which no messages are delivered.
	cuts map[link]bool
	// delay is the maximum latency of a message.
	delay   time.Duration
	lists   []publishedList
	granted map[sr.PoolID]bool
	// unownedSince is since when a pool has had no owner with a majority.
	unownedSince map[sr.PoolID]time.Time
	// measureGaps is whether the longest time without an owner is measured.
	measureGaps bool
	longestGap  time.Duration
	// yields counts the hand-overs, added the nodes that replaced others.
	yields int
	added  int
	// violation describes the first violated invariant.
	violation string
}

type link struct{ from, to string }

type publishedList struct {
	at   time.Time
	list []sr.Instance
}

// node is the instance at one address. members is nil while no process runs there.
type node struct {
	address string
	domain  string
	members *Members
	paused  bool
	// run counts the starts and stops of the process.
	run uint64
	// deferred are the calls that arrived while the process was paused.
	deferred []func()
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(seed uint64, opts Options, a ablation) *sim {
	s := &sim{
		rand:         rand.New(rand.NewPCG(seed, 17)),
		now:          start,
		nodes:        make(map[string]*node),
		opts:         opts.withDefaults(),
		ablation:     a,
		cuts:         make(map[link]bool),
		delay:        simDelay,
		granted:      make(map[sr.PoolID]bool),
		unownedSince: make(map[sr.PoolID]time.Time),
	}
	for d := range simDomains {
		for _, target := range []string{"m1", "m2"} {
			s.pools = append(s.pools, sr.PoolID{Target: target, Domain: domainName(d)})
		}
	}
	for i := range simNodes {
		s.start(s.addNode(i))
	}
	s.publish()
	return s
}

func domainName(i int) string { return fmt.Sprintf("d%d", i%simDomains) }

func (s *sim) addNode(i int) *node {
	n := &node{address: fmt.Sprintf("10.0.0.%d:1", i+1), domain: domainName(i)}
	s.nodes[n.address] = n
	return n
}

// publish publishes the current set of addresses as the platform's list.
func (s *sim) publish() {
	var list []sr.Instance
	for _, a := range sortedKeys(s.nodes) {
		list = append(list, sr.Instance{Address: a, Domain: s.nodes[a].domain})
	}
	s.lists = append(s.lists, publishedList{at: s.now, list: list})
}

// listAsOf returns the last list that was published at or before a time.
func (s *sim) listAsOf(at time.Time) []sr.Instance {
	for _, p := range slices.Backward(s.lists) {
		if !p.at.After(at) {
			return p.list
		}
	}
	return s.lists[0].list
}

// start runs a new incarnation at the node's address.
func (s *sim) start(n *node) {
	n.run++
	n.paused = false
	n.deferred = nil
	id := sr.InstanceID{Address: n.address, Incarnation: s.rand.Uint64() | 1}
	n.members = New(id, n.domain, s.opts)
	n.members.ablation = s.ablation
	s.every(n, s.opts.Heartbeat, s.sendHeartbeats)
	s.every(n, simListPoll, s.readList)
}

func (s *sim) stop(n *node) {
	n.run++
	n.members = nil
	n.deferred = nil
	n.paused = false
}

// every calls fn periodically until this run of the node ends.
func (s *sim) every(n *node, d time.Duration, fn func(*node)) {
	run := n.run
	var step func()
	step = func() {
		if n.run != run {
			return
		}
		s.onNode(n, func() { fn(n) })
		s.after(d, step)
	}
	s.after(time.Duration(s.rand.Int64N(int64(d))), step)
}

// onNode calls fn at the node. While the process is paused the call is deferred; when
// no process runs it is dropped.
func (s *sim) onNode(n *node, fn func()) {
	if n.members == nil {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, fn)
		return
	}
	fn()
}

// resume ends a pause and makes the deferred calls. noticed is whether the process
// detects the pause.
func (s *sim) resume(n *node, noticed bool) {
	if !n.paused || n.members == nil {
		return
	}
	n.paused = false
	if noticed {
		n.members.Resumed(s.now)
	}
	deferred := n.deferred
	n.deferred = nil
	for _, fn := range deferred {
		fn()
	}
}

func (s *sim) readList(n *node) {
	age := time.Duration(s.rand.Int64N(int64(simListLag - simListPoll)))
	n.members.UpdateList(s.now, s.listAsOf(s.now.Add(-age)))
}

// sendHeartbeats sends a heartbeat to each address and the Yields of takeovers.
func (s *sim) sendHeartbeats(n *node) {
	m := n.members
	for _, a := range m.Takeover(s.now, s.pools) {
		if a.Act == ActRequestHandover {
			s.sendYield(n, a)
		}
	}
	hb := m.Heartbeat(s.now)
	for _, address := range m.HeartbeatAddresses(s.now) {
		s.exchange(n, address, hb)
	}
}

// exchange sends a heartbeat and processes the answer, or the timeout.
func (s *sim) exchange(n *node, address string, hb sr.Heartbeat) {
	sentAt := s.now
	answered := false
	run := n.run
	s.call(n, address, func(to *node) func() {
		to.members.HeartbeatReceived(s.now, hb)
		answer := to.members.Heartbeat(s.now)
		return func() {
			answered = true
			n.members.HeartbeatAnswered(s.now, sentAt, answer)
		}
	})
	s.after(simTimeout, func() {
		if !answered && n.run == run {
			s.onNode(n, func() { n.members.HeartbeatFailed(s.now, address) })
		}
	})
}

// sendYield sends a Yield and processes the hand-over. It is a violation when a pool
// is handed to an instance that does not claim it.
func (s *sim) sendYield(n *node, a OwnershipAction) {
	sentAt := s.now
	y := sr.Yield{Pool: a.Pool, To: n.members.self}
	s.call(n, a.Claimant.Address, func(to *node) func() {
		if to.members.self != a.Claimant || !to.members.Yield(s.now, y) {
			return func() {}
		}
		s.yields++
		if n.members != nil && n.members.self == y.To && n.members.claims[a.Pool] == nil {
			s.violation = fmt.Sprintf("%v handed %v to %v, which does not claim it", a.Claimant, a.Pool, y.To)
		}
		return func() { n.members.HandoverReceived(s.now, a.Pool, a.Claimant, sentAt) }
	})
}

// call calls serve at the node with the given address, and then the returned function
// at n, each after the latency of a message.
func (s *sim) call(n *node, address string, serve func(to *node) func()) {
	run := n.run
	s.after(s.latency(), func() {
		to := s.nodes[address]
		if to == nil || s.cuts[link{n.address, address}] {
			return
		}
		s.onNode(to, func() {
			reply := serve(to)
			s.after(s.latency(), func() {
				if n.run != run || s.cuts[link{address, n.address}] {
					return
				}
				s.onNode(n, reply)
			})
		})
	})
}

func (s *sim) latency() time.Duration {
	return time.Duration(1 + s.rand.Int64N(int64(s.delay)))
}

// after schedules fn.
func (s *sim) after(d time.Duration, fn func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.lastSeq, fn: fn})
}

// runFor processes events for d and stops at the first violated invariant.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for s.violation == "" && len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
		s.check()
	}
	s.now = end
}

// check records a violation when two instances may grant the cold endpoints of one
// pool.
func (s *sim) check() {
	var nodes []*node
	if s.measureGaps {
		nodes = s.nodesWithMajority()
	}
	for _, pool := range s.pools {
		if s.claimants(pool) < 2 && !s.measureGaps {
			continue
		}
		if !s.measureGaps {
			nodes = s.nodesWithMajority()
		}
		owners := majorityOwners(nodes, pool)
		if len(owners) > 1 {
			s.violation = fmt.Sprintf("at %v %v has owners %v", s.now.Sub(start), pool, owners)
		}
		s.measureGap(pool, len(owners) > 0)
	}
}

// claimants counts the nodes that granted the pool's cold endpoints at their last
// call.
func (s *sim) claimants(pool sr.PoolID) int {
	n := 0
	for _, o := range s.nodes {
		if o.members != nil && o.members.claims[pool] != nil && o.members.claims[pool].majority {
			n++
		}
	}
	return n
}

// measureGap records the longest time without an owner.
func (s *sim) measureGap(pool sr.PoolID, owned bool) {
	since, open := s.unownedSince[pool]
	switch {
	case owned && open:
		s.longestGap = max(s.longestGap, s.now.Sub(since))
		delete(s.unownedSince, pool)
	case !owned && !open:
		s.unownedSince[pool] = s.now
	}
}

// nodesWithMajority returns the running nodes that have a majority now. Unlike
// Members.Majority it does not change their state.
func (s *sim) nodesWithMajority() []*node {
	var nodes []*node
	for _, n := range s.nodes {
		if n.members != nil && !n.paused && n.members.hasMajority(s.now, s.opts.Lapse, time.Time{}) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// majorityOwners returns those of the nodes with a majority that may grant the cold
// endpoints of a pool.
func majorityOwners(nodes []*node, pool sr.PoolID) []string {
	var owners []string
	for _, n := range nodes {
		if c := n.members.claims[pool]; c != nil && c.grants && c.majority {
			owners = append(owners, n.address)
		}
	}
	slices.Sort(owners)
	return owners
}

func (s *sim) randomNode() *node {
	return s.nodes[sortedKeys(s.nodes)[s.rand.IntN(len(s.nodes))]]
}

// fault injects one random fault.
func (s *sim) fault() {
	n, other := s.randomNode(), s.randomNode()
	d := time.Duration(s.rand.Int64N(int64(8 * time.Second)))
	coin := s.rand.IntN(2) == 0
	switch s.rand.IntN(8) {
	case 0:
		s.partition()
		s.after(d, s.heal)
	case 1:
		s.cut(n.address, other.address, coin)
		s.after(2*d, s.heal)
	case 2:
		s.isolate(n, coin)
		s.after(d, s.heal)
	case 3:
		run := n.run
		n.paused = true
		s.after(d, func() {
			if n.run == run {
				s.resume(n, coin)
			}
		})
	case 4:
		s.stop(n)
		s.after(d/4, func() { s.restart(n) })
	case 5:
		s.nonTransitive()
		s.after(2*d, s.heal)
	case 6:
		s.delay = time.Duration(1+s.rand.IntN(400)) * time.Millisecond
		s.after(d, func() { s.delay = simDelay })
	case 7:
		s.replaceSome()
	}
}

// restart starts a stopped node unless its address was replaced.
func (s *sim) restart(n *node) {
	if n.members == nil && s.nodes[n.address] == n {
		s.start(n)
	}
}

// partition divides the network into two sides.
func (s *sim) partition() {
	side := make(map[string]bool)
	for _, a := range sortedKeys(s.nodes) {
		side[a] = s.rand.IntN(2) == 0
	}
	for a := range side {
		for b := range side {
			if side[a] != side[b] {
				s.cuts[link{a, b}] = true
			}
		}
	}
}

// nonTransitive cuts random pairs, in one or both directions.
func (s *sim) nonTransitive() {
	for range 2 + s.rand.IntN(10) {
		s.cut(s.randomNode().address, s.randomNode().address, s.rand.IntN(2) == 0)
	}
}

func (s *sim) cut(a, b string, both bool) {
	s.cuts[link{a, b}] = true
	if both {
		s.cuts[link{b, a}] = true
	}
}

func (s *sim) isolate(n *node, both bool) {
	for _, a := range sortedKeys(s.nodes) {
		s.cut(a, n.address, both)
	}
}

func (s *sim) heal() { clear(s.cuts) }

// replaceSome stops a few nodes and starts as many at other addresses. The instances
// receive the new list at different times. It does nothing when the last list was
// published less than Linger ago.
func (s *sim) replaceSome() {
	if last := s.lists[len(s.lists)-1].at; s.now.Sub(last) < s.opts.Linger {
		return
	}
	for range 1 + s.rand.IntN(3) {
		n := s.randomNode()
		s.stop(n)
		delete(s.nodes, n.address)
		s.added++
		s.start(s.addNode(simNodes + s.added))
	}
	s.publish()
}

// repair ends every fault.
func (s *sim) repair() {
	s.heal()
	s.delay = simDelay
	for _, a := range sortedKeys(s.nodes) {
		s.resume(s.nodes[a], false)
		s.restart(s.nodes[a])
	}
}
