package srgossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var epoch = time.Unix(1_000_000, 0)

const (
	// tick is the step of the simulation, loopTick the interval at which an instance looks for
	// due exchanges.
	tick     = 10 * time.Millisecond
	loopTick = 50 * time.Millisecond
	// workspaces is the number of workspaces of whose quota each instance spends.
	workspaces = 3
)

// node is an instance of a simulated fleet.
type node struct {
	id      sr.InstanceID
	domain  string
	table   *Table
	running bool
	leaving bool
	side    int
	startAt time.Duration
	members []Member
	spent   map[string]float64
	// messages and bytes count what the instance sent.
	messages, bytes, crossing int
}

// fleet is a fleet in virtual time. A message arrives in the next tick.
type fleet struct {
	now   time.Duration
	nodes []*node
	index map[string]int
	// sent are the messages on their way.
	sent  []sending
	loads bool
	// settle is the time that an instance which starts has.
	settle time.Duration
}

// sending is a message on its way, the reply to another one if reply is set.
type sending struct {
	from, to *node
	relay    sr.Relay
	reply    bool
}

func newFleet(size, domains int) *fleet {
	f := &fleet{index: make(map[string]int)}
	for i := range size {
		f.nodes = append(f.nodes, &node{domain: fmt.Sprint("domain-", i%domains)})
		f.start(i, 1)
		// Instances do not start at the same moment.
		f.nodes[i].startAt = time.Duration(i*37%50) * tick
	}
	return f
}

func (f *fleet) start(i int, incarnation uint64) {
	n := f.nodes[i]
	n.id = sr.InstanceID{Address: fmt.Sprintf("10.%d.%d.%d:7300", i%7, i/250, i%250), Incarnation: 1<<60 + incarnation}
	n.table = New(Options{Self: n.id, Domain: n.domain})
	n.running, n.leaving, n.startAt, n.spent = true, false, f.now, make(map[string]float64)
	n.members = nil
	f.index[n.id.Address] = i
}

func (f *fleet) reaches(a, b *node) bool { return a.running && b.running && a.side == b.side }

func (f *fleet) byAddress(address string) *node {
	return f.nodes[f.index[address]]
}

func (f *fleet) run(t *testing.T, d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		arriving := f.sent
		f.sent = nil
		for _, s := range arriving {
			f.arrive(t, s)
		}
		for i, n := range f.nodes {
			if n.running && f.now >= n.startAt && (f.now-n.startAt)%loopTick == 0 {
				f.step(t, i, n)
			}
		}
	}
}

func (f *fleet) step(t *testing.T, i int, n *node) {
	now := epoch.Add(f.now)
	for w := range workspaces {
		n.spent[fmt.Sprint("workspace-", (i+w)%20)] += 1.5
	}
	own := Own{State: sr.MemberState{ID: n.id, Domain: n.domain, Power: 0.4, Leaving: n.leaving}, Spent: n.spent}
	if f.loads {
		own.Load.Running = make(map[string]int)
		for k := range 20 {
			own.Load.Running[fmt.Sprint("endpoint-", i*3+k)] = 1 + (int(f.now/time.Second)+k)%3
		}
	}
	n.table.Publish(now, own)
	if (f.now-n.startAt)%time.Second == 0 || len(n.members) == 0 {
		n.table.Sweep(now)
		f.findMembers(i, n)
	}
	for _, address := range n.table.Due(now, n.members) {
		f.exchange(n, f.byAddress(address))
	}
}

// findMembers lists the instances that are not silent. As the caller does, it tries a silent one
// as well, and the first three instances while it knows no other one.
func (f *fleet) findMembers(i int, n *node) {
	n.members = n.members[:0]
	var silent []Member
	for _, r := range n.table.records {
		m := Member{Address: r.state.ID.Address, Domain: r.state.Domain}
		switch {
		case r == n.table.self || r.state.Leaving:
		case epoch.Add(f.now).Sub(r.issuedAt) <= 3*Delay(n.table.Size()):
			n.members = append(n.members, m)
		default:
			silent = append(silent, m)
		}
	}
	byName := func(a, b Member) int { return cmpStrings(a.Address, b.Address) }
	slices.SortFunc(n.members, byName)
	slices.SortFunc(silent, byName)
	if len(silent) > 0 {
		f.try(n, silent[(i+int(f.now/time.Second))%len(silent)].Address)
	}
	if len(n.members) == 0 {
		for _, seed := range f.nodes[:3] {
			if seed != n {
				f.try(n, seed.id.Address)
			}
		}
	}
}

func cmpStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *fleet) try(n *node, address string) {
	if to := f.byAddress(address); f.reaches(n, to) && f.now >= to.startAt {
		f.exchange(n, to)
	}
}

func (f *fleet) exchange(n, to *node) {
	if !f.reaches(n, to) {
		n.table.Answered(epoch.Add(f.now), to.id.Address, false)
		return
	}
	f.send(n, to, false)
}

func (f *fleet) send(from, to *node, reply bool) {
	m := from.table.Message(epoch.Add(f.now), to.id.Address)
	from.messages++
	bytes := estimate(m)
	from.bytes += bytes
	if from.domain != to.domain {
		from.crossing += bytes
	}
	f.sent = append(f.sent, sending{from: from, to: to, relay: m, reply: reply})
}

func (f *fleet) arrive(t *testing.T, s sending) {
	if !f.reaches(s.from, s.to) {
		return
	}
	_, err := s.to.table.Receive(epoch.Add(f.now), s.from.id, s.relay)
	assert.NilError(t, err)
	if s.reply {
		s.to.table.Answered(epoch.Add(f.now), s.from.id.Address, true)
		return
	}
	f.send(s.to, s.from, true)
}

// envelopeBytes is the size of a Gossip message without records.
const envelopeBytes = 120

// estimate returns the size of a message.
func estimate(m sr.Relay) int {
	n := envelopeBytes + len(m.Beats)
	for _, c := range m.Records {
		n += recordBytes
		if c.State != nil {
			n += stateBytes + len(c.State.ID.Address) + len(c.State.Domain)
		}
		for w := range c.Spent {
			n += totalBytes + len(w)
		}
		if c.Load != nil {
			for id := range c.Load.Running {
				n += countBytes + len(id)
			}
		}
	}
	return n
}

// ages returns the age of the oldest fact that an instance has of another one that it reaches, and
// how many facts are missing. An instance that starts has the time settle to learn and be known.
func (f *fleet) ages() (oldest time.Duration, missing int) {
	var keys []uint64
	for _, n := range f.nodes {
		keys = append(keys, keyOf(n.id))
	}
	for _, n := range f.nodes {
		for j, o := range f.nodes {
			if o == n || !f.reaches(n, o) || f.now < max(n.startAt, o.startAt)+f.settle {
				continue
			}
			r, ok := n.table.records[keys[j]]
			if !ok {
				missing++
				continue
			}
			oldest = max(oldest, epoch.Add(f.now).Sub(r.issuedAt))
		}
	}
	return oldest, missing
}

// watch runs the fleet and returns the age of the oldest fact at any time.
func (f *fleet) watch(t *testing.T, d time.Duration) (oldest time.Duration) {
	const step = 200 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.run(t, step)
		age, missing := f.ages()
		assert.Assert(t, missing == 0, "%d records are missing", missing)
		oldest = max(oldest, age)
	}
	return oldest
}

// cost is what an instance sends in a second.
type cost struct{ messages, bytes, crossing int }

func (f *fleet) cost(t *testing.T, d time.Duration) (mean, most cost) {
	for _, n := range f.nodes {
		n.messages, n.bytes, n.crossing = 0, 0, 0
	}
	f.run(t, d)
	for _, n := range f.nodes {
		mean.messages, mean.bytes, mean.crossing = mean.messages+n.messages, mean.bytes+n.bytes, mean.crossing+n.crossing
		most.messages, most.bytes, most.crossing = max(most.messages, n.messages), max(most.bytes, n.bytes), max(most.crossing, n.crossing)
	}
	perSecond := func(c cost, instances int) cost {
		n := instances * int(d/time.Second)
		return cost{c.messages / n, c.bytes / n, c.crossing / n}
	}
	return perSecond(mean, len(f.nodes)), perSecond(most, 1)
}

// The platform wants what instances know of each other within contact_ms, which is 4 s at 66
// instances and 5 s at 300 and more. Facts must not be older than half of that, in calm and while
// instances are cut off, killed and stopped.
func TestFactsOfALargeFleetAreRecent(t *testing.T) {
	for _, c := range []struct {
		size, domains int
		bound         time.Duration
		// messages and bytes bound what the mean instance sends in a second: a third of the
		// messages of an exchange of each with each, and a tenth of its bytes at 300 instances,
		// which half of them sent. Between 300 and 1,000 they may grow as the fleet.
		messages, bytes int
	}{
		{size: 66, domains: 4, bound: 2 * time.Second, messages: 30, bytes: 110_000},
		{size: 300, domains: 7, bound: 2500 * time.Millisecond, messages: 30, bytes: 110_000},
		{size: 1000, domains: 23, bound: 2500 * time.Millisecond, messages: 30, bytes: 350_000},
	} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.size, c.domains)
			f.loads, f.settle = c.size <= 128, c.bound
			f.run(t, 3*time.Second)
			mean, most := f.cost(t, 2*time.Second)
			t.Logf("an instance sends %+v in a second, at most %+v", mean, most)
			assert.Check(t, mean.messages <= c.messages && mean.bytes <= c.bytes, "%+v", mean)
			check := func(phase string, d time.Duration) {
				oldest := f.watch(t, d)
				t.Logf("%s: %v", phase, oldest)
				assert.Check(t, oldest <= c.bound, "%s: a fact is %v old", phase, oldest)
			}
			check("calm", time.Second)
			for i, n := range f.nodes {
				n.running = i%3 != 0
			}
			check("a third is killed", 3*time.Second)
			for i, n := range f.nodes {
				if !n.running {
					f.start(i, 2)
				}
			}
			f.run(t, c.bound)
			check("they are back", time.Second)
			for i, n := range f.nodes {
				n.side = i % 2
			}
			check("half is cut off", 6*time.Second)
			for _, n := range f.nodes {
				n.side = 0
			}
			f.run(t, c.bound)
			check("the cut is over", time.Second)
			for i := range 24 {
				f.nodes[i].leaving = true
				f.run(t, 200*time.Millisecond)
				f.nodes[i].running = false
				if i >= 5 {
					f.start(i-5, 3)
					f.nodes[i-5].startAt = f.now
				}
				age, missing := f.ages()
				assert.Check(t, missing == 0 && age <= c.bound, "rolling stop: a fact is %v old, %d are missing", age, missing)
			}
		})
	}
}
