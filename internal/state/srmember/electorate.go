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
	// first is when the first list came.
	first time.Time
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
		e.first = now
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

// size returns how many addresses were listed at any time within linger.
func (e *electorate) size(now time.Time, linger time.Duration) int {
	n := 0
	for _, l := range e.entries {
		n += oneIf(l.counts(now, linger))
	}
	return n
}

// voices returns the addresses that were listed throughout linger.
func (e *electorate) voices(now time.Time, linger time.Duration) []string {
	var addresses []string
	for a, l := range e.entries {
		if l.gone.IsZero() && now.Sub(l.since) >= linger {
			addresses = append(addresses, a)
		}
	}
	return addresses
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

// has reports whether an address counts in the size.
func (e *electorate) has(now time.Time, linger time.Duration, address string) bool {
	l, ok := e.entries[address]
	return ok && l.counts(now, linger)
}

func (l *listing) counts(now time.Time, linger time.Duration) bool {
	return l.gone.IsZero() || now.Sub(l.gone) < linger
}

func sortedKeys[V any](set map[string]V) []string {
	return slices.Sorted(maps.Keys(set))
}
