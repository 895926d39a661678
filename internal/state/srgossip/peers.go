package srgossip

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the interval between two exchanges with a peer.
	Interval = 200 * time.Millisecond
	// rings is the number of orders of a failure domain in each of which an instance chooses the
	// one after it. One order would connect all; two random ones are short ways, and go on when
	// some end.
	rings = 2
	// minCrossings is the number of instances of a failure domain that choose a peer of another one
	// as well. Bytes between failure domains cost most. With eight, and as many from the other
	// side, a domain is not alone when half of the fleet is killed. Among many domains there are
	// more, crossingsPerDomain for each other one, so that the ways do not become longer.
	minCrossings       = 8
	crossingsPerDomain = 2.0 / 3
	// avoidTime is the time for which a peer that did not answer is not chosen. It is longer than
	// the silence after which it is no member any more.
	avoidTime = 10 * time.Second
)

// Member is an instance that may be chosen as a peer.
type Member struct {
	Address string
	Domain  string
}

// Due returns the addresses of the peers with which to start an exchange now, all of them once in
// an interval. Instances with the same members choose so that each one is chosen by as many.
func (t *Table) Due(now time.Time, members []Member) []string {
	if now.Sub(t.exchangedAt) < Interval {
		return nil
	}
	t.exchangedAt = now
	return t.choose(now, members)
}

// choose returns the peers of this instance among the members.
func (t *Table) choose(now time.Time, members []Member) []string {
	for address, since := range t.avoided {
		if now.Sub(since) > avoidTime {
			delete(t.avoided, address)
		}
	}
	var near, far []string
	domains := make(map[string]struct{})
	for _, m := range members {
		domains[m.Domain] = struct{}{}
		switch _, avoid := t.avoided[m.Address]; {
		case avoid || m.Address == t.opts.Self.Address:
		case m.Domain == t.opts.Domain:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	var out []string
	for i := range rings {
		ring := strconv.Itoa(i)
		if next := t.next(ring, near); next != "" && !slices.Contains(out, next) {
			out = append(out, next)
			continue
		}
		// A failure domain with few instances.
		if next := t.next(ring, far); next != "" {
			out = append(out, next)
		}
	}
	if next := t.next("crossing", far); next != "" && t.crosses(near, len(domains)) {
		out = append(out, next)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// next returns the instance after this one in an order of all, "" for none.
func (t *Table) next(ring string, others []string) string {
	own := hash(ring, t.opts.Self.Address)
	best, distance := "", uint64(0)
	for _, address := range others {
		// The difference wraps around, so that the last one is followed by the first one.
		if d := hash(ring, address) - own; best == "" || d < distance {
			best, distance = address, d
		}
	}
	return best
}

// crosses reports whether this instance is one of those of its failure domain that choose a peer
// of another one, in a fleet of that many domains.
func (t *Table) crosses(near []string, domains int) bool {
	own, before := hash("crosses", t.opts.Self.Address), 0
	for _, address := range near {
		if cmp.Less(hash("crosses", address), own) {
			before++
		}
	}
	return before < max(minCrossings, int(crossingsPerDomain*float64(domains)))
}

func hash(ring, address string) uint64 { return xxhash.Sum64String(ring + "/" + address) }

// Answered records whether a peer answered an exchange.
func (t *Table) Answered(now time.Time, address string, ok bool) {
	switch {
	case ok:
		delete(t.avoided, address)
	case len(t.avoided) < maxRecords:
		t.avoided[address] = now
	}
}
