package sassafrasrail

import (
	"context"
	"time"
)

// PoolSummary is an owner's summary of a pool, distributed in heartbeats.
type PoolSummary struct {
	Pool  PoolID
	Owner InstanceID
	// Age is the age of the summary.
	Age time.Duration
	// Free is the number of slots that could be granted now.
	Free int
	// Slots is the number of slots that the usable endpoints offer now.
	Slots int
	// Waiting counts the queued asks by tier rank; index 0 is unused.
	Waiting []int
	// Wait is the expected wait of a new ask by tier rank; index 0 is unused.
	Wait []time.Duration
	// Running counts the cancellable running requests by tier rank; index 0 is
	// unused.
	Running []int
}

// Floor announces that a tier is under pressure, that is, short of slots of one
// target. While a floor is in force, no slot of the target is granted to a lower
// tier.
type Floor struct {
	Target string
	Tier   Tier
	// Left is how long the floor remains in force.
	Left time.Duration
}

// Claim announces that an instance owns a pool or is about to take it over.
type Claim struct {
	Pool  PoolID
	Owner InstanceID
	// Grants reports whether the owner grants slots already.
	Grants bool
	// Majority reports whether the owner was in contact with a majority of the
	// instances when it made the claim.
	Majority bool
	// Age is the time since the sender of the heartbeat received the claim from
	// its owner, 0 for the sender's own claims.
	Age time.Duration
}

// Heartbeat is exchanged between instances; the answer is a heartbeat too.
type Heartbeat struct {
	From    InstanceID
	Domain  string
	Leaving bool
	Version Version
	// Heard lists the instances that answered a heartbeat of the sender within the
	// lapse time, after which an instance without heartbeats is considered dead.
	Heard []InstanceID
	// Claims are the summaries of the pools whose slots the sender grants.
	Claims []PoolSummary
	// Ownership lists the sender's own claims, and those that it received from
	// their owners within the sum of the lapse time and the time to use a lease.
	Ownership []Claim
	Floors    []Floor
	// Held is set in an answer only. For each pool in the Claims of the heartbeat
	// that it answers, it lists all leases that the answering instance holds.
	Held []HeldPool
}

// HeldPool lists all leases that an instance holds in one pool.
type HeldPool struct {
	Pool   PoolID
	Leases []LeaseID
}

// Yield asks the claimant of a pool to hand it over.
type Yield struct {
	Pool PoolID
	// To is the instance that takes the pool over.
	To InstanceID
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
	// Confirmed reports whether the request is known to have reached the current
	// run of the endpoint's process, as named in its last load report.
	Confirmed bool
}

// WarmState is the progress of an endpoint's cold start.
type WarmState struct {
	Endpoint string
	// Start identifies the run of the endpoint's process, as Load.Start does.
	Start string
	// Limit is the number of slots that the endpoint offers now.
	Limit int
	// Warm reports whether the cold start is over.
	Warm bool
}

// Handover transfers a pool's leases and warm states to its next owner.
type Handover struct {
	// Yielded is false when the called instance keeps the pool.
	Yielded bool
	Leases  []HeldLease
	Warm    []WarmState
}

// Submission is a request relayed to its ticket's issuer.
type Submission struct {
	Ticket  string
	Request Request
	// Refusal, when it has a name, is recorded under the ticket, and the request
	// is not run. The instance that received the request from the caller sets it
	// when its manifest does not allow the request.
	Refusal Refusal
}

// Poll requests the events of an answer with sequence numbers above After, and
// waits up to Wait for the first of them.
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

// Follower delivers the events of one answer, each once and in order. It must
// not be used concurrently.
type Follower interface {
	// Next waits for the next events and returns them. After a while without
	// events it returns none. There are no further events once the state of the
	// returned status is StateEnded or StateUnknown.
	Next(ctx context.Context) ([]Event, Status, error)
	Close()
}

// Step is one recorded step in the processing of a request.
type Step struct {
	At     time.Time
	Step   string
	Detail string
}

// Explanation is the record of the decisions about one request.
type Explanation struct {
	Ticket   string
	Instance string
	Summary  string
	Steps    []Step
}

// ManifestText is the unparsed text of a manifest: its root value and its parts.
type ManifestText struct {
	Root  []byte
	Parts map[string][]byte
}

// Handler serves the calls of other instances. All methods but Acquire are
// idempotent; a call of Acquire may be repeated with the same Ask.ID.
type Handler interface {
	// Heartbeat processes a heartbeat and answers with one.
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// Acquire waits until the pool's owner grants or refuses an ask.
	Acquire(ctx context.Context, a Ask) (Grant, error)
	// Withdraw removes a queued ask, or frees the lease that it was granted.
	Withdraw(ctx context.Context, pool PoolID, ask string) error
	// Release ends a lease of a pool that the instance owns, or reports progress.
	Release(ctx context.Context, r Release) error
	// Revoke cancels a request whose lease the instance holds.
	Revoke(ctx context.Context, r Revoke) error
	// Yield hands a pool over to another instance, or refuses to.
	Yield(ctx context.Context, y Yield) (Handover, error)
	// Submit starts a request whose ticket the instance issued.
	Submit(ctx context.Context, s Submission) (Status, error)
	// Poll returns events of a request whose ticket the instance issued.
	Poll(ctx context.Context, p Poll) (Events, error)
	// Explain returns the recorded steps of a request whose ticket the instance issued.
	Explain(ctx context.Context, ticket string) (Explanation, error)
	// Manifest returns the text of the manifest in force at the instance, or
	// ErrMissing when that is older than v.
	Manifest(ctx context.Context, v Version) (ManifestText, error)
}

// Peers is the client of the other instances. Errors wrap ErrUnreachable when
// the peer did not answer, and otherwise the sentinel error that its Handler
// returned.
type Peers interface {
	Peer(address string) Handler
}
