// Package srmember decides which instances are alive, whether this instance is in
// contact with a majority of the listed ones, and which instance owns which pool.
// It is a state machine: it reads no clock, opens no socket and starts no
// goroutine.
//
// An instance that answers a heartbeat acknowledges it. The acknowledgement counts
// for the lapse time from when the heartbeat was sent.
//
// A pool passes to another owner by a hand-over, or when no claim on it was
// received for lapse plus lease time. Heartbeats carry the sender's own claims and
// relay those that it received from their owners. Any two majorities share an
// instance, so a claimant with a majority receives the claim of each owner that
// acts with a majority.
//
// # Usage
//
//	members := srmember.New(self, domain, srmember.Options{Seeds: seeds})
//	members.UpdateList(now, instances)
//	for _, address := range members.HeartbeatAddresses(now) {
//		answer, err := peers.Peer(address).Heartbeat(ctx, members.Heartbeat(now))
//		members.HeartbeatAnswered(later, now, answer) // or members.HeartbeatFailed(later, address)
//	}
//	for _, a := range members.Takeover(now, pools) {
//		pool(a.Pool).SetMode(now, a.Mode)
//	}
package srmember

import (
	"slices"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Default options.
const (
	DefaultHeartbeat = 250 * time.Millisecond
	DefaultLapse     = 2 * time.Second
	DefaultLease     = time.Second
	DefaultForget    = 30 * time.Second
	DefaultMaxPeers  = 1024
	DefaultMaxClaims = 16384
)

// Options tunes Members; zero fields take the defaults.
type Options struct {
	// Seeds are the addresses to send heartbeats to until an instance list is
	// received.
	Seeds []string
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	// Lapse is the time after which a heartbeat or an acknowledgement expires.
	Lapse time.Duration
	// Lease is the time within which a granted slot has to be used. A takeover
	// needs acknowledgements that are younger than Lease.
	Lease time.Duration
	// Linger is the largest difference in age between the lists that two instances
	// use, plus Lease. An instance counts toward the number of voters from when it is listed
	// until Linger after its removal from the list. It has a vote itself from
	// Linger after it is listed until its removal.
	Linger time.Duration
	// Forget is the time without a heartbeat after which no heartbeats are sent to
	// an instance that is not listed.
	Forget time.Duration
	// MaxPeers limits the number of tracked instances, MaxClaims that of their
	// claims.
	MaxPeers  int
	MaxClaims int
}

// TakeoverDelay is the time without a claim after which a pool may be taken over.
func (o Options) TakeoverDelay() time.Duration { return o.Lapse + o.Lease }

func (o Options) withDefaults() Options {
	o.Heartbeat = orDefault(o.Heartbeat, DefaultHeartbeat)
	o.Lapse = orDefault(o.Lapse, DefaultLapse)
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.Linger = orDefault(o.Linger, o.TakeoverDelay())
	o.Forget = orDefault(o.Forget, DefaultForget)
	o.MaxPeers = orDefault(o.MaxPeers, DefaultMaxPeers)
	o.MaxClaims = orDefault(o.MaxClaims, DefaultMaxClaims)
	return o
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Members is one instance's view of the other instances and of the ownership of
// pools. It must not be used concurrently. A now that is earlier than a previous
// one is treated as the latest one.
type Members struct {
	self   sr.InstanceID
	domain string
	opts   Options
	// leaving is whether this instance is shutting down, listedLeaving whether the
	// platform's list states that it is.
	leaving       bool
	listedLeaving bool

	// startedAt is the time of the first call, resumedAt that of the end of the
	// last pause of the process, or startedAt without one.
	startedAt time.Time
	resumedAt time.Time
	// latest is the latest now of any call.
	latest time.Time
	// takeoverAt is when Takeover was last called.
	takeoverAt time.Time
	// majoritySince is since when this instance has had a majority, zero without
	// one. The votes need not be counted again before majorityUntil.
	majoritySince time.Time
	majorityUntil time.Time

	peers  map[string]*peer
	voters voters
	lost   []sr.InstanceID
	// claims are this instance's own claims.
	claims map[sr.PoolID]*claim
	// yieldedUntil is the time before which a pool that was yielded is not claimed
	// again.
	yieldedUntil map[sr.PoolID]time.Time
	peerClaims   peerClaims
	cachedView   *view
	ablation     ablation
}

// ablation disables parts of the protocol in tests that show why they are needed.
type ablation struct {
	noTakeoverDelay bool
	noRelayedClaims bool
}

// New returns the Members of an instance without any peers.
func New(self sr.InstanceID, domain string, opts Options) *Members {
	opts = opts.withDefaults()
	return &Members{
		self:         self,
		domain:       domain,
		opts:         opts,
		peers:        make(map[string]*peer),
		claims:       make(map[sr.PoolID]*claim),
		yieldedUntil: make(map[sr.PoolID]time.Time),
		peerClaims:   peerClaims{claims: make(map[sr.PoolID]map[sr.InstanceID]*receivedClaim), limit: opts.MaxClaims},
	}
}

// UpdateList applies the platform's list of instances.
func (m *Members) UpdateList(now time.Time, instances []sr.Instance) {
	now = m.advanceTo(now)
	m.voters.update(now, m.opts.Linger, instances)
	m.majorityUntil = now
	m.listedLeaving = false
	for _, in := range instances {
		if in.Address == m.self.Address {
			m.listedLeaving = in.Leaving
		}
		if p := m.peer(in.Address); p != nil {
			p.applyListing(in)
		}
	}
	m.forget(now)
	m.cachedView = nil
	m.refresh(now)
}

// HeartbeatAnswered processes the answer to a heartbeat of this instance. sentAt is
// the now with which Heartbeat composed the heartbeat, or an earlier time. A later
// time would count claims as acknowledged that the heartbeat did not carry.
func (m *Members) HeartbeatAnswered(now, sentAt time.Time, hb sr.Heartbeat) {
	now = m.advanceTo(now)
	p := m.record(now, hb)
	if p == nil || sentAt.After(now) || sentAt.Before(m.resumedAt) {
		return
	}
	if sentAt.After(p.ackedAt) {
		p.ackedAt = sentAt
	}
	m.refresh(now)
}

// HeartbeatReceived processes a heartbeat that another instance sent. It does not
// show that the other instance receives the heartbeats of this one.
func (m *Members) HeartbeatReceived(now time.Time, hb sr.Heartbeat) {
	now = m.advanceTo(now)
	m.record(now, hb)
}

// HeartbeatFailed records that a heartbeat to address was not answered.
func (m *Members) HeartbeatFailed(now time.Time, address string) {
	m.advanceTo(now)
	if p := m.peer(address); p != nil {
		p.failed = true
	}
}

// Resumed records that the process was paused, and drops every acknowledgement. A
// lapse time without a call of Takeover counts as a pause too.
func (m *Members) Resumed(now time.Time) {
	now = m.advanceTo(now)
	m.dropAcks(now)
	m.refresh(now)
}

// Leave records that this instance is shutting down. It claims no further pools
// and yields its pools to any claimant.
func (m *Members) Leave(now time.Time) {
	m.advanceTo(now)
	m.leaving = true
	m.cachedView = nil
}

// Heartbeat returns the heartbeat to send at now, or to answer with. It is the same
// for all instances. The caller adds Version, Claims, Floors and Held.
func (m *Members) Heartbeat(now time.Time) sr.Heartbeat {
	now = m.advanceTo(now)
	hb := sr.Heartbeat{From: m.self, Domain: m.domain, Leaving: m.isLeaving()}
	for _, p := range m.sortedPeers() {
		if m.acked(now, p) {
			hb.Heard = append(hb.Heard, p.id)
		}
	}
	hb.Ownership = m.ownClaims(now)
	if !m.ablation.noRelayedClaims {
		hb.Ownership = append(hb.Ownership, m.peerClaims.relay(now, m.opts.TakeoverDelay())...)
	}
	return hb
}

// HeartbeatAddresses returns the addresses to send heartbeats to, in order.
func (m *Members) HeartbeatAddresses(now time.Time) []string {
	now = m.advanceTo(now)
	set := make(map[string]struct{})
	for _, a := range m.voters.listed() {
		set[a] = struct{}{}
	}
	for a, p := range m.peers {
		if now.Sub(p.lastSeen()) < m.opts.Forget {
			set[a] = struct{}{}
		}
	}
	if !m.voters.loaded() {
		for _, a := range m.opts.Seeds {
			set[a] = struct{}{}
		}
	}
	delete(set, m.self.Address)
	return sortedKeys(set)
}

// ContactedAll reports whether every instance at a heartbeat address has answered a
// heartbeat or failed to since the start, so that the state of every reachable instance
// has been received.
func (m *Members) ContactedAll(now time.Time) bool {
	for _, a := range m.HeartbeatAddresses(now) {
		p := m.peers[a]
		if p == nil || !p.failed && p.ackedAt.IsZero() {
			return false
		}
	}
	return true
}

// Majority reports whether more than half of the listed instances acknowledged a
// heartbeat within the lapse time. This instance counts itself when it is listed.
func (m *Members) Majority(now time.Time) bool {
	m.advanceTo(now)
	return !m.majoritySince.IsZero()
}

// advanceTo advances the state to now, or to the latest earlier now when that is
// later, and returns that time. It is called before each input is processed, so
// that a loss of the majority is never missed.
func (m *Members) advanceTo(now time.Time) time.Time {
	now = later(now, m.latest)
	m.latest = now
	m.refresh(now)
	return now
}

// refresh detects a pause of the process and counts the majority again when its
// acknowledgements may have expired.
func (m *Members) refresh(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt = now
		m.resumedAt = now
	}
	if !m.takeoverAt.IsZero() && now.Sub(m.takeoverAt) >= m.opts.Lapse {
		m.takeoverAt = now
		m.dropAcks(now)
	}
	if !m.majoritySince.IsZero() && now.Before(m.majorityUntil) {
		return
	}
	if !m.hasMajority(now, m.opts.Lapse, time.Time{}) {
		m.majoritySince = time.Time{}
		for _, c := range m.claims {
			c.majority = false
		}
		return
	}
	if m.majoritySince.IsZero() {
		m.majoritySince = now
	}
	m.majorityUntil = m.majorityEnd(now)
}

func (m *Members) isLeaving() bool { return m.leaving || m.listedLeaving }

// dropAcks drops every acknowledgement at the end of a pause.
func (m *Members) dropAcks(now time.Time) {
	m.resumedAt = now
	m.majorityUntil = now
	for _, p := range m.peers {
		p.ackedAt = time.Time{}
	}
	m.cachedView = nil
}

// hasMajority reports whether a majority acknowledged heartbeats that were sent
// after since and less than age ago.
func (m *Members) hasMajority(now time.Time, age time.Duration, since time.Time) bool {
	votes, size := m.voters.count(now, m.opts.Linger, func(address string) bool {
		if address == m.self.Address {
			return m.knowsClaims(now, m.startedAt)
		}
		p := m.peers[address]
		return p != nil && m.knowsClaims(now, p.since) && now.Sub(p.ackedAt) < age && p.ackedAt.After(since)
	})
	return 2*votes > size
}

// majorityEnd returns the time at which the present majority is lost unless
// further heartbeats are acknowledged.
func (m *Members) majorityEnd(now time.Time) time.Time {
	var acks []time.Time
	self, size := m.voters.count(now, m.opts.Linger, func(address string) bool {
		p := m.peers[address]
		if p != nil && m.knowsClaims(now, p.since) && m.acked(now, p) {
			acks = append(acks, p.ackedAt)
		}
		return address == m.self.Address && m.knowsClaims(now, m.startedAt)
	})
	needed := size/2 + 1 - self
	if needed <= 0 {
		return now.Add(m.opts.Lapse)
	}
	slices.SortFunc(acks, func(a, b time.Time) int { return b.Compare(a) })
	return acks[needed-1].Add(m.opts.Lapse)
}

// knowsClaims reports whether an instance that has been up since then has received
// every claim that can still prevent a takeover. Only then does it have a vote.
func (m *Members) knowsClaims(now, since time.Time) bool {
	return now.Sub(since) >= m.opts.TakeoverDelay()
}

// acked reports whether p acknowledged a heartbeat within the lapse time.
func (m *Members) acked(now time.Time, p *peer) bool {
	return !p.ackedAt.IsZero() && now.Sub(p.ackedAt) < m.opts.Lapse
}

// record applies a heartbeat, and returns its sender, or nil when the heartbeat is
// ignored.
func (m *Members) record(now time.Time, hb sr.Heartbeat) *peer {
	p := m.peer(hb.From.Address)
	if p == nil || p.wasReplaced(hb.From.Incarnation) {
		return nil
	}
	if p.id != hb.From {
		m.replace(now, p, hb.From)
	}
	if p.applyHeartbeat(now, m.opts.Lapse, hb) {
		m.cachedView = nil
	}
	for _, id := range hb.Heard {
		m.recordMention(now, id)
	}
	m.peerClaims.record(now, m.self, hb, m.opts.TakeoverDelay())
	return p
}

// replace resets the state of a peer for a new incarnation.
func (m *Members) replace(now time.Time, p *peer, id sr.InstanceID) {
	if p.alive {
		m.recordLost(p.id)
	}
	p.replace(now, id)
	m.majorityUntil = now
	m.cachedView = nil
}

// recordMention records that another instance reported id as alive.
func (m *Members) recordMention(now time.Time, id sr.InstanceID) {
	p := m.peer(id.Address)
	if p == nil {
		return
	}
	p.mentionedAt = now
	if p.id.Incarnation == 0 {
		p.id = id
		m.cachedView = nil
	}
}

// peer returns the peer at an address and adds it when it is new. It returns nil
// for this instance and when there are MaxPeers already.
func (m *Members) peer(address string) *peer {
	if address == m.self.Address || address == "" {
		return nil
	}
	if p, ok := m.peers[address]; ok {
		return p
	}
	if len(m.peers) >= m.opts.MaxPeers {
		return nil
	}
	p := &peer{id: sr.InstanceID{Address: address}}
	m.peers[address] = p
	return p
}

// forget removes the peers that are not alive, not listed, and were not seen for
// Options.Forget.
func (m *Members) forget(now time.Time) {
	for a, p := range m.peers {
		if !p.alive && !m.voters.isListed(a) && now.Sub(p.lastSeen()) >= m.opts.Forget {
			delete(m.peers, a)
		}
	}
}

// recordLost records a dead instance for Lost.
func (m *Members) recordLost(id sr.InstanceID) {
	if len(m.lost) < m.opts.MaxPeers {
		m.lost = append(m.lost, id)
	}
}

// sortedPeers returns the peers in order of their addresses.
func (m *Members) sortedPeers() []*peer {
	ps := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(p, q *peer) int { return strings.Compare(p.id.Address, q.id.Address) })
	return ps
}
