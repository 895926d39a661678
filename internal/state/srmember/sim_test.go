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
	// simListLag is how stale the list that an instance reads may be.
	simListLag = 1500 * time.Millisecond
)

// sim runs several Members over a fake network in virtual time.
type sim struct {
	rand    *rand.Rand
	now     time.Time
	events  events
	order   int
	nodes   map[string]*node
	pools   []sr.PoolID
	opts    Options
	trial   trial
	cuts    map[link]bool
	delay   time.Duration
	lists   []published
	granted map[sr.PoolID]bool
	gap     map[sr.PoolID]time.Time
	// gaps is whether the longest time without an owner is measured.
	gaps    bool
	longest time.Duration
	yields  int
	added   int
	broken  string
}

type link struct{ from, to string }

type published struct {
	at   time.Time
	list []sr.Instance
}

// node is one address; members is nil while no process runs there.
type node struct {
	address string
	domain  string
	members *Members
	paused  bool
	run     uint64
	held    []func()
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(seed uint64, opts Options, tr trial) *sim {
	s := &sim{
		rand:    rand.New(rand.NewPCG(seed, 17)),
		now:     start,
		nodes:   make(map[string]*node),
		opts:    opts.withDefaults(),
		trial:   tr,
		cuts:    make(map[link]bool),
		delay:   simDelay,
		granted: make(map[sr.PoolID]bool),
		gap:     make(map[sr.PoolID]time.Time),
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

// publish puts the present set of addresses on the platform's list.
func (s *sim) publish() {
	var list []sr.Instance
	for _, a := range sortedKeys(s.nodes) {
		list = append(list, sr.Instance{Address: a, Domain: s.nodes[a].domain})
	}
	s.lists = append(s.lists, published{at: s.now, list: list})
}

// listAsOf returns the list as it was published at a time.
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
	n.held = nil
	id := sr.InstanceID{Address: n.address, Incarnation: s.rand.Uint64() | 1}
	n.members = New(id, n.domain, s.opts)
	n.members.trial = s.trial
	s.every(n, s.opts.Heartbeat, s.beat)
	s.every(n, simListPoll, s.readList)
}

func (s *sim) stop(n *node) {
	n.run++
	n.members = nil
	n.held = nil
	n.paused = false
}

// every calls do for as long as this run of the node lasts.
func (s *sim) every(n *node, d time.Duration, do func(*node)) {
	run := n.run
	var step func()
	step = func() {
		if n.run != run {
			return
		}
		s.onNode(n, func() { do(n) })
		s.after(d, step)
	}
	s.after(time.Duration(s.rand.Int64N(int64(d))), step)
}

// onNode runs do at the node, later when it is paused, never when it ended.
func (s *sim) onNode(n *node, do func()) {
	if n.members == nil {
		return
	}
	if n.paused {
		n.held = append(n.held, do)
		return
	}
	do()
}

func (s *sim) wake(n *node, noticed bool) {
	if !n.paused || n.members == nil {
		return
	}
	n.paused = false
	if noticed {
		n.members.Woke(s.now)
	}
	held := n.held
	n.held = nil
	for _, do := range held {
		do()
	}
}

func (s *sim) readList(n *node) {
	lag := time.Duration(s.rand.Int64N(int64(simListLag - simListPoll)))
	n.members.Listed(s.now, s.listAsOf(s.now.Add(-lag)))
}

// beat sends a heartbeat to each target and carries out the takeovers.
func (s *sim) beat(n *node) {
	m := n.members
	for _, t := range m.Takeover(s.now, s.pools) {
		if t.Act == ActClaim {
			s.yield(n, t)
		}
	}
	hb := m.Heartbeat(s.now)
	for _, address := range m.Targets(s.now) {
		s.exchange(n, address, hb)
	}
}

func (s *sim) exchange(n *node, address string, hb sr.Heartbeat) {
	sentAt := s.now
	answered := false
	run := n.run
	s.call(n, address, func(to *node) func() {
		to.members.Received(s.now, hb)
		answer := to.members.Heartbeat(s.now)
		return func() {
			answered = true
			n.members.Heard(s.now, sentAt, answer)
		}
	})
	s.after(simTimeout, func() {
		if !answered && n.run == run {
			s.onNode(n, func() { n.members.Failed(s.now, address) })
		}
	})
}

func (s *sim) yield(n *node, t Turn) {
	sentAt := s.now
	y := sr.Yield{Pool: t.Pool, To: n.members.self}
	s.call(n, t.To.Address, func(to *node) func() {
		if to.members.self != t.To || !to.members.Yield(s.now, y) {
			return func() {}
		}
		s.yields++
		if n.members != nil && n.members.self == y.To && n.members.claims[t.Pool] == nil {
			s.broken = fmt.Sprintf("%v handed %v to %v, which does not claim it", t.To, t.Pool, y.To)
		}
		return func() { n.members.Handed(s.now, t.Pool, t.To, sentAt) }
	})
}

// call runs serve at the called node and the returned function back at n.
func (s *sim) call(n *node, address string, serve func(to *node) func()) {
	run := n.run
	s.after(s.latency(), func() {
		to := s.nodes[address]
		if to == nil || s.cuts[link{n.address, address}] {
			return
		}
		s.onNode(to, func() {
			back := serve(to)
			s.after(s.latency(), func() {
				if n.run != run || s.cuts[link{address, n.address}] {
					return
				}
				s.onNode(n, back)
			})
		})
	})
}

func (s *sim) latency() time.Duration {
	return time.Duration(1 + s.rand.Int64N(int64(s.delay)))
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, do: do})
}

// runFor processes events for d and stops at the first broken invariant.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for s.broken == "" && len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.check()
	}
	s.now = end
}

// check records when two instances may grant cold endpoints of one pool.
func (s *sim) check() {
	var able []*node
	if s.gaps {
		able = s.able()
	}
	for _, pool := range s.pools {
		if s.claimants(pool) < 2 && !s.gaps {
			continue
		}
		if !s.gaps {
			able = s.able()
		}
		owners := fullOwners(able, pool)
		if len(owners) > 1 {
			s.broken = fmt.Sprintf("at %v %v has owners %v", s.now.Sub(start), pool, owners)
		}
		s.measureGap(pool, len(owners) > 0)
	}
}

// claimants counts the nodes that had a majority for the pool when last asked.
func (s *sim) claimants(pool sr.PoolID) int {
	n := 0
	for _, o := range s.nodes {
		if o.members != nil && o.members.claims[pool] != nil && o.members.claims[pool].full {
			n++
		}
	}
	return n
}

func (s *sim) measureGap(pool sr.PoolID, owned bool) {
	since, open := s.gap[pool]
	switch {
	case owned && open:
		s.longest = max(s.longest, s.now.Sub(since))
		delete(s.gap, pool)
	case !owned && !open:
		s.gap[pool] = s.now
	}
}

// able returns the running nodes that hear a majority now. It changes nothing,
// unlike Majority.
func (s *sim) able() []*node {
	var able []*node
	for _, n := range s.nodes {
		if n.members != nil && !n.paused && n.members.votes(s.now, s.opts.Lapse, time.Time{}) {
			able = append(able, n)
		}
	}
	return able
}

// fullOwners returns who of the able nodes may grant cold endpoints of a pool.
func fullOwners(able []*node, pool sr.PoolID) []string {
	var owners []string
	for _, n := range able {
		if c := n.members.claims[pool]; c != nil && c.grants && c.full {
			owners = append(owners, n.address)
		}
	}
	slices.Sort(owners)
	return owners
}

func (s *sim) randomNode() *node {
	return s.nodes[sortedKeys(s.nodes)[s.rand.IntN(len(s.nodes))]]
}

// fault brings about one fault at random.
func (s *sim) fault() {
	n, other := s.randomNode(), s.randomNode()
	d := time.Duration(s.rand.Int64N(int64(8 * time.Second)))
	coin := s.rand.IntN(2) == 0
	switch s.rand.IntN(8) {
	case 0:
		s.split()
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
				s.wake(n, coin)
			}
		})
	case 4:
		s.stop(n)
		s.after(d/4, func() { s.revive(n) })
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

func (s *sim) revive(n *node) {
	if n.members == nil && s.nodes[n.address] == n {
		s.start(n)
	}
}

// split cuts the network into two parts.
func (s *sim) split() {
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

// replaceSome ends a few nodes and starts as many at other addresses, which
// the instances learn at different times.
func (s *sim) replaceSome() {
	if now := s.lists[len(s.lists)-1].at; s.now.Sub(now) < s.opts.Linger {
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

// mend ends every fault.
func (s *sim) mend() {
	s.heal()
	s.delay = simDelay
	for _, a := range sortedKeys(s.nodes) {
		s.wake(s.nodes[a], false)
		s.revive(s.nodes[a])
	}
}
