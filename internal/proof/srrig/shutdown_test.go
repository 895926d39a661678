package srrig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

func TestShutdownCutsNoQueuedStreamingOrRelayedRequest(t *testing.T) {
	t.Parallel()
	engine := srengine.DefaultConfig()
	engine.Slots = 2
	runRig(t, Options{Seed: 1, Engine: engine}, func(t *testing.T, r *Rig) {
		var wg sync.WaitGroup
		for i := range 3 * Instances {
			q, err := r.IssueTicket(r.Process(i%Instances), ModelRequest(fmt.Sprintf("load %d", i), 1, 300))
			assert.NilError(t, err)
			for _, via := range []int{0, i % Instances} {
				wg.Go(func() { r.SubmitTicket(q, via) })
			}
		}
		time.Sleep(time.Second)
		r.Process(0).Shutdown()
		wg.Wait()
	}, srhistory.GracefulShutdowns, srhistory.NoneCutShort, srhistory.AllAnswered)
}

func TestShutdownWaitsForAnswersRelayedFromOtherIssuers(t *testing.T) {
	t.Parallel()
	runRig(t, Options{Seed: 2}, func(t *testing.T, r *Rig) {
		q, err := r.IssueTicket(r.Process(1), ModelRequest("read elsewhere", 1, 1200))
		assert.NilError(t, err)
		var wg sync.WaitGroup
		wg.Go(func() { r.SubmitTicket(q, 0) })
		time.Sleep(time.Second)
		r.Process(0).Shutdown()
		wg.Wait()
	}, srhistory.GracefulShutdowns, srhistory.NoneCutShort, srhistory.AllAnswered)
}

func TestShutdownEndsRequestsWhoseCallersAreAway(t *testing.T) {
	t.Parallel()
	engine := srengine.DefaultConfig()
	engine.Slots = 1
	runRig(t, Options{Seed: 3, Engine: engine}, func(t *testing.T, r *Rig) {
		var qs []srhistory.Request
		for i := range 3 * engineCount {
			q, err := r.IssueTicket(r.Process(0), ModelRequest(fmt.Sprintf("away %d", i), 1, 200))
			assert.NilError(t, err)
			_, err = r.Process(0).Instance.Entry().Submit(t.Context(), sr.Submission{Ticket: q.Ticket, Request: sr.Request{
				Kind: q.Kind, Workspace: q.Workspace, Tier: q.Tier, Target: q.Target, Body: q.Body, Tokens: q.Tokens, Budget: 30 * time.Second,
			}})
			assert.NilError(t, err)
			qs = append(qs, q)
		}
		r.Process(0).Shutdown()
		for _, q := range qs {
			assert.Check(t, r.Engines.Runs(q.Body) == 1, q.Body)
		}
	}, srhistory.GracefulShutdowns)
}

func TestAllSevenAreRolledUnderLoad(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed}, func(t *testing.T, r *Rig) {
			var load sync.WaitGroup
			done := make(chan struct{})
			b := &balancer{r: r}
			for w := range 2 * Instances {
				load.Go(func() { b.load(done, w) })
			}
			for i := range Instances {
				b.setLeaving(i, true)
				r.Process(i).Shutdown()
				_, err := r.Start(i)
				assert.NilError(t, err)
				time.Sleep(5 * time.Second)
				b.setLeaving(i, false)
			}
			close(done)
			load.Wait()
		}, srhistory.GracefulShutdowns, srhistory.NoneCutShort, srhistory.AllAnswered)
	})
}

// balancer simulates a load balancer, which sends requests to random instances
// except the one that is leaving.
type balancer struct {
	r *Rig

	mu sync.Mutex
	// leaving is the instance to avoid while out is set.
	leaving int
	out     bool
}

// setLeaving takes instance i out of the rotation, or puts it back.
func (b *balancer) setLeaving(i int, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving, b.out = i, out
}

func (b *balancer) pick() int {
	i := b.r.intN(Instances)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out && i == b.leaving {
		return (i + 1) % Instances
	}
	return i
}

// load submits requests one after another until done is closed. One in five is a
// call that may not be repeated.
func (b *balancer) load(done <-chan struct{}, worker int) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(b.r.intN(1500)) * time.Millisecond):
		}
		body := fmt.Sprintf("load of %d at %v", worker, b.r.Now())
		q := ModelRequest(body, 1, 10+b.r.intN(100))
		if n%5 == 0 {
			q = Booking(body)
		}
		q, err := b.r.IssueTicket(b.r.Process(b.pick()), q)
		if err == nil {
			b.r.SubmitTicket(q, b.pick())
		}
	}
}
