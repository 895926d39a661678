// Package srserve assembles an entry instance from its parts and runs it as a
// process.
//
// An Instance has no sockets: it takes the endpoints, the platform and the
// other instances as interfaces, so tests drive it in virtual time. A Process
// adds the clients, the listeners and the shutdown.
//
// # Usage
//
//	p, err := srserve.New(settings, log)
//	err = p.Run(ctx, signals)
package srserve

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srentry"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srfleet"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srowner"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srtier"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrecord"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// rejectedInterval is the interval at which rejected manifests are looked for.
	rejectedInterval = time.Second
	// sweepInterval is the interval at which old records are dropped.
	sweepInterval = time.Second
	// linger is how long a leaving instance still accepts requests, since the
	// balancer learns late that it leaves.
	linger = 2 * time.Second
	// drainPoll is the interval at which a shutdown looks at what is left.
	drainPoll = 50 * time.Millisecond
	// streamNameBytes is the length of a stream name before its encoding.
	streamNameBytes = 16
)

// Deps are what an instance works with.
type Deps struct {
	Settings srsettings.Settings
	Self     sr.InstanceID
	Engine   sr.Engine
	Service  sr.Service
	Platform sr.Platform
	// Peers reaches the other instances; calls to itself stay in the process.
	Peers sr.Peers
	// Random is the source of keys and stream names.
	Random io.Reader
	// Seed starts the generators of the policies.
	Seed    uint64
	Log     logr.Logger
	Metrics metrics.Registry
}

// Instance is one entry instance without its sockets. It implements sr.Handler.
type Instance struct {
	deps   Deps
	store  *srmanifest.Store
	reader *srmanifest.Reader
	entry  *srentry.Entry
	owners *srowner.Owners
	fleet  *srfleet.Fleet
	record *srrecord.Log
	// remote reaches the other instances, without this one.
	remote sr.Peers

	behind  chan newerManifest
	leaving atomic.Bool
	seeds   atomic.Uint64
	started time.Time
}

// newerManifest names a peer that has a newer manifest.
type newerManifest struct {
	address string
	version sr.Version
}

// NewInstance returns an Instance that does nothing until Run.
func NewInstance(deps Deps) (*Instance, error) {
	issuer, err := srticket.New(deps.Self, deps.Settings.Ticket, deps.Random, time.Now())
	if err != nil {
		return nil, errors.Wrap(err, "srserve")
	}
	i := &Instance{
		deps:    deps,
		store:   srmanifest.New(),
		record:  srrecord.New(deps.Settings.Records),
		behind:  make(chan newerManifest, 1),
		started: time.Now(),
	}
	i.remote = deps.Peers
	i.deps.Peers = localPeers{self: deps.Self.Address, local: i, remote: deps.Peers}
	i.reader = srmanifest.NewReader(deps.Platform, i.store, srmanifest.ReaderOptions{
		Root:    deps.Settings.Root,
		Watches: func() bool { return i.fleet.Watches(deps.Settings.Readers) },
	})
	i.owners = i.newOwners()
	i.fleet = i.newFleet()
	i.entry = i.newEntry(issuer)
	return i, nil
}

// Entry returns the issuer.
func (i *Instance) Entry() *srentry.Entry { return i.entry }

// Current returns the manifest in force.
func (i *Instance) Current() (sr.Manifest, bool) { return i.store.Current() }

// Run runs the instance's duties until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { i.reader.Run(ctx) })
	wg.Go(func() { i.followManifest(ctx) })
	wg.Go(func() { i.fetchNewer(ctx) })
	wg.Go(func() { i.sweep(ctx) })
	wg.Go(func() { i.watchRejected(ctx) })
	wg.Go(func() { i.fleet.Run(ctx) })
	wg.Wait()
	i.owners.Close()
}

// Ready reports whether new requests should be sent here, and why not.
func (i *Instance) Ready() (bool, string) {
	if i.leaving.Load() {
		return false, "the instance is shutting down"
	}
	if _, ok := i.store.Current(); !ok {
		return false, "no manifest was accepted yet"
	}
	if !i.fleet.Greeted() {
		return false, "the other instances have not answered yet"
	}
	if !i.store.CaughtUp(i.fleet.Versions()) {
		return false, "another instance has a newer manifest"
	}
	if !i.fleet.Served() {
		return false, "no pool of some target has an owner yet"
	}
	return true, ""
}

// Drain shuts the instance down without cutting a request: it hands its pools
// over, refuses new requests after a while and waits for the others to end.
func (i *Instance) Drain(ctx context.Context) error {
	i.leaving.Store(true)
	i.deps.Log.Info("shutting down")
	i.fleet.Leave()
	if err := srtimer.Wait(ctx, linger); err != nil {
		return err
	}
	i.entry.Drain()
	if err := i.entry.Wait(ctx); err != nil {
		return err
	}
	return i.waitForHandover(ctx)
}

// Left counts what a stop at once would cut.
func (i *Instance) Left() (waiting, sent int) {
	c := i.entry.Count()
	return c.Waiting, c.Sent
}

// waitForHandover waits until the pools are handed over and the callers have
// read their answers. Pools that nobody takes are given up after a while.
func (i *Instance) waitForHandover(ctx context.Context) error {
	limit := time.Now().Add(2 * i.deps.Settings.Lapse)
	for i.entry.Callers() > 0 || i.entry.Count().Readers > 0 || len(i.owners.Owned()) > 0 && time.Now().Before(limit) {
		if err := srtimer.Wait(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// followManifest applies each accepted manifest.
func (i *Instance) followManifest(ctx context.Context) {
	manifests, cancel := i.store.Subscribe()
	defer cancel()
	for {
		select {
		case m := <-manifests:
			i.count("manifests")
			i.deps.Log.Info("manifest accepted", "version", m.Version.Number)
			i.owners.Configure(m)
			i.fleet.Kick()
		case <-ctx.Done():
			return
		}
	}
}

// fetchNewer gets manifests from peers that have a newer one.
func (i *Instance) fetchNewer(ctx context.Context) {
	for {
		select {
		case b := <-i.behind:
			if _, err := i.store.Follow(ctx, i.deps.Peers.Peer(b.address), b.version); err != nil {
				i.count("manifests.fetch.failed")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instance) sweep(ctx context.Context) {
	for srtimer.Wait(ctx, sweepInterval) == nil {
		i.entry.Sweep(time.Now())
	}
}

// watchRejected counts and logs the manifests that are kept out.
func (i *Instance) watchRejected(ctx context.Context) {
	var seen srmanifest.Counts
	problem := ""
	for srtimer.Wait(ctx, rejectedInterval) == nil {
		c := i.store.Counts()
		metrics.GetOrRegisterCounter("manifests.invalid", i.deps.Metrics).Inc(c.Invalid - seen.Invalid)
		metrics.GetOrRegisterCounter("manifests.conflicting", i.deps.Metrics).Inc(c.Conflicts - seen.Conflicts)
		seen = c
		if text := i.dumpManifest().Problem; text != problem {
			problem = text
			i.deps.Log.Info("manifest kept out", "problem", problem)
		}
	}
}

func (i *Instance) newOwners() *srowner.Owners {
	return srowner.New(srowner.Deps{
		Self:     i.deps.Self,
		Engine:   i.deps.Engine,
		Service:  i.deps.Service,
		Peers:    i.deps.Peers,
		NewPool:  i.newPool,
		Mode:     func(pool sr.PoolID) sr.PoolMode { return i.fleet.Mode(pool) },
		Announce: func(target string, t sr.Tier) { i.fleet.Announce(target, t) },
		Poll:     i.deps.Settings.Poll,
		Metrics:  i.deps.Metrics,
	})
}

func (i *Instance) newFleet() *srfleet.Fleet {
	s := i.deps.Settings
	return srfleet.New(srfleet.Deps{
		Self: i.deps.Self,
		Members: srmember.New(i.deps.Self, s.Domain, srmember.Options{
			Seeds:     s.Seeds,
			Heartbeat: s.Heartbeat,
			Lapse:     s.Lapse,
			Lease:     s.Lease,
		}),
		Floors:    srtier.New(i.deps.Self, s.Lapse),
		Store:     i.store,
		Owners:    i.owners,
		Peers:     i.deps.Peers,
		Platform:  i.deps.Platform,
		Held:      func(pools []sr.PoolNews) []sr.HeldPool { return i.entry.Held(pools) },
		Behind:    i.noteBehind,
		Keep:      i.keepPeers,
		Heartbeat: s.Heartbeat,
		Lapse:     s.Lapse,
		Log:       i.deps.Log,
		Metrics:   i.deps.Metrics,
	})
}

func (i *Instance) newEntry(issuer *srticket.Issuer) *srentry.Entry {
	s := i.deps.Settings
	return srentry.New(srentry.Deps{
		Self:     i.deps.Self,
		Issuer:   issuer,
		Manifest: i.store.Current,
		Fleet:    i.fleet,
		Admitter: newAdmitter(sradmit.New(sradmit.Options{}), i.fleet),
		Picker:   srroute.NewPicker(srroute.PickerOptions{Seed: i.nextSeed()}),
		Engine:   i.deps.Engine,
		Service:  i.deps.Service,
		Peers:    i.deps.Peers,
		Stream:   newStreamNames(i.deps.Random),
		Record:   i.record,
		Limits: srentry.Limits{
			Requests: s.Tickets,
			Events:   s.Events,
			Batch:    s.Batch,
			Retain:   s.Retain,
		},
		Metrics: i.deps.Metrics,
	})
}

// keepPeers lets the connections go to instances that are gone.
func (i *Instance) keepPeers(addresses []string) {
	if k, ok := i.remote.(interface{ Keep(addresses []string) }); ok {
		k.Keep(addresses)
	}
}

// noteBehind asks for a newer manifest; one that is already asked for is enough.
func (i *Instance) noteBehind(address string, v sr.Version) {
	select {
	case i.behind <- newerManifest{address: address, version: v}:
	default:
	}
}

func (i *Instance) nextSeed() uint64 { return i.deps.Seed + i.seeds.Add(1) }

func (i *Instance) count(name string) {
	metrics.GetOrRegisterCounter(name, i.deps.Metrics).Inc(1)
}
