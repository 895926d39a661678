package srgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

func instance(address string) sr.InstanceID { return sr.InstanceID{Address: address, Incarnation: 1} }

// pair is a group of endpoints of two slots with holders that reach it at once.
type pair struct {
	t     *testing.T
	now   time.Time
	group *Group
}

func newPair(t *testing.T, endpoints ...string) *pair {
	p := &pair{t: t, now: epoch, group: New(Options{Name: "s/0", Seed: 1})}
	p.configure(endpoints...)
	return p
}

func (p *pair) configure(endpoints ...string) []Delivery {
	var list []srdispatch.Endpoint
	for _, id := range endpoints {
		list = append(list, srdispatch.Endpoint{ID: id, Slots: 2})
	}
	return p.group.Configure(p.now, list)
}

func (p *pair) holder(address string) *Holder { return NewHolder("s/0", instance(address), 0) }

func (p *pair) ask(h *Holder, ids ...uint64) {
	for _, id := range ids {
		h.Ask(p.now, id, srdispatch.Ask{Target: p.now.Add(time.Second), Deadline: p.now.Add(5 * time.Second)})
	}
}

// report sends the next report of a holder, which has own requests in flight without a slot.
func (p *pair) report(h *Holder, own map[string]int) ([]srdispatch.Decision, []Delivery) {
	p.t.Helper()
	for id, n := range h.Held() {
		own = map[string]int{id: n + own[id]}
	}
	r, ok := h.Next(p.now, own)
	assert.Assert(p.t, ok, "no report is due")
	reply, others, err := p.group.Report(p.now, r)
	assert.NilError(p.t, err)
	return h.Reply(p.now, reply), others
}

// TestFaultsOfGroups: cases of the failures that docs/design/fleet-order.md lists.
func TestFaultsOfGroups(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, p *pair, a, b *Holder){
		"endpoint that others use returns": func(t *testing.T, p *pair, a, b *Holder) {
			p.ask(a, 1)
			p.report(a, map[string]int{"e-2": 2})
			p.ask(b, 1, 2, 3)
			decided, _ := p.report(b, nil)
			assert.Equal(t, len(decided), 1)
			assert.Equal(t, len(p.configure("e-1", "e-2")), 0)
			assert.Equal(t, p.group.Waiting(), 2)
		},
		"holder that meets its former coordinator again": func(t *testing.T, p *pair, a, b *Holder) {
			for range 3 {
				p.ask(a, 1)
				p.report(a, nil)
			}
			a = NewHolder("s/0", a.self, a.sequence+1)
			p.ask(a, 1)
			p.report(a, nil)
		},
		"lost report of a result": func(t *testing.T, p *pair, a, b *Holder) {
			p.ask(a, 1)
			p.report(a, nil)
			a.Release("e-1", srdispatch.Result{})
			p.now = p.now.Add(minReleaseInterval)
			_, ok := a.Next(p.now, nil)
			assert.Assert(t, ok)
			a.Fail(p.now)
			p.now = p.now.Add(silentDelay + silentSpread)
			p.report(a, nil)
			assert.Equal(t, p.group.Free(p.now), 2)
		},
		"ask that is withdrawn": func(t *testing.T, p *pair, a, b *Holder) {
			p.ask(a, 1, 2)
			p.report(a, nil)
			p.ask(b, 1)
			p.report(b, nil)
			b.Withdraw(1)
			p.now = p.now.Add(minReleaseInterval)
			p.report(b, nil)
			assert.Equal(t, p.group.Waiting(), 0)
		},
		"holder that was paused with a grant": func(t *testing.T, p *pair, a, b *Holder) {
			p.ask(a, 1, 2)
			p.report(a, nil)
			p.ask(b, 1)
			p.report(b, nil)
			a.Release("e-1", srdispatch.Result{})
			p.now = p.now.Add(minReleaseInterval)
			_, others := p.report(a, nil)
			assert.Assert(t, len(others) == 1 && others[0].Decisions[0].Granted)
			for range 4 {
				p.now = p.now.Add(holdInterval)
				p.report(a, nil)
				p.group.Tick(p.now)
			}
			assert.Equal(t, p.group.Free(p.now), 1)
			assert.Equal(t, len(b.Deliver(p.now, others[0].Decisions)), 0)
			decided, _ := p.report(b, nil)
			assert.Assert(t, len(decided) == 1 && decided[0].Reason == ReasonLost, "%v", decided)
		},
		"endpoint that wants no requests from one holder": func(t *testing.T, p *pair, a, b *Holder) {
			a.Ask(p.now, 1, srdispatch.Ask{Target: p.now.Add(time.Second), Deadline: p.now.Add(time.Second), Avoid: []string{"e-1"}})
			decided, _ := p.report(a, nil)
			assert.Equal(t, len(decided), 0)
			p.ask(b, 1, 2)
			decided, _ = p.report(b, nil)
			assert.Equal(t, len(decided), 2)
			assert.Equal(t, p.group.Waiting(), 1)
		},
		"cold endpoint": func(t *testing.T, p *pair, a, b *Holder) {
			// Two holders get no more than the rate together.
			const rate, seconds = 10, 3
			p.group.Configure(p.now, []srdispatch.Endpoint{{ID: "e-1", Slots: 100, ColdRate: rate}})
			granted := 0
			for i := range uint64(100 * seconds) {
				h := []*Holder{a, b}[i%2]
				p.ask(h, i)
				decided, others := p.report(h, nil)
				for _, d := range append(others, p.group.Tick(p.now)...) {
					decided = append(decided, map[string]*Holder{"a": a, "b": b}[d.To.Address].Deliver(p.now, d.Decisions)...)
				}
				for _, d := range decided {
					if d.Kind == srdispatch.Placed {
						granted++
					}
				}
				p.now = p.now.Add(10 * time.Millisecond)
			}
			assert.Assert(t, granted <= rate*seconds+1 && granted > rate*seconds*3/4, "%d granted", granted)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, "e-1")
			test(t, p, p.holder("a"), p.holder("b"))
		})
	}
}

// TestNeeded: endpoints whose slots are not configured count with the default.
func TestNeeded(t *testing.T) {
	for _, c := range []struct {
		fleet, slots int
		want         bool
	}{{16, 8, false}, {17, 8, true}, {1, 0, false}, {8, 0, false}, {9, 0, true}} {
		assert.Equal(t, Needed(c.fleet, c.slots), c.want, "%d instances, %d slots", c.fleet, c.slots)
	}
}
