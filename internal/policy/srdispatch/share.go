package srdispatch

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// crowded is how many instances for each slot of an endpoint are too many to
	// share it among all: equal parts would be far below one slot.
	crowded = 2
	// leastPart is the least number of slots that a sharing instance gets.
	leastPart = 2
)

// Share returns how many slots of an endpoint an instance may use whatever the
// others do, and how many instances share the endpoint. The instances that share
// it are chosen by a hash, the same at each that knows the same fleet.
func Share(endpoint string, slots int, self string, others []string) (share, sharers int) {
	if slots <= 0 {
		slots = defaultSlots
	}
	fleet := len(others) + 1
	if fleet <= crowded*slots {
		return (slots + fleet - 1) / fleet, fleet
	}
	sharers = max(slots/leastPart, 1)
	own := xxhash.Sum64String(self + "/" + endpoint)
	ahead := 0
	for _, o := range others {
		if xxhash.Sum64String(o+"/"+endpoint) > own {
			ahead++
		}
	}
	if ahead >= sharers {
		return 0, sharers
	}
	return (slots + sharers - 1) / sharers, sharers
}
