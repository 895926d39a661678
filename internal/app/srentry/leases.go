package srentry

import (
	"slices"
	"sync"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// heldLeases is the set of leases that this instance holds.
type heldLeases struct {
	mu     sync.Mutex
	leases map[heldLeaseKey]*heldLease
}

type heldLeaseKey struct {
	pool  sr.PoolID
	lease sr.LeaseID
}

// heldLease is one held lease.
type heldLease struct {
	lease sr.Lease
	// revoked is closed when the pool's owner revokes the lease.
	revoked chan struct{}
	// forTier is the tier for which the lease was revoked, 0 before.
	forTier sr.Tier
}

func newHeldLeases() *heldLeases {
	return &heldLeases{leases: make(map[heldLeaseKey]*heldLease)}
}

// add records a lease. It must be called before the lease's expiry is checked:
// a list made after the expiry then contains every lease that is in use, and the
// owner can free the leases that are missing from it.
func (h *heldLeases) add(l sr.Lease) *heldLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := &heldLease{lease: l, revoked: make(chan struct{})}
	h.leases[heldLeaseKey{pool: l.Pool, lease: l.ID}] = held
	return held
}

func (h *heldLeases) remove(l sr.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.leases, heldLeaseKey{pool: l.Pool, lease: l.ID})
}

// revoke marks a lease as revoked and reports whether it is held.
func (h *heldLeases) revoke(r sr.Revoke) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.leases[heldLeaseKey{pool: r.Pool, lease: r.Lease}]
	if !ok {
		return false
	}
	if held.forTier == 0 {
		held.forTier = r.For
		close(held.revoked)
	}
	return true
}

func (h *heldLeases) list(pools []sr.PoolSummary) []sr.HeldPool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lists := make([]sr.HeldPool, 0, len(pools))
	for _, p := range pools {
		lists = append(lists, sr.HeldPool{Pool: p.Pool, Leases: h.inPool(p.Pool)})
	}
	return lists
}

func (h *heldLeases) inPool(pool sr.PoolID) []sr.LeaseID {
	var ids []sr.LeaseID
	for key := range h.leases {
		if key.pool == pool {
			ids = append(ids, key.lease)
		}
	}
	slices.Sort(ids)
	return ids
}
