package srforward

import (
	"context"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

var _ sr.FleetHandler = (*Instance)(nil)

// Gossip implements sr.FleetHandler.
func (n *Instance) Gossip(_ context.Context, g sr.Gossip) (sr.Gossip, error) {
	n.hear(g)
	return n.news(), nil
}

// Pull implements sr.FleetHandler.
func (n *Instance) Pull(_ context.Context, after uint64) (sr.Changes, error) {
	return n.view.Since(after, n.Clock()), nil
}

// news is what this instance tells the others.
func (n *Instance) news() sr.Gossip {
	now := time.Now()
	g := sr.Gossip{
		From:    n.Self,
		Domain:  n.Settings.Domain,
		Leaving: n.draining.Load(),
		Known:   n.members.known(now),
		Usage: sr.Usage{
			Spent:   n.limits.spent(),
			Running: n.queues.running(),
		},
	}
	g.AsOf, g.Age = n.view.AsOf(n.Clock())
	return g
}

// hear takes another instance's news.
func (n *Instance) hear(g sr.Gossip) {
	now := time.Now()
	if n.members.hear(now, g) {
		n.Log.State("member", srlog.Peer, g.From.Address, srlog.Domain, g.Domain, srlog.State, stateOf(g.Leaving, "leaving", "heard"), srlog.Fleet, n.members.size(now))
	}
	if g.Leaving {
		n.limits.leave(now, g.From.Address)
		return
	}
	n.limits.hear(now, g)
}

// review takes note of who fell silent and of the size of the fleet, which sets
// this instance's part of the limits.
func (n *Instance) review(now time.Time) {
	size := n.members.size(now)
	for _, l := range n.members.lost(now) {
		n.Log.State("member", srlog.Peer, l.id.Address, srlog.State, "silent", srlog.Age, l.age, srlog.Fleet, size)
	}
	if n.limits.setFleet(now, size, n.members.silent()) {
		n.Log.State("fleet", srlog.Fleet, size)
	}
}

// gossip exchanges news until ctx ends.
func (n *Instance) gossip(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for srtimer.Wait(ctx, gossipTick) == nil {
		now := time.Now()
		proof := n.view.Age(n.Clock()) > n.Settings.AskAfter()/2
		for _, address := range n.members.due(now, proof) {
			wg.Go(func() { n.exchange(ctx, address) })
		}
		n.review(now)
		n.queues.peers(n.members.running(now))
	}
}

// exchange tells one instance the news and takes its own. An answer proves the
// view when the other instance knows nothing newer.
func (n *Instance) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTime)
	defer cancel()
	asked := n.Clock()
	g, err := n.Fleet.Fleet(address).Gossip(ctx, n.news())
	if err != nil {
		n.figures.count("fleet.failed")
		return
	}
	n.hear(g)
	if g.Leaving {
		return
	}
	if g.AsOf > n.view.Revision() {
		n.pull(ctx, address)
		return
	}
	n.view.Prove(asked, g.AsOf, g.Age)
}

// pull takes the registry's facts from another instance.
func (n *Instance) pull(ctx context.Context, address string) {
	asked := n.Clock()
	c, err := n.Fleet.Fleet(address).Pull(ctx, n.view.Revision())
	if err != nil {
		n.figures.count("fleet.failed")
		return
	}
	n.learn(asked, c, address)
}

// leave tells the members that this instance shuts down.
func (n *Instance) leave(ctx context.Context) {
	var wg sync.WaitGroup
	news := n.news()
	for _, address := range n.members.alive(time.Now()) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, gossipTime)
			defer cancel()
			if _, err := n.Fleet.Fleet(address).Gossip(ctx, news); err != nil {
				n.figures.count("fleet.failed")
			}
		})
	}
	wg.Wait()
}
