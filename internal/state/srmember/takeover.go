package srmember

import (
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Act is the action to take for a pool.
type Act uint8

// Actions.
const (
	// ActKeep: nothing changes.
	ActKeep Act = iota + 1
	// ActRequestHandover: send a Yield to OwnershipAction.Claimant, and call
	// HandoverReceived when the pool is handed over.
	ActRequestHandover
	// ActWait: this instance is to own the pool, but may not grant its slots yet.
	ActWait
	// ActOwn: start granting the pool's slots.
	ActOwn
	// ActRelease: stop granting the pool's slots.
	ActRelease
)

// OwnershipAction is the action to take for one pool, and the grants that this
// instance may make for it.
type OwnershipAction struct {
	Pool sr.PoolID
	Act  Act
	// Claimant is the instance to send the Yield to, for ActRequestHandover.
	Claimant sr.InstanceID
	Mode     sr.PoolMode
}

// yieldWaitLapses is the number of lapse times after a Yield for which a claim is kept
// although another instance should own the pool, since the answer may still arrive.
const yieldWaitLapses = 2

// Takeover updates this instance's claims, and returns the action for each of the
// given pools in order, followed by ActRelease for pools that no longer exist. It
// is called once per heartbeat.
func (m *Members) Takeover(now time.Time, pools []sr.PoolID) []OwnershipAction {
	now = m.advanceTo(now)
	m.takeoverAt = now
	actions := make([]OwnershipAction, 0, len(pools))
	known := make(map[sr.PoolID]bool, len(pools))
	for _, pool := range pools {
		known[pool] = true
		act, claimant := m.updateClaim(now, pool)
		actions = append(actions, OwnershipAction{Pool: pool, Act: act, Claimant: claimant, Mode: m.Mode(now, pool)})
	}
	for _, pool := range slices.SortedFunc(maps.Keys(m.claims), sr.PoolID.Compare) {
		if !known[pool] {
			delete(m.claims, pool)
			actions = append(actions, OwnershipAction{Pool: pool, Act: ActRelease})
		}
	}
	maps.DeleteFunc(m.yieldedUntil, func(_ sr.PoolID, until time.Time) bool { return !now.Before(until) })
	return actions
}

// Mode returns the grants that this instance may make for a pool at now. Without a
// majority, an owner may still grant slots at warm endpoints, when it has been up for
// long enough to have received every claim and is in contact with the pool's failure
// domain.
func (m *Members) Mode(now time.Time, pool sr.PoolID) sr.PoolMode {
	now = m.advanceTo(now)
	c := m.claims[pool]
	if c == nil || !c.grants {
		return sr.PoolMode{}
	}
	if m.Majority(now) {
		return sr.PoolMode{Own: true, Majority: c.majority}
	}
	return sr.PoolMode{Own: m.selfKnowsClaims(now) && m.reachesDomain(now, pool.Domain)}
}

// Yield answers another instance's request to hand a pool over. When it returns
// true, this instance grants no more of the pool's slots, and the caller hands the
// pool's state over.
func (m *Members) Yield(now time.Time, y sr.Yield) bool {
	now = m.advanceTo(now)
	if y.To == m.self || !m.mayYield(now, y) {
		return false
	}
	owner, ok := m.view(now).owner(y.Pool)
	if ok && owner != y.To && !m.isLeaving() {
		return false
	}
	delete(m.claims, y.Pool)
	m.yieldedUntil[y.Pool] = now.Add(m.opts.TakeoverDelay())
	return true
}

// mayYield reports whether the requesting instance is known to claim the pool. After
// a pause this instance does not yield for a lease time, since the Yield may have
// been sent long ago.
func (m *Members) mayYield(now time.Time, y sr.Yield) bool {
	r, ok := m.peerClaims.claims[y.Pool][y.To]
	paused := m.resumedAt.After(m.startedAt) && now.Sub(m.resumedAt) < m.opts.Lease
	return ok && !paused && now.Sub(r.latest()) < m.opts.Lapse
}

// HandoverReceived records that from handed a pool over in answer to a Yield sent at
// sentAt, and returns the grants that this instance may now make for the pool.
func (m *Members) HandoverReceived(now time.Time, pool sr.PoolID, from sr.InstanceID, sentAt time.Time) sr.PoolMode {
	now = m.advanceTo(now)
	c := m.claims[pool]
	if c == nil {
		return sr.PoolMode{}
	}
	if c.handovers == nil {
		c.handovers = make(map[sr.InstanceID]time.Time)
	}
	c.handovers[from] = sentAt
	m.startGrants(now, pool, c)
	return m.Mode(now, pool)
}

// updateClaim starts, advances or drops the claim on a pool.
func (m *Members) updateClaim(now time.Time, pool sr.PoolID) (act Act, to sr.InstanceID) {
	owner, ok := m.view(now).owner(pool)
	preferred := ok && owner == m.self
	c := m.claims[pool]
	switch {
	case c == nil && !preferred:
		return ActKeep, to
	case c == nil:
		return m.startClaim(now, pool)
	case c.majority:
		return ActKeep, to
	case !preferred && m.mayKeep(now, pool, c):
		return ActKeep, to
	case !preferred && now.Sub(c.yieldSentAt) < yieldWaitLapses*m.opts.Lapse:
		return ActWait, to
	case !preferred:
		delete(m.claims, pool)
		return ActRelease, to
	}
	return m.advanceClaim(now, pool, c)
}

// mayKeep reports whether an owner continues because no instance can succeed it.
func (m *Members) mayKeep(now time.Time, pool sr.PoolID, c *claim) bool {
	_, ok := m.view(now).owner(pool)
	return c.grants && !ok
}

// startClaim starts a claim, unless this instance has yielded the pool recently or
// may not have received all claims of the others yet.
func (m *Members) startClaim(now time.Time, pool sr.PoolID) (act Act, to sr.InstanceID) {
	if now.Before(m.yieldedUntil[pool]) || !m.selfKnowsClaims(now) {
		return ActWait, to
	}
	m.claims[pool] = &claim{since: now}
	return ActWait, to
}

// advanceClaim starts grants when nothing blocks the claim. Otherwise it stops the
// grants that were made without a majority when the blocking claimant grants too,
// or requests a hand-over from that claimant.
func (m *Members) advanceClaim(now time.Time, pool sr.PoolID, c *claim) (act Act, to sr.InstanceID) {
	granted := c.grants
	if m.startGrants(now, pool, c) && !granted {
		return ActOwn, to
	}
	claimant, grants, found := m.blockingClaim(now, pool, c)
	if found && grants && granted && !c.majority {
		c.grants = false
		return ActRelease, to
	}
	if found && m.claimedRecently(now, pool, claimant) && m.mayStart(now, c) {
		c.yieldSentAt = now
		return ActRequestHandover, claimant
	}
	if c.grants {
		return ActKeep, to
	}
	return ActWait, to
}

// startGrants starts grants unless another claim blocks it or the claim may not start
// yet. With a majority it allows grants at cold endpoints too. It reports whether
// this instance grants the pool's slots.
func (m *Members) startGrants(now time.Time, pool sr.PoolID, c *claim) bool {
	if _, _, found := m.blockingClaim(now, pool, c); found || !m.mayStart(now, c) {
		return c.grants
	}
	c.grants = true
	c.majority = m.Majority(now)
	return true
}

// mayStart reports whether the claim has been announced for long enough to start
// grants. With a majority, a majority has to have acknowledged heartbeats that
// carried the claim within the lease time. Without one, the claim has to be as old
// as the takeover delay. No grants start while claims of other instances are
// dropped because of MaxClaims.
func (m *Members) mayStart(now time.Time, c *claim) bool {
	if now.Sub(m.peerClaims.droppedAt) <= m.opts.TakeoverDelay() && !m.peerClaims.droppedAt.IsZero() {
		return false
	}
	if m.Majority(now) {
		return m.hasMajority(now, m.opts.Lease, later(c.since, m.majoritySince))
	}
	return m.selfKnowsClaims(now) && now.Sub(c.since) >= m.opts.TakeoverDelay()
}

// blockingClaim returns a claimant that prevents grants, and whether it grants the
// pool's slots. A claimant that has handed the pool over does not.
func (m *Members) blockingClaim(now time.Time, pool sr.PoolID, c *claim) (id sr.InstanceID, grants, found bool) {
	for _, id := range m.peerClaims.claimants(pool) {
		r := m.peerClaims.claims[pool][id]
		if sent, ok := c.handovers[id]; ok && now.Sub(sent) < m.opts.TakeoverDelay() {
			continue
		}
		if m.blocks(now, c, r) {
			return id, r.grants, true
		}
	}
	return id, false, false
}

// blocks reports whether a claim by another instance prevents grants. With a
// majority, only claims made with a majority do so, but a claimant that grants
// without one is first asked to hand the pool over, for the takeover delay at most.
func (m *Members) blocks(now time.Time, c *claim, r *receivedClaim) bool {
	delay := m.opts.TakeoverDelay()
	if m.ablation.noTakeoverDelay {
		delay = m.opts.Heartbeat
	}
	if !m.Majority(now) {
		return now.Sub(r.latest()) <= delay
	}
	if now.Sub(r.withMajority()) <= delay {
		return true
	}
	return r.grants && now.Sub(r.latest()) < m.opts.Lapse && now.Sub(c.since) < delay
}

// claimedRecently reports whether another instance claimed a pool within the lapse
// time.
func (m *Members) claimedRecently(now time.Time, pool sr.PoolID, id sr.InstanceID) bool {
	return now.Sub(m.peerClaims.claims[pool][id].latest()) < m.opts.Lapse
}

// selfKnowsClaims reports whether this instance has been running without a pause for
// long enough to have received every claim.
func (m *Members) selfKnowsClaims(now time.Time) bool {
	return now.Sub(m.resumedAt) >= m.opts.TakeoverDelay()
}

// reachesDomain reports whether this instance, or one that acknowledged a heartbeat
// within the lapse time, is in a failure domain.
func (m *Members) reachesDomain(now time.Time, domain string) bool {
	if domain == m.domain {
		return true
	}
	for _, p := range m.peers {
		if p.domain == domain && m.acked(now, p) {
			return true
		}
	}
	return false
}
