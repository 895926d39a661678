// Package srforward runs a forwarding instance: it takes the clients' HTTP
// requests, decides by the operators' routing which endpoint runs each of them
// and when, and passes the answer back byte for byte.
//
// # Usage
//
//	p, err := srforward.New(cfg, srforward.Options{Wire: wire, Registry: open, Reload: load, Log: log})
//	err = p.Run(ctx, signals)
//
// The instance that reads a request owns it for its whole life. After the first
// byte went out to an endpoint, a request that may run once is sent again only
// when the endpoint itself says that it has not run it.
//
// Decisions stand in internal/policy (srdispatch, srshare, srbudget) and
// internal/state/srview; this package carries them out.
package srforward

import (
	"sync/atomic"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srclock"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// Fleet reaches the other instances.
type Fleet interface {
	Fleet(address string) sr.FleetHandler
	Keep(addresses []string)
}

// Deps are what an Instance is made of.
type Deps struct {
	Settings srsite.Settings
	Self     sr.InstanceID
	Wire     sr.Wire
	Registry sr.Registry
	Fleet    Fleet
	Upstream *srupstream.Pool
	Clock    srclock.Clock
	Seed     uint64
	Log      *srlog.Log
}

// Instance is a forwarding instance without its sockets.
type Instance struct {
	Deps
	view    *srview.View
	members *members
	limits  *limits
	queues  *queues
	figures *figures
	memory  *memory
	random  *random
	// patience belongs to the clients.
	patience *patience
	// running counts the clients' requests under way.
	running atomic.Int64
	// draining is set from the stop signal on, refusing a little later.
	draining atomic.Bool
	refusing atomic.Bool
}

// bodyPart is the part of the process's memory that request bodies may take.
const bodyPart = 0.25

// NewInstance returns an Instance that knows nothing yet.
func NewInstance(d Deps) *Instance {
	n := &Instance{
		Deps: d,
		view: srview.New(srview.Options{
			Outage: d.Settings.Outage(),
			Return: lapseReturn,
		}),
		members:  newMembers(d.Self, d.Settings.Domain, d.Settings.Seeds),
		figures:  newFigures(),
		memory:   newMemory(int64(float64(d.Settings.Memory) * bodyPart * (1 << 20))),
		random:   newRandom(d.Seed),
		patience: newPatience(),
	}
	n.limits = newLimits(d.Settings)
	n.queues = newQueues(d.Seed, d.Settings.Domain, d.Log)
	return n
}

// Ready reports whether the balancer should send new connections.
func (n *Instance) Ready() bool {
	if n.draining.Load() || n.view.State().Routing == nil {
		return false
	}
	return n.proved()
}

// proved reports whether keys may be served: the view is known to be younger
// than the bound for removed keys, less a margin for the time until the check.
func (n *Instance) proved() bool {
	bound := n.Settings.Revoke
	return bound == 0 || n.view.Age(n.Clock()) < bound-bound/revokeMargin
}

// fresh reports whether an unknown route or key can be told from one that was
// added a moment ago.
func (n *Instance) fresh() bool {
	return n.view.Age(n.Clock()) < max(n.Settings.Config, leastFresh)
}
