package sassafrasrail

import (
	"strings"
	"time"
)

// PoolID names the endpoints of one target in one failure domain. Each pool
// has one owner among the instances, which alone grants its slots.
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

// InstanceID names one run of an entry instance.
type InstanceID struct {
	Address string
	// Incarnation is drawn at random when the process starts.
	Incarnation uint64
}

// LeaseID names a slot lease; unique in one incarnation of its owner.
type LeaseID uint64

// Ask is a request for a slot in a pool.
type Ask struct {
	// ID is unique to the request and the try.
	ID        string
	Holder    InstanceID
	Pool      PoolID
	Tier      Tier
	Workspace string
	Share     float64
	Work      Work
	// Blocks is the hash chain of the prompt's prefix blocks.
	Blocks      []uint64
	Cancellable bool
	// Budget is the time left until the answer is of no use.
	Budget time.Duration
	// First is the time left until the first token is late.
	First time.Duration
	// Avoid lists endpoints that did not take this request.
	Avoid []string
}

// Lease is the right to start one request at one endpoint.
type Lease struct {
	ID       LeaseID
	Pool     PoolID
	Owner    InstanceID
	Endpoint string
	Address  string
	// TTL is the time after the grant in which the request may be started.
	TTL time.Duration
	// Waited is how long the owner kept the ask before it granted the lease.
	Waited time.Duration
	// Cached is the number of prompt tokens the owner expects in the cache.
	Cached int
	// Cold reports whether the endpoint is in a cold start.
	Cold bool
	// Confirm asks the holder to tell with ReleaseTaken and ReleaseDoubt how the
	// request fares, which bounds what meets a restart without warning.
	Confirm bool
	// Why says on what grounds the endpoint was chosen.
	Why string
}

// Refusal says why a pool granted no slot.
type Refusal struct {
	// Name is stable: "overloaded", "late", "floor", "empty", "not-owner", "withdrawn".
	Name   string
	Reason string
	Retry  time.Duration
}

// Grant answers an ask: a lease, or a refusal when Lease.ID is 0.
type Grant struct {
	Lease   Lease
	Refusal Refusal
}

// ReleaseResult says what became of a lease.
type ReleaseResult uint8

// Release results.
const (
	// ReleaseUnused: the request was not started.
	ReleaseUnused ReleaseResult = iota + 1
	// ReleaseDone: the request ran to its end.
	ReleaseDone
	// ReleaseCut: the request was cancelled at the endpoint.
	ReleaseCut
	// ReleaseRefused: the endpoint answered that it did not take the request.
	ReleaseRefused
	// ReleaseLost: the connection broke; the request may still run.
	ReleaseLost
	// ReleaseTaken: the endpoint has taken the request; the lease goes on.
	ReleaseTaken
	// ReleaseDoubt: the connection broke; the lease goes on while its holder
	// tries to resume the stream.
	ReleaseDoubt
)

// Release gives a lease back and reports what was observed. With ReleaseTaken
// and ReleaseDoubt it is a message about a lease that goes on.
type Release struct {
	Lease  LeaseID
	Pool   PoolID
	Holder InstanceID
	Result ReleaseResult
	// First is the time from dispatch to the first token, 0 when none came.
	First time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
	// Tokens is the number of tokens generated.
	Tokens int
	// Start is, with ReleaseTaken, the run of the endpoint process as its answer
	// names it, "" when it does not.
	Start string
}

// Revoke tells a holder to cut a running request for a higher tier.
type Revoke struct {
	Lease LeaseID
	Pool  PoolID
	For   Tier
}

// Names of refusals.
const (
	// RefusalOverloaded: the queue is full by count, work or age.
	RefusalOverloaded = "overloaded"
	// RefusalLate: the answer cannot be had within its budget.
	RefusalLate = "late"
	// RefusalFloor: a higher tier is under pressure.
	RefusalFloor = "floor"
	// RefusalEmpty: the pool has no usable endpoint.
	RefusalEmpty = "empty"
	// RefusalNotOwner: the asked instance does not own the pool.
	RefusalNotOwner = "not-owner"
	// RefusalWithdrawn: the ask was taken back, or its holder was taken for dead.
	RefusalWithdrawn = "withdrawn"
	// RefusalWaiting: the ask keeps its place; ask again under the same ID.
	RefusalWaiting = "waiting"
)
