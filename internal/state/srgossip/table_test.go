package srgossip

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func testID(i int) sr.InstanceID {
	return sr.InstanceID{Address: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250), Incarnation: 1<<60 + uint64(i)}
}

func testTable(i int) *Table {
	return New(Options{Self: testID(i), Domain: "domain-1"})
}

// publish makes a new version of an instance's record, an interval after the last one.
func publish(t *Table, i, round, workspaces int) {
	spent := make(map[string]float64)
	for w := range workspaces {
		spent[fmt.Sprint("workspace-", w)] = float64(round) + 0.25
	}
	t.Publish(epoch.Add(time.Duration(round)*maxBeat), Own{State: sr.MemberState{ID: testID(i), Domain: "domain-1", Power: 0.4}, Spent: spent})
}

// exchange lets one instance start an exchange with another one.
func exchange(t *testing.T, now time.Time, a, b *Table) (sent, answered sr.Relay) {
	t.Helper()
	sent = a.Message(now, b.opts.Self.Address)
	_, err := b.Receive(now, a.opts.Self, sent)
	assert.NilError(t, err)
	answered = b.Message(now, a.opts.Self.Address)
	_, err = a.Receive(now, b.opts.Self, answered)
	assert.NilError(t, err)
	return sent, answered
}

// assertSame checks that one instance knows all that another one knows.
func assertSame(t *testing.T, a, b *Table) {
	t.Helper()
	for key, want := range a.records {
		got, ok := b.records[key]
		assert.Assert(t, ok, "record of %s is missing", want.state.ID.Address)
		assert.Equal(t, got.version, want.version)
		assert.Equal(t, got.state, want.state)
		assert.Equal(t, len(got.spent), len(want.spent), "totals of %s", want.state.ID.Address)
		for i, s := range want.spent {
			assert.Equal(t, got.spent[i].workspace, s.workspace)
			assert.Equal(t, got.spent[i].value, s.value, "%s of %s", s.workspace, want.state.ID.Address)
		}
	}
}

// A table that does not fit into a message is sent in several, while records change in between:
// the totals of a record that changes again must not be lost with its place.
func TestLargeTableIsSentInSeveralMessages(t *testing.T) {
	a, b := testTable(0), testTable(1)
	publish(a, 0, 1, 1)
	others := make([]*Table, 200)
	for i := range others {
		others[i] = testTable(i + 2)
		publish(others[i], i+2, 1, 60)
		exchange(t, epoch.Add(maxBeat), others[i], a)
	}
	messages := 0
	for round := 2; ; round++ {
		now := epoch.Add(time.Duration(round) * maxBeat)
		for i := round % 3; i < len(others); i += 3 {
			publish(others[i], i+2, round, 2)
			exchange(t, now, others[i], a)
		}
		sent, _ := exchange(t, now, b, a)
		assert.Assert(t, len(sent.Records) <= 1)
		messages++
		if b.links[testID(0).Address].received == a.last {
			break
		}
		assert.Assert(t, messages < 30)
	}
	assert.Assert(t, messages >= 3, messages)
	assertSame(t, a, b)
}

// An instance that starts again under its address, and one whose memory of the other was lost, get
// all records again. One that was suspended for long is taken back.
func TestInstanceThatForgotGetsAllRecords(t *testing.T) {
	a, b := testTable(0), testTable(1)
	for i := 2; i < 30; i++ {
		other := testTable(i)
		publish(other, i, 1, 2)
		exchange(t, epoch.Add(maxBeat), other, a)
	}
	publish(a, 0, 1, 2)
	now := epoch.Add(maxBeat)
	exchange(t, now, a, b)
	exchange(t, now, a, b)
	assertSame(t, a, b)
	sent, _ := exchange(t, now, a, b)
	assert.Equal(t, len(sent.Records)+len(sent.Beats), 0, "nothing has changed")

	again := New(Options{Self: sr.InstanceID{Address: testID(1).Address, Incarnation: 7}, Domain: "domain-1"})
	for range 3 {
		exchange(t, now, a, again)
	}
	assertSame(t, a, again)

	// b forgets the record of a, and a publishes no more than a beat.
	key := keyOf(testID(0))
	b.unlink(b.records[key])
	delete(b.records, key)
	a.self.issuedAt = now.Add(maxBeat)
	a.self.version++
	a.change(a.self)
	for range 3 {
		exchange(t, now.Add(maxBeat), a, b)
	}
	assertSame(t, a, b)

	late := now.Add(retention + 2*maxBeat)
	b.Sweep(late)
	assert.Equal(t, b.Size(), 1)
	a.Publish(late, Own{State: a.self.state, Spent: map[string]float64{"workspace-0": 9}})
	for range 3 {
		exchange(t, late, a, b)
	}
	assert.Equal(t, b.records[key].version, a.self.version)
}

// A change crosses a link once, and does not return to an instance that is known to have it.
func TestChangeIsSentOnce(t *testing.T) {
	tables := []*Table{testTable(0), testTable(1), testTable(2)}
	for round := 1; round < 5; round++ {
		now := epoch.Add(time.Duration(round) * maxBeat)
		publish(tables[0], 0, round, 1)
		records := 0
		for range 4 {
			for _, pair := range [][2]int{{0, 1}, {1, 2}, {2, 0}} {
				sent, answered := exchange(t, now, tables[pair[0]], tables[pair[1]])
				records += len(sent.Records) + len(answered.Records)
			}
		}
		assert.Assert(t, records <= 3, "%d records in round %d", records, round)
	}
}

// What invented instances and workspaces take is bounded, and the messages about them are checked.
func TestTableIsBounded(t *testing.T) {
	a := testTable(0)
	for i := range maxRecords + 500 {
		m := sr.Relay{Until: 1, Records: []sr.MemberRecord{{Key: keyOf(testID(i + 1)), Version: 1, State: &sr.MemberState{ID: testID(i + 1)}, Spent: map[string]float64{}}}}
		running := make(map[string]int)
		for w := range 100 {
			m.Records[0].Spent[fmt.Sprint(i, "-", w)] = 1
			running[fmt.Sprint("e", w)] = 1
		}
		m.Records[0].Load = &sr.MemberLoad{Running: running}
		m.Records[0].Crashes = &sr.CrashReport{Crashes: []sr.Crash{{Requests: [][]string{make([]string, maxCrashParts)}}}}
		_, err := a.Receive(epoch, testID(i+1), m)
		assert.NilError(t, err)
		a.Answered(epoch, testID(i+1).Address, false)
	}
	assert.Assert(t, a.Size() <= maxRecords && a.totals <= maxAllTotals && a.counts <= maxAllCounts && len(a.links) <= maxLinks && len(a.avoided) <= maxRecords)
	for _, beats := range [][]byte{{1}, make([]byte, 8), make([]byte, 9), make([]byte, maxBeats+1), appendBeat(nil, beat{age: 2 * retention})} {
		_, err := a.Receive(epoch, testID(1), sr.Relay{Beats: beats})
		assert.ErrorIs(t, err, sr.ErrInvalid)
	}
	for _, r := range a.records {
		assert.Equal(t, len(r.crashes.Crashes), 0)
	}
	a.Sweep(epoch.Add(retention + 1))
	assert.Equal(t, a.totals+a.counts, 0)
	assert.Equal(t, a.Size(), 1)
}

// A total that is no longer published counts as zero, since the quota starts again with the limit.
func TestTotalOfARemovedWorkspaceIsZero(t *testing.T) {
	a, b := testTable(0), testTable(1)
	publish(a, 0, 1, 2)
	now := epoch.Add(2 * maxBeat)
	exchange(t, now, a, b)
	publish(a, 0, 2, 1)
	m := a.Message(now, testID(1).Address)
	updates, err := b.Receive(now, testID(0), m)
	assert.NilError(t, err)
	assert.Equal(t, len(updates), 1)
	assert.Equal(t, updates[0].Spent("workspace-0"), 2.25)
	assert.Equal(t, updates[0].Spent("workspace-1"), 0.0)
}

// The estimated size of a message is near that of its encoding.
func TestMessageSizesAreEstimated(t *testing.T) {
	a := testTable(0)
	for i := 1; i < 100; i++ {
		other := testTable(i)
		counts := make(map[string]int)
		for e := range 20 {
			counts[fmt.Sprint("endpoint-", i*3+e)] = 1 + e%3
		}
		spent := map[string]float64{"workspace-1": 1234.5, "workspace-2": 0.75}
		other.Publish(epoch, Own{State: sr.MemberState{ID: testID(i), Domain: "domain-1", Power: 0.4}, Spent: spent, Load: sr.MemberLoad{Running: maps.Clone(counts)}})
		exchange(t, epoch.Add(300*time.Millisecond), other, a)
	}
	m := a.Message(epoch.Add(time.Second), "10.9.9.9:1")
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	// The first message has the definitions of the types as well.
	assert.NilError(t, enc.Encode(m))
	out.Reset()
	assert.NilError(t, enc.Encode(m))
	got, want := estimate(m)-envelopeBytes, out.Len()
	assert.Assert(t, got > want*8/10 && got < want*12/10, "estimated %d, encoded %d", got, want)
}
