package srinstance

import (
	"context"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	gossipMethod = "Gossip"
	pullMethod   = "Pull"
)

// NewFleetServer returns a Server that passes the calls of other forwarding
// instances to h.
func NewFleetServer(ctx context.Context, h sr.FleetHandler) (*Server, error) {
	return newServer(&fleetMethods{ctx: ctx, handler: h})
}

// FleetPeer returns a client of the forwarding instance at address.
func (p *Peers) FleetPeer(address string) sr.FleetHandler { return p.client(address) }

func (c *client) Gossip(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	return call[sr.Gossip, sr.Gossip](ctx, c, gossipMethod, g)
}

func (c *client) Pull(ctx context.Context, after uint64) (sr.Changes, error) {
	return call[uint64, sr.Changes](ctx, c, pullMethod, after)
}

// fleetMethods adapts an sr.FleetHandler to the method signature of net/rpc.
type fleetMethods struct {
	ctx     context.Context
	handler sr.FleetHandler
}

// Gossip handles a gossip message and returns this instance's own.
func (m *fleetMethods) Gossip(args Args[sr.Gossip], reply *Reply[sr.Gossip]) error {
	return serveCall(m.ctx, args, reply, m.handler.Gossip)
}

// Pull returns the registry entries that changed after a revision, all entries for 0.
func (m *fleetMethods) Pull(args Args[uint64], reply *Reply[sr.Changes]) error {
	return serveCall(m.ctx, args, reply, m.handler.Pull)
}
