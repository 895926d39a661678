// Package srgossip spreads what the instances of a large fleet must know of each other. Each
// instance publishes a record about itself, and exchanges with a few peers the changes that each
// of them has not acknowledged, its own and those of others. It does no input or output: the
// time is an argument.
//
// # Usage
//
//	t := srgossip.New(srgossip.Options{Self: id, Domain: domain})
//	t.Publish(now, srgossip.Own{State: state, Spent: spent})
//	for _, address := range t.Due(now, members) {
//		reply := exchange(address, t.Message(now, address))
//		updates, err := t.Receive(now, peer, reply)
//	}
//
// Load patterns and how they are handled:
//
//   - A fleet of hundreds in which each instance must know what all others spent lately. Messages
//     of each to each grow with the square of the fleet. An instance has a few peers here, mostly
//     of its own failure domain, and a change crosses a link once (peers.go).
//   - Records that hardly change. They cost a few bytes each interval: a version that shows that
//     the instance runs (beats.go).
//   - Many instances are killed at once, also the peers of one. Peers that do not answer are
//     replaced by others at random.
//   - A cut that divides the fleet, and its end. The caller keeps trying silent members; the first
//     one that answers exchanges all records, in parts of maxMessageBytes.
//   - An instance that restarts or was suspended. Positions belong to an incarnation, and a peer
//     that misses changes asks for all records.
package srgossip

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// The interval between two versions of a record grows by beatPerMember with each instance of
	// the fleet, from minBeat to maxBeat. Facts may be 2 to 2.5 s old.
	minBeat       = 500 * time.Millisecond
	maxBeat       = time.Second
	beatPerMember = 10 * time.Millisecond
	// retention is the time without a new version after which a record is forgotten.
	retention = 30 * time.Second
	// maxRecords is the maximum number of records, twice the instances of a large fleet.
	maxRecords = 2048
	// maxTotals is the maximum number of workspaces in a record, maxAllTotals that of all records
	// together. They have about 50 bytes each.
	maxTotals    = 4096
	maxAllTotals = 1 << 17
	// maxAllCounts is the maximum number of endpoints in the loads of all records together. Up to
	// 128 instances state theirs, each with some dozens.
	maxAllCounts = 1 << 17
	// maxCrashParts is the maximum number of parts of prompts in the crashes of a record, some
	// hundred requests. Direct messages have all.
	maxCrashParts = 1024
	// maxLinks is the maximum number of peers whose positions are kept. An instance talks to about
	// eight at a time.
	maxLinks = 64
	// maxKnownBy is the maximum number of peers that are remembered to have a version already.
	maxKnownBy = 6
	// maxMessageBytes is the estimated size from which the rest of the changes waits for the next
	// message. A small machine sends it within the timeout of an exchange.
	maxMessageBytes = 64 << 10
)

// Options configure a Table.
type Options struct {
	Self   sr.InstanceID
	Domain string
}

// Own is what an instance publishes about itself.
type Own struct {
	State   sr.MemberState
	Spent   map[string]float64
	Load    sr.MemberLoad
	Crashes sr.CrashReport
}

// Table holds the records that one instance knows. It is not safe for concurrent use.
type Table struct {
	opts    Options
	self    *record
	records map[uint64]*record
	// oldest and newest are the ends of the list of the records in the order of their changes.
	oldest, newest *record
	// last is the number of the last change.
	last uint64
	// totals is the number of totals in all records.
	totals int
	// counts is the number of counts in the loads of all records.
	counts int
	links  map[string]*link
	// lastLink is the ID of the last link.
	lastLink uint32
	// exchangedAt is when exchanges with all peers were last due.
	exchangedAt time.Time
	// avoided holds when a peer did not answer.
	avoided map[string]time.Time
}

// record is what is known of an instance. Each part has the number of its last change.
type record struct {
	key     uint64
	version uint64
	// issuedAt is when the instance published the version, by the clock of this one.
	issuedAt time.Time
	// knownBy are the links to instances that are known to have the version.
	knownBy                    [maxKnownBy]uint32
	change                     uint64
	state                      sr.MemberState
	load                       sr.MemberLoad
	crashes                    sr.CrashReport
	stateAt, loadAt, crashesAt uint64
	spent                      []total
	// older and newer are the neighbors in the order of changes.
	older, newer *record
}

// total is what an instance has spent of a workspace's quota.
type total struct {
	workspace string
	value     float64
	change    uint64
}

// link is what two instances know of each other's history.
type link struct {
	// id identifies the link in records, from 1.
	id          uint32
	incarnation uint64
	// received is the position up to which this instance has the peer's changes, acknowledged
	// that up to which the peer has those of this one.
	received, acknowledged uint64
	// partsSince is the position after which parts of records are sent. It is before acknowledged
	// while changes are sent in several messages: a record that changes again in between is sent
	// with a later one. completeAt is the end of the last of them, 0 while there is none.
	partsSince, completeAt uint64
	usedAt                 time.Time
}

// Update is a new version of an instance's record.
type Update struct {
	State sr.MemberState
	Age   time.Duration
	Load  sr.MemberLoad
	// Crashes are those that were reported anew, with their present ages.
	Crashes sr.CrashReport
	record  *record
}

// Spent returns the total of a workspace.
func (u Update) Spent(workspace string) float64 {
	if i, ok := u.record.find(workspace); ok {
		return u.record.spent[i].value
	}
	return 0
}

// New returns a Table without records of others.
func New(o Options) *Table {
	t := &Table{opts: o, records: make(map[uint64]*record), links: make(map[string]*link), avoided: make(map[string]time.Time)}
	t.self = &record{key: keyOf(o.Self)}
	t.records[t.self.key] = t.self
	return t
}

func keyOf(id sr.InstanceID) uint64 {
	return xxhash.Sum64String(id.Address + "/" + strconv.FormatUint(id.Incarnation, 36))
}

// Size returns the number of records, that of this instance included.
func (t *Table) Size() int { return len(t.records) }

// Beat returns the interval between two versions of a record.
func (t *Table) Beat() time.Duration { return Beat(len(t.records)) }

// Beat returns the interval between two versions of a record in a fleet.
func Beat(fleet int) time.Duration {
	return min(max(minBeat, time.Duration(fleet)*beatPerMember), maxBeat)
}

// Publishes reports whether Publish would make a new version with this state.
func (t *Table) Publishes(now time.Time, state sr.MemberState) bool {
	return t.self.version == 0 || t.self.state != state || now.Sub(t.self.issuedAt) >= t.Beat()
}

// Publish sets what this instance publishes. It becomes a new version at once if the state has
// changed, and otherwise after an interval.
func (t *Table) Publish(now time.Time, own Own) {
	if !t.Publishes(now, own.State) {
		return
	}
	r := t.self
	changed := r.version == 0 || r.state != own.State
	r.version++
	r.issuedAt, r.knownBy = now, [maxKnownBy]uint32{}
	t.change(r)
	if changed {
		r.state, r.stateAt = own.State, t.last
	}
	t.setLoad(r, own.Load)
	t.setCrashes(r, own.Crashes)
	for i := range r.spent {
		// A workspace without a limit has no total.
		if _, ok := own.Spent[r.spent[i].workspace]; !ok {
			t.spend(r, r.spent[i].workspace, 0)
		}
	}
	for workspace, value := range own.Spent {
		if value != 0 {
			t.spend(r, workspace, value)
		}
	}
}

// change gives a record the number of a new change.
func (t *Table) change(r *record) {
	t.last++
	r.change = t.last
	if t.newest == r {
		return
	}
	t.unlink(r)
	r.older = t.newest
	if t.newest != nil {
		t.newest.newer = r
	} else {
		t.oldest = r
	}
	t.newest = r
}

// unlink takes a record out of the order of changes.
func (t *Table) unlink(r *record) {
	if r.older != nil {
		r.older.newer = r.newer
	} else if t.oldest == r {
		t.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else if t.newest == r {
		t.newest = r.older
	}
	r.older, r.newer = nil, nil
}

func (t *Table) setLoad(r *record, l sr.MemberLoad) {
	if sameCounts(r.load.Running, l.Running) && sameCounts(r.load.Pending, l.Pending) {
		return
	}
	t.counts -= countsOf(r.load)
	if t.counts+countsOf(l) > maxAllCounts {
		l = sr.MemberLoad{}
	}
	t.counts += countsOf(l)
	r.load, r.loadAt = l, t.last
}

func countsOf(l sr.MemberLoad) int { return len(l.Running) + len(l.Pending) }

// setCrashes sets the report of crashes. Its ages grow, so that a report is a change whenever it
// is not empty.
func (t *Table) setCrashes(r *record, c sr.CrashReport) {
	if len(c.Crashes)+len(c.Sound)+len(r.crashes.Crashes)+len(r.crashes.Sound) > 0 {
		r.crashes, r.crashesAt = sr.CrashReport{Crashes: limitParts(c.Crashes), Sound: c.Sound[:min(len(c.Sound), maxCrashParts)]}, t.last
	}
}

// limitParts returns the first crashes, which are the latest, with maxCrashParts at most.
func limitParts(list []sr.Crash) []sr.Crash {
	parts := 0
	for i, c := range list {
		parts++
		for _, r := range c.Requests {
			parts += len(r)
		}
		if parts > maxCrashParts {
			return list[:i]
		}
	}
	return list
}

func sameCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for id, n := range a {
		if m, ok := b[id]; !ok || m != n {
			return false
		}
	}
	return true
}

func (r *record) find(workspace string) (int, bool) {
	return slices.BinarySearchFunc(r.spent, workspace, func(s total, w string) int { return strings.Compare(s.workspace, w) })
}

// spend sets a total of a record. There is no room for more than maxTotals.
func (t *Table) spend(r *record, workspace string, value float64) {
	i, ok := r.find(workspace)
	switch {
	case ok && r.spent[i].value == value:
	case ok:
		r.spent[i].value, r.spent[i].change = value, t.last
	case len(r.spent) < maxTotals && t.totals < maxAllTotals:
		r.spent = slices.Insert(r.spent, i, total{workspace: workspace, value: value, change: t.last})
		t.totals++
	}
}

// link returns the link to a peer, a new one for another incarnation. It drops the one that was
// not used for longest if there are maxLinks.
func (t *Table) link(now time.Time, id sr.InstanceID) *link {
	l, ok := t.links[id.Address]
	if !ok && len(t.links) >= maxLinks {
		oldest := ""
		for address, other := range t.links {
			if oldest == "" || other.usedAt.Before(t.links[oldest].usedAt) {
				oldest = address
			}
		}
		delete(t.links, oldest)
	}
	if !ok || l.incarnation != id.Incarnation {
		t.lastLink++
		l = &link{id: t.lastLink, incarnation: id.Incarnation}
		t.links[id.Address] = l
	}
	l.usedAt = now
	return l
}

// Message returns the changes that a peer has not acknowledged. A peer that never answered gets
// all records.
func (t *Table) Message(now time.Time, address string) sr.Relay {
	l := t.links[address]
	if l == nil {
		l = &link{}
	}
	m := sr.Relay{Since: l.acknowledged, Until: t.last, Received: l.received}
	r := t.newest
	for r != nil && r.older != nil && r.older.change > l.acknowledged {
		r = r.older
	}
	bytes := 0
	for ; r != nil; r = r.newer {
		if r.change <= l.acknowledged || r.isKnownBy(l) || r.state.ID.Address == address {
			continue
		}
		if bytes > maxMessageBytes {
			l.completeAt = 0
			return m
		}
		bytes += t.add(&m, now, r, l.partsSince)
		m.Until = r.change
	}
	m.Until, l.completeAt = t.last, t.last
	return m
}

// isKnownBy reports whether a peer is known to have the version.
func (r *record) isKnownBy(l *link) bool { return l.id > 0 && slices.Contains(r.knownBy[:], l.id) }

// addKnownBy records that a peer has the version, if there is room.
func (r *record) addKnownBy(l *link) {
	if i := slices.Index(r.knownBy[:], 0); i >= 0 && !r.isKnownBy(l) {
		r.knownBy[i] = l.id
	}
}

// add adds the parts of a record that changed after a position, and returns their estimated size.
func (t *Table) add(m *sr.Relay, now time.Time, r *record, since uint64) (bytes int) {
	c := sr.MemberRecord{Key: r.key, Version: r.version, Age: now.Sub(r.issuedAt)}
	bytes = recordBytes
	if r.stateAt > since {
		state := r.state
		c.State = &state
		bytes += stateBytes + len(r.state.ID.Address) + len(r.state.Domain)
	}
	for _, s := range r.spent {
		if s.change > since {
			if c.Spent == nil {
				c.Spent = make(map[string]float64)
			}
			c.Spent[s.workspace] = s.value
			bytes += totalBytes + len(s.workspace)
		}
	}
	if r.loadAt > since {
		load := r.load
		c.Load = &load
		for _, counts := range []map[string]int{r.load.Running, r.load.Pending} {
			for id := range counts {
				bytes += countBytes + len(id)
			}
		}
	}
	if r.crashesAt > since {
		c.Crashes = &sr.CrashReport{}
		*c.Crashes = aged(r.crashes, c.Age)
		bytes += crashBytes * (len(c.Crashes.Crashes) + len(c.Crashes.Sound))
	}
	if c.State == nil && c.Spent == nil && c.Load == nil && c.Crashes == nil {
		n := len(m.Beats)
		m.Beats = appendBeat(m.Beats, beat{key: r.key, version: r.version, age: c.Age})
		return len(m.Beats) - n
	}
	m.Records = append(m.Records, c)
	return bytes
}

// Sizes of the parts of a record in a message, in bytes beside the names in them, as gob encodes
// them: measured by TestMessageSizesAreEstimated.
const (
	recordBytes = 20
	stateBytes  = 45
	totalBytes  = 11
	countBytes  = 3
	crashBytes  = 100
)

// aged returns a report of crashes after some more time.
func aged(c sr.CrashReport, age time.Duration) sr.CrashReport {
	out := sr.CrashReport{Crashes: slices.Clone(c.Crashes), Sound: slices.Clone(c.Sound)}
	for i := range out.Crashes {
		out.Crashes[i].Age += age
	}
	for i := range out.Sound {
		out.Sound[i].Age += age
	}
	return out
}

// Receive applies the message of a peer, and returns the records of others that it made newer. It
// returns ErrInvalid for a message that cannot be read. The next message asks for all records if
// this one follows changes that this instance does not have.
func (t *Table) Receive(now time.Time, from sr.InstanceID, m sr.Relay) ([]Update, error) {
	beats, err := parseBeats(m.Beats)
	if err != nil {
		return nil, err
	}
	if err := check(m); err != nil {
		return nil, err
	}
	l := t.link(now, from)
	l.acknowledge(m.Received, t.last)
	if m.Since > l.received {
		l.received = 0
		return nil, nil
	}
	var updates []Update
	complete := true
	for _, c := range m.Records {
		u, known := t.apply(now, l, c)
		complete = complete && known
		updates = append(updates, u...)
	}
	for _, b := range beats {
		u, known := t.apply(now, l, sr.MemberRecord{Key: b.key, Version: b.version, Age: b.age})
		complete = complete && known
		updates = append(updates, u...)
	}
	if !complete {
		l.received = 0
		return updates, nil
	}
	l.received = max(l.received, m.Until)
	return updates, nil
}

// acknowledge records the position that the peer has received.
func (l *link) acknowledge(received, last uint64) {
	if received > last {
		// The peer speaks of another incarnation of this instance.
		received = 0
	}
	switch {
	case received < l.acknowledged:
		l.partsSince = received
	case l.completeAt > 0 && received >= l.completeAt:
		l.partsSince = received
	}
	l.acknowledged = received
}

// check returns ErrInvalid if a record has a name that is too long, or ages that cannot be.
func check(m sr.Relay) error {
	if len(m.Records) > maxRecords {
		return errors.Wrap(sr.ErrInvalid, "srgossip: number of records")
	}
	for _, c := range m.Records {
		switch {
		case c.Age < 0:
			return errors.Wrap(sr.ErrInvalid, "srgossip: age of a record")
		case c.State != nil && keyOf(c.State.ID) != c.Key:
			return errors.Wrap(sr.ErrInvalid, "srgossip: key of a record")
		}
	}
	return nil
}

// apply applies a change of a record. It reports false if parts of the record are missing.
func (t *Table) apply(now time.Time, l *link, c sr.MemberRecord) (updates []Update, known bool) {
	r, ok := t.records[c.Key]
	switch {
	case c.Key == t.self.key || c.Age > retention:
		return nil, true
	case !ok && c.State == nil:
		return nil, false
	case ok && c.Version <= r.version:
		if c.Version == r.version {
			r.addKnownBy(l)
		}
		return nil, true
	case !ok && len(t.records) >= maxRecords:
		return nil, true
	case !ok:
		r = &record{key: c.Key}
		t.records[c.Key] = r
	}
	r.version, r.issuedAt = c.Version, now.Add(-c.Age)
	r.knownBy = [maxKnownBy]uint32{l.id}
	t.change(r)
	u := Update{Age: c.Age, record: r}
	if c.State != nil {
		r.state, r.stateAt = *c.State, t.last
	}
	if c.Load != nil {
		t.setLoad(r, *c.Load)
	}
	if c.Crashes != nil {
		u.Crashes = *c.Crashes
		// The report is kept as it was when the record was published.
		t.setCrashes(r, aged(*c.Crashes, -c.Age))
	}
	for workspace, value := range c.Spent {
		t.spend(r, workspace, value)
	}
	u.State, u.Load = r.state, r.load
	return []Update{u}, true
}

// Sweep forgets the records without a new version for retention.
func (t *Table) Sweep(now time.Time) {
	for key, r := range t.records {
		if r != t.self && now.Sub(r.issuedAt) > retention {
			t.totals -= len(r.spent)
			t.counts -= countsOf(r.load)
			t.unlink(r)
			delete(t.records, key)
		}
	}
}

// spreadTime is the time in which a version reaches all instances: five exchanges, each half an
// interval after the last one on average. TestFactsOfALargeFleetAreRecent measures it.
const spreadTime = 500 * time.Millisecond

// Delay returns the time in which an instance of a fleet has a later version of each other one.
func Delay(fleet int) time.Duration { return Beat(fleet) + spreadTime }
