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
	// since is when the claim was first included in heartbeats.
	since time.Time
	// grants reports whether this instance grants the pool's slots.
	grants bool
	// majority reports whether it also grants slots at cold endpoints, which
	// requires a majority of the instances.
	majority bool
	// yieldSentAt is when a Yield was last sent to another claimant. The claim is
	// kept while its answer may still arrive.
	yieldSentAt time.Time
	// handovers maps each former owner that handed the pool over to the time at which
	// it was sent the Yield.
	handovers map[sr.InstanceID]time.Time
}

// receivedClaim holds the latest observations of another instance's claim.
type receivedClaim struct {
	// direct is from the heartbeats of the claimant, relayed from those of others.
	direct  observation
	relayed observation
	// grants reports whether the claimant grants the pool's slots.
	grants bool
}

// observation holds the latest times at which a claim is known to have been made:
// with a majority, and at all.
type observation struct {
	withMajority time.Time
	latest       time.Time
}

func (o *observation) add(at time.Time, majority bool) {
	o.latest = later(o.latest, at)
	if majority {
		o.withMajority = later(o.withMajority, at)
	}
}

func (r *receivedClaim) withMajority() time.Time {
	return later(r.direct.withMajority, r.relayed.withMajority)
}

func (r *receivedClaim) latest() time.Time { return later(r.direct.latest, r.relayed.latest) }

// peerClaims keeps the claims of the other instances.
type peerClaims struct {
	claims map[sr.PoolID]map[sr.InstanceID]*receivedClaim
	// limit is the maximum count of claims.
	limit int
	count int
	// droppedAt is when a claim was last dropped because of the limit.
	droppedAt time.Time
}

// record records the claims of a heartbeat. A relayed claim counts from the time at
// which the relaying instance received it, and is not relayed again.
func (p *peerClaims) record(now time.Time, self sr.InstanceID, hb sr.Heartbeat, maxAge time.Duration) {
	for _, c := range hb.Ownership {
		if c.Owner == self || c.Age < 0 || c.Age > maxAge {
			continue
		}
		r := p.entry(now, c.Pool, c.Owner, maxAge)
		if r == nil {
			continue
		}
		if c.Owner == hb.From {
			r.direct.add(now, c.Majority)
			r.grants = c.Grants
			continue
		}
		at := now.Add(-c.Age)
		if at.After(r.latest()) {
			r.grants = c.Grants
		}
		r.relayed.add(at, c.Majority)
	}
}

// entry returns the entry of a claim and adds it when it is new. It returns nil for
// a new claim when there are too many.
func (p *peerClaims) entry(now time.Time, pool sr.PoolID, owner sr.InstanceID, maxAge time.Duration) *receivedClaim {
	owners := p.claims[pool]
	if r, ok := owners[owner]; ok {
		return r
	}
	if p.count >= p.limit {
		p.prune(now, maxAge)
	}
	if p.count >= p.limit {
		p.droppedAt = now
		return nil
	}
	if owners == nil {
		owners = make(map[sr.InstanceID]*receivedClaim)
		p.claims[pool] = owners
	}
	r := &receivedClaim{}
	owners[owner] = r
	p.count++
	return r
}

// prune removes the claims that were last made more than maxAge ago.
func (p *peerClaims) prune(now time.Time, maxAge time.Duration) {
	for pool, owners := range p.claims {
		for id, r := range owners {
			if now.Sub(r.latest()) > maxAge {
				delete(owners, id)
				p.count--
			}
		}
		if len(owners) == 0 {
			delete(p.claims, pool)
		}
	}
}

// relay returns the claims received from the claimants themselves within maxAge,
// ordered by pool and claimant, for this instance's heartbeats.
func (p *peerClaims) relay(now time.Time, maxAge time.Duration) []sr.Claim {
	p.prune(now, maxAge)
	var claims []sr.Claim
	for _, pool := range slices.SortedFunc(maps.Keys(p.claims), sr.PoolID.Compare) {
		owners := p.claims[pool]
		for _, id := range slices.SortedFunc(maps.Keys(owners), compareIDs) {
			claims = owners[id].appendDirect(claims, now, pool, id, maxAge)
		}
	}
	return claims
}

// appendDirect appends the last direct claim with a majority, and a later one
// without.
func (r *receivedClaim) appendDirect(claims []sr.Claim, now time.Time, pool sr.PoolID, id sr.InstanceID, maxAge time.Duration) []sr.Claim {
	c := sr.Claim{Pool: pool, Owner: id, Grants: r.grants}
	if !r.direct.withMajority.IsZero() && now.Sub(r.direct.withMajority) <= maxAge {
		c.Majority = true
		c.Age = now.Sub(r.direct.withMajority)
		claims = append(claims, c)
	}
	if r.direct.latest.After(r.direct.withMajority) && now.Sub(r.direct.latest) <= maxAge {
		c.Majority = false
		c.Age = now.Sub(r.direct.latest)
		claims = append(claims, c)
	}
	return claims
}

// claimants returns the other instances that claim a pool, in order.
func (p *peerClaims) claimants(pool sr.PoolID) []sr.InstanceID {
	return slices.SortedFunc(maps.Keys(p.claims[pool]), compareIDs)
}

// ownClaims returns this instance's claims in order of the pools.
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
