package sassafrasrail

import (
	"context"
	"time"
)

// EndpointState is the state that an endpoint reports in its registration.
type EndpointState uint8

// States of a live endpoint.
const (
	// EndpointReady accepts requests.
	EndpointReady EndpointState = iota + 1
	// EndpointLeaving finishes its running requests and accepts no new ones.
	EndpointLeaving
)

// LiveEndpoint is the registration of one endpoint. An endpoint may keep its ID
// over a restart; Born distinguishes its incarnations.
type LiveEndpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	State   EndpointState
	// ColdLeft is how long the cold start of the endpoint lasts from the time at
	// which it wrote the registration.
	ColdLeft time.Duration
	// Born is the start time of the endpoint by its own clock, in Unix milliseconds.
	Born int64
	// Sequence grows with each change of the registration since Born.
	Sequence uint64
}

// EntryKind is the kind of a registry entry.
type EntryKind uint8

// Kinds of entry.
const (
	// EntryRouting holds a version of the operators' configuration.
	EntryRouting EntryKind = iota + 1
	// EntryEndpoint holds the registration of an endpoint.
	EntryEndpoint
	// EntryEvacuation marks a failure domain as evacuated: it receives no requests.
	EntryEvacuation
)

// Position is a point in the history of the registry. Revisions are comparable within an
// era only.
type Position struct {
	// Era is the era of the registry. It rises when the registry is restored from an older
	// copy of itself, after which it gives out revisions again. It is 0 when the registry
	// does not state it.
	Era      uint64
	Revision uint64
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// Extent is what the view of an instance includes of the registry's history.
type Extent struct {
	Position Position
	// Prior is the latest position of an earlier era that the view includes, whose later
	// entries the registry may have lost when it was restored. It is zero for an instance
	// that started after the restore and has not learned them from another one.
	Prior Position
}

// Lacks reports whether another view includes entries that this one does not. A view that is
// ahead in its era may still lack what the registry lost at the beginning of the era.
func (e Extent) Lacks(other Extent) bool {
	return e.Position.Before(other.Position) || e.Position.Era == other.Position.Era && e.Prior.Before(other.Prior)
}

// RegistryEntry is one entry of the registry at a revision.
type RegistryEntry struct {
	Kind EntryKind
	// Name is the endpoint's ID, the failure domain, or "" for the configuration.
	Name     string
	Revision uint64
	// Gone marks an entry that was removed.
	Gone bool
	// Invalid is the reason why the entry cannot be parsed, "" when it can. An
	// endpoint with an invalid registration is not used. An invalid configuration
	// leaves the previous one in force.
	Invalid string
	// RemoveIn is the time after which an endpoint is removed unless it registers again,
	// because its registration was missing after an outage of the registry. It is 0 for
	// all others.
	RemoveIn time.Duration
	// UseIn is the time for which an endpoint is not used, because it may have gone before
	// the registry was restored from a copy in which it is registered. It is 0 for all others.
	UseIn time.Duration
	// Carried marks an entry that the registry lost when it was restored, and that it has
	// not received again.
	Carried bool
	// Routing is the configuration, for EntryRouting.
	Routing *Routing
	// Endpoint is the registration, for EntryEndpoint.
	Endpoint LiveEndpoint
}

// Changes are the entries of a registry after a revision, in order of revision.
type Changes struct {
	Facts []RegistryEntry
	// AsOf is the revision up to which the entries are complete.
	AsOf uint64
	// Era is the era to which AsOf and the revisions of the entries belong.
	Era uint64
	// Prior has the meaning of Extent.Prior for the view of an instance that relays entries.
	Prior Position
	// Whole marks a full listing: an entry that it does not contain does not exist.
	Whole bool
	// Age is how old the data was when the request for it arrived: 0 from the
	// registry itself, more from an instance that relays it.
	Age time.Duration
	// Relayed marks the answer of an instance that relays the registry's entries.
	Relayed bool
	// RoutingAt is the revision of a configuration that belongs to the entries but is
	// transferred apart because of its size, 0 when there is none. RoutingVersion is its
	// version, 0 when an instance of an earlier version relays the entries.
	RoutingAt      uint64
	RoutingVersion uint64
}

// RoutingRequest asks an instance for a part of its encoded configuration.
type RoutingRequest struct {
	// From is the address of the instance that asks.
	From string
	// Revision is the revision of the configuration whose part at Offset, in bytes, is
	// requested.
	Revision uint64
	// Era is the era to which Revision belongs.
	Era    uint64
	Offset int
}

// RoutingPart is a part of an encoded configuration.
type RoutingPart struct {
	// Revision is the revision of the configuration. When it is not the requested one,
	// the part is the first one of a newer configuration.
	Revision uint64
	// Era is the era to which Revision belongs.
	Era uint64
	// Size is the size of the whole encoded configuration in bytes.
	Size int
	Data []byte
}

// Registry is the client of the store that holds the operators' configuration,
// the registrations of the endpoints and the evacuations.
type Registry interface {
	// List returns every entry.
	List(ctx context.Context) (Changes, error)
	// Changes returns the entries after a revision and waits up to wait for the
	// first one. After ErrHistoryLost the caller has to call List.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Usage is one instance's consumption of the limits that all instances share.
type Usage struct {
	// Spent is the total cost by workspace. It only grows within an incarnation of
	// the instance.
	Spent map[string]float64
	// Running is the number of requests in flight by endpoint ID.
	Running map[string]int
	// Pending is the number of prompt tokens sent whose answers have not started, by
	// endpoint ID. Instances of earlier versions state none.
	Pending map[string]int
}

// Gossip is the message that instances exchange several times a second.
type Gossip struct {
	From   InstanceID
	Domain string
	// Leaving marks an instance that is shutting down.
	Leaving bool
	// Final marks a leaving instance that spends no more. Instances of earlier versions do
	// not state it.
	Final bool
	// Joining marks an instance that starts. It does not know yet what the registry may have
	// lost before, so others must not rely on its view.
	Joining bool
	// Known are the instances from which the sender has received gossip.
	Known []InstanceID
	Usage Usage
	// AsOf is the registry revision of the sender's view. Age is the time since
	// it was last confirmed to be the newest one.
	AsOf uint64
	Age  time.Duration
	// Era is the era to which AsOf belongs. Instances of earlier versions state none.
	Era uint64
	// Prior has the meaning of Extent.Prior. It is zero unless the sender's view has
	// entries that the registry lost and has not received again.
	Prior Position
	// Settled has the meaning of Extent.Prior too. It is stated in place of Prior once the
	// registry has received again all that it lost, or its removal.
	Settled Position
	// Crashes is what the sender reports about crashes of endpoints.
	Crashes CrashReport
	// Power is the share of a processor core that the sender may use, 0 when unstated.
	Power float64
	// Relays marks a sender that understands Relay.
	Relays bool
	// Relay is set between two instances of a large fleet. The usage of the sender is part of it
	// then, and Usage and Known are empty unless the sender does not know yet what the receiver
	// understands.
	Relay *Relay
}

// FleetHandler serves the calls of the other forwarding instances.
type FleetHandler interface {
	Gossip(ctx context.Context, g Gossip) (Gossip, error)
	// Exchange is Gossip between instances that exchange records. Those of earlier versions do
	// not have it, and never get a message without the usage of its sender.
	Exchange(ctx context.Context, g Gossip) (Gossip, error)
	// Pull returns registry entries after a revision, a full listing for 0. Only
	// instances of earlier versions call it.
	Pull(ctx context.Context, after uint64) (Changes, error)
	// Entries is Pull without a configuration that is transferred in parts. Only instances
	// that do not know the era of the registry call it.
	Entries(ctx context.Context, after uint64) (Changes, error)
	// EntriesSince returns the entries after a position, without a configuration that is
	// transferred in parts. It returns a full listing for revision 0, and for a position
	// of another era.
	EntriesSince(ctx context.Context, after Position) (Changes, error)
	// RoutingPart returns a part of the instance's configuration. It returns
	// ErrOverloaded while the instance transfers it to several others, and ErrMissing
	// when the requested configuration is newer than its own.
	RoutingPart(ctx context.Context, r RoutingRequest) (RoutingPart, error)
	// ReportSlots handles the report of an instance to the coordinator of a group of
	// endpoints. It returns ErrNotOwner when this instance does not coordinate the group.
	ReportSlots(ctx context.Context, r SlotReport) (SlotReply, error)
	// DeliverSlots receives decisions of the coordinator of a group.
	DeliverSlots(ctx context.Context, g SlotGrants) error
}
