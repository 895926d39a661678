package srserve

import (
	"context"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var _ sr.Handler = (*Instance)(nil)

// Heartbeat answers another instance's heartbeat.
func (i *Instance) Heartbeat(ctx context.Context, h sr.Heartbeat) (sr.Heartbeat, error) {
	return i.fleet.Heartbeat(ctx, h)
}

// Acquire answers an ask for a slot in an owned pool.
func (i *Instance) Acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	return i.owners.Acquire(ctx, a)
}

// Withdraw drops a waiting ask, or frees the lease that it was granted.
func (i *Instance) Withdraw(ctx context.Context, pool sr.PoolID, ask string) error {
	return i.owners.Withdraw(ctx, pool, ask)
}

// Release ends a lease in an owned pool, or updates the state of one that stays in
// use.
func (i *Instance) Release(ctx context.Context, r sr.Release) error {
	return i.owners.Release(ctx, r)
}

// Revoke cancels a request of this instance in favour of a higher tier.
func (i *Instance) Revoke(ctx context.Context, r sr.Revoke) error {
	return i.entry.Revoke(ctx, r)
}

// Yield hands a pool over to the instance that asks for it.
func (i *Instance) Yield(ctx context.Context, y sr.Yield) (sr.Handover, error) {
	return i.fleet.Yield(ctx, y)
}

// Submit starts a request whose ticket was issued here.
func (i *Instance) Submit(ctx context.Context, s sr.Submission) (sr.Status, error) {
	return i.entry.Submit(ctx, s)
}

// Poll returns events of a request whose ticket was issued here.
func (i *Instance) Poll(ctx context.Context, p sr.Poll) (sr.Events, error) {
	return i.entry.Poll(ctx, p)
}

// Explain returns the recorded decisions for a ticket that was issued here.
func (i *Instance) Explain(ctx context.Context, ticket string) (sr.Explanation, error) {
	return i.entry.Explain(ctx, ticket)
}

// Manifest returns the text of the manifest in force. It returns ErrMissing if that
// manifest is older than v.
func (i *Instance) Manifest(_ context.Context, v sr.Version) (sr.ManifestText, error) {
	current, ok := i.store.Version()
	if !ok || current.Number < v.Number {
		return sr.ManifestText{}, errors.Wrapf(sr.ErrMissing, "srserve: manifest %d", v.Number)
	}
	return i.store.Text(), nil
}

// localPeers calls this instance directly, without the network, and reaches the
// others through remote.
type localPeers struct {
	self   string
	local  sr.Handler
	remote sr.Peers
}

// Peer returns the handler of the instance at address.
func (p localPeers) Peer(address string) sr.Handler {
	if address == p.self {
		return p.local
	}
	return p.remote.Peer(address)
}
