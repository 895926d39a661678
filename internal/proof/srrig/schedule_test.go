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
	// scheduleSteps is the number of events of a schedule.
	scheduleSteps = 25
	// mostDown is the most instances that are dead or paused at once.
	mostDown = 3
	// faultsOneIn is how rare the faults of dispatches are.
	faultsOneIn = 8
)

// schedule is a random schedule of failures whose effects last until a later
// event ends them.
type schedule struct {
	t *testing.T
	r *Rig

	down   map[int]bool
	since  map[int]time.Duration
	part   []int
	split  time.Duration
	outage bool
	out    map[string]bool
	left   map[string]bool
}

func newSchedule(t *testing.T, r *Rig) *schedule {
	return &schedule{t: t, r: r, down: make(map[int]bool), since: make(map[int]time.Duration), out: make(map[string]bool), left: make(map[string]bool)}
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
		s.cut()
	case 5:
		s.heal()
	case 6:
		s.fail(s.r.intN(2) == 0)
	case 7:
		s.order(domains[s.r.intN(len(domains))])
	case 8:
		s.remove(fmt.Sprintf("runner%d", 1+s.r.intN(runners)))
	}
	time.Sleep(time.Duration(200+s.r.intN(3000)) * time.Millisecond)
}

func (s *schedule) kill(i int) {
	if s.down[i] || len(s.down) == mostDown {
		return
	}
	s.down[i] = true
	s.r.Process(i).Kill()
}

func (s *schedule) pause(i int) {
	if s.down[i] || len(s.down) == mostDown {
		return
	}
	s.down[i] = true
	s.since[i] = s.r.Now()
	s.r.Process(i).Pause()
}

// restore brings back what is down: a dead instance by a new run of it.
func (s *schedule) restore() {
	for i := range s.down {
		p := s.r.Process(i)
		if p.Alive() {
			s.r.History.AddDark(srhistory.Dark{Instance: p.ID.Address, From: s.since[i], To: s.r.Now()})
			p.Wake()
		} else {
			_, err := s.r.Start(i)
			assert.Check(s.t, err)
		}
		delete(s.down, i)
	}
}

// cut splits the instances, or stops messages in one direction only.
func (s *schedule) cut() {
	if s.part != nil {
		return
	}
	i := s.r.intN(Instances)
	s.split = s.r.Now()
	if s.r.intN(2) == 0 {
		s.part = []int{i}
		for j := range Instances {
			s.r.Cut(Address(i), Address(j))
		}
	} else {
		s.part = []int{i, (i + 1) % Instances, (i + 2) % Instances}
		s.r.Split(s.part, []int{(i + 3) % Instances, (i + 4) % Instances, (i + 5) % Instances, (i + 6) % Instances})
	}
	cutPlatform(s.r, s.part...)
}

func (s *schedule) heal() {
	for _, i := range s.part {
		s.r.History.AddDark(srhistory.Dark{Instance: Address(i), From: s.split, To: s.r.Now()})
	}
	s.part = nil
	s.r.Heal()
}

// fail stops the platform or makes it stale, or ends both. Operators publish
// nothing meanwhile, and nothing in the second before.
func (s *schedule) fail(stale bool) {
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

func (s *schedule) order(domain string) {
	if s.outage {
		return
	}
	s.out[domain] = !s.out[domain]
	assert.Check(s.t, s.r.TakeOut(domain, s.out[domain]))
}

func (s *schedule) remove(endpoint string) {
	if s.outage {
		return
	}
	s.left[endpoint] = !s.left[endpoint]
	assert.Check(s.t, s.r.Remove(endpoint, s.left[endpoint]))
}

// end ends every failure and takes back every order.
func (s *schedule) end() {
	s.restore()
	s.heal()
	if s.outage {
		s.fail(false)
	}
	for domain, out := range s.out {
		if out {
			s.order(domain)
		}
	}
	for endpoint, left := range s.left {
		if left {
			s.remove(endpoint)
		}
	}
	s.r.SetFaults(NoFaults)
	time.Sleep(settleTime)
}

func TestFailuresTogetherAndTwiceBreakNoPromise(t *testing.T) {
	t.Parallel()
	seeded(t, func(t *testing.T, seed uint64) {
		opts := Options{Seed: seed}
		if seed%2 == 0 {
			opts = coldOptions(seed)
		}
		run(t, opts, func(t *testing.T, r *Rig) {
			if seed%2 == 1 {
				r.SetFaults(r.SeededFaults(faultsOneIn))
			}
			s := newSchedule(t, r)
			underLoad(r, 3*Instances, func() {
				for range scheduleSteps {
					s.step()
				}
				s.end()
			})
			var wg sync.WaitGroup
			for i, body := range Bodies("after the failures", Instances) {
				wg.Go(func() {
					a := r.Ask(Question(body), i)
					assert.Check(t, a.Outcome == sr.OutcomeComplete, a.Reason)
				})
			}
			wg.Wait()
		}, srhistory.Out, srhistory.InForce)
	})
}
