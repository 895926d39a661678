package sassafrasrail

import (
	"context"
	"time"
)

// EndpointState is what an endpoint says of itself.
type EndpointState uint8

// States of a live endpoint.
const (
	// EndpointReady takes requests.
	EndpointReady EndpointState = iota + 1
	// EndpointLeaving finishes what it has and takes nothing new.
	EndpointLeaving
)

// LiveEndpoint is the registration of one endpoint. An endpoint that starts
// again may keep its ID; Born tells its incarnations apart.
type LiveEndpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	State   EndpointState
	// ColdLeft is how long the endpoint stayed cold after it wrote the record.
	ColdLeft time.Duration
	// Born is when the endpoint started by its own clock, in Unix milliseconds.
	Born int64
}

// FactKind tells the facts of a registry apart.
type FactKind uint8

// Kinds of fact.
const (
	// FactRouting holds a version of the configuration.
	FactRouting FactKind = iota + 1
	// FactEndpoint holds the registration of an endpoint.
	FactEndpoint
	// FactEvacuation says that a failure domain is to get nothing.
	FactEvacuation
)

// Fact is one entry of the registry at a revision.
type Fact struct {
	Kind FactKind
	// Name is the endpoint's ID, the failure domain, or empty for the routing.
	Name     string
	Revision uint64
	// Gone marks an entry that was removed.
	Gone bool
	// Invalid says why the entry cannot be read, "" when it can. An invalid
	// endpoint names nothing to use; an invalid routing leaves the former one.
	Invalid  string
	Routing  *Routing
	Endpoint LiveEndpoint
}

// Changes are the facts of a registry after a revision, in order.
type Changes struct {
	Facts []Fact
	// AsOf is the revision up to which the facts are known.
	AsOf uint64
	// Whole marks a full listing: what it does not name does not exist.
	Whole bool
	// Age is how old the knowledge was when the question arrived: 0 from the
	// registry itself, more from an instance that passes it on.
	Age time.Duration
}

// Registry is where the operators' configuration and the endpoints are read.
type Registry interface {
	// List returns every fact.
	List(ctx context.Context) (Changes, error)
	// Changes returns the facts after a revision, waiting up to wait for one.
	// ErrHistoryLost means that the caller has to list again.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Usage counts what one instance has taken from the limits that all instances
// share. Counts grow for the life of an incarnation.
type Usage struct {
	// Spent is the cost by workspace.
	Spent map[string]float64
	// Running is the number of requests in flight by endpoint ID.
	Running map[string]int
}

// Gossip is what instances tell each other several times a second.
type Gossip struct {
	From   InstanceID
	Domain string
	// Leaving marks an instance that shuts down.
	Leaving bool
	// Known are the instances that the sender has heard from.
	Known []InstanceID
	Usage Usage
	// AsOf is the registry revision that the sender knows, Age for how long it
	// has not been proved to be the newest one.
	AsOf uint64
	Age  time.Duration
}

// FleetHandler answers the other forwarding instances.
type FleetHandler interface {
	Gossip(ctx context.Context, g Gossip) (Gossip, error)
	// Pull returns registry facts after a revision, a full listing for 0.
	Pull(ctx context.Context, after uint64) (Changes, error)
}
