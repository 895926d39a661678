package srsuspect

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// crashed is a request that a crash ended.
type crashed struct {
	parts []string
	// ran is the time from sending the request to the crash, of several with the same
	// parts the shortest.
	ran time.Duration
}

// requestList is a bounded list of requests that a crash ended.
type requestList struct {
	list []crashed
	// parts is the number of their parts.
	parts int
}

// add adds a request if the list then has no more than maxParts parts, and returns its parts. One
// with the same parts adds nothing but its time, since parts are counted once for each crash.
func (l *requestList) add(r crashed, maxParts int) (added []string) {
	i := slices.IndexFunc(l.list, func(o crashed) bool { return slices.Equal(o.parts, r.parts) })
	switch {
	case i >= 0:
		l.list[i].ran = min(l.list[i].ran, r.ran)
		return nil
	case len(l.list) >= maxRequests || l.parts+len(r.parts) > maxParts:
		return nil
	}
	for _, p := range r.parts {
		// A part of a header would keep all of it.
		added = append(added, strings.Clone(p))
	}
	l.list, l.parts = append(l.list, crashed{parts: added, ran: r.ran}), l.parts+len(added)
	return added
}

// beside returns what else the requests with a part have.
func (l *requestList) beside(part string) map[string]bool {
	out := make(map[string]bool)
	for _, r := range l.list {
		if !slices.Contains(r.parts, part) {
			continue
		}
		for _, p := range r.parts {
			if p != part {
				out[p] = true
			}
		}
	}
	return out
}

// limitParts returns the parts of the requests of a crash, maxReportedParts at most. If there are
// more, it keeps those that are the likeliest causes.
func (s *Suspects) limitParts(c sr.Crash) [][]string {
	total, short := 0, true
	for _, r := range c.Requests {
		total += len(r)
		short = short && !slices.ContainsFunc(r, isLong)
	}
	if total <= maxReportedParts && short {
		return c.Requests
	}
	count := make(map[string]int)
	for _, r := range c.Requests {
		for _, p := range r {
			if !isLong(p) {
				count[p]++
			}
		}
	}
	left := maxReportedParts
	for _, p := range s.byLikelihood(count, c) {
		if left < count[p] {
			delete(count, p)
			continue
		}
		left -= count[p]
	}
	out := make([][]string, len(c.Requests))
	for i, r := range c.Requests {
		out[i] = slices.DeleteFunc(slices.Clone(r), func(p string) bool { return count[p] == 0 })
	}
	return out
}

// isLong reports whether another instance sent an ID that is longer than those of Part.
func isLong(p string) bool { return len(p) > maxKey }

// byLikelihood sorts parts by how likely they cause a crash: identities and suspected parts first,
// then those at more crashes since their last sound answer, then those whose sound answer is
// longer ago. The order of the rest differs between crashes, so that none is left out of all.
func (s *Suspects) byLikelihood(parts map[string]int, c sr.Crash) []string {
	salt := c.Endpoint + " " + strconv.FormatInt(c.Born, 10) + " "
	list := make([]likelihood, 0, len(parts))
	for p := range parts {
		l := likelihood{part: p, first: isIdentity(p) || s.suspected(p), sound: s.sound[p], draw: xxhash.Sum64String(salt + p)}
		if s.involved[p] > 0 {
			l.crashes = s.crashesSinceSound(p)
		}
		list = append(list, l)
	}
	slices.SortFunc(list, likelihood.compare)
	out := make([]string, len(list))
	for i, l := range list {
		out[i] = l.part
	}
	return out
}

// likelihood is by what the parts of a crash are ordered.
type likelihood struct {
	part    string
	first   bool
	crashes int
	sound   time.Time
	draw    uint64
}

func (l likelihood) compare(o likelihood) int {
	if l.first != o.first {
		if l.first {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.crashes, l.crashes), l.sound.Compare(o.sound), cmp.Compare(l.draw, o.draw))
}

// crashesSinceSound returns the number of kept crashes at which a part was since its last sound
// answer.
func (s *Suspects) crashesSinceSound(part string) (n int) {
	for _, k := range s.crashes {
		if k.parts[part] && k.at.After(s.sound[part]) {
			n++
		}
	}
	return n
}
