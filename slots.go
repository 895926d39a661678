package sassafrasrail

import "time"

// PoolEndpoint is the configuration of an endpoint for its pool.
type PoolEndpoint struct {
	Name    string
	Address string
	Class   Class
	// Usable is false when the endpoint is leaving or its failure domain is out of
	// service.
	Usable bool
}

// PoolConfig is the configuration of a pool, taken from the manifest.
type PoolConfig struct {
	Pool      PoolID
	Kind      Kind
	Owner     InstanceID
	Endpoints []PoolEndpoint
	// Lowest is the least important tier of the manifest.
	Lowest Tier
}

// PoolMode is the set of grants that an instance may make for a pool at present.
type PoolMode struct {
	// Own allows grants. Without it every queued ask is refused as "not-owner".
	Own bool
	// Majority allows grants at cold endpoints. It requires that the owner is in
	// contact with a majority of the instances.
	Majority bool
}

// FloorState is the state of the floor of a pool's target across the instances.
type FloorState struct {
	// InForce is the most important tier under pressure at any instance, 0 for none.
	// Lower tiers are granted no slots.
	InForce Tier
	// Settled is the most important floor announced by this instance that every
	// live instance has known for the propagation bound of package srtier, 0 for
	// none. A tier may be shed when it is the lowest one, or when Settled is that
	// tier or a more important one.
	Settled Tier
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action.
const (
	// ActionGrant answers Ask with a lease.
	ActionGrant ActionKind = iota + 1
	// ActionRefuse answers Ask with a refusal.
	ActionRefuse
	// ActionRevoke orders Holder to cancel the request of Revoke.Lease.
	ActionRevoke
	// ActionFloor announces that Tier is under pressure; see Floor.
	ActionFloor
)

// Action is a decision of a pool that its instance has to carry out.
type Action struct {
	Kind   ActionKind
	Ask    string
	Holder InstanceID
	Grant  Grant
	Revoke Revoke
	Tier   Tier
}

// Pool grants and revokes the slots of one pool's endpoints. It is a state
// machine: it reads no clock, opens no socket, and starts no goroutine. It must
// not be used concurrently, and now must never go back.
type Pool interface {
	// Configure applies the configuration of a new manifest. Leases at removed
	// endpoints remain counted.
	Configure(now time.Time, c PoolConfig)
	// SetMode sets which grants are allowed.
	SetMode(now time.Time, m PoolMode)
	// SetFloor sets the state of the target's floor across the instances.
	SetFloor(now time.Time, f FloorState)
	// Ask queues an ask. A repeated ID keeps its place.
	Ask(now time.Time, a Ask)
	// Withdraw removes a queued ask.
	Withdraw(now time.Time, ask string)
	// Release ends a lease, or records the progress that its holder reports. An
	// unknown lease is ignored.
	Release(now time.Time, r Release)
	// ReconcileLeases reconciles the leases of a holder with the holder's full list
	// of its leases in the pool, which was composed at asOf or later. Leases of the
	// holder that are not on the list are freed when their TTL had passed by asOf.
	ReconcileLeases(now, asOf time.Time, holder InstanceID, leases []LeaseID)
	// HolderLost marks a holder as dead. Its queued asks are dropped. Its leases
	// remain counted until a later load report shows that their requests have ended.
	HolderLost(now time.Time, holder InstanceID)
	// Report processes a load report.
	Report(now time.Time, endpoint string, l Load)
	// ReportFailed records that a load report could not be read.
	ReportFailed(now time.Time, endpoint string)
	// Adopt takes over the state of the previous owner.
	Adopt(now time.Time, h Handover)
	// Handover returns the state for the next owner and ends all grants.
	Handover(now time.Time) Handover
	// Tick returns the actions that are due.
	Tick(now time.Time) []Action
	// Next returns the latest time at which Tick should be called.
	Next(now time.Time) time.Time
	// Summary returns the summary of the pool for heartbeats.
	Summary(now time.Time) PoolSummary
	// Dump returns the state for operators, ready for JSON.
	Dump(now time.Time) PoolDump
}

// PoolDump is the state of a pool for operators.
type PoolDump struct {
	Pool      string
	Own       bool
	Majority  bool
	Floor     string
	Waiting   []AskDump
	Endpoints []EndpointDump
}

// AskDump is a queued ask for operators.
type AskDump struct {
	ID        string
	Tier      Tier
	Workspace string
	Waited    string
}

// EndpointDump is the state of an endpoint of a pool for operators.
type EndpointDump struct {
	Name   string
	Usable bool
	State  string
	// Limit is the number of slots that the endpoint offers, Allowed the number of
	// them that may be in use now.
	Limit   int
	Allowed int
	Leases  int
	// Orphans is the number of running requests that no holder can end: those of
	// lost holders, and those in load reports that belong to no known lease.
	Orphans int
	// Report describes the last load report.
	Report string
}
