package srforward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

var _ sr.FleetHandler = (*Instance)(nil)

// Gossip implements sr.FleetHandler.
func (n *Instance) Gossip(_ context.Context, g sr.Gossip) (sr.Gossip, error) {
	if err := n.receive(g); err != nil {
		return sr.Gossip{}, err
	}
	answer := n.localGossip(g.Relay != nil)
	if g.Relay != nil {
		answer.Relay = n.relay.message(time.Now(), g.From.Address)
	}
	if g.Era == 0 && answer.Era > 0 && g.AsOf > answer.AsOf {
		// An instance of an earlier version compares revisions alone. Its view may be from
		// before a restore of the registry, so this answer must not confirm it.
		answer.Age = srview.UnconfirmedAge
	}
	return answer, nil
}

// Exchange implements sr.FleetHandler.
func (n *Instance) Exchange(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	if g.Relay == nil {
		return sr.Gossip{}, errors.Wrap(sr.ErrInvalid, "exchange without records")
	}
	return n.Gossip(ctx, g)
}

// localGossip returns the state that this instance sends to the others. The usage is left out
// between instances that exchange records.
func (n *Instance) localGossip(relayed bool) sr.Gossip {
	now := time.Now()
	g := sr.Gossip{
		From:    n.Self,
		Domain:  n.Settings.Domain,
		Leaving: n.draining.Load(),
		Final:   n.refusing.Load(),
		Joining: !n.hasJoined(),
		Crashes: n.crashes.report(now),
		Power:   n.Settings.Power,
		Relays:  true,
	}
	if !relayed {
		g.Known = n.members.knownIDs(now)
		g.Usage.Spent = n.limits.spent()
		g.Usage.Running, g.Usage.Pending = n.queues.load()
	}
	position, age := n.view.AsOf(n.Clock())
	g.AsOf, g.Era, g.Age = position.Revision, position.Era, age
	prior := n.view.Extent().Prior
	if n.view.Carries() {
		g.Prior = prior
	} else {
		g.Settled = prior
	}
	return g
}

// receive applies the gossip of another instance. It returns ErrInvalid, and applies nothing,
// if it is malformed, and ErrOverloaded if there is no room for it.
func (n *Instance) receive(g sr.Gossip) error {
	now := time.Now()
	err := checkGossip(g)
	if err == nil && g.Relay != nil {
		err = checkRelay(*g.Relay)
	}
	changed := false
	if err == nil {
		changed, err = n.members.receive(now, g)
	}
	if err != nil {
		n.stats.count("fleet.invalid")
		n.Log.Failed("gossip-invalid", srlog.Peer, g.From.Address[:min(len(g.From.Address), maxAddress)], srlog.Error, err.Error())
		return err
	}
	if changed {
		n.Log.State("member", srlog.Peer, g.From.Address, srlog.Domain, g.Domain, srlog.State, choose(g.Leaving, "leaving", "heard"), srlog.Fleet, n.members.fleetSize(now))
	}
	if g.Relay != nil {
		if err := n.receiveRecords(now, g.From, *g.Relay); err != nil {
			return err
		}
	} else {
		n.limits.receive(now, g.From, g.Final, func(workspace string) float64 { return g.Usage.Spent[workspace] })
	}
	switch {
	case !g.Leaving:
		n.logSuspects(n.crashes.receive(now, g.Crashes), g.From.Address)
	case changed:
		// Its groups get other coordinators.
		n.configure()
	}
	if !g.Leaving && !g.Joining {
		n.reportUpdate(srview.Update{Facts: n.view.Settle(n.Clock(), extentOf(g).Position, g.Settled)}, g.From.Address)
	}
	if n.view.Extent().Lacks(extentOf(g)) {
		n.transfers.request(now)
	}
	return nil
}

// updateFleet logs the members that fell silent and passes the number of sharers on
// to the limits, of which this instance has a share.
func (n *Instance) updateFleet(now time.Time) {
	size := n.members.fleetSize(now)
	for _, l := range n.members.newlySilent(now) {
		n.Log.State("member", srlog.Peer, l.id.Address, srlog.State, "silent", srlog.Age, l.age, srlog.Fleet, size)
	}
	sharers := n.members.limitSharers(now)
	if n.limits.setFleet(now, sharers, n.members.silenceTimeout()) {
		n.Log.State("fleet", srlog.Fleet, sharers)
	}
}

// gossip exchanges state with the other instances until ctx ends.
func (n *Instance) gossip(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for srtimer.Wait(ctx, gossipTick) == nil {
		now := time.Now()
		confirm := n.view.Age(n.Clock()) > n.Settings.QueryAfter()/2
		n.publish(now)
		for _, address := range n.due(now, confirm) {
			// A failure has been counted.
			wg.Go(func() { _ = n.exchange(ctx, address) })
		}
		n.updateFleet(now)
		n.queues.setPeerLoad(n.members.load(now))
	}
}

// exchange sends this instance's gossip to another one and receives its gossip. The
// answer confirms the view if the other instance has no newer revision; a newer one is
// pulled apart from the exchange (fetch.go).
func (n *Instance) exchange(ctx context.Context, address string) (err error) {
	defer n.recoverPanic("exchange", &err)
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	requestedAt := n.Clock()
	g, err := n.send(ctx, address)
	n.relay.answered(address, err == nil)
	if err != nil {
		n.members.recordFailure(address)
		n.stats.count("fleet.failed")
		return err
	}
	if err := n.receive(g); err != nil || g.Leaving {
		return err
	}
	n.view.Confirm(requestedAt, extentOf(g).Position, g.Age)
	return nil
}

// extentOf returns what the sender's view includes.
func extentOf(g sr.Gossip) sr.Extent {
	return sr.Extent{Position: sr.Position{Era: g.Era, Revision: g.AsOf}, Prior: g.Prior}
}

// announceLeaving notifies the members that this instance shuts down, or spends no more.
func (n *Instance) announceLeaving(ctx context.Context) {
	var wg sync.WaitGroup
	g := n.localGossip(false)
	for _, address := range n.members.alive(time.Now()) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			if _, err := n.Fleet.FleetPeer(address).Gossip(ctx, g); err != nil {
				n.stats.count("fleet.failed")
			}
		})
	}
	wg.Wait()
}
