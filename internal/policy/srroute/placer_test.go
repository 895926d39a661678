package srroute

import (
	"fmt"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start    = time.Unix(1_000_000, 0)
	testPool = sr.PoolID{Target: "llama", Domain: "brno-a"}
	classes  = map[string]sr.Class{
		"old": {Name: "old", Prefill: 2000, Decode: 25, Slots: 8, Cold: 1, Cache: 200},
		"new": {Name: "new", Prefill: 8000, Decode: 50, Slots: 16, Cold: 1, Cache: 400},
	}
)

// chain returns n prefix blocks that depend on seed.
func chain(seed uint64, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		seed = mix(seed + 0x9e3779b97f4a7c15)
		blocks[i] = seed
	}
	return blocks
}

func testAsk(id int, blocks []uint64) sr.Ask {
	return sr.Ask{
		ID:        fmt.Sprint(id),
		Pool:      testPool,
		Tier:      sr.TopTier,
		Workspace: "w",
		Work:      sr.Work{Prefill: 16 * len(blocks), Decode: 100},
		Blocks:    blocks,
	}
}

func candidates(class string, names ...string) []sr.Candidate {
	var cs []sr.Candidate
	for _, name := range names {
		cs = append(cs, sr.Candidate{Endpoint: name, Class: class, Limit: 8})
	}
	return cs
}

func TestPlaceReturnsToCachedEndpoint(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	free := candidates("old", "a", "b", "c")
	blocks := chain(1, 100)
	first := testAsk(1, blocks[:80])
	at, ok := p.Place(start, first, free)
	assert.Assert(t, ok)
	p.Granted(start, first, at.Endpoint)
	p.Observe(start.Add(time.Second), first, at.Endpoint, "old", sr.Release{Result: sr.ReleaseDone, Tokens: 100})
	for id := 2; id < 20; id++ {
		next, ok := p.Place(start.Add(2*time.Second), testAsk(id, blocks), free)
		assert.Assert(t, ok)
		assert.Equal(t, next.Endpoint, at.Endpoint)
		assert.Equal(t, next.Cached, 16*recordedDepth(80))
	}
}

// recordedDepth returns how many of n blocks are recognized as cached.
func recordedDepth(n int) int { return lastRecorded(n-1) + 1 }

// TestPlaceForgetsCache covers the events after which a prefix must no longer count as
// cached.
func TestPlaceForgetsCache(t *testing.T) {
	blocks := chain(1, 30)
	for name, change := range map[string]func(p *Placer){
		"forget": func(p *Placer) { p.Forget("a") },
		"restart": func(p *Placer) {
			p.Report(start, "a", sr.Load{Start: "1"})
			p.Report(start, "a", sr.Load{Start: "2"})
		},
		"evicted": func(p *Placer) {
			for i := range 10 {
				p.Granted(start, testAsk(100+i, chain(uint64(100+i), 20)), "a")
			}
		},
		"event": func(p *Placer) {
			p.Report(start, "a", sr.Load{})
			for _, b := range blocks {
				p.Report(start, "a", sr.Load{Events: []sr.CacheEvent{{Block: b}}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{Seed: 1, Classes: classes})
			free := candidates("old", "a")
			p.Place(start, testAsk(1, blocks), free)
			p.Granted(start, testAsk(1, blocks), "a")
			before, _ := p.Place(start, testAsk(2, blocks), free)
			assert.Equal(t, before.Cached, 16*30)
			change(p)
			after, _ := p.Place(start, testAsk(2, blocks), free)
			assert.Equal(t, after.Cached, 0)
		})
	}
}

func TestPlaceLearnsFromAddedEvents(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	blocks := chain(1, 10)
	p.Report(start, "b", sr.Load{Events: []sr.CacheEvent{{Seq: 9, Block: blocks[7], Added: true}}})
	at, ok := p.Place(start, testAsk(1, blocks), candidates("old", "a", "b", "c"))
	assert.Assert(t, ok)
	assert.Equal(t, at.Endpoint, "b")
	assert.Equal(t, at.Cached, 16*8)
}

func TestPlacePrefersFasterClass(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	free := append(candidates("old", "a"), candidates("new", "b")...)
	at, _ := p.Place(start, testAsk(1, nil), free)
	assert.Equal(t, at.Endpoint, "b")
}

func TestPlaceDetectsSlowEndpoint(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	free := candidates("old", "slow", "b", "c")
	now := start
	for id := range 30 {
		for _, c := range free {
			a := testAsk(id, nil)
			p.Granted(now, a, c.Endpoint)
			total := 4 * time.Second
			if c.Endpoint == "slow" {
				total *= 4
			}
			p.Observe(now.Add(total), a, c.Endpoint, "old", sr.Release{Result: sr.ReleaseDone, First: 10 * time.Millisecond, Total: total, Tokens: 101})
		}
		now = now.Add(16 * time.Second)
	}
	for id := range 50 {
		at, ok := p.Place(now, testAsk(1000+id, nil), free)
		assert.Assert(t, ok)
		assert.Assert(t, at.Endpoint != "slow")
	}
}

// TestPlaceWaitsForDeeplyCachedEndpoint checks that an ask waits for a busy endpoint that
// caches its prompt, but no longer than Defer.
func TestPlaceWaitsForDeeplyCachedEndpoint(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	blocks := chain(1, 180)
	busy := testAsk(1, blocks)
	busy.Work.Decode = 1
	all := candidates("old", "a", "b")
	p.Place(start, busy, all)
	p.Granted(start, busy, "a")
	soon := start.Add(1400 * time.Millisecond)
	next := testAsk(2, blocks)
	next.Work.Decode = 10
	_, ok := p.Place(soon, next, all[1:])
	assert.Assert(t, !ok)
	at, ok := p.Place(soon.Add(DefaultDefer), next, all[1:])
	assert.Assert(t, ok)
	assert.Equal(t, at.Endpoint, "b")
}

func TestLengthFollowsWorkspace(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	for id := range 100 {
		a := testAsk(id, nil)
		a.Work.Decode = 4096
		p.Observe(start, a, "a", "old", sr.Release{Result: sr.ReleaseDone, Tokens: 40})
	}
	a := testAsk(1, nil)
	a.Work.Decode = 4096
	assert.Assert(t, int(p.expectedLength(a)) >= 32 && int(p.expectedLength(a)) <= 50, "%d", int(p.expectedLength(a)))
	a.Work.Decode = 10
	assert.Equal(t, int(p.expectedLength(a)), 10)
}

// TestReportCountsForeignLoad checks that reported requests beyond this placer's leases
// count until the report expires.
func TestReportCountsForeignLoad(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	p.Granted(start, testAsk(1, nil), "a")
	p.Report(start.Add(time.Second), "a", sr.Load{Age: time.Second / 2, Running: 6})
	e := p.endpoints.find("a")
	assert.Equal(t, e.batchSize(time.Second, 0), 6.0)
	assert.Equal(t, e.batchSize(time.Minute, 0), 1.0)
}

// TestPlacerBounds checks that the tables stay within their bounds.
func TestPlacerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{Seed: 1, Classes: classes, Blocks: 64, Endpoints: 8, Workspaces: 8})
		now := start
		for id := range rapid.IntRange(1, 400).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "endpoint"))
			a := testAsk(id, chain(rapid.Uint64Range(0, 30).Draw(t, "prompt"), rapid.IntRange(0, 90).Draw(t, "blocks")))
			a.Workspace = name
			now = now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "gap")))
			at, ok := p.Place(now, a, candidates("new", name, "x"))
			assert.Assert(t, !ok || at.Endpoint == name || at.Endpoint == "x")
			assert.Assert(t, at.Cached <= a.Work.Prefill)
			p.Granted(now, a, name)
			if rapid.Bool().Draw(t, "end") {
				p.Observe(now, a, name, "new", sr.Release{Result: sr.ReleaseDone, First: 1e6, Total: 1e9, Tokens: 50})
			}
		}
		assert.Assert(t, len(p.endpoints.list) <= 8 && len(p.endpoints.index) == len(p.endpoints.list))
		assert.Assert(t, len(p.lengths.entries) <= 8 && len(p.lengths.index) == len(p.lengths.entries))
		assert.Equal(t, len(p.prefixes.entries), 64)
		for _, e := range p.endpoints.list {
			assert.Assert(t, len(e.running) <= maxRunning)
			assert.Assert(t, e.slowdown(0) <= maxRatio*1.001 && e.slowdown(0) >= 0.999/maxRatio)
		}
	})
}

func TestLastRecordedIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, 1<<16).Draw(t, "i")
		r := lastRecorded(i)
		assert.Assert(t, r <= i && r >= i-2*i/prefixDense)
		assert.Equal(t, lastRecorded(r), r)
	})
}

// TestPlaceWaitsForClassThatIsInTime checks that an ask waits, up to Defer, when only
// another class would meet its budget, and does not wait when no class would.
func TestPlaceWaitsForClassThatIsInTime(t *testing.T) {
	p := New(Options{Seed: 1, Classes: classes})
	a := testAsk(1, nil)
	a.Work.Decode = 800
	a.Budget = 20 * time.Second
	_, ok := p.Place(start, a, append(candidates("old", "a"), candidates("new", "b")...))
	assert.Assert(t, ok)
	_, ok = p.Place(start, a, candidates("old", "a"))
	assert.Assert(t, !ok)
	at, ok := p.Place(start.Add(DefaultDefer), a, candidates("old", "a"))
	assert.Assert(t, ok)
	assert.Equal(t, at.Endpoint, "a")
	a.ID, a.Budget = "2", time.Second
	_, ok = p.Place(start, a, candidates("old", "a"))
	assert.Assert(t, ok)
}
