package srgroup

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

const (
	// maxGroupSize is the mean number of endpoints of a group beyond which a service gets
	// another one. It bounds the work of a coordinator.
	maxGroupSize = 64
	// minPowerRatio is the power of a coordinator relative to that of the most powerful
	// member, at least.
	minPowerRatio = 0.5
)

// Needed reports whether instances of a fleet of that size need groups: an equal share of an
// endpoint's slots would be far below one slot.
func Needed(fleet, slots int) bool {
	if slots <= 0 {
		slots = srdispatch.DefaultSlots
	}
	return fleet > srdispatch.MaxInstancesPerSlot*slots
}

// Split divides the endpoints of a service into groups, by name. Instances with the same list
// agree on them, and a changed list moves few endpoints.
func Split(service string, ids []string) map[string][]string {
	count := (len(ids) + maxGroupSize - 1) / maxGroupSize
	out := make(map[string][]string, count)
	names := make([]string, count)
	for i := range names {
		names[i] = service + "/" + strconv.Itoa(i)
	}
	for _, id := range ids {
		name := highest(names, id)
		out[name] = append(out[name], id)
	}
	return out
}

// Splitter splits the endpoints of one service. It keeps the result of the last call, since the
// endpoints seldom change. It is not safe for concurrent use.
type Splitter struct {
	ids    []string
	groups map[string][]string
}

// Split is the function Split. The caller must not change the result.
func (s *Splitter) Split(service string, ids []string) map[string][]string {
	if s.groups == nil || !slices.Equal(ids, s.ids) {
		s.ids, s.groups = slices.Clone(ids), Split(service, ids)
	}
	return s.groups
}

// Home returns the one of a service's groups to which a prompt part belongs.
func Home(names []string, part string) string { return highest(names, part) }

// highest returns the name with the highest rendezvous hash for a key, "" for none.
func highest(names []string, key string) string {
	best, weight := "", uint64(0)
	for _, name := range names {
		if h := xxhash.Sum64String(name + "/" + key); best == "" || h > weight {
			best, weight = name, h
		}
	}
	return best
}

// Member is an instance that may coordinate groups.
type Member struct {
	Address string
	// Power is the share of a processor core that the instance may use, 0 when unknown.
	Power float64
}

// Coordinators returns the addresses of the instances that coordinate groups, by group. An
// instance gets a further one only when all that may coordinate have as many. Instances with the
// same groups and members agree on it.
func Coordinators(groups []string, members []Member) map[string]string {
	most := 0.0
	for _, m := range members {
		most = max(most, m.Power)
	}
	var eligible []string
	for _, m := range members {
		if m.Power >= minPowerRatio*most {
			eligible = append(eligible, m.Address)
		}
	}
	out := make(map[string]string, len(groups))
	var free []string
	for _, group := range slices.Sorted(slices.Values(groups)) {
		if len(free) == 0 {
			free = slices.Clone(eligible)
		}
		address := highest(free, group)
		free = slices.DeleteFunc(free, func(a string) bool { return a == address })
		out[group] = address
	}
	return out
}
