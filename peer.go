package sassafrasrail

import (
	"context"
	"time"
)

// PoolNews is an owner's summary of a pool, passed on in heartbeats.
type PoolNews struct {
	Pool  PoolID
	Owner InstanceID
	// Age is how old the summary is.
	Age time.Duration
	// Free is the number of slots that could be granted now.
	Free int
	// Slots is the number of slots that usable endpoints bear now.
	Slots int
	// Waiting counts the queued asks by tier rank; index 0 is unused.
	Waiting []int
	// Wait is the expected wait of a new ask by tier rank; index 0 is unused.
	Wait []time.Duration
	// Running counts the cancellable running requests by tier rank.
	Running []int
}

// Floor is the highest tier under pressure for one target. No slot of the
// target is granted to a lower tier while it is in force.
type Floor struct {
	Target string
	Tier   Tier
	// Left is how long the floor remains in force.
	Left time.Duration
}

// Claim says that an instance owns a pool or is about to take it over.
type Claim struct {
	Pool  PoolID
	Owner InstanceID
	// Grants reports whether the owner grants slots already.
	Grants bool
	// Majority reports whether the owner heard a majority when it claimed.
	Majority bool
	// Age is how long ago the sender of the heartbeat heard the claim from its
	// owner, 0 for its own claims.
	Age time.Duration
}

// Heartbeat is exchanged between instances; the answer is a heartbeat too.
type Heartbeat struct {
	From    InstanceID
	Domain  string
	Leaving bool
	Version Version
	// Heard lists the instances with which an exchange succeeded within the
	// heartbeat lapse.
	Heard []InstanceID
	// Claims summarises the pools whose slots the sender grants.
	Claims []PoolNews
	// Ownership lists the claims that the sender makes, and those it heard
	// from their owners within lapse and lease time.
	Ownership []Claim
	Floors    []Floor
	// Held, in an answer, lists the sender's leases of each pool that the
	// heartbeat it answers claims, in full.
	Held []HeldPool
}

// HeldPool lists the leases that an instance holds in one pool, in full.
type HeldPool struct {
	Pool   PoolID
	Leases []LeaseID
}

// Yield asks the claimant of a pool to hand it over.
type Yield struct {
	Pool PoolID
	To   InstanceID
}

// HeldLease is a lease that is handed over with its pool.
type HeldLease struct {
	ID          LeaseID
	Holder      InstanceID
	Endpoint    string
	Tier        Tier
	Workspace   string
	Work        Work
	Cancellable bool
	// Confirmed reports whether the request is known to have reached the run of
	// the endpoint process that was reported last.
	Confirmed bool
}

// WarmState is how far an endpoint has come in its cold start.
type WarmState struct {
	Endpoint string
	Start    string
	Limit    int
	Warm     bool
}

// Handover passes a pool's leases and warm states to its next owner.
type Handover struct {
	// Yielded is false when the asked instance still sees itself as the owner.
	Yielded bool
	Leases  []HeldLease
	Warm    []WarmState
}

// Submission is a request relayed to its ticket's issuer.
type Submission struct {
	Ticket  string
	Request Request
	// Refusal, when it has a name, is recorded under the ticket instead of
	// running the request: the receiver's manifest does not allow it.
	Refusal Refusal
}

// Poll asks for the events of a request behind After; it waits up to Wait.
type Poll struct {
	Ticket    string
	Workspace string
	After     int
	Wait      time.Duration
}

// Events is a batch of an answer's events.
type Events struct {
	Status Status
	Events []Event
}

// Follower delivers the events of one answer, each once and in order. It is
// used by one goroutine.
type Follower interface {
	// Next returns the next events, or none after a while without news. No
	// more events will come once the status is ended or unknown.
	Next(ctx context.Context) ([]Event, Status, error)
	Close()
}

// Step is one recorded decision.
type Step struct {
	At     time.Time
	Step   string
	Detail string
}

// Explanation is the record of one request's decisions.
type Explanation struct {
	Ticket   string
	Instance string
	Summary  string
	Steps    []Step
}

// ManifestText is a manifest as it was published.
type ManifestText struct {
	Root  []byte
	Parts map[string][]byte
}

// Handler is what an instance answers to its peers. It is idempotent but for
// Acquire, whose Ask.ID makes a repeat safe.
type Handler interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	Acquire(ctx context.Context, a Ask) (Grant, error)
	Withdraw(ctx context.Context, pool PoolID, ask string) error
	Release(ctx context.Context, r Release) error
	Revoke(ctx context.Context, r Revoke) error
	Yield(ctx context.Context, y Yield) (Handover, error)
	Submit(ctx context.Context, s Submission) (Status, error)
	Poll(ctx context.Context, p Poll) (Events, error)
	Explain(ctx context.Context, ticket string) (Explanation, error)
	Manifest(ctx context.Context, v Version) (ManifestText, error)
}

// Peers reaches the other instances by address. Errors wrap ErrUnreachable
// when no answer came, and else the sentinel that the peer's Handler returned.
type Peers interface {
	Peer(address string) Handler
}
