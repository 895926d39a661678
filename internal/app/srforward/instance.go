// Package srforward runs a forwarding instance: it accepts HTTP requests from
// clients, selects the endpoint and the time for each of them according to the
// operators' routing configuration, and returns the answer byte for byte.
//
// # Usage
//
//	p, err := srforward.New(cfg, srforward.Options{Codec: codec, Registry: open, Reload: load, Log: log})
//	err = p.Run(ctx, signals)
//
// The instance that reads a request owns it until it has ended. Once the first
// byte has been sent to an endpoint, a request that may run only once is retried
// only if the endpoint states that it has not run it.
//
// The decisions are made in internal/policy (srdispatch, srshare, srbudget,
// srsuspect) and
// internal/state/srview; this package carries them out.
package srforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srclock"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// Fleet provides connections to the other instances.
type Fleet interface {
	// FleetPeer returns the instance at an address.
	FleetPeer(address string) sr.FleetHandler
	// CloseIdleExcept closes the connections to other addresses that are no longer in use.
	CloseIdleExcept(addresses []string)
}

// Deps are the dependencies of an Instance.
type Deps struct {
	Settings srforwardsettings.Settings
	Self     sr.InstanceID
	Codec    sr.HeaderCodec
	Registry sr.Registry
	Fleet    Fleet
	Upstream *srupstream.Pool
	Clock    srclock.Clock
	Seed     uint64
	Log      *srlog.Log
}

// Instance is a forwarding instance without its listeners.
type Instance struct {
	Deps
	view           *srview.View
	members        *members
	relay          *relay
	limits         *limits
	queues         *queues
	coordinator    *coordinator
	holders        *holders
	division       *division
	stats          *stats
	outcomes       *outcomes
	memory         *srmemory.Budget
	random         *random
	clientTimeouts *clientTimeouts
	transfers      *transfers
	crashes        *crashWatch
	changes        *changes
	// configuring serializes configure, so that the queues never get an older state of the
	// view after a newer one.
	configuring sync.Mutex
	// draining is set at the stop signal. refusing is set later, once the balancer
	// has had time to notice, and makes the instance refuse new requests.
	draining atomic.Bool
	refusing atomic.Bool
	// ending ends when the grace time is nearly over. Requests that have not ended get their
	// final answers then.
	ending context.Context
	end    context.CancelFunc
	// closing is set before the connections of the clients are closed at the end.
	closing atomic.Bool
	// wasSuperseded is the last logged state of superseded.
	wasSuperseded atomic.Bool
	// startedAt is when the instance was created. joined is set once it may serve.
	startedAt time.Time
	joined    atomic.Bool
}

// memoryRatio is the fraction of the process's memory for what clients and endpoints send.
// Less than half of the heap, since the collector needs about as much again.
const memoryRatio = 0.25

// NewInstance returns an Instance without configuration and endpoints.
func NewInstance(d Deps) *Instance {
	n := &Instance{
		Deps: d,
		view: srview.New(srview.Options{
			Outage:       d.Settings.Outage(),
			RenewTimeout: registrationRecovery,
			LapseTimeout: d.Settings.Lapse(),
		}),
		members:        newMembers(d.Self, d.Settings.Domain, d.Settings.Seeds, int64(float64(d.Settings.Memory)*usageMemoryRatio*(1<<20))),
		relay:          newRelay(d.Self, d.Settings.Domain),
		stats:          newStats(),
		memory:         srmemory.NewFair(int64(float64(d.Settings.Memory) * memoryRatio * (1 << 20))),
		random:         newRandom(d.Seed),
		clientTimeouts: newClientTimeouts(),
		transfers:      newTransfers(),
		startedAt:      time.Now(),
	}
	n.outcomes = newOutcomes(n.stats)
	n.changes = &changes{startedAt: n.startedAt}
	n.ending, n.end = context.WithCancel(context.Background())
	n.crashes = newCrashWatch(func(part string) int { return n.members.rank(time.Now(), part) })
	n.limits = newLimits(d.Settings, n.members.limitSharers(n.startedAt))
	n.coordinator, n.holders = newCoordinator(n), newHolders(n)
	n.division = newDivision(d.Self.Address)
	n.queues = newQueues(d.Seed, d.Settings.Domain, d.Log)
	n.queues.holders = n.holders
	return n
}

// Ready reports whether the balancer should send new connections to this instance.
func (n *Instance) Ready() bool {
	if n.draining.Load() || n.view.State().Routing == nil {
		return false
	}
	return n.hasJoined() && n.keysCurrent() && !n.superseded()
}

// hasJoined reports whether the instance has learned from one that had joined what the registry
// may have lost before the instance started, or has waited long enough to know that none runs.
// Instances that start together know no more than the registry.
func (n *Instance) hasJoined() bool {
	if n.joined.Load() {
		return true
	}
	now := time.Now()
	extent, waited := n.view.Extent(), now.Sub(n.startedAt)
	heardJoined, lacking := n.members.lostEntries(now, extent)
	learned := extent.Position.Revision > 0 && heardJoined && !lacking
	if !learned && (heardJoined || waited < joinTimeout) {
		return false
	}
	if !n.joined.Swap(true) {
		n.Log.State("joined", srlog.Era, extent.Position.Era, srlog.Revision, extent.Position.Revision, srlog.Outcome, choose(learned, "learned", "timeout"), srlog.After, waited)
	}
	return true
}

// keysCurrent reports whether requests with keys may be served. A removed key may be
// accepted only for a limited time, so the view must have been confirmed within that
// time, less a margin for the time between this check and the first byte sent to the
// endpoint.
func (n *Instance) keysCurrent() bool {
	bound := n.Settings.RevokeTimeout
	return bound == 0 || n.view.Age(n.Clock()) < bound-bound/revokeMarginDivisor
}

// configCurrent reports whether the view is recent enough to reject an unknown
// route or key, which might otherwise have been added a moment ago.
func (n *Instance) configCurrent() bool {
	return n.view.Age(n.Clock()) < max(n.Settings.ConfigTimeout, minStaleAge)
}

const (
	// A view is superseded from the bound on its age, less that bound divided by
	// supersededMarginDivisor, if later entries have been known to exist for the bound
	// divided by supersededDelayDivisor. The delay leaves time to pull them, such as
	// after an outage of the registry, in which all views grow old.
	supersededMarginDivisor = 10
	supersededDelayDivisor  = 3
)

// superseded reports whether the view must no longer decide on requests: it is too old
// for the bounds on configurations and leaving endpoints, and another instance has a
// newer one. Without such an instance the registry is out of reach for all, and the view
// remains in use.
func (n *Instance) superseded() bool {
	bound := n.Settings.ViewBound()
	return bound > 0 && n.view.Age(n.Clock()) >= bound-bound/supersededMarginDivisor &&
		n.transfers.behindFor(time.Now()) >= bound/supersededDelayDivisor
}

// logSuperseded logs when the view becomes superseded, and when it is current again.
func (n *Instance) logSuperseded() {
	is := n.superseded()
	if n.wasSuperseded.Swap(is) == is {
		return
	}
	position, age := n.view.AsOf(n.Clock())
	_, newest := n.members.ahead(time.Now(), n.view.Extent(), n.random)
	n.Log.State(choose(is, "view-superseded", "view-current"), srlog.Era, position.Era, srlog.Revision, position.Revision,
		srlog.NewestEra, newest.Era, srlog.Newest, newest.Revision, srlog.Age, age,
		srlog.Behind, n.transfers.behindFor(time.Now()))
}
