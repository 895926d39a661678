package srcapacity

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

// nanoseconds returns the mean time of one call of f.
func nanoseconds(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.NsPerOp())
}

// heapBytes returns the heap memory held by the value that f returns.
func heapBytes[T any](f func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// heartbeatTime returns the processor time of one heartbeat exchange on one side: it
// composes and encodes a heartbeat, and decodes and handles the received one.
func heartbeatTime(instances, pools int) float64 {
	f := newFleet(instances, pools)
	f.runUntilStable()
	hb := f.heartbeat(1 % instances)
	var buf bytes.Buffer
	encoder := gob.NewEncoder(&buf)
	decoder := gob.NewDecoder(&buf)
	return nanoseconds(func() {
		_ = f.heartbeat(0)
		_ = encoder.Encode(&hb)
		var got sr.Heartbeat
		_ = decoder.Decode(&got)
		f.members[0].HeartbeatReceived(f.now, got)
	})
}

// ownershipTime returns the processor time of one check of the ownership of all pools.
func ownershipTime(instances, pools int) float64 {
	f := newFleet(instances, pools)
	f.runUntilStable()
	return nanoseconds(func() { f.members[0].Takeover(f.now, f.pools) })
}

// requestTime returns the processor time of one request in a pool with the given
// number of endpoints: ask, grant and release.
func requestTime(endpoints int) float64 {
	p := newPool(endpoints)
	now := time.Unix(100, 0)
	n := 0
	return nanoseconds(func() {
		n++
		now = now.Add(time.Millisecond)
		a := newAsk(8)
		a.ID = fmt.Sprintf("i.%d.1.1", n)
		a.Workspace = fmt.Sprintf("workspace-%d", n%1000)
		a.Blocks[0] = uint64(n % 64)
		p.Ask(now, a)
		for _, action := range p.Tick(now) {
			if action.Kind == sr.ActionGrant {
				l := action.Grant.Lease
				p.Release(now, sr.Release{Lease: l.ID, Pool: l.Pool, Holder: a.Holder, Result: sr.ReleaseDone, First: leaseTTL / 10, Total: leaseTTL, Tokens: 100})
			}
		}
	})
}

// poolMemory returns the memory of a pool with the given number of endpoints, each
// with one load report.
func poolMemory(endpoints int) float64 {
	return heapBytes(func() sr.Pool { return newPool(endpoints) })
}

func newPool(endpoints int) sr.Pool {
	rng := rand.New(rand.NewPCG(1, 2))
	class := sr.Class{Name: "gen1", Prefill: 8000, Decode: 50, Slots: 16, Cold: 2, Cache: 4096}
	placer := srroute.New(srroute.Options{Seed: 1, Classes: map[string]sr.Class{class.Name: class}})
	// A negative FirstReportWait makes the pool grant without waiting for load reports.
	p := srslot.New(srslot.Options{FirstReportWait: -1}, placer, rng)
	now := time.Unix(0, 0)
	c := sr.PoolConfig{Pool: poolID(0), Kind: sr.KindModel, Owner: instanceID(2), Lowest: tierCount}
	for i := range endpoints {
		c.Endpoints = append(c.Endpoints, sr.PoolEndpoint{
			Name: fmt.Sprintf("runner%05d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), Class: class, Usable: true,
		})
	}
	p.Configure(now, c)
	p.SetMode(now, sr.PoolMode{Own: true, Majority: true})
	for _, e := range c.Endpoints {
		p.Report(now, e.Name, sr.Load{Start: "s1", Age: time.Millisecond})
	}
	return p
}

// manifestParts returns the parts of a manifest with the given number of workspaces
// and a quarter as many endpoints. Each part is below the platform's size limit.
func manifestParts(workspaces int) map[string][]byte {
	parts := map[string][]byte{
		"tiers":   []byte("[tier t1]\nrank = 1\nfirst = 490ms\ngap = 35ms\nbudget = 30s\n"),
		"domains": []byte("[domain d1]\nregion = r1\n"),
		"classes": []byte("[class gen1]\nprefill = 8000\ndecode = 50\nslots = 16\ncold = 2\ncache = 4096\n"),
	}
	const perPart = 2000
	for start := 0; start < workspaces; start += perPart {
		var b strings.Builder
		for i := start; i < min(start+perPart, workspaces); i++ {
			fmt.Fprintf(&b, "[workspace w%05d]\ntier = t1\nkeys = %s\nshare = 1\nqueue = 100\n\n", i, srmanifest.Hash([]byte(fmt.Sprint(i))))
		}
		parts[fmt.Sprintf("workspaces%03d", start/perPart)] = []byte(b.String())
	}
	for start := 0; start < workspaces/4; start += perPart {
		var b strings.Builder
		for i := start; i < min(start+perPart, workspaces/4); i++ {
			fmt.Fprintf(&b, "[endpoint e%05d]\naddress = 10.%d.%d.%d:8000\ndomain = d1\nclass = gen1\nmodel = m%d\n\n", i, i/62500+1, i/250%250, i%250+1, i%6)
		}
		parts[fmt.Sprintf("endpoints%03d", start/perPart)] = []byte(b.String())
	}
	return parts
}

// manifestBytes returns the total size of the parts of a manifest.
func manifestBytes(workspaces int) float64 {
	total := 0
	for _, p := range manifestParts(workspaces) {
		total += len(p)
	}
	return float64(total)
}

// manifestMemory returns the memory of an accepted manifest with the texts of its parts.
func manifestMemory(workspaces int) float64 {
	return heapBytes(func() *srmanifest.Store {
		store := srmanifest.New()
		if _, err := store.Offer(srmanifest.Bundle(1, manifestParts(workspaces))); err != nil {
			panic(err)
		}
		return store
	})
}

// manifestChange returns the processor time of accepting a manifest of which one part
// has changed.
func manifestChange(workspaces int) float64 {
	store := srmanifest.New()
	parts := manifestParts(workspaces)
	version := uint64(1)
	return nanoseconds(func() {
		version++
		parts["domains"] = fmt.Appendf(nil, "[domain d1]\nregion = r%d\n", version)
		if _, err := store.Offer(srmanifest.Bundle(version, parts)); err != nil {
			panic(err)
		}
	})
}

// requestMemory returns the memory of the given number of ended requests with 200
// events each.
func requestMemory(requests int) float64 {
	return heapBytes(func() *srrequest.Table { return endedRequests(requests) })
}

// trimmedMemory returns the memory of the given number of ended requests whose
// answers have been dropped. Their tickets have not expired, so the sweep keeps them.
func trimmedMemory(requests int) float64 {
	return heapBytes(func() *srrequest.Table {
		table := endedRequests(requests)
		table.Sweep(time.Unix(0, 0).Add(time.Minute), time.Second)
		return table
	})
}

func endedRequests(requests int) *srrequest.Table {
	table := srrequest.New(requests, 1<<10)
	now := time.Unix(0, 0)
	for i := range requests {
		ticket := fmt.Sprintf("ticket-%079d", i)
		r, _, err := table.Begin(now, ticket, now.Add(time.Hour), sr.Request{Kind: sr.KindModel, Workspace: "w", Body: strings.Repeat("x", 2000), Tokens: 200})
		if err != nil {
			panic(err)
		}
		for seq := range 200 {
			_ = r.Append(sr.Event{Seq: seq + 1, Type: sr.EventText, Ticket: ticket, Text: "token "})
		}
		r.End(now, sr.Status{Outcome: sr.OutcomeComplete})
	}
	return table
}

// recordMemory returns the memory of the given number of recorded decisions.
func recordMemory(steps int) float64 {
	return heapBytes(func() *srtrace.Log {
		log := srtrace.New(steps)
		now := time.Unix(0, 0)
		for i := range steps {
			log.Add(fmt.Sprintf("ticket-%079d", i/5), now, "grant", "runner%05d in model-1@domain-01 by 10.0.0.1:7300 after %dms: 512 tokens cached, 3 running", i, i%50)
		}
		return log
	})
}
