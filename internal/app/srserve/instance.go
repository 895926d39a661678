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
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

const (
	// rejectedInterval is the interval at which rejected manifests are counted and
	// logged.
	rejectedInterval = time.Second
	// sweepInterval is the interval at which expired records are dropped.
	sweepInterval = time.Second
	// shutdownDelay is how long an instance that shuts down still accepts requests,
	// since the load balancer learns of the shutdown with a delay.
	shutdownDelay = 2 * time.Second
	// drainPollInterval is the interval at which a shutdown checks for remaining
	// callers and pools.
	drainPollInterval = 50 * time.Millisecond
	// streamNameBytes is the length of a stream name in bytes before it is encoded.
	streamNameBytes = 16
)

// Deps are the dependencies of an Instance.
type Deps struct {
	Settings srsettings.Settings
	Self     sr.InstanceID
	Engine   sr.Engine
	Service  sr.Service
	Platform sr.Platform
	// Peers reaches the other instances. Calls of an instance to itself do not use it.
	Peers sr.Peers
	// Random is the source of the issuer's MAC key and of the stream names.
	Random io.Reader
	// Seed seeds the random generators of the policies.
	Seed    uint64
	Log     logr.Logger
	Metrics metrics.Registry
}

// Instance is an entry instance without its sockets. It implements sr.Handler.
type Instance struct {
	deps   Deps
	store  *srmanifest.Store
	reader *srmanifest.Reader
	entry  *srentry.Entry
	owners *srowner.Owners
	fleet  *srfleet.Fleet
	record *srtrace.Log
	// remote reaches the other instances; deps.Peers also reaches this one.
	remote sr.Peers

	// newerManifests passes a peer with a newer manifest to fetchManifests.
	newerManifests chan manifestSource
	leaving        atomic.Bool
	// seeds counts the seeds that nextSeed has returned.
	seeds   atomic.Uint64
	started time.Time
}

// manifestSource is the address of a peer that has a newer manifest, and its version.
type manifestSource struct {
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
		deps:           deps,
		store:          srmanifest.New(),
		record:         srtrace.New(deps.Settings.Records),
		newerManifests: make(chan manifestSource, 1),
		started:        time.Now(),
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

// Run runs the background tasks of the instance until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { i.reader.Run(ctx) })
	wg.Go(func() { i.applyManifests(ctx) })
	wg.Go(func() { i.fetchManifests(ctx) })
	wg.Go(func() { i.sweep(ctx) })
	wg.Go(func() { i.reportRejected(ctx) })
	wg.Go(func() { i.fleet.Run(ctx) })
	wg.Wait()
	i.owners.Close()
}

// Ready reports whether new requests should be sent to this instance, and if not,
// why.
func (i *Instance) Ready() (bool, string) {
	if i.leaving.Load() {
		return false, "the instance is shutting down"
	}
	if _, ok := i.store.Current(); !ok {
		return false, "no manifest was accepted yet"
	}
	if !i.fleet.ContactedAll() {
		return false, "the other instances have not answered yet"
	}
	if !i.store.CaughtUp(i.fleet.Versions()) {
		return false, "another instance has a newer manifest"
	}
	if !i.fleet.AllTargetsOwned() {
		return false, "no pool of some target has an owner yet"
	}
	return true, ""
}

// Drain shuts the instance down without cutting a request: it hands its pools over,
// refuses new requests after a while and waits for the accepted ones to end. It
// returns the error of ctx if that ends first.
func (i *Instance) Drain(ctx context.Context) error {
	i.leaving.Store(true)
	i.deps.Log.Info("shutting down")
	i.fleet.Leave()
	if err := srtimer.Wait(ctx, shutdownDelay); err != nil {
		return err
	}
	i.entry.Drain()
	if err := i.entry.Wait(ctx); err != nil {
		return err
	}
	return i.waitForHandover(ctx)
}

// RequestsInFlight returns the number of waiting and of sent requests, which an
// immediate stop would cut.
func (i *Instance) RequestsInFlight() (waiting, sent int) {
	c := i.entry.Count()
	return c.Waiting, c.Sent
}

// waitForHandover waits until the callers have read their answers and the pools are
// handed over. It waits for the pools for at most two lapses, because there may be no
// instance to take them.
func (i *Instance) waitForHandover(ctx context.Context) error {
	limit := time.Now().Add(2 * i.deps.Settings.Lapse)
	for i.entry.Callers() > 0 || i.entry.Count().Readers > 0 || len(i.owners.Owned()) > 0 && time.Now().Before(limit) {
		if err := srtimer.Wait(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// applyManifests applies each accepted manifest until ctx ends.
func (i *Instance) applyManifests(ctx context.Context) {
	manifests, cancel := i.store.Subscribe()
	defer cancel()
	for {
		select {
		case m := <-manifests:
			i.count("manifests")
			i.deps.Log.Info("manifest accepted", "version", m.Version.Number)
			i.owners.Configure(m)
			i.fleet.TriggerRound()
		case <-ctx.Done():
			return
		}
	}
}

// fetchManifests fetches manifests from peers that have a newer one until ctx ends.
func (i *Instance) fetchManifests(ctx context.Context) {
	for {
		select {
		case source := <-i.newerManifests:
			if _, err := i.store.Follow(ctx, i.deps.Peers.Peer(source.address), source.version); err != nil {
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

// reportRejected counts and logs the manifests that are rejected until ctx ends.
func (i *Instance) reportRejected(ctx context.Context) {
	var seen srmanifest.Counts
	problem := ""
	for srtimer.Wait(ctx, rejectedInterval) == nil {
		c := i.store.Counts()
		metrics.GetOrRegisterCounter("manifests.invalid", i.deps.Metrics).Inc(c.Invalid - seen.Invalid)
		metrics.GetOrRegisterCounter("manifests.conflicting", i.deps.Metrics).Inc(c.Conflicts - seen.Conflicts)
		seen = c
		if text := i.dumpManifest().Problem; text != problem {
			problem = text
			i.deps.Log.Info("manifest rejected", "problem", problem)
		}
	}
}

func (i *Instance) newOwners() *srowner.Owners {
	return srowner.New(srowner.Deps{
		Self:          i.deps.Self,
		Engine:        i.deps.Engine,
		Service:       i.deps.Service,
		Peers:         i.deps.Peers,
		NewPool:       i.newPool,
		Mode:          func(pool sr.PoolID) sr.PoolMode { return i.fleet.Mode(pool) },
		AnnounceFloor: func(target string, t sr.Tier) { i.fleet.AnnounceFloor(target, t) },
		PollInterval:  i.deps.Settings.Poll,
		Metrics:       i.deps.Metrics,
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
		Floors:          srtier.New(i.deps.Self, s.Lapse),
		Store:           i.store,
		Owners:          i.owners,
		Peers:           i.deps.Peers,
		Platform:        i.deps.Platform,
		HeldLeases:      func(pools []sr.PoolSummary) []sr.HeldPool { return i.entry.HeldLeases(pools) },
		OnNewerManifest: i.requestManifest,
		KeepPeers:       i.keepPeers,
		Heartbeat:       s.Heartbeat,
		Lapse:           s.Lapse,
		Log:             i.deps.Log,
		Metrics:         i.deps.Metrics,
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

// keepPeers allows the peers' client, if it can, to close the connections to instances
// that are not among addresses.
func (i *Instance) keepPeers(addresses []string) {
	if k, ok := i.remote.(interface{ CloseIdleExcept(addresses []string) }); ok {
		k.CloseIdleExcept(addresses)
	}
}

// requestManifest requests a fetch of a newer manifest. It does nothing if a request is
// already queued; a later heartbeat repeats this one if it is still needed.
func (i *Instance) requestManifest(address string, v sr.Version) {
	select {
	case i.newerManifests <- manifestSource{address: address, version: v}:
	default:
	}
}

func (i *Instance) nextSeed() uint64 { return i.deps.Seed + i.seeds.Add(1) }

func (i *Instance) count(name string) {
	metrics.GetOrRegisterCounter(name, i.deps.Metrics).Inc(1)
}
