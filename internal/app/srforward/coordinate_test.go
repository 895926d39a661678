package srforward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srgossip"
)

const (
	// testGroup is the group of the service of testEndpoint.
	testGroup = "s/0"
	// groupedFleet is some instances more than share endpoints of 8 slots without groups.
	groupedFleet = 20
	// decidedAlone bounds the time to a decision without a coordinator that answers: its own
	// timeout and a few ms.
	decidedAlone = reportTimeout + 5*time.Millisecond
)

// newGroupedFleet runs instances that share two endpoints, until all agree on the coordinator.
func newGroupedFleet(t *testing.T) (*testFleet, string) {
	f := newTestFleet(t, groupedFleet, srforwardsettings.Settings{Memory: 184, Power: 0.25, Heartbeat: 1200 * time.Millisecond, Drain: 3 * time.Second})
	f.put(testRouting(1, 3))
	f.put(testEndpoint("e-1", sr.EndpointReady))
	f.put(testEndpoint("e-2", sr.EndpointReady))
	f.run(t)
	time.Sleep(3 * time.Second)
	return f, f.agreed(t)
}

// agreed returns the coordinator on which all instances that are not cut off agree.
func (f *testFleet) agreed(t *testing.T) string {
	t.Helper()
	address := ""
	for self, n := range f.instances {
		if f.cut[self] || n.draining.Load() {
			continue
		}
		h := n.holders.get(testGroup)
		assert.Assert(t, h != nil, "%s knows no group", self)
		assert.Assert(t, address == "" || h.coordinator == address, "%s and %s coordinate", address, h.coordinator)
		address = h.coordinator
	}
	return address
}

// other returns an instance that is not at one of some addresses.
func (f *testFleet) other(not ...string) *Instance {
	for _, address := range f.addresses() {
		if !slices.Contains(not, address) {
			return f.instances[address]
		}
	}
	return nil
}

func testAsk(target time.Duration) srdispatch.Ask {
	now := time.Now()
	return srdispatch.Ask{Target: now.Add(target), Deadline: now.Add(10 * time.Second)}
}

// acquire asks for a slot, and returns how long the decision took.
func acquire(t *testing.T, n *Instance, a srdispatch.Ask) (srdispatch.Decision, time.Duration) {
	t.Helper()
	start := time.Now()
	d, err := n.queues.get("s").acquire(t.Context(), a, func(int) {})
	assert.NilError(t, err)
	return d, time.Since(start)
}

// inFlight returns the slots that a coordinator counts as used, and those of them that the holder
// at an address has.
func (n *Instance) inFlight(h *Instance) (free, held int) {
	g := n.coordinator.get(testGroup)
	g.mu.Lock()
	defer g.mu.Unlock()
	own := h.holders.get(testGroup)
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, slots := range own.holder.Held() {
		held += slots
	}
	return g.group.Free(time.Now()), held
}

// TestSlotsOfACoordinator: a request gets a slot from the coordinator, or is decided alone.
func TestSlotsOfACoordinator(t *testing.T) {
	const slots = 16
	for name, test := range map[string]func(t *testing.T, f *testFleet, coordinator string){
		"granted and returned": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			d, took := acquire(t, n, testAsk(time.Second))
			assert.Assert(t, d.Granted && took <= reportTimeout, "%v after %v", d, took)
			n.queues.get("s").release(d.Endpoint, srdispatch.Result{})
			time.Sleep(50 * time.Millisecond)
			free, held := f.instance(coordinator).inFlight(n)
			assert.Assert(t, free == slots && held == 0, "%d free, %d held", free, held)
		},
		"coordinator cut off": func(t *testing.T, f *testFleet, coordinator string) {
			f.setCut(coordinator, true)
			d, took := acquire(t, f.other(coordinator), testAsk(time.Second))
			assert.Assert(t, d.Kind == srdispatch.Placed && !d.Granted && took <= decidedAlone, "%v after %v", d, took)
			// All count it as silent, the last of them as late as a record may arrive.
			time.Sleep(f.other(coordinator).members.silenceTimeout() + srgossip.Delay(groupedFleet) + sweepInterval)
			next := f.agreed(t)
			assert.Assert(t, next != coordinator)
			d, took = acquire(t, f.other(coordinator, next), testAsk(time.Second))
			assert.Assert(t, d.Granted && took <= reportTimeout, "%v after %v", d, took)
		},
		"coordinator of an earlier version": func(t *testing.T, f *testFleet, coordinator string) {
			f.mu.Lock()
			f.unaware[coordinator] = true
			f.mu.Unlock()
			d, took := acquire(t, f.other(coordinator), testAsk(time.Second))
			assert.Assert(t, d.Kind == srdispatch.Placed && !d.Granted && took <= decidedAlone, "%v after %v", d, took)
		},
		"endpoint leaves with a slot in use": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			d, _ := acquire(t, n, testAsk(time.Second))
			f.put(testEndpoint(d.Endpoint, sr.EndpointLeaving))
			time.Sleep(time.Second)
			n.queues.get("s").release(d.Endpoint, srdispatch.Result{})
			f.put(testEndpoint(d.Endpoint, sr.EndpointReady))
			time.Sleep(3 * time.Second)
			free, held := f.instance(coordinator).inFlight(n)
			assert.Assert(t, free == slots && held == 0, "%d free, %d held", free, held)
		},
		"stream returns to the endpoint that fell silent": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			n.queues.get("s").endpointSilent("e-1")
			a := testAsk(time.Second)
			a.Resumed, a.Only = true, []string{"e-1"}
			d, _ := acquire(t, n, a)
			assert.Assert(t, d.Kind == srdispatch.Placed && d.Endpoint == "e-1", "%v", d)
		},
		"callers leave around the grant": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			q, granted := n.queues.get("s"), 0
			for after := time.Duration(0); after < 10*time.Millisecond; after += 100 * time.Microsecond {
				ctx, cancel := context.WithTimeout(t.Context(), after)
				d, err := q.acquire(ctx, testAsk(time.Second), func(int) {})
				cancel()
				if err == nil {
					assert.Equal(t, d.Kind, srdispatch.Placed)
					q.release(d.Endpoint, srdispatch.Result{Unsent: true})
					granted++
				}
			}
			assert.Assert(t, granted > 0 && granted < 100, granted)
			time.Sleep(200 * time.Millisecond)
			free, held := f.instance(coordinator).inFlight(n)
			assert.Assert(t, free == slots && held == 0 && len(q.running()) == 0, "%d free, %d held, %v", free, held, q.running())
		},
		"endpoint hangs for another instance": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			d, _ := acquire(t, n, testAsk(time.Second))
			n.queues.get("s").endpointSilent(d.Endpoint)
			time.Sleep(20 * time.Millisecond)
			for range 5 {
				other, _ := acquire(t, f.other(coordinator, n.Self.Address), testAsk(time.Second))
				assert.Assert(t, other.Granted && other.Endpoint != d.Endpoint, "%v", other)
			}
		},
		"all endpoints want no requests from one instance": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			for _, id := range []string{"e-1", "e-2"} {
				n.queues.get("s").pause(id, 0, 10*time.Second)
			}
			d, took := acquire(t, n, testAsk(time.Second))
			assert.Assert(t, d.Reason == srdispatch.ReasonPaused && took < 10*time.Millisecond, "%v after %v", d, took)
			d, _ = acquire(t, f.other(coordinator, n.Self.Address), testAsk(time.Second))
			assert.Assert(t, d.Granted, "%v", d)
		},
		"all endpoints fail at one instance": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			n.queues.get("s").endpointSilent("e-1")
			n.queues.get("s").endpointSilent("e-2")
			d, took := acquire(t, n, testAsk(time.Second))
			assert.Assert(t, d.Kind == srdispatch.Placed && took <= reportTimeout, "%v after %v", d, took)
		},
		"instance that hears no other one": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			f.setCut(n.Self.Address, true)
			time.Sleep(3 * time.Second)
			assert.Assert(t, n.coordinator.get(testGroup) == nil)
			d, took := acquire(t, n, testAsk(time.Second))
			assert.Assert(t, d.Kind == srdispatch.Placed && !d.Granted && took <= decidedAlone, "%v after %v", d, took)
		},
		"holder leaves": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.other(coordinator)
			for range 10 {
				d, _ := acquire(t, n, testAsk(time.Second))
				assert.Assert(t, d.Granted)
			}
			f.wg.Go(func() { f.leave(t.Context(), n.Self.Address) })
			time.Sleep(drainNotice - 100*time.Millisecond)
			d, _ := acquire(t, n, testAsk(time.Second))
			free, held := f.instance(coordinator).inFlight(n)
			assert.Assert(t, d.Granted && free == slots-11 && held == 11, "%v, %d free, %d held", d, free, held)
		},
		"coordinator leaves": func(t *testing.T, f *testFleet, coordinator string) {
			n := f.instance(coordinator)
			f.wg.Go(func() { f.leave(t.Context(), coordinator) })
			// The others know once its message has arrived.
			time.Sleep(100 * time.Millisecond)
			d, _ := acquire(t, f.other(coordinator, f.agreed(t)), testAsk(time.Second))
			assert.Assert(t, d.Granted, "%v", d)
			time.Sleep(drainNotice - 200*time.Millisecond)
			next := f.agreed(t)
			assert.Assert(t, next != coordinator)
			for _, n := range []*Instance{n, f.other(coordinator, next)} {
				d, _ := acquire(t, n, testAsk(time.Second))
				assert.Assert(t, d.Granted, "%s: %v", n.Self.Address, d)
			}
		},
		"requests that began without the coordinator": func(t *testing.T, f *testFleet, coordinator string) {
			f.setCut(coordinator, true)
			n := f.other(coordinator)
			for range 3 {
				d, _ := acquire(t, n, testAsk(time.Second))
				assert.Assert(t, d.Kind == srdispatch.Placed && !d.Granted, "%v", d)
			}
			// Nothing else makes the holder report, and its streams last.
			time.Sleep(10 * time.Second)
			next := f.instance(f.agreed(t))
			free, _ := next.inFlight(n)
			assert.Equal(t, free, slots-3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, coordinator := newGroupedFleet(t)
				test(t, f, coordinator)
			})
		})
	}
}

// TestWaitLimitAtAnIdleCoordinator: the first ask that waits at a coordinator is refused at its
// limit, not at the next check of an idle group.
func TestWaitLimitAtAnIdleCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, coordinator := newGroupedFleet(t)
		// Its own requests wait for no messages.
		n := f.instance(coordinator)
		for range 16 {
			d, _ := acquire(t, n, testAsk(time.Second))
			assert.Assert(t, d.Granted)
		}
		for range 5 {
			time.Sleep(173 * time.Millisecond)
			// Three fifths of the time to the objective, after which its caller does not wait on
			// for a late answer, and one tick.
			a := testAsk(100 * time.Millisecond)
			a.Deadline = time.Now().Add(60 * time.Millisecond)
			_, took := acquire(t, n, a)
			assert.Assert(t, took < 60*time.Millisecond+maxTick+5*time.Millisecond, "decided after %v", took)
		}
	})
}
