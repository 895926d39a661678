package srgroup

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

var epoch = time.Unix(1000, 0)

// flight returns the requests in flight by the dispatcher's count, granted those by the grants.
func (g *Group) flight() map[string]int {
	load := make(map[string]srdispatch.Load)
	g.dispatcher.AddLoad(load)
	out := make(map[string]int)
	for id, l := range load {
		out[id] = l.Running
	}
	return out
}

func (g *Group) granted() map[string]int {
	out := make(map[string]int)
	for _, h := range g.holders {
		for _, held := range h.grants {
			out[held.endpoint]++
		}
	}
	return out
}

// channel holds one coordinator and some holders, and the messages between them, which are
// delivered in any order, twice or never.
type channel struct {
	t       *rapid.T
	now     time.Time
	group   *Group
	slots   map[string]int
	holders []*Holder
	// open are the undecided asks of each holder, held the granted ones with their endpoint.
	open       []map[uint64]bool
	held       []map[uint64]string
	reports    []sr.SlotReport
	deliveries []Delivery
	lastAsk    uint64
	// granted are the asks with a grant, which may be repeated after its endpoint has left.
	granted map[uint64]bool
}

func (c *channel) endpoints() []srdispatch.Endpoint {
	var out []srdispatch.Endpoint
	for _, id := range slices.Sorted(maps.Keys(c.slots)) {
		out = append(out, srdispatch.Endpoint{ID: id, Slots: c.slots[id]})
	}
	return out
}

// decide checks that each ask is decided once.
func (c *channel) decide(i int, list []srdispatch.Decision) {
	for _, d := range list {
		assert.Assert(c.t, c.open[i][d.Ask], "ask %d of holder %d is decided twice", d.Ask, i)
		delete(c.open[i], d.Ask)
		if d.Kind == srdispatch.Placed {
			c.held[i][d.Ask] = d.Endpoint
		}
	}
}

// send records deliveries, and checks that grants do not exceed the slots.
func (c *channel) send(list []Delivery) {
	c.deliveries = append(c.deliveries, list...)
	for _, d := range list {
		c.checkGrants(d.Decisions)
	}
}

func (c *channel) checkGrants(list []sr.SlotDecision) {
	granted := c.group.granted()
	for _, d := range list {
		if d.Granted && !c.granted[d.Ask] {
			c.granted[d.Ask] = true
			assert.Assert(c.t, granted[d.Endpoint] <= c.slots[d.Endpoint] || c.adopted(d.Endpoint), "%s has %d slots", d.Endpoint, c.slots[d.Endpoint])
		}
	}
}

// adopted reports whether holders use slots of an endpoint that were granted before they were
// taken for silent, or before the endpoint left and returned.
func (c *channel) adopted(endpoint string) bool {
	n := 0
	for _, held := range c.held {
		for _, id := range held {
			if id == endpoint {
				n++
			}
		}
	}
	return n > c.slots[endpoint]
}

func (c *channel) report(i int, r sr.SlotReport, answered bool) {
	reply, others, err := c.group.Report(c.now, r)
	c.send(others)
	if err == nil {
		c.checkGrants(reply.Decisions)
	}
	if !answered {
		return
	}
	if err != nil {
		c.fail(i)
		return
	}
	c.decide(i, c.holders[i].Reply(c.now, reply))
}

func (c *channel) fail(i int) {
	for _, id := range c.holders[i].Fail(c.now) {
		assert.Assert(c.t, c.open[i][id], "ask %d of holder %d is decided twice", id, i)
		delete(c.open[i], id)
	}
}

func (c *channel) ask(i int) {
	c.lastAsk++
	c.open[i][c.lastAsk] = true
	c.holders[i].Ask(c.now, c.lastAsk, srdispatch.Ask{Workspace: int(c.lastAsk % 3), Target: c.now.Add(time.Second), Deadline: c.now.Add(3 * time.Second)})
}

func (c *channel) release(i int) {
	for _, id := range slices.Sorted(maps.Keys(c.held[i]))[:min(1, len(c.held[i]))] {
		c.holders[i].Release(c.held[i][id], srdispatch.Result{})
		delete(c.held[i], id)
	}
}

// TestAnySequenceOfMessagesFreesAllSlots: messages are lost, late, repeated and out of order.
func TestAnySequenceOfMessagesFreesAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const holders = 4
		c := &channel{t: t, now: epoch, group: New(Options{Name: "s/0", Seed: 1}), slots: map[string]int{"e-1": 2, "e-2": 1}, granted: make(map[uint64]bool)}
		for i := range holders {
			c.holders = append(c.holders, NewHolder("s/0", sr.InstanceID{Address: fmt.Sprint(i)}, 0))
			c.open, c.held = append(c.open, make(map[uint64]bool)), append(c.held, make(map[uint64]string))
		}
		c.send(c.group.Configure(c.now, c.endpoints()))
		holder := func() int { return rapid.IntRange(0, holders-1).Draw(t, "holder") }
		next := func(i int) (sr.SlotReport, bool) { return c.holders[i].Next(c.now, c.holders[i].Held()) }
		exchange := func(t *rapid.T) {
			i := holder()
			if r, ok := next(i); ok {
				c.report(i, r, true)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask":      func(*rapid.T) { c.ask(holder()) },
			"ask more": func(*rapid.T) { c.ask(holder()) },
			"release":  func(*rapid.T) { c.release(holder()) },
			"withdraw": func(*rapid.T) {
				i := holder()
				for _, id := range slices.Sorted(maps.Keys(c.open[i]))[:min(1, len(c.open[i]))] {
					delete(c.open[i], id)
					c.holders[i].Withdraw(id)
				}
			},
			"exchange":      exchange,
			"exchange more": exchange,
			"answer lost": func(*rapid.T) {
				i := holder()
				if r, ok := next(i); ok {
					c.report(i, r, false)
					c.reports = append(c.reports, r)
					c.fail(i)
				}
			},
			"report late": func(*rapid.T) {
				i := holder()
				if r, ok := next(i); ok {
					c.reports = append(c.reports, r)
					c.fail(i)
				}
			},
			"report arrives": func(*rapid.T) {
				if len(c.reports) > 0 {
					_, others, _ := c.group.Report(c.now, c.reports[rapid.IntRange(0, len(c.reports)-1).Draw(t, "report")])
					c.send(others)
				}
			},
			"delivery arrives": func(*rapid.T) {
				if len(c.deliveries) > 0 {
					d := c.deliveries[rapid.IntRange(0, len(c.deliveries)-1).Draw(t, "delivery")]
					i := slices.IndexFunc(c.holders, func(h *Holder) bool { return h.self == d.To })
					c.decide(i, c.holders[i].Deliver(c.now, d.Decisions))
				}
			},
			"wait": func(*rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 120, 600, 1600}).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(*rapid.T) { c.send(c.group.Tick(c.now)) },
			"endpoint": func(*rapid.T) {
				if _, ok := c.slots["e-2"]; ok {
					delete(c.slots, "e-2")
				} else {
					c.slots["e-2"] = 1
				}
				c.send(c.group.Configure(c.now, c.endpoints()))
			},
			"": func(t *rapid.T) {
				assert.DeepEqual(t, c.group.flight(), c.group.granted())
				assert.Equal(t, len(c.group.asks), c.group.Waiting())
			},
		})
		for i := range c.holders {
			for len(c.held[i]) > 0 {
				c.release(i)
			}
		}
		for range 4 {
			c.now = c.now.Add(holdInterval + time.Millisecond)
			c.send(c.group.Tick(c.now))
		}
		assert.Equal(t, len(c.group.flight())+c.group.Holders()+c.group.Waiting()+len(c.group.asks), 0)
	})
}
