package srmember

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// claim is this instance's claim on a pool.
type claim struct {
	// since is when the claim was first put into heartbeats.
	since time.Time
	// grants reports whether slots are granted.
	grants bool
	// full reports whether cold endpoints may be granted too.
	full bool
	// asked is when a claimant was last asked to yield. The claim stands while
	// the answer may come.
	asked time.Time
	// handed says when the hand-over by a former owner was asked for.
	handed map[sr.InstanceID]time.Time
}

// evidence is what is known of another instance's claim.
type evidence struct {
	first  sighting
	second sighting
	grants bool
}

// sighting says when a claim was last known to be made, with a majority and
// with or without.
type sighting struct {
	majority time.Time
	any      time.Time
}

func (s *sighting) add(at time.Time, majority bool) {
	s.any = later(s.any, at)
	if majority {
		s.majority = later(s.majority, at)
	}
}

func (e *evidence) majority() time.Time { return later(e.first.majority, e.second.majority) }

func (e *evidence) any() time.Time { return later(e.first.any, e.second.any) }

// book keeps the claims of the other instances.
type book struct {
	claims map[sr.PoolID]map[sr.InstanceID]*evidence
	limit  int
	count  int
	// full is when a claim was last dropped for want of room.
	full time.Time
}

// take notes the claims of a heartbeat. Claims at second hand count by their
// age, and are not passed on.
func (b *book) take(now time.Time, self sr.InstanceID, hb sr.Heartbeat, quiet time.Duration) {
	for _, c := range hb.Ownership {
		if c.Owner == self || c.Age < 0 || c.Age > quiet {
			continue
		}
		e := b.entry(now, c.Pool, c.Owner, quiet)
		if e == nil {
			continue
		}
		if c.Owner == hb.From {
			e.first.add(now, c.Majority)
			e.grants = c.Grants
			continue
		}
		at := now.Add(-c.Age)
		if at.After(e.any()) {
			e.grants = c.Grants
		}
		e.second.add(at, c.Majority)
	}
}

func (b *book) entry(now time.Time, pool sr.PoolID, owner sr.InstanceID, quiet time.Duration) *evidence {
	owners := b.claims[pool]
	if e, ok := owners[owner]; ok {
		return e
	}
	if b.count >= b.limit {
		b.prune(now, quiet)
	}
	if b.count >= b.limit {
		b.full = now
		return nil
	}
	if owners == nil {
		owners = make(map[sr.InstanceID]*evidence)
		b.claims[pool] = owners
	}
	e := &evidence{}
	owners[owner] = e
	b.count++
	return e
}

// prune drops the claims that are too old to matter.
func (b *book) prune(now time.Time, quiet time.Duration) {
	for pool, owners := range b.claims {
		for id, e := range owners {
			if now.Sub(e.any()) > quiet {
				delete(owners, id)
				b.count--
			}
		}
		if len(owners) == 0 {
			delete(b.claims, pool)
		}
	}
}

// firstHand returns the claims heard from their owners within quiet, in order.
func (b *book) firstHand(now time.Time, quiet time.Duration) []sr.Claim {
	b.prune(now, quiet)
	var claims []sr.Claim
	for _, pool := range slices.SortedFunc(maps.Keys(b.claims), sr.PoolID.Compare) {
		owners := b.claims[pool]
		for _, id := range slices.SortedFunc(maps.Keys(owners), compareIDs) {
			claims = owners[id].appendFirst(claims, now, pool, id, quiet)
		}
	}
	return claims
}

func (e *evidence) appendFirst(claims []sr.Claim, now time.Time, pool sr.PoolID, id sr.InstanceID, quiet time.Duration) []sr.Claim {
	c := sr.Claim{Pool: pool, Owner: id, Grants: e.grants}
	if !e.first.majority.IsZero() && now.Sub(e.first.majority) <= quiet {
		c.Majority = true
		c.Age = now.Sub(e.first.majority)
		claims = append(claims, c)
	}
	if e.first.any.After(e.first.majority) && now.Sub(e.first.any) <= quiet {
		c.Majority = false
		c.Age = now.Sub(e.first.any)
		claims = append(claims, c)
	}
	return claims
}

// rivals returns the known claimants of a pool in order.
func (b *book) rivals(pool sr.PoolID) []sr.InstanceID {
	return slices.SortedFunc(maps.Keys(b.claims[pool]), compareIDs)
}

func (m *Members) ownClaims(now time.Time) []sr.Claim {
	majority := m.Majority(now)
	var claims []sr.Claim
	for _, pool := range slices.SortedFunc(maps.Keys(m.claims), sr.PoolID.Compare) {
		c := m.claims[pool]
		claims = append(claims, sr.Claim{
			Pool:     pool,
			Owner:    m.self,
			Grants:   c.grants,
			Majority: majority,
		})
	}
	return claims
}

func compareIDs(a, b sr.InstanceID) int {
	if c := strings.Compare(a.Address, b.Address); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
