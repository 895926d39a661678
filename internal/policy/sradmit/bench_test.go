package sradmit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

// fleetWorkspaces is the number of workspaces of the largest fleet to support.
const fleetWorkspaces = 46_000

func BenchmarkAdmit(b *testing.B) {
	a := sradmit.New(sradmit.Options{})
	a.SetInstances(320)
	ws := make([]sr.Workspace, fleetWorkspaces)
	for i := range ws {
		ws[i] = sr.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1000, Burst: 100, Queue: 1000}
	}
	before := heap()
	for _, w := range ws {
		a.Admit(epoch, w)
	}
	perBucket := (heap() - before) / fleetWorkspaces
	b.ReportAllocs()
	b.ResetTimer()
	now := epoch
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		w := ws[i*7919%fleetWorkspaces]
		a.Admit(now, w)
		a.Dequeue(w.Name)
	}
	b.ReportMetric(perBucket, "B/workspace")
}

// heap returns the size in bytes of the live heap.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
