package srforward

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// members is what an instance knows of the others.
type members struct {
	self   sr.InstanceID
	domain string

	mu    sync.Mutex
	seeds []string
	list  map[string]*member
	// changed is when a member was last heard for the first time.
	changed time.Time
	// left holds the incarnations that said they shut down.
	left map[sr.InstanceID]time.Time
}

// member is another instance, by address.
type member struct {
	id     sr.InstanceID
	domain string
	// heard is when the last exchange succeeded, zero for never.
	heard time.Time
	// tried is when the last exchange was begun.
	tried time.Time
	// since is when the member became known.
	since time.Time
	usage sr.Usage
	// silent is set while the member is known to be silent.
	silent bool
}

// loss is a member that fell silent, and the time since it was heard.
type loss struct {
	id  sr.InstanceID
	age time.Duration
}

func newMembers(self sr.InstanceID, domain string, seeds []string) *members {
	return &members{
		self:   self,
		domain: domain,
		seeds:  seeds,
		list:   make(map[string]*member),
		left:   make(map[sr.InstanceID]time.Time),
	}
}

func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// hear takes another instance's news and reports whether that changes what is
// known of it: it was new or silent, or leaves.
func (m *members) hear(now time.Time, g sr.Gossip) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.From.Address == m.self.Address {
		return false
	}
	if g.Leaving {
		_, known := m.left[g.From]
		m.left[g.From] = now
		delete(m.list, g.From.Address)
		return !known
	}
	e, ok := m.list[g.From.Address]
	if !ok {
		e = &member{since: now}
		m.list[g.From.Address] = e
	}
	joined := e.id != g.From || now.Sub(e.heard) > memberFor
	if joined {
		m.changed = now
	}
	changed = e.silent || joined
	e.id, e.domain, e.heard, e.silent = g.From, g.Domain, now, false
	e.usage = g.Usage
	for _, id := range g.Known {
		m.learn(now, id)
	}
	return changed
}

// lost returns the members that have fallen silent since the last call.
func (m *members) lost(now time.Time) []loss {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []loss
	for _, e := range m.list {
		if age := now.Sub(e.heard); !e.heard.IsZero() && !e.silent && age > m.silence() {
			e.silent = true
			out = append(out, loss{id: e.id, age: age})
		}
	}
	return out
}

// learn notes an instance that another one has heard of.
func (m *members) learn(now time.Time, id sr.InstanceID) {
	_, known := m.list[id.Address]
	_, left := m.left[id]
	if known || left || id.Address == m.self.Address {
		return
	}
	m.list[id.Address] = &member{id: id, since: now}
}

// pause returns the time between two exchanges with one peer.
func (m *members) pause() time.Duration {
	return max(gossipEvery, time.Duration(len(m.list)+1)*gossipPeer)
}

// silence returns after how long without an exchange a member is silent.
func (m *members) silence() time.Duration { return max(aliveFor, alivePauses*m.pause()) }

// silent is silence for callers without the lock.
func (m *members) silent() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silence()
}

// due returns the addresses with which an exchange should begin now: those that
// were not heard lately, or all when the view wants a proof, which only an answer
// can bring.
func (m *members) due(now time.Time, proof bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for address, e := range m.list {
		pause := m.pause()
		if now.Sub(e.heard) > m.silence() {
			pause = max(pause, seedEvery)
		}
		if now.Sub(e.tried) >= pause && (proof || now.Sub(e.heard) >= m.pause()) {
			e.tried = now
			out = append(out, address)
		}
	}
	for _, address := range m.seeds {
		if _, ok := m.list[address]; !ok && address != m.self.Address {
			// The incarnation is not known before the first exchange.
			m.list[address] = &member{id: sr.InstanceID{Address: address}, tried: now, since: now}
			out = append(out, address)
		}
	}
	return out
}

// sweep forgets members that have been silent for long.
func (m *members) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.list, func(address string, e *member) bool {
		last := e.heard
		if e.since.After(last) {
			last = e.since
		}
		return now.Sub(last) > memberFor && !slices.Contains(m.seeds, address)
	})
	maps.DeleteFunc(m.left, func(_ sr.InstanceID, t time.Time) bool { return now.Sub(t) > memberFor })
}

// recent returns the members that were heard within a time.
func (m *members) recent(now time.Time, within time.Duration) []*member {
	var out []*member
	for _, e := range m.list {
		if now.Sub(e.heard) <= within {
			out = append(out, e)
		}
	}
	return out
}

// alive returns the addresses of the members that were heard lately.
func (m *members) alive(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addresses(m.recent(now, m.silence()))
}

// present returns the addresses of the members that share the endpoints, or as
// many unknown ones as a fleet is taken to have while none was heard.
func (m *members) present(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := addresses(m.recent(now, presentFor))
	if len(out) == 0 && !m.alone() {
		out = make([]string, fleetUnknown-1)
	}
	return out
}

// alone reports whether the seeds name no other instance.
func (m *members) alone() bool {
	return !slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != m.self.Address })
}

// known returns the identities of the members that were heard lately, while
// there is someone who may not know them.
func (m *members) known(now time.Time) []sr.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.changed) > spreadFor {
		return nil
	}
	var out []sr.InstanceID
	for _, e := range m.recent(now, memberFor) {
		out = append(out, e.id)
	}
	return out
}

// size returns the number of instances in the fleet.
func (m *members) size(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1 + len(m.recent(now, memberFor))
	if n == 1 && !m.alone() {
		return fleetUnknown
	}
	return n
}

// running adds up the requests that other instances have in flight.
func (m *members) running(now time.Time) map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int)
	for _, e := range m.recent(now, m.silence()) {
		for id, n := range e.usage.Running {
			out[id] += n
		}
	}
	return out
}

// reads reports whether this instance is one of those that watch the registry
// for all: the first by a hash of the address, and the next ones in other
// failure domains if there are any.
func (m *members) reads(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append(m.recent(now, m.silence()), &member{id: m.self, domain: m.domain})
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Compare(xxhash.Sum64String(a.id.Address), xxhash.Sum64String(b.id.Address))
	})
	taken := make(map[string]bool)
	var chosen, rest []string
	for _, e := range all {
		if taken[e.domain] {
			rest = append(rest, e.id.Address)
			continue
		}
		taken[e.domain] = true
		chosen = append(chosen, e.id.Address)
	}
	order := append(chosen, rest...)
	return slices.Contains(order[:min(readers, len(order))], m.self.Address)
}

func addresses(list []*member) []string {
	var out []string
	for _, e := range list {
		out = append(out, e.id.Address)
	}
	slices.Sort(out)
	return out
}
