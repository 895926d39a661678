package srmember

import (
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// voters keeps the platform's list of instances, of which a majority is needed.
// It also keeps since when each address has been listed and until when, so that
// majorities of lists that were read a little apart in time still share an
// instance.
type voters struct {
	entries map[string]*listing
}

type listing struct {
	// since is when the address was first listed.
	since time.Time
	// removedAt is when the address was first missing from the list, zero while it is
	// listed.
	removedAt time.Time
}

// update replaces the list.
func (v *voters) update(now time.Time, linger time.Duration, instances []sr.Instance) {
	if v.entries == nil {
		v.entries = make(map[string]*listing)
	}
	listed := make(map[string]bool, len(instances))
	for _, in := range instances {
		listed[in.Address] = true
		if l, ok := v.entries[in.Address]; !ok || !l.removedAt.IsZero() {
			v.entries[in.Address] = &listing{since: now}
		}
	}
	for a, l := range v.entries {
		if !listed[a] && l.removedAt.IsZero() {
			l.removedAt = now
		}
		if !l.removedAt.IsZero() && now.Sub(l.removedAt) >= linger {
			delete(v.entries, a)
		}
	}
}

// loaded reports whether a list with any instance was received.
func (v *voters) loaded() bool { return len(v.entries) > 0 }

// count returns as size the number of addresses that were listed at any time
// within linger, and as votes the number of those that were listed throughout
// linger and for which vote returns true.
func (v *voters) count(now time.Time, linger time.Duration, vote func(address string) bool) (votes, size int) {
	for a, l := range v.entries {
		if !l.within(now, linger) {
			continue
		}
		size++
		if l.removedAt.IsZero() && now.Sub(l.since) >= linger && vote(a) {
			votes++
		}
	}
	return votes, size
}

// isListed reports whether an address is listed now.
func (v *voters) isListed(address string) bool {
	l, ok := v.entries[address]
	return ok && l.removedAt.IsZero()
}

// listed returns the addresses that are listed now.
func (v *voters) listed() []string {
	var addresses []string
	for a, l := range v.entries {
		if l.removedAt.IsZero() {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// within reports whether the address was listed at any time within linger.
func (l *listing) within(now time.Time, linger time.Duration) bool {
	return l.removedAt.IsZero() || now.Sub(l.removedAt) < linger
}

func sortedKeys[V any](set map[string]V) []string {
	return slices.Sorted(maps.Keys(set))
}
