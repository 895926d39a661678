package srfleet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
)

// applyAction applies an ownership decision to one pool.
func (f *Fleet) applyAction(ctx context.Context, a srmember.OwnershipAction, wg *sync.WaitGroup) {
	switch a.Act {
	case srmember.ActOwn:
		f.count("pools.taken")
		f.deps.Log.Info("pool taken over", "pool", a.Pool.String(), "majority", a.Mode.Majority)
	case srmember.ActRelease:
		f.count("pools.released")
		f.deps.Log.Info("pool released", "pool", a.Pool.String())
		f.deps.Owners.Drop(a.Pool)
		return
	case srmember.ActRequestHandover:
		wg.Go(func() { f.requestHandover(ctx, a) })
	}
	if a.Mode.Own {
		f.deps.Owners.Open(a.Pool)
	}
}

// requestHandover asks the instance that currently claims a pool to hand it over, and
// adopts the state that it returns.
func (f *Fleet) requestHandover(ctx context.Context, a srmember.OwnershipAction) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, f.deps.Lapse/peerCallDivisor)
	defer cancel()
	h, err := f.deps.Peers.Peer(a.Claimant.Address).Yield(callCtx, sr.Yield{Pool: a.Pool, To: f.deps.Self})
	if err != nil || !h.Yielded {
		f.count("yields.refused")
		return
	}
	f.deps.Owners.Open(a.Pool)
	f.deps.Owners.Adopt(a.Pool, h)
	f.mu.Lock()
	f.members.HandoverReceived(time.Now(), a.Pool, a.Claimant, sent)
	f.mu.Unlock()
	f.count("pools.handed")
	f.deps.Log.Info("pool handed over", "pool", a.Pool.String(), "from", a.Claimant.Address, "leases", len(h.Leases))
}

// Yield hands a pool over to the instance that asks for it. The state is kept for a
// while and returned again to the same instance, since the answer may be lost.
func (f *Fleet) Yield(ctx context.Context, y sr.Yield) (sr.Handover, error) {
	f.mu.Lock()
	kept, found := f.handovers[y.Pool]
	yielded := f.members.Yield(time.Now(), y)
	f.mu.Unlock()
	if !yielded {
		return sr.Handover{}, nil
	}
	h, err := f.deps.Owners.Handover(ctx, y.Pool)
	if errors.Is(err, sr.ErrNotOwner) {
		if found && kept.to == y.To {
			return kept.state, nil
		}
		return sr.Handover{Yielded: true}, nil
	}
	if err != nil {
		return sr.Handover{}, err
	}
	f.count("pools.yielded")
	f.deps.Log.Info("pool yielded", "pool", y.Pool.String(), "to", y.To.Address, "leases", len(h.Leases))
	f.mu.Lock()
	f.handovers[y.Pool] = keptHandover{to: y.To, state: h, at: time.Now()}
	f.mu.Unlock()
	return h, nil
}
