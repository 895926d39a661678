package srgroup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

const (
	loadedHolders    = 60
	loadedEndpoints  = 60
	loadedSlots      = 8
	loadedWaiting    = 400
	loadedRanks      = 3
	loadedWorkspaces = 16
)

// loadedGroup is a group whose slots are all taken while asks of three ranks wait.
type loadedGroup struct {
	now     time.Time
	rand    *rand.Rand
	group   *Group
	reports []sr.SlotReport
	// prompts are the sizes of the prompts, by ask.
	prompts map[uint64]int
	lastAsk uint64
	// running are the granted asks, the oldest first.
	running []loadedSlot
	digest  *xxhash.Digest
	// placed and refused count decisions.
	placed, refused int
}

// loadedSlot is a slot of a holder.
type loadedSlot struct {
	holder int
	ask    uint64
	since  time.Time
}

func newLoadedGroup() *loadedGroup {
	g := &loadedGroup{now: epoch, rand: rand.New(rand.NewPCG(1, 1)), group: New(Options{Name: "s/0", Seed: 1}), prompts: make(map[uint64]int), digest: xxhash.New()}
	var list []srdispatch.Endpoint
	for i := range loadedEndpoints {
		list = append(list, srdispatch.Endpoint{ID: fmt.Sprint("e", i), Slots: loadedSlots})
	}
	g.group.Configure(g.now, list)
	for i := range loadedHolders {
		g.reports = append(g.reports, sr.SlotReport{From: instance(fmt.Sprint(i)), Group: "s/0", Held: make(map[uint64]string)})
	}
	for range 2000 {
		g.step()
	}
	return g
}

// step plays a millisecond: a request ends, and asks come until loadedWaiting wait.
func (g *loadedGroup) step() {
	g.now = g.now.Add(time.Millisecond)
	if len(g.running) >= loadedEndpoints*loadedSlots*9/10 {
		g.end()
	}
	for range 2 {
		if g.group.Waiting() < loadedWaiting {
			g.ask()
		}
	}
	g.apply(nil, g.group.Tick(g.now))
}

// end reports the end of one of the oldest requests.
func (g *loadedGroup) end() {
	i := g.rand.IntN(len(g.running) / 4)
	slot := g.running[i]
	g.running = append(g.running[:i], g.running[i+1:]...)
	r := &g.reports[slot.holder]
	endpoint := r.Held[slot.ask]
	delete(r.Held, slot.ask)
	took := g.now.Sub(slot.since)
	r.Started = []sr.SlotStart{{Endpoint: endpoint, Prompt: g.prompts[slot.ask], First: took / 10}}
	r.Released = []sr.SlotRelease{{Ask: slot.ask, Result: sr.SlotResult{Pace: took / 20, Events: 20, Length: 20, Ran: took}}}
	delete(g.prompts, slot.ask)
	g.report(slot.holder)
}

// ask reports an ask of any holder.
func (g *loadedGroup) ask() {
	g.lastAsk++
	prompt := 100 + g.rand.IntN(1000)
	g.prompts[g.lastAsk] = prompt
	holder := g.rand.IntN(loadedHolders)
	g.reports[holder].Asks = []sr.SlotAsk{{
		ID: g.lastAsk, RouteRank: g.rand.IntN(loadedRanks), Workspace: fmt.Sprint("w", g.rand.IntN(loadedWorkspaces)), Weight: 1,
		Target: time.Duration(500+g.rand.IntN(1500)) * time.Millisecond, Deadline: 10 * time.Second, Patience: 4 * time.Second,
		Returned: g.rand.IntN(4) == 0, LastPart: fmt.Sprint("p", g.rand.IntN(100)), Prompt: prompt, Length: 20,
	}}
	g.report(holder)
}

// report sends the report of a holder.
func (g *loadedGroup) report(holder int) {
	r := &g.reports[holder]
	r.Sequence++
	reply, others, err := g.group.Report(g.now, *r)
	if err != nil {
		panic(err)
	}
	for _, a := range r.Asks {
		r.Waiting = append(r.Waiting, a.ID)
	}
	r.Asks, r.Started, r.Released = nil, nil, nil
	g.apply(&Delivery{To: r.From, Decisions: reply.Decisions}, others)
}

// apply applies the decisions in a reply, if any, and those for other holders.
func (g *loadedGroup) apply(reply *Delivery, others []Delivery) {
	if reply != nil {
		others = append([]Delivery{*reply}, others...)
	}
	for _, delivery := range others {
		var holder int
		_, _ = fmt.Sscan(delivery.To.Address, &holder)
		r := &g.reports[holder]
		for _, d := range delivery.Decisions {
			for i, id := range r.Waiting {
				if id == d.Ask {
					r.Waiting = append(r.Waiting[:i:i], r.Waiting[i+1:]...)
					break
				}
			}
			fmt.Fprintln(g.digest, holder, d)
			if !d.Granted {
				g.refused++
				delete(g.prompts, d.Ask)
				continue
			}
			g.placed++
			r.Held[d.Ask] = d.Endpoint
			g.running = append(g.running, loadedSlot{holder: holder, ask: d.Ask, since: g.now})
		}
	}
}

// TestDecisionsUnderLoad: the digest is that of the decisions before the queue was made faster.
func TestDecisionsUnderLoad(t *testing.T) {
	g := newLoadedGroup()
	for range 3000 {
		g.step()
	}
	t.Logf("%d placed, %d refused, %d waiting, %d running", g.placed, g.refused, g.group.Waiting(), len(g.running))
	assert.Equal(t, g.digest.Sum64(), uint64(5705650511944047536))
}

// BenchmarkGroupUnderLoad plays a millisecond at the coordinator of a full group: about one end
// of a request, one or two asks and a tick.
func BenchmarkGroupUnderLoad(b *testing.B) {
	g := newLoadedGroup()
	b.ResetTimer()
	for range b.N {
		g.step()
	}
}
