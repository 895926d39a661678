package sassafrasrail

import (
	"strings"
	"time"
)

// PoolID identifies a pool: the endpoints of one target in one failure domain.
// Each pool is owned by one instance, and only the owner grants its slots.
type PoolID struct {
	Target string
	Domain string
}

// String returns "target@domain".
func (p PoolID) String() string { return p.Target + "@" + p.Domain }

// Compare orders pools by target, then by domain.
func (p PoolID) Compare(q PoolID) int {
	if c := strings.Compare(p.Target, q.Target); c != 0 {
		return c
	}
	return strings.Compare(p.Domain, q.Domain)
}

// InstanceID identifies one run of an entry instance.
type InstanceID struct {
	Address string
	// Incarnation is a random number drawn when the process starts.
	Incarnation uint64
}

// LeaseID identifies a lease. It is unique within one incarnation of its owner.
type LeaseID uint64

// Ask is a request for a slot in a pool.
type Ask struct {
	// ID is unique to one attempt of one request.
	ID string
	// Holder is the instance that asks, and holds the lease when it is granted.
	Holder    InstanceID
	Pool      PoolID
	Tier      Tier
	Workspace string
	// Share is the weight of the workspace.
	Share float64
	// Work is the expected work of the request.
	Work Work
	// Blocks is the hash chain of the prompt's prefix blocks.
	Blocks []uint64
	// Cancellable reports whether the running request may be cancelled for a
	// higher tier.
	Cancellable bool
	// Budget is the time left until the deadline of the request.
	Budget time.Duration
	// First is the time left until the target time of the first token.
	First time.Duration
	// Avoid lists the endpoints that have refused this request.
	Avoid []string
}

// Lease is the right to start one request at one endpoint.
type Lease struct {
	ID       LeaseID
	Pool     PoolID
	Owner    InstanceID
	Endpoint string
	Address  string
	// TTL is the time from the grant within which the request has to be started.
	TTL time.Duration
	// Waited is how long the ask was queued at the owner.
	Waited time.Duration
	// Cached is the number of prompt tokens that the owner expects in the
	// endpoint's cache.
	Cached int
	// Cold reports whether the endpoint is in a cold start.
	Cold bool
	// Confirm requests ReleaseTaken and ReleaseInterrupted messages from the holder.
	// The owner limits the leases that are not confirmed to have reached the
	// current run of the endpoint. An endpoint that has restarted unnoticed then
	// receives no more requests than it can run cold.
	Confirm bool
	// Why is the reason for the choice of the endpoint, for explanations.
	Why string
}

// Refusal is the reason why a pool granted no slot.
type Refusal struct {
	// Name is a stable name, such as RefusalOverloaded.
	Name string
	// Reason is the explanation for people.
	Reason string
	// Retry is the time after which the caller may retry.
	Retry time.Duration
}

// Grant is the answer to an ask: a lease, or a refusal when Lease.ID is 0.
type Grant struct {
	Lease   Lease
	Refusal Refusal
}

// ReleaseResult is the final or, for ReleaseTaken and ReleaseInterrupted, the
// intermediate result of a lease.
type ReleaseResult uint8

// Release results.
const (
	// ReleaseUnused: the request was not started.
	ReleaseUnused ReleaseResult = iota + 1
	// ReleaseDone: the request was completed.
	ReleaseDone
	// ReleaseCancelled: the request was cancelled at the endpoint.
	ReleaseCancelled
	// ReleaseRefused: the endpoint answered that it did not accept the request.
	ReleaseRefused
	// ReleaseLost: the connection broke; the request may still run.
	ReleaseLost
	// ReleaseTaken: the endpoint has accepted the request; the lease continues.
	ReleaseTaken
	// ReleaseInterrupted: the connection broke; the lease continues while its holder
	// tries to resume the stream.
	ReleaseInterrupted
)

// Release returns a lease to the pool's owner and reports the measured times
// and token count. With ReleaseTaken and ReleaseInterrupted it is a progress message
// about a lease that continues.
type Release struct {
	Lease  LeaseID
	Pool   PoolID
	Holder InstanceID
	Result ReleaseResult
	// First is the time from dispatch to the first token, 0 without one.
	First time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
	// Tokens is the number of generated tokens.
	Tokens int
	// Start is set with ReleaseTaken only. It identifies the run of the endpoint's
	// process as stated in the answer, "" when unstated.
	Start string
}

// Revoke orders a holder to cancel a running request for a higher tier.
type Revoke struct {
	Lease LeaseID
	Pool  PoolID
	// For is the tier that needs the slot.
	For Tier
}

// Names of refusals.
const (
	// RefusalOverloaded: the queue has reached its limit of count, work or age.
	RefusalOverloaded = "overloaded"
	// RefusalLate: the request cannot be answered within its budget.
	RefusalLate = "late"
	// RefusalFloor: a higher tier is under pressure; see Floor.
	RefusalFloor = "floor"
	// RefusalEmpty: the pool has no usable endpoint.
	RefusalEmpty = "empty"
	// RefusalNotOwner: the called instance does not own the pool.
	RefusalNotOwner = "not-owner"
	// RefusalWithdrawn: the ask was withdrawn, or its holder was considered dead.
	RefusalWithdrawn = "withdrawn"
	// RefusalWaiting: the ask is still queued and keeps its place; the holder
	// repeats it under the same ID.
	RefusalWaiting = "waiting"
)
