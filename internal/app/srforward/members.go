package srforward

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srgroup"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srgossip"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// maxMembers is the maximum number of instances that are known, twice that of a large fleet.
	maxMembers = 2048
	// usageMemoryRatio is the fraction of the process's memory that the loads reported by the
	// others may take. At 12,000 endpoints with a few requests each it is less than half.
	usageMemoryRatio = 0.125
	// loadBytes is the memory of a reported load of an endpoint, in bytes beside its ID.
	loadBytes = 64
)

// members holds the other instances that this instance knows.
type members struct {
	self   sr.InstanceID
	domain string
	// usageMemory is the memory for the loads that the others report.
	usageMemory *srmemory.Budget

	mu        sync.Mutex
	seeds     []string
	byAddress map[string]*member
	// firstContact is when the first member made contact, lastJoin when a new or returning one
	// last did.
	firstContact time.Time
	lastJoin     time.Time
	// lastProbe is when an exchange with a silent member was last started.
	lastProbe time.Time
	// total is the load of the members that are not silent, by endpoint. Adding up all of them
	// anew would cost several percent of an instance's processor in a fleet of hundreds.
	total map[string]srdispatch.Load
	// left holds the incarnations that announced their shutdown.
	left map[sr.InstanceID]leaver
}

// leaver is an instance that shuts down.
type leaver struct {
	lastContact time.Time
	domain      string
	extent      sr.Extent
	joining     bool
	// final is set once it spends no more of the limits.
	final bool
}

// member is another instance.
type member struct {
	id     sr.InstanceID
	domain string
	// lastContact is when the last gossip from the member arrived, zero for never.
	lastContact time.Time
	// lastAttempt is when this instance last started an exchange with the member.
	lastAttempt time.Time
	// knownSince is when the member became known.
	knownSince time.Time
	usage      sr.Usage
	// counted is set while total includes usage.
	counted bool
	// held is the memory of usage.
	held *srmemory.Reservation
	// extent is what the member's view includes.
	extent sr.Extent
	// joining is set while the member starts and may lack what the registry lost.
	joining bool
	// silent is set once the member has been reported as silent.
	silent bool
	// power is the share of a processor core that the member may use, 0 when unknown.
	power float64
	// relays is set if the member exchanges records, unsure if its last exchange failed: it may
	// have been replaced by one of an earlier version.
	relays, unsure bool
}

// silentMember is a member that fell silent, with the time since its last contact.
type silentMember struct {
	id  sr.InstanceID
	age time.Duration
}

// newMembers returns the members of an instance, which may take usageBytes for their loads.
func newMembers(self sr.InstanceID, domain string, seeds []string, usageBytes int64) *members {
	return &members{
		self:        self,
		domain:      domain,
		usageMemory: srmemory.New(usageBytes),
		seeds:       seeds,
		byAddress:   make(map[string]*member),
		left:        make(map[sr.InstanceID]leaver),
		total:       make(map[string]srdispatch.Load),
	}
}

func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// receive records the gossip of another instance. It reports whether the state of
// that member changed: it was new or silent before, or is now leaving. It returns
// ErrOverloaded, and records nothing, if the sender is one too many or its load does not fit into
// the memory for loads.
func (m *members) receive(now time.Time, g sr.Gossip) (changed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.From.Address == m.self.Address {
		return false, nil
	}
	if g.Leaving {
		return m.recordLeft(now, g), nil
	}
	if _, left := m.left[g.From]; left {
		// The message was sent before the instance announced that it leaves.
		return false, nil
	}
	e, ok := m.byAddress[g.From.Address]
	if !ok {
		if !m.makeRoom(now) {
			return false, errors.Wrapf(sr.ErrOverloaded, "more than %d instances", maxMembers)
		}
		e = &member{knownSince: now}
	}
	e.relays, e.unsure = g.Relays, false
	if g.Relay == nil && !m.setUsage(e, g.Usage) {
		return false, errors.Wrap(sr.ErrOverloaded, "memory for the loads of all instances")
	}
	changed = m.hear(now, now, e, g)
	e.extent = extentOf(g)
	for _, id := range g.Known {
		m.addKnown(now, id)
	}
	return changed, nil
}

// hear records that a member was alive at a time, and reports whether it was new or silent before.
// The caller must hold m.mu.
func (m *members) hear(now, at time.Time, e *member, g sr.Gossip) (changed bool) {
	m.byAddress[g.From.Address] = e
	joined := e.id != g.From || at.Sub(e.lastContact) > memberRetention
	if m.firstContact.IsZero() {
		m.firstContact = now
	}
	if joined {
		m.lastJoin = now
	}
	changed = e.silent || joined
	e.id, e.domain, e.silent = g.From, g.Domain, false
	e.joining, e.power = g.Joining, g.Power
	if at.After(e.lastContact) {
		e.lastContact = at
	}
	return changed
}

// receiveRecord records what an instance published about itself some time ago and others passed
// on. It reports whether the record was applied, and whether the state of that member changed.
func (m *members) receiveRecord(now time.Time, age time.Duration, g sr.Gossip) (applied, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.From.Address == m.self.Address {
		return false, false
	}
	if g.Leaving {
		return true, m.recordLeft(now, g)
	}
	at := now.Add(-age)
	e, ok := m.byAddress[g.From.Address]
	_, left := m.left[g.From]
	switch {
	case left, age > m.silenceTimeoutLocked():
		return false, false
	case ok && e.id != g.From && e.lastContact.After(at):
		// The record of an earlier incarnation arrives late.
		return false, false
	case !ok && !m.makeRoom(now):
		return false, false
	case !ok:
		e = &member{knownSince: now}
	}
	if !m.setUsage(e, g.Usage) {
		return false, false
	}
	e.relays = true
	if e.id != g.From || e.extent.Position.Before(extentOf(g).Position) {
		e.extent = extentOf(g)
	}
	return true, m.hear(now, at, e, g)
}

// setUsage sets the load of a member if there is memory for it. The caller must hold m.mu.
func (m *members) setUsage(e *member, u sr.Usage) bool {
	held, ok := m.hold(e, u)
	if !ok {
		return false
	}
	e.usage, e.held = sr.Usage{Running: u.Running, Pending: u.Pending}, held
	return true
}

// recordLeft records that an instance has announced its shutdown, and reports whether that is
// new. The caller must hold m.mu.
func (m *members) recordLeft(now time.Time, g sr.Gossip) bool {
	m.remove(g.From.Address)
	l, known := m.left[g.From]
	if !known && len(m.left) >= maxMembers {
		return false
	}
	m.left[g.From] = leaver{lastContact: now, domain: g.Domain, extent: extentOf(g), joining: g.Joining, final: l.final || g.Final}
	return !known
}

// hold reserves the memory of a member's load in place of its last one. The caller must hold m.mu.
func (m *members) hold(e *member, u sr.Usage) (*srmemory.Reservation, bool) {
	bytes := int64(0)
	for _, counts := range []map[string]int{u.Running, u.Pending} {
		for id := range counts {
			bytes += int64(len(id)) + loadBytes
		}
	}
	if e.held != nil {
		m.removeLoad(e)
		e.held.Release()
		e.usage = sr.Usage{}
	}
	held := m.usageMemory.Hold()
	return held, held.Grow(bytes)
}

// addLoad adds the load of a member to the total, removeLoad takes it back. The caller must hold m.mu.
func (m *members) addLoad(e *member) {
	if !e.counted {
		e.counted = true
		m.add(e.usage, 1)
	}
}

func (m *members) removeLoad(e *member) {
	if e.counted {
		e.counted = false
		m.add(e.usage, -1)
	}
}

func (m *members) add(u sr.Usage, sign int) {
	for id, n := range u.Running {
		l := m.total[id]
		l.Running += sign * n
		l.Pending += sign * u.Pending[id]
		if l == (srdispatch.Load{}) {
			delete(m.total, id)
			continue
		}
		m.total[id] = l
	}
}

// remove removes a member. The caller must hold m.mu.
func (m *members) remove(address string) {
	if e, ok := m.byAddress[address]; ok && e.held != nil {
		m.removeLoad(e)
		e.held.Release()
	}
	delete(m.byAddress, address)
}

// makeRoom reports whether there is room for one more member. It removes one that was never heard,
// or the one silent for longest, to make it. The caller must hold m.mu.
func (m *members) makeRoom(now time.Time) bool {
	if len(m.byAddress) < maxMembers {
		return true
	}
	oldest, last := "", now.Add(-m.silenceTimeoutLocked())
	for address, e := range m.byAddress {
		if e.lastContact.Before(last) && !slices.Contains(m.seeds, address) {
			oldest, last = address, e.lastContact
		}
	}
	if oldest != "" {
		m.remove(oldest)
	}
	return oldest != ""
}

// newlySilent returns the members that have fallen silent since the last call.
func (m *members) newlySilent(now time.Time) []silentMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []silentMember
	timeout := m.silenceTimeoutLocked()
	for _, e := range m.byAddress {
		if age := now.Sub(e.lastContact); !e.lastContact.IsZero() && !e.silent && age > timeout {
			e.silent = true
			out = append(out, silentMember{id: e.id, age: age})
		}
	}
	return out
}

// addKnown adds an instance that another one named in its gossip. The caller must
// hold m.mu.
func (m *members) addKnown(now time.Time, id sr.InstanceID) {
	_, known := m.byAddress[id.Address]
	_, left := m.left[id]
	if known || left || id.Address == m.self.Address || len(m.byAddress) >= maxMembers {
		return
	}
	m.byAddress[id.Address] = &member{id: id, knownSince: now}
}

// exchangeInterval returns the interval between two exchanges with one member. The
// caller must hold m.mu.
func (m *members) exchangeInterval() time.Duration {
	return max(gossipInterval, time.Duration(len(m.byAddress)+1)*gossipIntervalPerMember)
}

// heard returns the number of members that were heard and exchange records, and that of the
// others. The caller must hold m.mu.
func (m *members) heard() (relaying, direct int) {
	for _, e := range m.byAddress {
		switch {
		case e.lastContact.IsZero():
		case e.relays:
			relaying++
		default:
			direct++
		}
	}
	return relaying, direct
}

// isLarge reports whether the fleet exchanges records. The caller must hold m.mu.
func (m *members) isLarge() bool {
	relaying, direct := m.heard()
	return relaying > 0 && 1+relaying+direct > maxDirectFleet
}

// relaysTo reports whether records are sent to a member: it exchanges them, or may do so. It is
// unsure before the first contact and after a failure.
func (m *members) relaysTo(address string) (relays, unsure bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byAddress[address]
	unsure = !ok || e.lastContact.IsZero() || e.unsure
	return m.isLarge() && (unsure || e.relays), unsure
}

// recordFailure records that a member has not answered.
func (m *members) recordFailure(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byAddress[address]; ok {
		e.unsure = true
	}
}

// silenceTimeoutLocked returns the time without contact after which a member is
// considered silent. The caller must hold m.mu.
func (m *members) silenceTimeoutLocked() time.Duration {
	relaying, direct := m.heard()
	timeout := max(minSilenceTimeout, maxMissedExchanges*m.exchangeInterval())
	if relaying == 0 || 1+relaying+direct <= maxDirectFleet {
		return timeout
	}
	spread := maxMissedExchanges * srgossip.Delay(1+relaying)
	if direct == 0 {
		return spread
	}
	return max(timeout, spread)
}

// silenceTimeout is silenceTimeoutLocked for callers that do not hold m.mu.
func (m *members) silenceTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silenceTimeoutLocked()
}

// due returns the addresses with which to start an exchange now: the members
// without recent contact or, if confirm is set, all of them. The view needs to be
// confirmed then, and only the answer to an exchange confirms it. In a large fleet the members
// that exchange records are left to srgossip, but for one that is silent.
func (m *members) due(now time.Time, confirm bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	interval, timeout, large := m.exchangeInterval(), m.silenceTimeoutLocked(), m.isLarge()
	var silent *member
	for address, e := range m.byAddress {
		switch {
		case large && e.relays && now.Sub(e.lastContact) > timeout:
			silent = m.lessTried(silent, e)
		case large && e.relays:
		case now.Sub(e.lastAttempt) >= interval && (confirm || now.Sub(e.lastContact) >= interval):
			e.lastAttempt = now
			out = append(out, address)
		}
	}
	if silent != nil && now.Sub(m.lastProbe) >= probeInterval {
		m.lastProbe, silent.lastAttempt = now, now
		out = append(out, silent.id.Address)
	}
	for _, address := range m.seeds {
		if _, ok := m.byAddress[address]; !ok && address != m.self.Address {
			// The incarnation is not known before the first exchange.
			m.byAddress[address] = &member{id: sr.InstanceID{Address: address}, lastAttempt: now, knownSince: now}
			out = append(out, address)
		}
	}
	return out
}

// lessTried returns the one of two members with which an exchange was started less lately. Of two
// that were never tried, instances choose differently, so that not all try the same one.
func (m *members) lessTried(a, b *member) *member {
	key := func(e *member) uint64 { return xxhash.Sum64String(m.self.Address + "/" + e.id.Address) }
	if a == nil || b.lastAttempt.Before(a.lastAttempt) || b.lastAttempt.Equal(a.lastAttempt) && key(b) < key(a) {
		return b
	}
	return a
}

// peers returns the members that may be chosen as peers, nil in a small fleet.
func (m *members) peers(now time.Time) []srgossip.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return nil
	}
	var out []srgossip.Member
	for _, e := range m.recentMembers(now, m.silenceTimeoutLocked()) {
		if e.relays {
			out = append(out, srgossip.Member{Address: e.id.Address, Domain: e.domain})
		}
	}
	return out
}

// sweep removes members without contact for memberRetention, except for seeds.
func (m *members) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, e := range m.byAddress {
		last := e.lastContact
		if e.knownSince.After(last) {
			last = e.knownSince
		}
		if now.Sub(last) > memberRetention && !slices.Contains(m.seeds, address) {
			m.remove(address)
		}
	}
	maps.DeleteFunc(m.left, func(_ sr.InstanceID, l leaver) bool { return now.Sub(l.lastContact) > memberRetention })
}

// recentMembers returns the members whose last contact is at most within ago. The
// caller must hold m.mu.
func (m *members) recentMembers(now time.Time, within time.Duration) []*member {
	var out []*member
	for _, e := range m.byAddress {
		if now.Sub(e.lastContact) <= within {
			out = append(out, e)
		}
	}
	return out
}

// informants returns the members whose knowledge of the registry counts: those that are not silent,
// and those that leave, which follow the registry until they end. The caller must hold m.mu.
func (m *members) informants(now time.Time) []*member {
	within := m.silenceTimeoutLocked()
	out := m.recentMembers(now, within)
	for id, l := range m.left {
		e, ok := m.byAddress[id.Address]
		restarted := ok && e.lastContact.After(l.lastContact)
		if now.Sub(l.lastContact) <= within && !restarted {
			out = append(out, &member{id: id, domain: l.domain, extent: l.extent, joining: l.joining})
		}
	}
	return out
}

// alive returns the addresses of the members that are not silent.
func (m *members) alive(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addresses(m.recentMembers(now, m.silenceTimeoutLocked()))
}

// endpointSharers returns the addresses of the members among which the slots of
// the endpoints are shared. Before the first contact with any member it returns as
// many empty addresses as the assumed fleet has other members.
func (m *members) endpointSharers(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := addresses(m.recentMembers(now, shareRetention))
	if len(out) == 0 && !m.seedsOnlySelf() {
		out = make([]string, assumedFleet-1)
	}
	return out
}

// seedsOnlySelf reports whether the seeds name no other instance. The caller must hold
// m.mu.
func (m *members) seedsOnlySelf() bool {
	return !slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != m.self.Address })
}

// knownIDs returns the identities of the recent members to pass on in gossip. It
// returns none once memberListSpread has passed since the last member joined.
func (m *members) knownIDs(now time.Time) []sr.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastJoin) > memberListSpread {
		return nil
	}
	var out []sr.InstanceID
	for _, e := range m.recentMembers(now, memberRetention) {
		out = append(out, e.id)
	}
	return out
}

// fleetSize returns the number of instances in the fleet, this one included.
func (m *members) fleetSize(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1 + len(m.recentMembers(now, memberRetention))
	if n == 1 && !m.seedsOnlySelf() {
		return assumedFleet
	}
	return n
}

// limitSharers returns the number of instances among which the limits are shared, this one
// included: those that it has heard, those that others have named lately and those that leave
// and may still spend. An instance that starts is told of the others before it has heard each of them, and for memberListSettle it
// assumes that there are more than that.
func (m *members) limitSharers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, e := range m.byAddress {
		if e.sharesLimits(now) {
			n++
		}
	}
	for id, l := range m.left {
		e, ok := m.byAddress[id.Address]
		if !l.final && now.Sub(l.lastContact) <= memberRetention && (!ok || !e.sharesLimits(now)) {
			n++
		}
	}
	if now.Sub(m.firstContact) < memberListSettle || m.firstContact.IsZero() && !m.seedsOnlySelf() {
		return max(n, assumedFleet)
	}
	return n
}

// sharesLimits reports whether a member was heard, or named by another one, lately.
func (e *member) sharesLimits(now time.Time) bool {
	return now.Sub(e.lastContact) <= memberRetention || e.id.Incarnation != 0 && now.Sub(e.knownSince) <= memberRetention
}

// ahead returns the addresses of the members whose views include entries that a view of an
// extent lacks, in random order and those of the own failure domain first, and the latest
// position that one of them has stated.
func (m *members) ahead(now time.Time, extent sr.Extent, random *random) (list []string, newest sr.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []string
	for _, e := range m.informants(now) {
		switch {
		case !extent.Lacks(e.extent):
			continue
		case e.domain == m.domain:
			list = append(list, e.id.Address)
		default:
			others = append(others, e.id.Address)
		}
		if newest.Before(e.extent.Position) {
			newest = e.extent.Position
		}
	}
	random.shuffle(list)
	random.shuffle(others)
	return append(list, others...), newest
}

// lostEntries reports whether a member that has joined was heard, or the seeds name no other
// instance, and whether a member may know what the registry lost and a view of an extent lacks.
func (m *members) lostEntries(now time.Time, extent sr.Extent) (heardJoined, lacking bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heardJoined = m.seedsOnlySelf()
	for _, e := range m.informants(now) {
		heardJoined = heardJoined || !e.joining
		era := e.extent.Position.Era
		lacking = lacking || era > 0 && era != extent.Position.Era || extent.Prior.Before(e.extent.Prior)
	}
	return heardJoined, lacking
}

// extentOf returns what the view of a member, or of one that leaves, includes.
func (m *members) extentOf(address string) sr.Extent {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byAddress[address]; ok && !e.lastContact.IsZero() {
		return e.extent
	}
	var last leaver
	for id, l := range m.left {
		if id.Address == address && l.lastContact.After(last.lastContact) {
			last = l
		}
	}
	return last.extent
}

// rank returns the position of this instance among those that are not silent, in an order
// that depends on key and on which all of them agree, from 0.
func (m *members) rank(now time.Time, key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := xxhash.Sum64String(key + "/" + m.self.Address)
	n := 0
	for _, e := range m.recentMembers(now, m.silenceTimeoutLocked()) {
		if xxhash.Sum64String(key+"/"+e.id.Address) > own {
			n++
		}
	}
	return n
}

// powers returns the other instances that may coordinate groups.
func (m *members) powers(now time.Time) []srgroup.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []srgroup.Member
	for _, e := range m.recentMembers(now, m.silenceTimeoutLocked()) {
		out = append(out, srgroup.Member{Address: e.id.Address, Power: e.power})
	}
	return out
}

// sharers returns the number of instances that share the endpoints, this one included.
func (m *members) sharers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.recentMembers(now, shareRetention))
}

// knows reports whether an instance has been heard lately. One that leaves still has requests.
func (m *members) knows(id sr.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, leaves := m.left[id]; leaves {
		return true
	}
	e, ok := m.byAddress[id.Address]
	return ok && e.id == id
}

// running returns the requests in flight that the members have reported, by endpoint.
func (m *members) running(now time.Time) map[sr.InstanceID]map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[sr.InstanceID]map[string]int)
	for _, e := range m.recentMembers(now, m.silenceTimeoutLocked()) {
		out[e.id] = e.usage.Running
	}
	return out
}

// load returns the load from the other instances, by endpoint.
func (m *members) load(now time.Time) map[string]srdispatch.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := m.silenceTimeoutLocked()
	for _, e := range m.byAddress {
		if now.Sub(e.lastContact) <= timeout {
			m.addLoad(e)
		} else {
			m.removeLoad(e)
		}
	}
	return maps.Clone(m.total)
}

// watchesRegistry reports whether this instance is one of those that watch the
// registry on behalf of the fleet. They are the first ones in the order of a hash
// of the address, at most one per failure domain while there are enough domains.
func (m *members) watchesRegistry(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append(m.recentMembers(now, m.silenceTimeoutLocked()), &member{id: m.self, domain: m.domain})
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Compare(xxhash.Sum64String(a.id.Address), xxhash.Sum64String(b.id.Address))
	})
	seenDomain := make(map[string]bool)
	var chosen, rest []string
	for _, e := range all {
		if seenDomain[e.domain] {
			rest = append(rest, e.id.Address)
			continue
		}
		seenDomain[e.domain] = true
		chosen = append(chosen, e.id.Address)
	}
	order := append(chosen, rest...)
	return slices.Contains(order[:min(registryWatchers, len(order))], m.self.Address)
}

func addresses(list []*member) []string {
	var out []string
	for _, e := range list {
		out = append(out, e.id.Address)
	}
	slices.Sort(out)
	return out
}
