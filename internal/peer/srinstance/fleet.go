package srinstance

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	gossipMethod      = "Gossip"
	exchangeMethod    = "Exchange"
	pullMethod        = "Pull"
	entriesMethod     = "Entries"
	sinceMethod       = "EntriesSince"
	routingPartMethod = "RoutingPart"
	reportMethod      = "ReportSlots"
	deliverMethod     = "DeliverSlots"
)

const (
	// maxListings is the maximum number of long listings that a server sends at once. With
	// few, each ends soon.
	maxListings = 4
	// longListing is the number of entries from which a listing is long. It has about 60 kB.
	longListing = 512
)

// NewFleetServer returns a Server that passes the calls of other forwarding
// instances to h.
func NewFleetServer(ctx context.Context, h sr.FleetHandler, l Limits) (*Server, error) {
	return newServer(&fleetMethods{ctx: ctx, handler: h, listings: make(chan struct{}, maxListings)}, l)
}

// Fleet holds the clients of the other forwarding instances. Registry entries are
// transferred over connections of their own: a gossip exchange that times out closes its
// connection, and must not wait behind a long transfer. So are the messages about slots, for
// which requests wait. It is safe for concurrent use.
type Fleet struct {
	exchanges *Peers
	transfers *Peers
	slots     *Peers
}

// NewFleet returns a Fleet that opens connections with dial, each within
// connectTimeout.
func NewFleet(dial DialFunc, connectTimeout time.Duration, l Limits) *Fleet {
	transfers := newPeers(dial, connectTimeout, l)
	l.Reply = l.Call
	return &Fleet{exchanges: newPeers(dial, connectTimeout, l), transfers: transfers, slots: newPeers(dial, connectTimeout, l)}
}

// FleetPeer returns a client of the forwarding instance at address.
func (f *Fleet) FleetPeer(address string) sr.FleetHandler {
	return fleetPeer{fleet: f, address: address}
}

// CloseIdleExcept closes the idle connections to all addresses that are not in
// addresses, and those of transfers and slots to any address.
func (f *Fleet) CloseIdleExcept(addresses []string) {
	f.exchanges.CloseIdleExcept(addresses)
	f.transfers.CloseIdleExcept(nil)
	f.slots.CloseIdleExcept(nil)
}

// Close closes every connection. Later calls fail.
func (f *Fleet) Close() {
	f.exchanges.Close()
	f.transfers.Close()
	f.slots.Close()
}

// fleetPeer is the client of one forwarding instance.
type fleetPeer struct {
	fleet   *Fleet
	address string
}

func (p fleetPeer) Gossip(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	return call[sr.Gossip, sr.Gossip](ctx, p.fleet.exchanges.client(p.address), gossipMethod, g)
}

func (p fleetPeer) Exchange(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	return call[sr.Gossip, sr.Gossip](ctx, p.fleet.exchanges.client(p.address), exchangeMethod, g)
}

func (p fleetPeer) Pull(ctx context.Context, after uint64) (sr.Changes, error) {
	return call[uint64, sr.Changes](ctx, p.fleet.transfers.client(p.address), pullMethod, after)
}

func (p fleetPeer) Entries(ctx context.Context, after uint64) (sr.Changes, error) {
	return call[uint64, sr.Changes](ctx, p.fleet.transfers.client(p.address), entriesMethod, after)
}

func (p fleetPeer) EntriesSince(ctx context.Context, after sr.Position) (sr.Changes, error) {
	return call[sr.Position, sr.Changes](ctx, p.fleet.transfers.client(p.address), sinceMethod, after)
}

func (p fleetPeer) RoutingPart(ctx context.Context, r sr.RoutingRequest) (sr.RoutingPart, error) {
	return call[sr.RoutingRequest, sr.RoutingPart](ctx, p.fleet.transfers.client(p.address), routingPartMethod, r)
}

func (p fleetPeer) ReportSlots(ctx context.Context, r sr.SlotReport) (sr.SlotReply, error) {
	return call[sr.SlotReport, sr.SlotReply](ctx, p.fleet.slots.client(p.address), reportMethod, r)
}

func (p fleetPeer) DeliverSlots(ctx context.Context, g sr.SlotGrants) error {
	_, err := call[sr.SlotGrants, None](ctx, p.fleet.slots.client(p.address), deliverMethod, g)
	return err
}

// fleetMethods adapts an sr.FleetHandler to the method signature of net/rpc.
type fleetMethods struct {
	ctx     context.Context
	handler sr.FleetHandler
	// listings holds a value for each long listing that is being sent.
	listings chan struct{}
}

// Gossip handles a gossip message and returns this instance's own.
func (m *fleetMethods) Gossip(args Args[sr.Gossip], reply *Reply[sr.Gossip]) error {
	return serveCall(m.ctx, args, reply, m.handler.Gossip)
}

// Exchange handles a gossip message between instances that exchange records.
func (m *fleetMethods) Exchange(args Args[sr.Gossip], reply *Reply[sr.Gossip]) error {
	return serveCall(m.ctx, args, reply, m.handler.Exchange)
}

// Pull returns the registry entries that changed after a revision, all entries for 0.
func (m *fleetMethods) Pull(args Args[uint64], reply *Reply[sr.Changes]) error {
	return m.list(reply, serveCall(m.ctx, args, reply, m.handler.Pull))
}

// Entries is Pull without a configuration that is transferred in parts.
func (m *fleetMethods) Entries(args Args[uint64], reply *Reply[sr.Changes]) error {
	return m.list(reply, serveCall(m.ctx, args, reply, m.handler.Entries))
}

// EntriesSince returns the registry entries after a position.
func (m *fleetMethods) EntriesSince(args Args[sr.Position], reply *Reply[sr.Changes]) error {
	return m.list(reply, serveCall(m.ctx, args, reply, m.handler.EntriesSince))
}

// list replaces the reply by ErrOverloaded if it is a long listing and maxListings of them are
// being sent. Otherwise it counts until the reply has been sent.
func (m *fleetMethods) list(reply *Reply[sr.Changes], err error) error {
	if len(reply.Value.Facts) < longListing {
		return err
	}
	select {
	case m.listings <- struct{}{}:
		reply.sent = func() { <-m.listings }
	default:
		*reply = Reply[sr.Changes]{Fault: newFault(errors.Wrap(sr.ErrOverloaded, "srinstance: entries are being sent to other instances"))}
	}
	return err
}

// RoutingPart returns a part of the encoded configuration.
func (m *fleetMethods) RoutingPart(args Args[sr.RoutingRequest], reply *Reply[sr.RoutingPart]) error {
	return serveCall(m.ctx, args, reply, m.handler.RoutingPart)
}

// ReportSlots handles the report of an instance to the coordinator of a group.
func (m *fleetMethods) ReportSlots(args Args[sr.SlotReport], reply *Reply[sr.SlotReply]) error {
	return serveCall(m.ctx, args, reply, m.handler.ReportSlots)
}

// DeliverSlots receives decisions of the coordinator of a group.
func (m *fleetMethods) DeliverSlots(args Args[sr.SlotGrants], reply *Reply[None]) error {
	return serveCall(m.ctx, args, reply, func(ctx context.Context, g sr.SlotGrants) (None, error) {
		return None{}, m.handler.DeliverSlots(ctx, g)
	})
}
