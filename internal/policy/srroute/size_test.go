package srroute

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

const (
	// fleetEndpoints and fleetWorkspaces are the largest fleet to support.
	fleetEndpoints  = 12000
	fleetWorkspaces = 46000
	// nodeMemory is the memory budget of an instance for scheduling state, in bytes.
	nodeMemory = 32 << 20
	// chainBlocks is the number of prefix blocks of a prompt.
	chainBlocks = 24
)

// filledPlacer returns a Placer that has seen all endpoints and workspaces, and its
// candidates.
func filledPlacer(endpoints, workspaces int) (*Placer, []sr.Candidate) {
	p := New(Options{Seed: 1, Classes: classes, Workspaces: fleetWorkspaces})
	free := make([]sr.Candidate, endpoints)
	for i := range free {
		free[i] = sr.Candidate{Endpoint: fmt.Sprint("endpoint-", i), Class: "new", Limit: 16, Running: i % 8}
	}
	now := start
	for i := range max(4*endpoints, workspaces) {
		a := testAsk(i, chain(uint64(i), chainBlocks))
		a.Workspace = fmt.Sprint("workspace-", i%workspaces)
		e := free[i%endpoints].Endpoint
		p.Granted(now, a, e)
		if i >= endpoints {
			p.Observe(now, a, e, "new", sr.Release{Result: sr.ReleaseDone, First: time.Millisecond, Total: time.Second, Tokens: 50})
		}
	}
	return p, free
}

// heap returns the size in bytes of the live heap.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestPlacerFitsANode(t *testing.T) {
	before := heap()
	p, _ := filledPlacer(fleetEndpoints, fleetWorkspaces)
	used := heap() - before
	assert.Assert(t, used < nodeMemory, "%d bytes", used)
	runtime.KeepAlive(p)
}

func BenchmarkPlace(b *testing.B) {
	for _, endpoints := range []int{3, 12, 87, 1000, fleetEndpoints} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			before := heap()
			p, free := filledPlacer(endpoints, fleetWorkspaces)
			used := heap() - before
			a := testAsk(1<<30, chain(7, chainBlocks))
			b.ReportAllocs()
			for b.Loop() {
				p.Place(start, a, free)
			}
			b.ReportMetric(float64(used), "heap-bytes")
		})
	}
}

func BenchmarkGrantAndObserve(b *testing.B) {
	for _, endpoints := range []int{12, 87, fleetEndpoints} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			p, free := filledPlacer(endpoints, fleetWorkspaces)
			a := testAsk(1<<30, chain(7, chainBlocks))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := free[i%endpoints].Endpoint
				p.Granted(start, a, e)
				p.Observe(start, a, e, "new", sr.Release{Result: sr.ReleaseDone, First: time.Millisecond, Total: time.Second, Tokens: 50})
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, pools := range []int{3, 4, 23} {
		b.Run(fmt.Sprint("pools=", pools), func(b *testing.B) {
			k := NewPicker(PickerOptions{Seed: 1})
			free := make([]int, pools)
			for i := range free {
				free[i] = i
			}
			summaries := testSummaries(free...)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := testAsk(i, chain(uint64(i%1000), chainBlocks))
				k.Asked(start, a, k.Pick(start, a, summaries)[0])
			}
		})
	}
}
