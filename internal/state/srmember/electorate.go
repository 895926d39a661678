package srmember

import (
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// electorate keeps since when and until when addresses were published, so that
// majorities of lists that are a little apart in time still share an instance.
type electorate struct {
	entries map[string]*listing
}

type listing struct {
	since time.Time
	// gone is when the address was no longer listed, zero while it is.
	gone time.Time
}

// add takes a list.
func (e *electorate) add(now time.Time, linger time.Duration, instances []sr.Instance) {
	if e.entries == nil {
		e.entries = make(map[string]*listing)
	}
	listed := make(map[string]bool, len(instances))
	for _, in := range instances {
		listed[in.Address] = true
		if l, ok := e.entries[in.Address]; !ok || !l.gone.IsZero() {
			e.entries[in.Address] = &listing{since: now}
		}
	}
	for a, l := range e.entries {
		if !listed[a] && l.gone.IsZero() {
			l.gone = now
		}
		if !l.gone.IsZero() && now.Sub(l.gone) >= linger {
			delete(e.entries, a)
		}
	}
}

// known reports whether a list was seen.
func (e *electorate) known() bool { return len(e.entries) > 0 }

// tally counts the addresses that were listed throughout linger and for which
// voice holds, and those that were listed at any time within it.
func (e *electorate) tally(now time.Time, linger time.Duration, voice func(address string) bool) (n, size int) {
	for a, l := range e.entries {
		if !l.counts(now, linger) {
			continue
		}
		size++
		if l.gone.IsZero() && now.Sub(l.since) >= linger && voice(a) {
			n++
		}
	}
	return n, size
}

// lists reports whether an address is listed now.
func (e *electorate) lists(address string) bool {
	l, ok := e.entries[address]
	return ok && l.gone.IsZero()
}

// published returns the addresses that are listed now.
func (e *electorate) published() []string {
	var addresses []string
	for a, l := range e.entries {
		if l.gone.IsZero() {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

func (l *listing) counts(now time.Time, linger time.Duration) bool {
	return l.gone.IsZero() || now.Sub(l.gone) < linger
}

func sortedKeys[V any](set map[string]V) []string {
	return slices.Sorted(maps.Keys(set))
}
