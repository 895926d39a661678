package srentry

import (
	"slices"
	"sync"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// holdings are the leases that this instance holds.
type holdings struct {
	mu     sync.Mutex
	leases map[holdingKey]*holding
}

type holdingKey struct {
	pool  sr.PoolID
	lease sr.LeaseID
}

// holding is one held lease; revoked is closed when its owner wants it back.
type holding struct {
	lease   sr.Lease
	revoked chan struct{}
	forTier sr.Tier
}

func newHoldings() *holdings {
	return &holdings{leases: make(map[holdingKey]*holding)}
}

// add records a lease. It is called before the lease's lifetime is checked,
// so that a list made after the lifetime holds every lease that may be used.
func (h *holdings) add(l sr.Lease) *holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := &holding{lease: l, revoked: make(chan struct{})}
	h.leases[holdingKey{pool: l.Pool, lease: l.ID}] = held
	return held
}

func (h *holdings) remove(l sr.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.leases, holdingKey{pool: l.Pool, lease: l.ID})
}

// revoke reports whether the lease is held.
func (h *holdings) revoke(r sr.Revoke) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.leases[holdingKey{pool: r.Pool, lease: r.Lease}]
	if !ok {
		return false
	}
	if held.forTier == 0 {
		held.forTier = r.For
		close(held.revoked)
	}
	return true
}

func (h *holdings) list(pools []sr.PoolNews) []sr.HeldPool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lists := make([]sr.HeldPool, 0, len(pools))
	for _, p := range pools {
		lists = append(lists, sr.HeldPool{Pool: p.Pool, Leases: h.inPool(p.Pool)})
	}
	return lists
}

func (h *holdings) inPool(pool sr.PoolID) []sr.LeaseID {
	var ids []sr.LeaseID
	for key := range h.leases {
		if key.pool == pool {
			ids = append(ids, key.lease)
		}
	}
	slices.Sort(ids)
	return ids
}
