package srdispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxInstancesPerSlot is the number of instances per slot of an endpoint up to which
	// all instances share it. With more, equal shares would be far below one slot.
	MaxInstancesPerSlot = 2
	// minSharedSlots is the target number of slots for each instance that shares an
	// endpoint.
	minSharedSlots = 2
	// minEndpoints is how many endpoints of a service each instance shares on average, so
	// that an instance does not depend on a single endpoint.
	minEndpoints = 2
)

// Sharing sets the shares of an instance in the endpoints of one service. Between two calls it
// keeps the order of the instances at each endpoint, so that a call costs a hash for each
// endpoint and each instance that was added or removed. It is not safe for concurrent use.
type Sharing struct {
	self string
	// others are the other instances of the last call, in order.
	others []string
	// orders holds an entry for each endpoint of the last call, by ID.
	orders map[string]order
}

// order is the position of the instance at an endpoint.
type order struct {
	// weight is the hash of the instance, higher the number of others with a higher one.
	weight uint64
	higher int
}

// NewSharing returns the Sharing of an instance.
func NewSharing(self string) *Sharing {
	return &Sharing{self: self, orders: make(map[string]order)}
}

// SetShares sets the shares in the endpoints of the service, and divides their cold rates
// among the instances that share them. Those instances are chosen by rendezvous hash, so all
// instances with the same view of the fleet agree on them. An endpoint of a service with few
// endpoints is shared by more instances. An instance without a share in any endpoint gets one
// slot of the endpoint for which its own hash is highest.
func (s *Sharing) SetShares(list []Endpoint, others []string) {
	s.update(list, others)
	unassigned := true
	highest, highestWeight := 0, uint64(0)
	for i := range list {
		e := &list[i]
		if e.Slots <= 0 {
			e.Slots = DefaultSlots
		}
		sharers := sharerCount(e.Slots, len(list), len(others)+1)
		o := s.orders[e.ID]
		if o.higher < sharers {
			// The first ones get what is left of an even division. The shares must not exceed
			// the slots: an instance renews its share without regard to the others, so the
			// endpoint would queue requests for as long as the overload lasts.
			e.Share = max((e.Slots+sharers-1-o.higher)/sharers, 1)
			unassigned = false
		}
		e.ColdRate /= float64(sharers)
		if o.weight >= highestWeight {
			highest, highestWeight = i, o.weight
		}
	}
	if unassigned && len(list) > 0 {
		list[highest].Share = 1
	}
}

// update brings the orders up to date.
func (s *Sharing) update(list []Endpoint, others []string) {
	if !slices.IsSorted(others) {
		others = slices.Sorted(slices.Values(others))
	}
	added, removed := difference(s.others, others)
	s.others = slices.Clone(others)
	orders := make(map[string]order, len(list))
	for _, e := range list {
		o, ok := s.orders[e.ID]
		if ok {
			o.higher += countHigher(o.weight, e.ID, added) - countHigher(o.weight, e.ID, removed)
		} else {
			o.weight = rendezvousHash(s.self, e.ID)
			o.higher = countHigher(o.weight, e.ID, others)
		}
		orders[e.ID] = o
	}
	s.orders = orders
}

// difference returns what was added to a sorted list and what was removed.
func difference(before, after []string) (added, removed []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(before) == 0 || len(after) > 0 && after[0] < before[0]:
			added, after = append(added, after[0]), after[1:]
		case len(after) == 0 || before[0] < after[0]:
			removed, before = append(removed, before[0]), before[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return added, removed
}

// sharerCount returns how many instances share an endpoint: all in a small fleet,
// otherwise as many as can get minSharedSlots each, or more if the instances would share
// fewer than minEndpoints endpoints on average.
func sharerCount(slots, endpoints, fleet int) int {
	if fleet <= MaxInstancesPerSlot*slots {
		return fleet
	}
	sharers := (minEndpoints*fleet + endpoints - 1) / endpoints
	return min(max(slots/minSharedSlots, sharers), fleet)
}

// countHigher counts the instances whose hash for the endpoint is higher than weight.
func countHigher(weight uint64, endpoint string, others []string) int {
	n := 0
	for _, o := range others {
		if rendezvousHash(o, endpoint) > weight {
			n++
		}
	}
	return n
}

func rendezvousHash(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + "/" + endpoint)
}
