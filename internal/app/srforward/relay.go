package srforward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srgossip"
)

// relay holds the records that the instances of a large fleet exchange.
type relay struct {
	mu    sync.Mutex
	table *srgossip.Table
	// state is the last published one.
	state sr.MemberState
}

func newRelay(self sr.InstanceID, domain string) *relay {
	return &relay{table: srgossip.New(srgossip.Options{Self: self, Domain: domain})}
}

func (r *relay) message(now time.Time, address string) *sr.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.table.Message(now, address)
	return &m
}

func (r *relay) due(now time.Time, members []srgossip.Member) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Due(now, members)
}

func (r *relay) answered(address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Answered(time.Now(), address, ok)
}

func (r *relay) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Sweep(now)
}

// publish brings the record of this instance up to date.
func (n *Instance) publish(now time.Time) {
	extent := n.view.Extent()
	state := sr.MemberState{
		ID: n.Self, Domain: n.Settings.Domain, Power: n.Settings.Power,
		Joining: !n.hasJoined(), Leaving: n.draining.Load(), Final: n.refusing.Load(),
		Position: extent.Position, Prior: extent.Prior,
	}
	r := n.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if former := r.state.Position; former.Era == state.Position.Era && former.Revision > 0 {
		// Each change of the configuration would be a change of all records. Instances learn of
		// later revisions from their peers.
		state.Position = former
	}
	if !r.table.Publishes(now, state) {
		return
	}
	r.state = state
	own := srgossip.Own{State: state, Spent: n.limits.spent(), Crashes: n.crashes.report(now)}
	if r.table.Size() <= maxLoadFleet {
		own.Load.Running, own.Load.Pending = n.queues.load()
	}
	r.table.Publish(now, own)
}

// due returns the addresses with which to start an exchange now.
func (n *Instance) due(now time.Time, confirm bool) []string {
	out := n.members.due(now, confirm)
	if peers := n.members.peers(now); peers != nil {
		out = append(out, n.relay.due(now, peers)...)
	}
	return out
}

// send sends this instance's gossip to a member and returns its gossip. A member that may be of an
// earlier version gets both the usage and the records.
func (n *Instance) send(ctx context.Context, address string) (sr.Gossip, error) {
	relays, unsure := n.members.relaysTo(address)
	g := n.localGossip(relays && !unsure)
	if relays {
		g.Relay = n.relay.message(time.Now(), address)
	}
	if relays && !unsure {
		return n.Fleet.FleetPeer(address).Exchange(ctx, g)
	}
	return n.Fleet.FleetPeer(address).Gossip(ctx, g)
}

// receiveRecords applies the records that another instance passes on.
func (n *Instance) receiveRecords(now time.Time, from sr.InstanceID, m sr.Relay) error {
	n.relay.mu.Lock()
	defer n.relay.mu.Unlock()
	updates, err := n.relay.table.Receive(now, from, m)
	if err != nil {
		return err
	}
	for _, u := range updates {
		g := gossipOf(u.State)
		g.Usage.Running, g.Usage.Pending, g.Crashes = u.Load.Running, u.Load.Pending, u.Crashes
		applied, changed := n.members.receiveRecord(now, u.Age, g)
		if !applied {
			continue
		}
		if changed {
			n.Log.State("member", srlog.Peer, g.From.Address, srlog.Domain, g.Domain, srlog.State, choose(g.Leaving, "leaving", "heard"),
				srlog.Fleet, n.members.fleetSize(now), srlog.Source, from.Address)
		}
		n.limits.receive(now, g.From, g.Final, u.Spent)
		if len(u.Crashes.Crashes)+len(u.Crashes.Sound) > 0 {
			n.logSuspects(n.crashes.receive(now, u.Crashes), g.From.Address)
		}
	}
	return nil
}

// gossipOf returns the message that an instance with a state would send.
func gossipOf(s sr.MemberState) sr.Gossip {
	return sr.Gossip{
		From: s.ID, Domain: s.Domain, Power: s.Power, Joining: s.Joining, Leaving: s.Leaving, Final: s.Final,
		AsOf: s.Position.Revision, Era: s.Position.Era, Prior: s.Prior, Relays: true,
	}
}

// checkRelay returns ErrInvalid if a record could not be applied as gossip of its instance.
func checkRelay(m sr.Relay) error {
	for _, r := range m.Records {
		if r.Age < 0 || r.Age > maxAge {
			return errors.Wrap(sr.ErrInvalid, "age of a record")
		}
		g := sr.Gossip{From: sr.InstanceID{Address: "unstated"}}
		if r.State != nil {
			g = gossipOf(*r.State)
		}
		g.Usage.Spent = r.Spent
		if r.Load != nil {
			g.Usage.Running, g.Usage.Pending = r.Load.Running, r.Load.Pending
		}
		if r.Crashes != nil {
			g.Crashes = *r.Crashes
		}
		if err := checkGossip(g); err != nil {
			return err
		}
	}
	return nil
}
