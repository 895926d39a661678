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
	// Proved reports whether an exchange with it succeeded within the lapse.
	Proved bool
}

// view is who is alive and who may own pools; it serves for one heartbeat.
type view struct {
	at         time.Time
	live       []Member
	candidates []Member
}

// Live returns the live instances in order of their addresses, this one
// included. An instance is live when it or one that hears it was heard within
// the lapse.
func (m *Members) Live(now time.Time) []Member {
	now = m.observe(now)
	return m.view(now).live
}

// Lost returns the instances that died, were replaced or fell silent since the
// last call.
func (m *Members) Lost(now time.Time) []sr.InstanceID {
	now = m.observe(now)
	m.cache = nil
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

// Owner returns the instance that should own a pool; ok is false when every
// live instance is leaving.
func (m *Members) Owner(now time.Time, pool sr.PoolID) (id sr.InstanceID, ok bool) {
	now = m.observe(now)
	return m.view(now).owner(pool)
}

// Holder returns the instance that grants the pool's slots now as far as is
// known, and else the one that should.
func (m *Members) Holder(now time.Time, pool sr.PoolID) (id sr.InstanceID, ok bool) {
	now = m.observe(now)
	if m.Mode(now, pool).Own {
		return m.self, true
	}
	var best time.Time
	for _, rival := range m.news.rivals(pool) {
		e := m.news.claims[pool][rival]
		if e.grants && now.Sub(e.any()) < m.opts.Lapse && e.any().After(best) {
			best, id, ok = e.any(), rival, true
		}
	}
	if ok {
		return id, true
	}
	return m.view(now).owner(pool)
}

// Watches reports whether this instance is one of the readers that hold a
// watch on the manifest in their region. An instance that dies or leaves is
// replaced by the next. region returns the region of a failure domain.
func (m *Members) Watches(now time.Time, region func(domain string) string, readers int) bool {
	if m.leaves() {
		return false
	}
	mine := weigh(m.self.Address, watchRole)
	before := 0
	for _, l := range m.Live(now) {
		if l.ID == m.self || l.Leaving || region(l.Domain) != region(m.domain) {
			continue
		}
		if weigh(l.ID.Address, watchRole) > mine {
			before++
		}
	}
	return before < readers
}

func (m *Members) view(now time.Time) *view {
	if m.cache != nil && now.Sub(m.cache.at) < m.opts.Heartbeat {
		return m.cache
	}
	v := &view{at: now}
	reporters := m.reporters(now)
	self := Member{ID: m.self, Domain: m.domain, Leaving: m.leaves(), Proved: true}
	placed := false
	for _, p := range m.sorted() {
		if !placed && p.id.Address > m.self.Address {
			v.add(self, true)
			placed = true
		}
		m.judge(now, v, p, reporters[p.id])
	}
	if !placed {
		v.add(self, true)
	}
	m.cache = v
	return v
}

// judge adds p to the view when it is alive, and notes when it is no more.
func (m *Members) judge(now time.Time, v *view, p *peer, reporters []string) {
	heard := !p.heard.IsZero() && now.Sub(p.heard) < m.opts.Lapse
	alive := heard || len(reporters) > 0
	if p.alive && !alive {
		m.lose(p.id)
	}
	p.alive = alive
	if !alive {
		return
	}
	l := Member{ID: p.id, Domain: p.domain, Leaving: p.leaving || p.marked, Version: p.version, Proved: m.proved(now, p)}
	v.add(l, m.able(now, p, heard, reporters))
}

// reporters returns for each instance the addresses of those that report it.
func (m *Members) reporters(now time.Time) map[sr.InstanceID][]string {
	by := make(map[sr.InstanceID][]string)
	for _, q := range m.peers {
		if q.heard.IsZero() || now.Sub(q.heard) >= m.opts.Lapse {
			continue
		}
		for _, id := range q.reports {
			by[id] = append(by[id], q.id.Address)
		}
	}
	return by
}

// able reports whether p can own a pool: seen from within a majority, it has
// exchanges with a majority itself or claims with one.
func (m *Members) able(now time.Time, p *peer, heard bool, reporters []string) bool {
	if m.majoritySince.IsZero() || m.news.claimsMajority(now, p.id, m.opts.Lapse) {
		return true
	}
	support := make(map[string]struct{})
	support[p.id.Address] = struct{}{}
	if m.proved(now, p) {
		support[m.self.Address] = struct{}{}
	}
	for _, a := range reporters {
		support[a] = struct{}{}
	}
	if heard {
		for _, id := range p.reports {
			support[id.Address] = struct{}{}
		}
	}
	n, size := 0, 0
	for a, l := range m.list.entries {
		if !l.counts(now, m.opts.Linger) {
			continue
		}
		size++
		if _, ok := support[a]; ok {
			n++
		}
	}
	return 2*n > size
}

func (v *view) add(l Member, able bool) {
	v.live = append(v.live, l)
	if able && !l.Leaving {
		v.candidates = append(v.candidates, l)
	}
}

// owner picks by rendezvous hash, from the pool's own failure domain first.
func (v *view) owner(pool sr.PoolID) (id sr.InstanceID, ok bool) {
	var best uint64
	near := false
	for _, l := range v.candidates {
		home := l.Domain == pool.Domain
		if near && !home {
			continue
		}
		score := weigh(l.ID.Address, pool.String())
		if !ok || home && !near || score > best {
			id, best, near, ok = l.ID, score, home, true
		}
	}
	return id, ok
}

// watchRole is the name for which the readers of the manifest are weighed.
const watchRole = "watch"

// weigh returns the rendezvous weight of an address for a name.
func weigh(address, name string) uint64 {
	return xxhash.Sum64String(address + "\x00" + name)
}

// claimsMajority reports whether id claimed any pool with a majority lately.
func (b *book) claimsMajority(now time.Time, id sr.InstanceID, age time.Duration) bool {
	for _, owners := range b.claims {
		if e, ok := owners[id]; ok && now.Sub(e.majority()) < age {
			return true
		}
	}
	return false
}
