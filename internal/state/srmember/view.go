package srmember

import (
	"time"

	"github.com/cespare/xxhash/v2"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Member is a live instance.
type Member struct {
	ID      sr.InstanceID
	Domain  string
	Leaving bool
	Version sr.Version
	// Acknowledged reports whether it acknowledged a heartbeat within the lapse time.
	Acknowledged bool
}

// view lists the live instances and those that can own pools. It is cached for the
// time between two heartbeats.
type view struct {
	at   time.Time
	live []Member
	// candidates are the live instances that can own pools.
	candidates []Member
}

// Live returns the live instances in order of their addresses, including this one.
// An instance is live when a heartbeat from it, or from an instance that reports it
// in Heartbeat.Heard, was received within the lapse time.
func (m *Members) Live(now time.Time) []Member {
	now = m.advanceTo(now)
	return m.view(now).live
}

// Lost returns the instances that are no longer live or were replaced by another
// incarnation since the last call.
func (m *Members) Lost(now time.Time) []sr.InstanceID {
	now = m.advanceTo(now)
	m.cachedView = nil
	m.view(now)
	lost := m.lost
	m.lost = nil
	return lost
}

// Versions returns the manifest versions of the other live instances.
func (m *Members) Versions(now time.Time) []sr.Version {
	var versions []sr.Version
	for _, l := range m.Live(now) {
		if l.ID != m.self && l.Version.Number > 0 {
			versions = append(versions, l.Version)
		}
	}
	return versions
}

// Owner returns the instance that should own a pool. ok is false when no live
// instance can own pools, for example because all are leaving.
func (m *Members) Owner(now time.Time, pool sr.PoolID) (id sr.InstanceID, ok bool) {
	now = m.advanceTo(now)
	return m.view(now).owner(pool)
}

// CurrentOwner returns the instance that grants the pool's slots according to the
// latest claim, or the one that should own the pool when there is none.
func (m *Members) CurrentOwner(now time.Time, pool sr.PoolID) (id sr.InstanceID, ok bool) {
	now = m.advanceTo(now)
	if m.Mode(now, pool).Own {
		return m.self, true
	}
	var best time.Time
	for _, claimant := range m.peerClaims.claimants(pool) {
		r := m.peerClaims.claims[pool][claimant]
		if r.grants && now.Sub(r.latest()) < m.opts.Lapse && r.latest().After(best) {
			best, id, ok = r.latest(), claimant, true
		}
	}
	if ok {
		return id, true
	}
	return m.view(now).owner(pool)
}

// Watches reports whether this instance is one of the given number of readers in its
// region that watch the manifest at the configuration service. The readers are
// chosen by rendezvous hashing, so that a reader that dies or leaves is replaced by
// the next one. region returns the region of a failure domain.
func (m *Members) Watches(now time.Time, region func(domain string) string, readers int) bool {
	if m.isLeaving() {
		return false
	}
	own := rendezvousWeight(m.self.Address, watchRole)
	before := 0
	for _, l := range m.Live(now) {
		if l.ID == m.self || l.Leaving || region(l.Domain) != region(m.domain) {
			continue
		}
		if rendezvousWeight(l.ID.Address, watchRole) > own {
			before++
		}
	}
	return before < readers
}

// view returns the cached view, or a new one when it is older than the time between
// two heartbeats.
func (m *Members) view(now time.Time) *view {
	if m.cachedView != nil && now.Sub(m.cachedView.at) < m.opts.Heartbeat {
		return m.cachedView
	}
	v := &view{at: now}
	reporters := m.reporters(now)
	self := Member{ID: m.self, Domain: m.domain, Leaving: m.isLeaving(), Acknowledged: true}
	added := false
	for _, p := range m.sortedPeers() {
		if !added && p.id.Address > m.self.Address {
			v.add(self, true)
			added = true
		}
		m.addPeer(now, v, p, reporters[p.id])
	}
	if !added {
		v.add(self, true)
	}
	m.cachedView = v
	return v
}

// addPeer adds p to the view when it is alive, and records it as lost when it no
// longer is. reporters are the addresses of the instances that report it.
func (m *Members) addPeer(now time.Time, v *view, p *peer, reporters []string) {
	received := !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < m.opts.Lapse
	alive := received || len(reporters) > 0
	if p.alive && !alive {
		m.recordLost(p.id)
	}
	p.alive = alive
	if !alive {
		return
	}
	l := Member{ID: p.id, Domain: p.domain, Leaving: p.leaving || p.listedLeaving, Version: p.version, Acknowledged: m.acked(now, p)}
	v.add(l, m.canOwn(now, p, received, reporters))
}

// reporters returns for each instance the addresses of the live instances that
// report it in Heartbeat.Heard.
func (m *Members) reporters(now time.Time) map[sr.InstanceID][]string {
	by := make(map[sr.InstanceID][]string)
	for _, q := range m.peers {
		if q.receivedAt.IsZero() || now.Sub(q.receivedAt) >= m.opts.Lapse {
			continue
		}
		for _, id := range q.reports {
			by[id] = append(by[id], q.id.Address)
		}
	}
	return by
}

// canOwn reports whether p can own a pool. When this instance has a majority, p has
// to claim a pool with a majority too, or to be in contact with one. received
// reports whether a heartbeat of p was received within the lapse time.
func (m *Members) canOwn(now time.Time, p *peer, received bool, reporters []string) bool {
	if m.majoritySince.IsZero() || m.peerClaims.claimsMajority(now, p.id, m.opts.Lapse) {
		return true
	}
	contacts := make(map[string]struct{})
	contacts[p.id.Address] = struct{}{}
	if m.acked(now, p) {
		contacts[m.self.Address] = struct{}{}
	}
	for _, a := range reporters {
		contacts[a] = struct{}{}
	}
	if received {
		for _, id := range p.reports {
			contacts[id.Address] = struct{}{}
		}
	}
	n, size := 0, 0
	for a, l := range m.voters.entries {
		if !l.within(now, m.opts.Linger) {
			continue
		}
		size++
		if _, ok := contacts[a]; ok {
			n++
		}
	}
	return 2*n > size
}

func (v *view) add(l Member, canOwn bool) {
	v.live = append(v.live, l)
	if canOwn && !l.Leaving {
		v.candidates = append(v.candidates, l)
	}
}

// owner chooses the owner of a pool by rendezvous hashing among the candidates in
// the pool's own failure domain, or among all when there is none.
func (v *view) owner(pool sr.PoolID) (id sr.InstanceID, ok bool) {
	var best uint64
	local := false
	for _, l := range v.candidates {
		inDomain := l.Domain == pool.Domain
		if local && !inDomain {
			continue
		}
		weight := rendezvousWeight(l.ID.Address, pool.String())
		if !ok || inDomain && !local || weight > best {
			id, best, local, ok = l.ID, weight, inDomain, true
		}
	}
	return id, ok
}

// watchRole is the rendezvous name by which the readers of the manifest are chosen.
const watchRole = "watch"

// rendezvousWeight returns the weight of an address for a name. The address with
// the highest weight is chosen.
func rendezvousWeight(address, name string) uint64 {
	return xxhash.Sum64String(address + "\x00" + name)
}

// claimsMajority reports whether id claimed any pool with a majority less than age
// ago.
func (p *peerClaims) claimsMajority(now time.Time, id sr.InstanceID, age time.Duration) bool {
	for _, owners := range p.claims {
		if r, ok := owners[id]; ok && now.Sub(r.withMajority()) < age {
			return true
		}
	}
	return false
}
