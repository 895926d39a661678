// Package srmember decides which instances are alive, whether this instance
// hears a majority of the published ones, and which instance owns which pool.
// It is pure: it reads no clock, opens no socket and starts no goroutine.
//
// An instance is proved alive by an exchange: a heartbeat that it answered. The
// proof counts from the time at which the heartbeat was sent.
//
// A pool passes to another owner by a hand-over, or after no claim was heard
// for lapse and lease time. Heartbeats carry the sender's own claims and those
// that it heard from their owners. Any two majorities share an instance, so a
// claimant with a majority learns of each owner that acts with a majority.
//
// # Usage
//
//	members := srmember.New(self, domain, srmember.Options{Seeds: seeds})
//	members.Listed(now, instances)
//	for _, address := range members.Targets(now) {
//		hb := members.Heartbeat(now) // sent, answered by answer
//		members.Heard(later, now, answer)
//	}
//	for _, t := range members.Takeover(now, pools) {
//		pool(t.Pool).SetMode(now, t.Mode)
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
	// Seeds are asked until an instance list is there.
	Seeds []string
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	// Lapse is the time for which an exchange proves that an instance lives.
	Lapse time.Duration
	// Lease is the time in which a granted slot may be used. Proofs on which a
	// takeover rests are younger.
	Lease time.Duration
	// Linger is how far apart in time the lists of two instances may be, plus
	// Lease. An instance counts in the majority's size from when it is listed
	// until Linger after it is gone, and as a voice from Linger after it is
	// listed until it is gone.
	Linger time.Duration
	// Forget is the time after which an unlisted instance that was not heard
	// is no longer asked.
	Forget time.Duration
	// MaxPeers bounds the known instances, MaxClaims the known claims.
	MaxPeers  int
	MaxClaims int
}

// Quiet is the time without a claim after which a pool may be taken over.
func (o Options) Quiet() time.Duration { return o.Lapse + o.Lease }

func (o Options) withDefaults() Options {
	o.Heartbeat = orDefault(o.Heartbeat, DefaultHeartbeat)
	o.Lapse = orDefault(o.Lapse, DefaultLapse)
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.Linger = orDefault(o.Linger, o.Quiet())
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

// Members is what one instance knows of the others. It is used by one
// goroutine at a time. A now that is older than the latest one counts as that.
type Members struct {
	self   sr.InstanceID
	domain string
	opts   Options
	// leaving is whether this instance shuts down, marked whether the
	// platform's list says that it leaves.
	leaving bool
	marked  bool

	// born is when the first input came, awake the same or the last wake-up.
	born  time.Time
	awake time.Time
	// latest is the latest time seen.
	latest time.Time
	// ticked is when Takeover was last called.
	ticked time.Time
	// majoritySince is when the majority was heard after it was not, zero
	// without a majority. It need not be counted again before majorityUntil.
	majoritySince time.Time
	majorityUntil time.Time

	peers  map[string]*peer
	list   electorate
	lost   []sr.InstanceID
	claims map[sr.PoolID]*claim
	cooled map[sr.PoolID]time.Time
	news   book
	cache  *view
	trial  trial
}

// trial switches off parts of the protocol in tests that show their need.
type trial struct {
	noQuiet      bool
	noSecondHand bool
}

// New returns the Members of an instance that knows nobody.
func New(self sr.InstanceID, domain string, opts Options) *Members {
	opts = opts.withDefaults()
	return &Members{
		self:   self,
		domain: domain,
		opts:   opts,
		peers:  make(map[string]*peer),
		claims: make(map[sr.PoolID]*claim),
		cooled: make(map[sr.PoolID]time.Time),
		news:   book{claims: make(map[sr.PoolID]map[sr.InstanceID]*evidence), limit: opts.MaxClaims},
	}
}

// Listed takes the platform's list of instances.
func (m *Members) Listed(now time.Time, instances []sr.Instance) {
	now = m.observe(now)
	m.list.add(now, m.opts.Linger, instances)
	m.majorityUntil = now
	m.marked = false
	for _, in := range instances {
		if in.Address == m.self.Address {
			m.marked = in.Leaving
		}
		if p := m.peer(in.Address); p != nil {
			p.listed(in)
		}
	}
	m.forget(now)
	m.cache = nil
	m.advance(now)
}

// Heard takes the answer to a heartbeat of this instance; sentAt is the now for
// which Heartbeat composed it, or earlier. With a later one, claims could count
// as answered that the heartbeat did not carry.
func (m *Members) Heard(now, sentAt time.Time, hb sr.Heartbeat) {
	now = m.observe(now)
	p := m.take(now, hb)
	if p == nil || sentAt.After(now) || sentAt.Before(m.awake) {
		return
	}
	if sentAt.After(p.proof) {
		p.proof = sentAt
	}
	m.advance(now)
}

// Received takes a heartbeat of another instance. It is no proof that the
// other hears this instance.
func (m *Members) Received(now time.Time, hb sr.Heartbeat) {
	now = m.observe(now)
	m.take(now, hb)
}

// Failed tells that a heartbeat to address had no answer.
func (m *Members) Failed(now time.Time, address string) {
	m.observe(now)
	if p := m.peer(address); p != nil {
		p.tried = true
	}
}

// Woke tells that the process was paused: every proof is dropped. A time of a
// lapse without Takeover counts as a pause too.
func (m *Members) Woke(now time.Time) {
	now = m.observe(now)
	m.wake(now)
	m.advance(now)
}

// Leave tells that this instance shuts down: it claims nothing more and gives
// its pools to whoever asks.
func (m *Members) Leave(now time.Time) {
	m.observe(now)
	m.leaving = true
	m.cache = nil
}

// Heartbeat returns the heartbeat to send at now to any instance, or to answer
// with. The caller adds Version, Claims, Floors and Held.
func (m *Members) Heartbeat(now time.Time) sr.Heartbeat {
	now = m.observe(now)
	hb := sr.Heartbeat{From: m.self, Domain: m.domain, Leaving: m.leaves()}
	for _, p := range m.sorted() {
		if m.proved(now, p) {
			hb.Heard = append(hb.Heard, p.id)
		}
	}
	hb.Ownership = m.ownClaims(now)
	if !m.trial.noSecondHand {
		hb.Ownership = append(hb.Ownership, m.news.firstHand(now, m.opts.Quiet())...)
	}
	return hb
}

// Targets returns the addresses to send heartbeats to, in order.
func (m *Members) Targets(now time.Time) []string {
	now = m.observe(now)
	set := make(map[string]struct{})
	for _, a := range m.list.published() {
		set[a] = struct{}{}
	}
	for a, p := range m.peers {
		if now.Sub(p.last()) < m.opts.Forget {
			set[a] = struct{}{}
		}
	}
	if !m.list.known() {
		for _, a := range m.opts.Seeds {
			set[a] = struct{}{}
		}
	}
	delete(set, m.self.Address)
	return sortedKeys(set)
}

// Greeted reports whether every target has answered or failed since the start,
// so that what the others know has been heard as far as can be.
func (m *Members) Greeted(now time.Time) bool {
	for _, a := range m.Targets(now) {
		p := m.peers[a]
		if p == nil || !p.tried && p.proof.IsZero() {
			return false
		}
	}
	return true
}

// Majority reports whether exchanges within the lapse prove more than half of
// the published instances. This instance counts when it is listed.
func (m *Members) Majority(now time.Time) bool {
	m.observe(now)
	return !m.majoritySince.IsZero()
}

// observe brings the state forward to now, and returns now, or the latest time
// seen when now is older. It is called before each input, so that no loss of
// the majority goes unseen.
func (m *Members) observe(now time.Time) time.Time {
	now = later(now, m.latest)
	m.latest = now
	m.advance(now)
	return now
}

func (m *Members) advance(now time.Time) {
	if m.born.IsZero() {
		m.born = now
		m.awake = now
	}
	if !m.ticked.IsZero() && now.Sub(m.ticked) >= m.opts.Lapse {
		m.ticked = now
		m.wake(now)
	}
	if !m.majoritySince.IsZero() && now.Before(m.majorityUntil) {
		return
	}
	if !m.votes(now, m.opts.Lapse, time.Time{}) {
		m.majoritySince = time.Time{}
		for _, c := range m.claims {
			c.full = false
		}
		return
	}
	if m.majoritySince.IsZero() {
		m.majoritySince = now
	}
	m.majorityUntil = m.majorityEnd(now)
}

func (m *Members) leaves() bool { return m.leaving || m.marked }

// wake drops every proof.
func (m *Members) wake(now time.Time) {
	m.awake = now
	m.majorityUntil = now
	for _, p := range m.peers {
		p.proof = time.Time{}
	}
	m.cache = nil
}

// votes reports whether a majority was proved by heartbeats sent after since
// and less than age ago.
func (m *Members) votes(now time.Time, age time.Duration, since time.Time) bool {
	n, size := m.list.tally(now, m.opts.Linger, func(address string) bool {
		if address == m.self.Address {
			return m.remembers(now, m.born)
		}
		p := m.peers[address]
		return p != nil && m.remembers(now, p.since) && now.Sub(p.proof) < age && p.proof.After(since)
	})
	return 2*n > size
}

// majorityEnd returns until when the majority that is heard now lasts without
// further answers.
func (m *Members) majorityEnd(now time.Time) time.Time {
	var proofs []time.Time
	self, size := m.list.tally(now, m.opts.Linger, func(address string) bool {
		p := m.peers[address]
		if p != nil && m.remembers(now, p.since) && m.proved(now, p) {
			proofs = append(proofs, p.proof)
		}
		return address == m.self.Address && m.remembers(now, m.born)
	})
	needed := size/2 + 1 - self
	if needed <= 0 {
		return now.Add(m.opts.Lapse)
	}
	slices.SortFunc(proofs, func(a, b time.Time) int { return b.Compare(a) })
	return proofs[needed-1].Add(m.opts.Lapse)
}

// remembers reports whether an instance that is up since then has every claim
// in mind that could matter.
func (m *Members) remembers(now, since time.Time) bool {
	return now.Sub(since) >= m.opts.Quiet()
}

func (m *Members) proved(now time.Time, p *peer) bool {
	return !p.proof.IsZero() && now.Sub(p.proof) < m.opts.Lapse
}

// take notes what a heartbeat says, or returns nil when it is to be ignored.
func (m *Members) take(now time.Time, hb sr.Heartbeat) *peer {
	p := m.peer(hb.From.Address)
	if p == nil || p.wasReplaced(hb.From.Incarnation) {
		return nil
	}
	if p.id != hb.From {
		m.replace(now, p, hb.From)
	}
	if p.takes(now, m.opts.Lapse, hb) {
		m.cache = nil
	}
	for _, id := range hb.Heard {
		m.mention(now, id)
	}
	m.news.take(now, m.self, hb, m.opts.Quiet())
	return p
}

func (m *Members) replace(now time.Time, p *peer, id sr.InstanceID) {
	if p.alive {
		m.lose(p.id)
	}
	p.replace(now, id)
	m.majorityUntil = now
	m.cache = nil
}

// mention notes an instance that another one heard.
func (m *Members) mention(now time.Time, id sr.InstanceID) {
	p := m.peer(id.Address)
	if p == nil {
		return
	}
	p.mentioned = now
	if p.id.Incarnation == 0 {
		p.id = id
		m.cache = nil
	}
}

// peer returns the record of an address, or nil for this instance and when
// there is no room.
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

// forget drops the instances that are neither listed nor heard of.
func (m *Members) forget(now time.Time) {
	for a, p := range m.peers {
		if !p.alive && !m.list.lists(a) && now.Sub(p.last()) >= m.opts.Forget {
			delete(m.peers, a)
		}
	}
}

// lose notes a dead instance for Lost.
func (m *Members) lose(id sr.InstanceID) {
	if len(m.lost) < m.opts.MaxPeers {
		m.lost = append(m.lost, id)
	}
}

func (m *Members) sorted() []*peer {
	ps := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(p, q *peer) int { return strings.Compare(p.id.Address, q.id.Address) })
	return ps
}
