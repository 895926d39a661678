package sassafrasrail

import "time"

// PoolEndpoint is an endpoint as the manifest gives it to its pool.
type PoolEndpoint struct {
	Name    string
	Address string
	Class   Class
	// Usable is false for a leaving endpoint and in a domain that is out.
	Usable bool
}

// PoolConfig is what the manifest says of a pool.
type PoolConfig struct {
	Pool      PoolID
	Kind      Kind
	Owner     InstanceID
	Endpoints []PoolEndpoint
	// Lowest is the least important tier of the manifest.
	Lowest Tier
}

// PoolMode says what an owner may do at the moment.
type PoolMode struct {
	// Own allows grants. Without it every waiting ask is refused as "not-owner".
	Own bool
	// Majority allows grants at cold endpoints.
	Majority bool
}

// FloorState is what holds for a pool's target across the instances.
type FloorState struct {
	// InForce is the highest tier under pressure anywhere, 0 for none. Lower
	// tiers are granted nothing.
	InForce Tier
	// Settled is the floor that every live instance has known for a full
	// propagation bound, 0 for none. A tier may be shed when it is the lowest
	// one, or when Settled is not below it.
	Settled Tier
}

// ActionKind tells the actions of a pool apart.
type ActionKind uint8

// Kinds of action.
const (
	// ActionGrant answers Ask with a lease.
	ActionGrant ActionKind = iota + 1
	// ActionRefuse answers Ask with a refusal.
	ActionRefuse
	// ActionRevoke tells Holder to cut Revoke.Lease.
	ActionRevoke
	// ActionFloor announces that Tier is under pressure.
	ActionFloor
)

// Action is one decision of a pool for its instance to carry out.
type Action struct {
	Kind   ActionKind
	Ask    string
	Holder InstanceID
	Grant  Grant
	Revoke Revoke
	Tier   Tier
}

// Pool decides who starts what at the endpoints of one pool. It is pure: it
// reads no clock, opens no socket, starts no goroutine, and is used by one
// goroutine. Now never goes back.
type Pool interface {
	// Configure applies a manifest. Leases at endpoints that are gone stay counted.
	Configure(now time.Time, c PoolConfig)
	// SetMode says whether grants are allowed.
	SetMode(now time.Time, m PoolMode)
	// SetFloor says what holds across the instances.
	SetFloor(now time.Time, f FloorState)
	// Ask queues an ask. A repeated ID keeps its place.
	Ask(now time.Time, a Ask)
	// Withdraw drops a waiting ask.
	Withdraw(now time.Time, ask string)
	// Release ends a lease, or takes the news that its holder has of it. An
	// unknown lease is ignored.
	Release(now time.Time, r Release)
	// Held takes a holder's full list of its leases in the pool, made not
	// before made: others of that holder whose TTL had passed by then are freed.
	Held(now, made time.Time, holder InstanceID, leases []LeaseID)
	// HolderLost marks a holder as dead: its waiting asks are dropped and its
	// leases stay counted until a later report shows them gone.
	HolderLost(now time.Time, holder InstanceID)
	// Report takes a load report.
	Report(now time.Time, endpoint string, l Load)
	// ReportFailed says that no load report could be had.
	ReportFailed(now time.Time, endpoint string)
	// Adopt takes over from the previous owner.
	Adopt(now time.Time, h Handover)
	// Handover gives the state to the next owner and ends all grants.
	Handover(now time.Time) Handover
	// Tick returns the actions that are due.
	Tick(now time.Time) []Action
	// Next returns when Tick should be called at the latest.
	Next(now time.Time) time.Time
	// News summarises the pool for heartbeats.
	News(now time.Time) PoolNews
	// Dump returns the state for people, ready for JSON.
	Dump(now time.Time) PoolDump
}

// PoolDump is the state of a pool for people.
type PoolDump struct {
	Pool      string
	Own       bool
	Majority  bool
	Floor     string
	Waiting   []AskDump
	Endpoints []EndpointDump
}

// AskDump is a waiting ask for people.
type AskDump struct {
	ID        string
	Tier      Tier
	Workspace string
	Waited    string
}

// EndpointDump is an endpoint of a pool for people.
type EndpointDump struct {
	Name   string
	Usable bool
	State  string
	// Limit is how many slots the endpoint bears, Allowed how many of them may
	// be in use now.
	Limit   int
	Allowed int
	Leases  int
	Orphans int
	Report  string
}
