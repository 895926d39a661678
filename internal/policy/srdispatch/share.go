package srdispatch

import "github.com/cespare/xxhash/v2"

const (
	// crowded is how many instances for each slot of an endpoint are too many to
	// share it among all: equal parts would be far below one slot.
	crowded = 2
	// leastPart is the least number of slots that a sharing instance gets.
	leastPart = 2
	// leastChoice is how many endpoints of a service each instance shares on
	// average, so that one that fails is not the only one.
	leastChoice = 2
)

// Share sets the shares of an instance in the endpoints of one service, and
// divides their cold rates among those that share them. The instances that share
// an endpoint are chosen by a hash, the same at each that knows the same fleet. A
// service of few endpoints is shared by more of them, and an instance that the
// hash leaves without any takes the one that it ranks first.
func Share(list []Endpoint, self string, others []string) {
	without := true
	first, best := 0, uint64(0)
	for i := range list {
		e := &list[i]
		if e.Slots <= 0 {
			e.Slots = defaultSlots
		}
		sharers := sharersOf(e.Slots, len(list), len(others)+1)
		rank := hash(self, e.ID)
		if before(rank, e.ID, others) < sharers {
			e.Share = (e.Slots + sharers - 1) / sharers
			without = false
		}
		e.Cold /= float64(sharers)
		if rank >= best {
			first, best = i, rank
		}
	}
	if without && len(list) > 0 {
		list[first].Share = 1
	}
}

// sharersOf returns how many instances share an endpoint: all in a small fleet,
// and otherwise as many as get some slots each.
func sharersOf(slots, endpoints, fleet int) int {
	if fleet <= crowded*slots {
		return fleet
	}
	choice := (leastChoice*fleet + endpoints - 1) / endpoints
	return min(max(slots/leastPart, choice), fleet)
}

// before counts the instances that rank higher for an endpoint.
func before(rank uint64, endpoint string, others []string) int {
	n := 0
	for _, o := range others {
		if hash(o, endpoint) > rank {
			n++
		}
	}
	return n
}

func hash(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + "/" + endpoint)
}
