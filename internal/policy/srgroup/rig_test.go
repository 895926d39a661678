package srgroup

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// Times of srforward.
const (
	rigReportTimeout = 100 * time.Millisecond
	rigTick          = 20 * time.Millisecond
	rigGossip        = 600 * time.Millisecond
)

// event is a step of the rig at a time.
type event struct {
	at   time.Time
	seq  int
	step func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// rig runs instances and endpoints in virtual time. Each instance has asks, and may coordinate
// the group of all endpoints. Without a coordinator each one decides alone.
type rig struct {
	t         *testing.T
	now       time.Time
	events    events
	seq       int
	rand      *rand.Rand
	instances []*rigInstance
	endpoints map[string]*rigEndpoint
	// link returns the delay of a message, and false for one that is lost.
	link func(from, to *rigInstance) (time.Duration, bool)
	jobs []*job
}

type rigEndpoint struct {
	slots int
	// jobs are those at the endpoint, of which the first ones run; most is their highest number.
	jobs []*job
	most int
}

// job is a request.
type job struct {
	rank           int
	work           time.Duration
	arrival        time.Time
	target         time.Time
	at             *rigInstance
	decided        int
	decidedAt      time.Time
	placed, inTime bool
	granted        bool
	started        bool
}

type rigInstance struct {
	*rig
	name string
	down bool
	// group is set while the instance coordinates.
	group *Group
	// coordinator is the one by this instance's view, nil for none.
	coordinator *rigInstance
	holder      *Holder
	alone       *srdispatch.Service
	asks        map[uint64]*job
	aloneAsks   map[uint64]*job
}

func newRig(t *testing.T, seed uint64, instances, endpoints, slots int) *rig {
	r := &rig{t: t, now: epoch, rand: rand.New(rand.NewPCG(seed, seed)), endpoints: make(map[string]*rigEndpoint)}
	r.link = func(*rigInstance, *rigInstance) (time.Duration, bool) {
		return time.Millisecond + time.Duration(r.rand.IntN(int(4*time.Millisecond))), true
	}
	var list []srdispatch.Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("e-%02d", i)
		r.endpoints[id] = &rigEndpoint{slots: slots}
		list = append(list, srdispatch.Endpoint{ID: id, Slots: slots})
	}
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("i-%02d", i))
	}
	for i, name := range names {
		n := &rigInstance{rig: r, name: name, asks: make(map[uint64]*job), aloneAsks: make(map[uint64]*job), alone: srdispatch.New(srdispatch.Options{Seed: uint64(i)})}
		own := slices.Clone(list)
		srdispatch.NewSharing(name).SetShares(own, slices.Delete(slices.Clone(names), i, i+1))
		n.alone.Configure(r.now, own)
		n.holder = NewHolder("s/0", instance(name), 0)
		r.instances = append(r.instances, n)
	}
	r.every(rigTick, r.tick)
	r.every(rigGossip, r.gossip)
	return r
}

func (r *rig) after(d time.Duration, step func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now.Add(d), seq: r.seq, step: step})
}

func (r *rig) every(d time.Duration, step func()) {
	r.after(d, func() {
		step()
		r.every(d, step)
	})
}

func (r *rig) run(d time.Duration) {
	end := r.now.Add(d)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.step()
	}
	r.now = end
}

// coordinate lets an instance coordinate, by the views of some others.
func (r *rig) coordinate(n *rigInstance, by ...*rigInstance) {
	if n.group == nil {
		n.group = New(Options{Name: "s/0", Seed: 1})
		var list []srdispatch.Endpoint
		for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
			list = append(list, srdispatch.Endpoint{ID: id, Slots: r.endpoints[id].slots})
		}
		n.group.Configure(r.now, list)
		n.group.SetLoad(r.now, r.running())
	}
	r.follow(n, by...)
}

// follow sets the coordinator by the views of some instances.
func (r *rig) follow(n *rigInstance, by ...*rigInstance) {
	for _, h := range by {
		if h.coordinator != n {
			h.undecided(slices.Sorted(maps.Keys(h.asks)))
			h.coordinator, h.holder = n, NewHolder("s/0", instance(h.name), h.holder.sequence)
		}
	}
}

func (r *rig) running() map[sr.InstanceID]map[string]int {
	out := make(map[sr.InstanceID]map[string]int)
	for _, n := range r.instances {
		out[instance(n.name)] = n.running()
	}
	return out
}

func (n *rigInstance) running() map[string]int {
	if n.down {
		return nil
	}
	load := make(map[string]srdispatch.Load)
	n.alone.AddLoad(load)
	out := make(map[string]int)
	for id, l := range load {
		out[id] = l.Running
	}
	return out
}

func (r *rig) tick() {
	for _, n := range r.instances {
		if n.down {
			continue
		}
		n.decideAlone(n.alone.Tick(r.now))
		if n.group != nil {
			n.send(n.group.Tick(r.now))
		}
	}
}

// gossip tells the instances of the requests in flight.
func (r *rig) gossip() {
	total := make(map[string]int)
	for _, n := range r.instances {
		for id, c := range n.running() {
			total[id] += c
		}
	}
	for _, n := range r.instances {
		if n.down {
			continue
		}
		load, own := make(map[string]srdispatch.Load), n.running()
		for id, c := range total {
			load[id] = srdispatch.Load{Running: c - own[id]}
		}
		if n.group != nil {
			n.send(n.group.SetLoad(r.now, r.running()))
		}
		r.after(rigGossip/2, func() { n.decideAlone(n.alone.SetPeerLoad(r.now, load)) })
	}
}

// ask lets a request arrive at an instance.
func (n *rigInstance) ask(rank int, work, target time.Duration) {
	j := &job{rank: rank, work: work, arrival: n.now, target: n.now.Add(target), at: n}
	n.jobs = append(n.jobs, j)
	if n.coordinator == nil || !n.holder.Usable(n.now) {
		n.askAlone(j)
		return
	}
	id := uint64(len(n.jobs))
	n.asks[id] = j
	n.holder.Ask(n.now, id, j.ask())
	n.pump()
}

func (j *job) ask() srdispatch.Ask {
	return srdispatch.Ask{Workspace: j.rank, Target: j.target, Deadline: j.arrival.Add(10 * time.Second)}
}

func (n *rigInstance) askAlone(j *job) {
	a := j.ask()
	a.ID = uint64(len(n.jobs)) + uint64(n.rand.Uint32())<<32
	n.aloneAsks[a.ID] = j
	n.decideAlone(n.alone.Add(n.now, a))
}

func (n *rigInstance) decideAlone(list []srdispatch.Decision) {
	for _, d := range list {
		j := n.aloneAsks[d.Ask]
		delete(n.aloneAsks, d.Ask)
		n.decide(j, d)
	}
}

func (n *rigInstance) undecided(ids []uint64) {
	for _, id := range ids {
		if j, ok := n.asks[id]; ok {
			delete(n.asks, id)
			n.askAlone(j)
		}
	}
}

func (n *rigInstance) decideBySlots(list []srdispatch.Decision) {
	for _, d := range list {
		if d.Reason == ReasonLost {
			n.undecided([]uint64{d.Ask})
			continue
		}
		j, ok := n.asks[d.Ask]
		assert.Assert(n.t, ok, "%s: ask %d is decided twice", n.name, d.Ask)
		delete(n.asks, d.Ask)
		if d.Kind == srdispatch.Placed {
			j.granted = true
			assert.Assert(n.t, n.alone.Adopt(n.now, d.Endpoint, 0))
		}
		n.decide(j, d)
	}
	n.pump()
}

func (n *rigInstance) decide(j *job, d srdispatch.Decision) {
	j.decided++
	j.decidedAt, j.placed = n.now, d.Kind == srdispatch.Placed
	if !j.placed {
		return
	}
	e := n.endpoints[d.Endpoint]
	e.jobs = append(e.jobs, j)
	e.most = max(e.most, len(e.jobs))
	n.work(d.Endpoint)
}

// work starts the requests that have a slot of an endpoint.
func (r *rig) work(id string) {
	e := r.endpoints[id]
	for _, j := range e.jobs[:min(len(e.jobs), e.slots)] {
		if j.started {
			continue
		}
		j.started, j.inTime = true, !r.now.After(j.target)
		r.after(j.work, func() {
			e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
			if n := j.at; !n.down {
				n.decideAlone(n.alone.Release(r.now, id, srdispatch.Result{}))
				n.holder.Release(id, srdispatch.Result{})
				n.pump()
			}
			r.work(id)
		})
	}
}

// pump sends the next report when it is due.
func (n *rigInstance) pump() {
	due, ok := n.holder.Due()
	if !ok || n.coordinator == nil || n.down {
		return
	}
	if due.After(n.now) {
		holder := n.holder
		n.after(due.Sub(n.now), func() {
			if n.holder == holder {
				n.pump()
			}
		})
		return
	}
	report, _ := n.holder.Next(n.now, n.running())
	holder, to, done := n.holder, n.coordinator, false
	answer := func(reply sr.SlotReply, err error) {
		if done || n.holder != holder || n.down {
			return
		}
		done = true
		if err != nil {
			n.undecided(holder.Fail(n.now))
		} else {
			n.decideBySlots(holder.Reply(n.now, reply))
		}
		n.pump()
	}
	n.after(rigReportTimeout, func() { answer(sr.SlotReply{}, sr.ErrUnreachable) })
	n.carry(to, func() {
		reply, err := sr.SlotReply{}, error(sr.ErrNotOwner)
		if to.group != nil {
			var others []Delivery
			reply, others, err = to.group.Report(n.now, report)
			to.send(others)
		}
		to.carry(n, func() { answer(reply, err) })
	})
}

// carry runs step when a message arrives.
func (n *rigInstance) carry(to *rigInstance, step func()) {
	if d, ok := n.link(n, to); ok && !n.down {
		n.after(d, func() {
			if !to.down {
				step()
			}
		})
	}
}

func (n *rigInstance) send(list []Delivery) {
	for _, d := range list {
		i := slices.IndexFunc(n.instances, func(o *rigInstance) bool { return o.name == d.To.Address })
		to := n.instances[i]
		n.carry(to, func() {
			if to.coordinator == n {
				to.decideBySlots(to.holder.Deliver(n.now, d.Decisions))
			}
		})
	}
}

// load lets requests arrive at random instances at a rate for a time.
func (r *rig) load(rate float64, d time.Duration, rank func() int) {
	for at := 0.0; at < d.Seconds(); at += r.rand.ExpFloat64() / rate {
		r.after(time.Duration(at*float64(time.Second)), func() {
			n := r.instances[r.rand.IntN(len(r.instances))]
			if !n.down {
				n.ask(rank(), 800*time.Millisecond+time.Duration(r.rand.IntN(int(400*time.Millisecond))), time.Second)
			}
		})
	}
}

// inTime returns the share of the requests of a rank that started in time.
func (r *rig) inTime(rank int) float64 {
	n, all := 0, 0
	for _, j := range r.jobs {
		if j.rank == rank {
			all++
			if j.inTime {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// most returns the highest number of requests at an endpoint.
func (r *rig) most() int {
	n := 0
	for _, e := range r.endpoints {
		n = max(n, e.most)
	}
	return n
}
