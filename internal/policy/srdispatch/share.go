package srdispatch

import "github.com/cespare/xxhash/v2"

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

// SetShares sets the shares of an instance in the endpoints of one service, and divides
// their cold rates among the instances that share them. Those instances are chosen by
// rendezvous hash, so all instances with the same view of the fleet agree on them. An
// endpoint of a service with few endpoints is shared by more instances. An instance
// without a share in any endpoint gets one slot of the endpoint for which its own hash is
// highest.
func SetShares(list []Endpoint, self string, others []string) {
	unassigned := true
	highest, highestWeight := 0, uint64(0)
	for i := range list {
		e := &list[i]
		if e.Slots <= 0 {
			e.Slots = defaultSlots
		}
		sharers := sharerCount(e.Slots, len(list), len(others)+1)
		weight := rendezvousHash(self, e.ID)
		if higher := countHigher(weight, e.ID, others); higher < sharers {
			// The first ones get what is left of an even division. The shares must not exceed
			// the slots: an instance renews its share without regard to the others, so the
			// endpoint would queue requests for as long as the overload lasts.
			e.Share = max((e.Slots+sharers-1-higher)/sharers, 1)
			unassigned = false
		}
		e.ColdRate /= float64(sharers)
		if weight >= highestWeight {
			highest, highestWeight = i, weight
		}
	}
	if unassigned && len(list) > 0 {
		list[highest].Share = 1
	}
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
