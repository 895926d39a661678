package srrig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
)

const (
	// scheduleSteps is the number of steps of a schedule.
	scheduleSteps = 25
	// maxDown is the maximum number of instances that are dead or paused at once, so
	// that a majority of them runs.
	maxDown = 3
	// faultRarity is the n of RandomFaults: one in n dispatches draws a fault.
	faultRarity = 8
)

// schedule injects random failures and operator orders, which last until a later
// step ends them.
type schedule struct {
	t *testing.T
	r *Rig

	// down are the instances that are dead or paused.
	down     map[int]bool
	pausedAt map[int]time.Duration
	// partitioned are the instances that are cut off from the others.
	partitioned   []int
	partitionedAt time.Duration
	outage        bool
	out           map[string]bool
	leaving       map[string]bool
}

func newSchedule(t *testing.T, r *Rig) *schedule {
	return &schedule{t: t, r: r, down: make(map[int]bool), pausedAt: make(map[int]time.Duration), out: make(map[string]bool), leaving: make(map[string]bool)}
}

func (s *schedule) step() {
	switch s.r.intN(9) {
	case 0:
		s.kill(s.r.intN(Instances))
	case 1:
		s.pause(s.r.intN(Instances))
	case 2, 3:
		s.restore()
	case 4:
		s.partition()
	case 5:
		s.heal()
	case 6:
		s.togglePlatformOutage(s.r.intN(2) == 0)
	case 7:
		s.toggleDomainOut(domains[s.r.intN(len(domains))])
	case 8:
		s.toggleEndpointLeaving(fmt.Sprintf("runner%d", 1+s.r.intN(engineCount)))
	}
	time.Sleep(time.Duration(200+s.r.intN(3000)) * time.Millisecond)
}

func (s *schedule) kill(i int) {
	if s.down[i] || len(s.down) == maxDown {
		return
	}
	s.down[i] = true
	s.r.Process(i).Kill()
}

func (s *schedule) pause(i int) {
	if s.down[i] || len(s.down) == maxDown {
		return
	}
	s.down[i] = true
	s.pausedAt[i] = s.r.Now()
	s.r.Process(i).Pause()
}

// restore unpauses paused instances and restarts dead ones.
func (s *schedule) restore() {
	for i := range s.down {
		p := s.r.Process(i)
		if p.Alive() {
			s.r.History.AddIsolation(srhistory.Isolation{Instance: p.ID.Address, From: s.pausedAt[i], To: s.r.Now()})
			p.Unpause()
		} else {
			_, err := s.r.Start(i)
			assert.Check(s.t, err)
		}
		delete(s.down, i)
	}
}

// partition drops the messages of one instance to all others, or all messages
// between three instances and the rest. Those instances also lose the platform.
func (s *schedule) partition() {
	if s.partitioned != nil {
		return
	}
	i := s.r.intN(Instances)
	s.partitionedAt = s.r.Now()
	if s.r.intN(2) == 0 {
		s.partitioned = []int{i}
		for j := range Instances {
			s.r.Cut(Address(i), Address(j))
		}
	} else {
		s.partitioned = []int{i, (i + 1) % Instances, (i + 2) % Instances}
		s.r.Partition(s.partitioned, []int{(i + 3) % Instances, (i + 4) % Instances, (i + 5) % Instances, (i + 6) % Instances})
	}
	cutPlatform(s.r, s.partitioned...)
}

func (s *schedule) heal() {
	for _, i := range s.partitioned {
		s.r.History.AddIsolation(srhistory.Isolation{Instance: Address(i), From: s.partitionedAt, To: s.r.Now()})
	}
	s.partitioned = nil
	s.r.Heal()
}

// togglePlatformOutage stops the platform or makes it stale, or ends both. Operators
// publish nothing meanwhile, nor in the second before it, so that every published
// manifest can reach the instances.
func (s *schedule) togglePlatformOutage(stale bool) {
	time.Sleep(time.Second)
	s.outage = !s.outage
	if !s.outage {
		s.r.Platform.SetStopped(false)
		s.r.Platform.SetStale(false)
		return
	}
	if stale {
		s.r.Platform.SetStale(true)
	} else {
		s.r.Platform.SetStopped(true)
	}
}

func (s *schedule) toggleDomainOut(domain string) {
	if s.outage {
		return
	}
	s.out[domain] = !s.out[domain]
	assert.Check(s.t, s.r.SetDomainOut(domain, s.out[domain]))
}

func (s *schedule) toggleEndpointLeaving(endpoint string) {
	if s.outage {
		return
	}
	s.leaving[endpoint] = !s.leaving[endpoint]
	assert.Check(s.t, s.r.SetEndpointLeaving(endpoint, s.leaving[endpoint]))
}

// endAll ends every failure and reverts every order.
func (s *schedule) endAll() {
	s.restore()
	s.heal()
	if s.outage {
		s.togglePlatformOutage(false)
	}
	for domain, out := range s.out {
		if out {
			s.toggleDomainOut(domain)
		}
	}
	for endpoint, leaving := range s.leaving {
		if leaving {
			s.toggleEndpointLeaving(endpoint)
		}
	}
	s.r.SetFaults(NoFaults)
	time.Sleep(settleTime)
}

// Failures of several kinds at once, and again while the first ones last, must not
// violate an invariant. Afterwards every instance must serve.
func TestFailuresTogetherAndTwiceBreakNoPromise(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		opts := Options{Seed: seed}
		if seed%2 == 0 {
			opts = coldOptions(seed)
		}
		runRig(t, opts, func(t *testing.T, r *Rig) {
			if seed%2 == 1 {
				r.SetFaults(r.RandomFaults(faultRarity))
			}
			s := newSchedule(t, r)
			underLoad(r, 3*Instances, func() {
				for range scheduleSteps {
					s.step()
				}
				s.endAll()
			})
			var wg sync.WaitGroup
			for i, body := range Bodies("after the failures", Instances) {
				wg.Go(func() {
					a := r.Submit(TopTierRequest(body), i)
					assert.Check(t, a.Outcome == sr.OutcomeComplete, a.Reason)
				})
			}
			wg.Wait()
		}, srhistory.NothingAfterTakeOut, srhistory.ManifestInForce)
	})
}
