package srmember

import (
	"maps"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Act is what to do about a pool.
type Act uint8

// Acts.
const (
	// ActKeep: nothing changes.
	ActKeep Act = iota + 1
	// ActClaim: send a Yield to Turn.To and report a hand-over by Handed.
	ActClaim
	// ActWait: the pool will be this instance's; it may not grant yet.
	ActWait
	// ActOwn: grants begin.
	ActOwn
	// ActRelease: grants end.
	ActRelease
)

// Turn says what to do about one pool, and what its owner may do.
type Turn struct {
	Pool sr.PoolID
	Act  Act
	// To is the claimant to ask, for ActClaim.
	To   sr.InstanceID
	Mode sr.PoolMode
}

// askHold is for how many lapses after a Yield a claim stands though another
// instance should own the pool.
const askHold = 2

// Takeover takes over, keeps and releases pools, and returns what to do in the
// order of pools. It is called once per heartbeat.
func (m *Members) Takeover(now time.Time, pools []sr.PoolID) []Turn {
	now = m.observe(now)
	m.ticked = now
	turns := make([]Turn, 0, len(pools))
	known := make(map[sr.PoolID]bool, len(pools))
	for _, pool := range pools {
		known[pool] = true
		act, to := m.turn(now, pool)
		turns = append(turns, Turn{Pool: pool, Act: act, To: to, Mode: m.Mode(now, pool)})
	}
	for _, pool := range slices.SortedFunc(maps.Keys(m.claims), sr.PoolID.Compare) {
		if !known[pool] {
			delete(m.claims, pool)
			turns = append(turns, Turn{Pool: pool, Act: ActRelease})
		}
	}
	maps.DeleteFunc(m.cooled, func(_ sr.PoolID, until time.Time) bool { return !now.Before(until) })
	return turns
}

// Mode returns what this instance may do as the owner of a pool at now.
func (m *Members) Mode(now time.Time, pool sr.PoolID) sr.PoolMode {
	now = m.observe(now)
	c := m.claims[pool]
	if c == nil || !c.grants {
		return sr.PoolMode{}
	}
	if m.Majority(now) {
		return sr.PoolMode{Own: true, Majority: c.full}
	}
	return sr.PoolMode{Own: m.settled(now) && m.reaches(now, pool.Domain)}
}

// Yield answers another instance that asks for a pool. When it returns true
// the pool's state is to be handed over: this instance grants nothing more.
func (m *Members) Yield(now time.Time, y sr.Yield) bool {
	now = m.observe(now)
	if y.To == m.self || !m.mayYield(now, y) {
		return false
	}
	owner, ok := m.view(now).owner(y.Pool)
	if ok && owner != y.To && !m.leaves() {
		return false
	}
	delete(m.claims, y.Pool)
	m.cooled[y.Pool] = now.Add(m.opts.Quiet())
	return true
}

// mayYield reports whether the asking instance is known to claim the pool. One
// that has just woken up can't tell, since the Yield may be old.
func (m *Members) mayYield(now time.Time, y sr.Yield) bool {
	e, ok := m.news.claims[y.Pool][y.To]
	paused := m.awake.After(m.born) && now.Sub(m.awake) < m.opts.Lease
	return ok && !paused && now.Sub(e.any()) < m.opts.Lapse
}

// Handed tells that from handed a pool over, as asked by a Yield sent at
// sentAt, and returns what this instance may do now.
func (m *Members) Handed(now time.Time, pool sr.PoolID, from sr.InstanceID, sentAt time.Time) sr.PoolMode {
	now = m.observe(now)
	c := m.claims[pool]
	if c == nil {
		return sr.PoolMode{}
	}
	if c.handed == nil {
		c.handed = make(map[sr.InstanceID]time.Time)
	}
	c.handed[from] = sentAt
	m.begin(now, pool, c)
	return m.Mode(now, pool)
}

func (m *Members) turn(now time.Time, pool sr.PoolID) (act Act, to sr.InstanceID) {
	owner, ok := m.view(now).owner(pool)
	mine := ok && owner == m.self
	c := m.claims[pool]
	switch {
	case c == nil && !mine:
		return ActKeep, to
	case c == nil:
		return m.enter(now, pool)
	case c.full:
		return ActKeep, to
	case !mine && m.mayKeep(now, pool, c):
		return ActKeep, to
	case !mine && now.Sub(c.asked) < askHold*m.opts.Lapse:
		return ActWait, to
	case !mine:
		delete(m.claims, pool)
		return ActRelease, to
	}
	return m.pursue(now, pool, c)
}

// mayKeep reports whether a leaving owner goes on because nobody can follow.
func (m *Members) mayKeep(now time.Time, pool sr.PoolID, c *claim) bool {
	_, ok := m.view(now).owner(pool)
	return c.grants && !ok
}

// enter starts a claim.
func (m *Members) enter(now time.Time, pool sr.PoolID) (act Act, to sr.InstanceID) {
	if now.Before(m.cooled[pool]) || !m.settled(now) {
		return ActWait, to
	}
	m.claims[pool] = &claim{since: now}
	return ActWait, to
}

// pursue moves a claim on.
func (m *Members) pursue(now time.Time, pool sr.PoolID, c *claim) (act Act, to sr.InstanceID) {
	granted := c.grants
	if m.begin(now, pool, c) && !granted {
		return ActOwn, to
	}
	rival, grants, found := m.rival(now, pool, c)
	if found && grants && granted && !c.full {
		c.grants = false
		return ActRelease, to
	}
	if found && m.heardLately(now, pool, rival) && m.ready(now, c) {
		c.asked = now
		return ActClaim, rival
	}
	if c.grants {
		return ActKeep, to
	}
	return ActWait, to
}

// begin starts grants, also at cold endpoints with a majority, when nothing
// stands against it. It reports whether slots are granted.
func (m *Members) begin(now time.Time, pool sr.PoolID, c *claim) bool {
	if _, _, found := m.rival(now, pool, c); found || !m.ready(now, c) {
		return c.grants
	}
	c.grants = true
	c.full = m.Majority(now)
	return true
}

// ready reports whether the claim itself is far enough to begin: with a
// majority, when a majority has lately answered heartbeats that carried it.
func (m *Members) ready(now time.Time, c *claim) bool {
	if now.Sub(m.news.full) <= m.opts.Quiet() && !m.news.full.IsZero() {
		return false
	}
	if m.Majority(now) {
		return m.votes(now, m.opts.Lease, later(c.since, m.majoritySince))
	}
	return m.settled(now) && now.Sub(c.since) >= m.opts.Quiet()
}

// rival returns a claimant that stands against a begin.
func (m *Members) rival(now time.Time, pool sr.PoolID, c *claim) (id sr.InstanceID, grants, found bool) {
	for _, id := range m.news.rivals(pool) {
		e := m.news.claims[pool][id]
		if sent, ok := c.handed[id]; ok && now.Sub(sent) < m.opts.Quiet() {
			continue
		}
		if m.blocks(now, c, e) {
			return id, e.grants, true
		}
	}
	return id, false, false
}

// blocks reports whether a claim by another instance stands against a begin.
// One that hears a majority need not heed a claim without, but asks for the
// hand-over first.
func (m *Members) blocks(now time.Time, c *claim, e *evidence) bool {
	quiet := m.opts.Quiet()
	if m.trial.noQuiet {
		quiet = m.opts.Heartbeat
	}
	if !m.Majority(now) {
		return now.Sub(e.any()) <= quiet
	}
	if now.Sub(e.majority()) <= quiet {
		return true
	}
	return e.grants && now.Sub(e.any()) < m.opts.Lapse && now.Sub(c.since) < quiet
}

func (m *Members) heardLately(now time.Time, pool sr.PoolID, id sr.InstanceID) bool {
	return now.Sub(m.news.claims[pool][id].any()) < m.opts.Lapse
}

// settled reports whether the instance is up and awake for long enough to have
// heard every claim.
func (m *Members) settled(now time.Time) bool {
	return now.Sub(m.awake) >= m.opts.Quiet()
}

// reaches reports whether an instance of the failure domain is this one or was
// proved alive.
func (m *Members) reaches(now time.Time, domain string) bool {
	if domain == m.domain {
		return true
	}
	for _, p := range m.peers {
		if p.domain == domain && m.proved(now, p) {
			return true
		}
	}
	return false
}
