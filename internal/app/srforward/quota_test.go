package srforward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// What an instance spent between its stop signal and its end was counted by no other.
func TestQuotaHoldsWhileInstancesLeave(t *testing.T) {
	const (
		tick   = 10 * time.Millisecond
		window = 8 * time.Second
		rate   = 10_000.0
		cost   = 10.0
		// disrupted is the number of instances that are disrupted one after the other.
		disrupted = 7
		// The platform lets a quota be exceeded by a quarter.
		allowed = (rate*8 + rate) * 1.25
	)
	type disruption struct {
		gap     time.Duration
		disrupt func(ctx context.Context, f *testFleet, address string)
	}
	disruptions := map[string]disruption{
		"stopped and started": {700 * time.Millisecond, func(ctx context.Context, f *testFleet, address string) {
			f.leave(ctx, address)
			f.replace(ctx, address)
		}},
		"cut off": {time.Second, func(_ context.Context, f *testFleet, address string) {
			f.setCut(address, true)
			time.Sleep(3 * time.Second)
			f.setCut(address, false)
		}},
		"killed and started": {2 * time.Second, func(ctx context.Context, f *testFleet, address string) { f.replace(ctx, address) }},
	}
	for name, c := range disruptions {
		// An instance of a large fleet learns from a few others what all spend.
		for _, size := range []int{7, 40} {
			for _, demand := range []int{1, 4} {
				t.Run(fmt.Sprint(name, " of ", size, choose(demand > 1, " with more demand", "")), func(t *testing.T) {
					callsATick := demand * max(56/size, 2)
					synctest.Test(t, func(t *testing.T) {
						settings := restoreSettings
						settings.QuotaWindow = window
						f := newTestFleet(t, size, settings)
						e := testRouting(1, 3)
						e.Routing.Workspaces = map[string]sr.RoutedWorkspace{"w": {Name: "w", Allowance: sr.Quota{Rate: rate, Burst: rate}}}
						f.put(e)
						f.run(t)
						time.Sleep(3 * time.Second)
						for i, address := range f.addresses()[:min(size, disrupted)] {
							time.AfterFunc(time.Duration(i+1)*c.gap, func() { c.disrupt(t.Context(), f, address) })
						}
						var granted [window / tick]float64
						sum, peak := 0.0, 0.0
						for i := range 20 * time.Second / tick {
							now := 0.0
							for _, address := range f.addresses() {
								n := f.instance(address)
								if !n.hasJoined() || n.refusing.Load() {
									continue
								}
								for range callsATick {
									if ok, _, _ := n.limits.acquire(time.Now(), "w", cost, 0); ok {
										now += cost
									}
								}
							}
							sum += now - granted[i%(window/tick)]
							granted[i%(window/tick)] = now
							peak = max(peak, sum)
							time.Sleep(tick)
						}
						assert.Assert(t, peak <= allowed, "%.0f in a window, allowed %.0f", peak, allowed)
						assert.Assert(t, sum >= rate*8)
					})
				})
			}
		}
	}
}

// leave lets an instance take the steps of a stop.
func (f *testFleet) leave(ctx context.Context, address string) {
	n := f.instance(address)
	n.draining.Store(true)
	n.announceLeaving(ctx)
	time.Sleep(drainNotice)
	n.refusing.Store(true)
	n.announceLeaving(ctx)
}
