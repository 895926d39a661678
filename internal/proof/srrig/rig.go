// Package srrig is a test rig that runs seven entry instances over a simulated
// network, with the stand-ins as endpoints and platform, and records a history of
// the run. It runs inside a testing/synctest bubble, in virtual time.
//
// The delays of messages are drawn from a seeded generator. Messages between any
// two addresses can be cut in one direction or both. A process can be paused,
// killed and replaced.
//
// # Usage
//
//	rig, err := srrig.New(srrig.Options{Seed: 1})
//	defer rig.Close()
//	err = rig.WaitReady()
//	result := rig.Submit(srrig.TopTierRequest("load 17"), 0, 1, 2)
//	err = rig.History.Check(srhistory.AtMostOnce)
package srrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

const (
	// Instances is the number of entry instances.
	Instances = 7
	// PlatformAddress is the address of the platform in Cut and Reconnect.
	PlatformAddress = "10.9.0.9:80"
	// The delay of a message is minDelay plus a random time below Options.Delay,
	// which is defaultDelaySpread by default.
	minDelay           = 200 * time.Microsecond
	defaultDelaySpread = 2 * time.Millisecond
	// readyTimeout bounds the time until all instances are ready.
	readyTimeout = time.Minute
	// settleTime is the time after which every pool has an owner that reaches a
	// majority of the instances.
	settleTime = 15 * time.Second
	// sampleInterval is the interval at which the manifests in force are recorded.
	sampleInterval = 250 * time.Millisecond
	// callerCloseTimeout is how long a drained process waits until the connections
	// of its callers have ended.
	callerCloseTimeout = 5 * time.Second
	// goroutineExitTime is the time within which every goroutine of a rig ends after
	// its processes. synctest fails a test that leaves blocked goroutines.
	goroutineExitTime = 3 * time.Minute
)

var instanceDomains = [Instances]string{"brno-a", "brno-a", "brno-b", "brno-b", "praha-a", "praha-a", "praha-b"}

// Options configure a rig.
type Options struct {
	Seed uint64
	// Engine is the configuration of every engine; the zero value is
	// srengine.DefaultConfig.
	Engine srengine.Config
	// Service is the configuration of every plain service.
	Service srplainservice.Config
	// Faults returns the fault of each dispatch or call, given its body.
	Faults func(body string) Fault
	// Delay is the bound of the random delay that is added to minDelay.
	Delay time.Duration
	// Slots and Cold are the values of the model class in the manifest.
	Slots int
	Cold  int
}

// Rig holds seven instances, the network, the endpoints, the platform and the
// history of a run.
type Rig struct {
	Engines  *srengine.Fleet
	Services *srplainservice.Fleet
	Platform *srconfig.Store
	History  *srhistory.History

	opts   Options
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// processes are the latest processes of the instances.
	processes       [Instances]*Process
	cuts            map[link]bool
	lastIncarnation uint64
	faults          func(string) Fault
	manifest        manifest
}

// link is the connection from one address to another, in this direction only.
type link struct{ from, to string }

// New starts a rig: it publishes the manifest and starts the instances.
func New(opts Options) (*Rig, error) {
	opts = opts.withDefaults()
	r := &Rig{
		Engines:  srengine.NewFleet(nil),
		Services: srplainservice.NewFleet(nil),
		Platform: srconfig.New(srconfig.DefaultConfig()),
		History:  srhistory.New(),
		opts:     opts,
		began:    time.Now(),
		rng:      rand.New(rand.NewPCG(opts.Seed, 1)),
		cuts:     make(map[link]bool),
		faults:   opts.Faults,
		manifest: newManifest(opts),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for i, e := range r.manifest.modelEndpoints {
		r.Engines.Add(e.Address, srengine.New(opts.Engine, rand.New(rand.NewPCG(opts.Seed, uint64(i+2)))))
	}
	for _, e := range r.manifest.serviceEndpoints {
		r.Services.Add(e.Address, srplainservice.New(opts.Service))
	}
	if _, err := r.Publish(); err != nil {
		return nil, err
	}
	if err := r.PublishInstances(); err != nil {
		return nil, err
	}
	for i := range Instances {
		if _, err := r.Start(i); err != nil {
			return nil, err
		}
	}
	r.wg.Go(r.recordManifests)
	return r, nil
}

func (o Options) withDefaults() Options {
	if o.Engine.Slots == 0 {
		o.Engine = srengine.DefaultConfig()
	}
	if o.Service.Latency == 0 {
		o.Service = srplainservice.Config{Slots: 8, Latency: 20 * time.Millisecond}
	}
	if o.Faults == nil {
		o.Faults = NoFaults
	}
	if o.Delay == 0 {
		o.Delay = defaultDelaySpread
	}
	if o.Slots == 0 {
		o.Slots = o.Engine.Slots
	}
	if o.Cold == 0 {
		o.Cold = o.Slots
	}
	return o
}

// Address returns the address of instance i.
func Address(i int) string { return fmt.Sprintf("10.0.0.%d:7300", i+1) }

// Now returns the time since the start of the rig.
func (r *Rig) Now() time.Duration { return time.Since(r.began) }

// Start starts a new process of instance i.
func (r *Rig) Start(i int) (*Process, error) {
	p, err := r.newProcess(i)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes[i] = p
	r.mu.Unlock()
	r.wg.Go(p.run)
	return p, nil
}

// Process returns the latest process of instance i.
func (r *Rig) Process(i int) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// ProcessAt returns the latest process at an address, nil when there was none.
func (r *Rig) ProcessAt(address string) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if p != nil && p.ID.Address == address {
			return p
		}
	}
	return nil
}

// WaitReady waits until every running instance is ready and the pools have owners.
func (r *Rig) WaitReady() error {
	for limit := r.Now() + readyTimeout; ; time.Sleep(sampleInterval) {
		reason := r.notReady()
		if reason == "" {
			break
		}
		if r.Now() > limit {
			return errors.Errorf("srrig: not ready: %s", reason)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// notReady returns the reason why a running instance is not ready, or "" when all
// of them are.
func (r *Rig) notReady() string {
	for i := range Instances {
		if p := r.Process(i); p.Alive() {
			if ready, reason := p.Instance.Ready(); !ready {
				return p.ID.Address + " " + reason
			}
		}
	}
	return ""
}

// Cut drops messages from one address to another.
func (r *Rig) Cut(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[link{from, to}] = true
}

// Reconnect ends a Cut.
func (r *Rig) Reconnect(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cuts, link{from, to})
}

// Partition drops all messages between two groups of instances.
func (r *Rig) Partition(group, others []int) {
	for _, i := range group {
		for _, j := range others {
			r.Cut(Address(i), Address(j))
			r.Cut(Address(j), Address(i))
		}
	}
}

// Heal ends every Cut and Partition.
func (r *Rig) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
}

// PublishInstances publishes the list of all instances.
func (r *Rig) PublishInstances() error {
	var list []sr.Instance
	for i := range Instances {
		list = append(list, sr.Instance{Address: Address(i), Domain: instanceDomains[i]})
	}
	return r.Platform.SetInstances(list)
}

// Finish records the crashes of cold endpoints and returns the history.
func (r *Rig) Finish() *srhistory.History {
	for _, e := range r.manifest.modelEndpoints {
		r.History.AddColdCrashes(srhistory.ColdCrashCount{Endpoint: e.Name, Count: r.Engines.Engine(e.Address).ColdCrashes()})
	}
	return r.History
}

// Close kills every process and waits until their goroutines have ended.
func (r *Rig) Close() {
	r.cancel()
	for i := range Instances {
		if p := r.Process(i); p != nil {
			p.Unpause()
		}
	}
	r.wg.Wait()
	time.Sleep(goroutineExitTime)
}

// recordManifests samples the manifests in force at instances that have been ready,
// until the rig is closed.
func (r *Rig) recordManifests() {
	ready := make(map[sr.InstanceID]bool)
	for r.ctx.Err() == nil {
		for i := range Instances {
			p := r.Process(i)
			isReady, _ := p.Instance.Ready()
			ready[p.ID] = ready[p.ID] || isReady
			if m, ok := p.Instance.Current(); ok && p.Alive() && ready[p.ID] {
				r.History.AddManifestSample(srhistory.ManifestSample{At: r.Now(), Instance: p.ID, Version: m.Version})
			}
		}
		select {
		case <-time.After(sampleInterval):
		case <-r.ctx.Done():
		}
	}
}

// transmit sleeps for the delay of a message and reports whether it is delivered.
func (r *Rig) transmit(from, to string) bool {
	r.mu.Lock()
	d := minDelay + time.Duration(r.rng.Int64N(int64(r.opts.Delay)))
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cuts[link{from, to}]
}

// SetFaults replaces Options.Faults for later dispatches and calls.
func (r *Rig) SetFaults(f func(body string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Rig) faultFor(body string) Fault {
	r.mu.Lock()
	f := r.faults
	r.mu.Unlock()
	return f(body)
}

func (r *Rig) nextIncarnation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastIncarnation++
	return r.lastIncarnation
}

func (r *Rig) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
