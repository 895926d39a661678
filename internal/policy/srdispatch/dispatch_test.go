package srdispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// queue is a Service whose asks have a second to their objective.
type queue struct {
	t   *testing.T
	now time.Time
	s   *srdispatch.Service
	// id is that of the last ask.
	id uint64
}

func newQueue(t *testing.T, o srdispatch.Options, endpoints ...srdispatch.Endpoint) *queue {
	q := &queue{t: t, now: time.Unix(0, 0), s: srdispatch.New(o)}
	q.s.Configure(q.now, endpoints)
	return q
}

func (q *queue) add(a srdispatch.Ask) []srdispatch.Decision {
	q.id++
	a.ID, a.Target, a.Deadline = q.id, q.now.Add(time.Second), q.now.Add(5*time.Second)
	return q.s.Add(q.now, a)
}

// TestStarvedRankHoldsUpNoFreeEndpoint: the asks of a starved rank wait for a busy endpoint while
// another one becomes free, which the first ask in the queue may use.
func TestStarvedRankHoldsUpNoFreeEndpoint(t *testing.T) {
	q := newQueue(t, srdispatch.Options{Seed: 1}, srdispatch.Endpoint{ID: "a", Slots: 1, Share: 1}, srdispatch.Endpoint{ID: "b", Slots: 1, Share: 1})
	placed := q.add(srdispatch.Ask{Avoid: []string{"b"}})
	assert.Equal(t, placed[0].Endpoint, "a")
	for range 10 {
		placed = q.add(srdispatch.Ask{Avoid: []string{"a"}})
		assert.Equal(t, placed[0].Endpoint, "b")
		q.s.Release(q.now, "b", srdispatch.Result{})
	}
	assert.Equal(t, len(q.add(srdispatch.Ask{Avoid: []string{"a"}})), 1)
	for range 8 {
		assert.Equal(t, len(q.add(srdispatch.Ask{Route: 1, Avoid: []string{"b"}})), 0)
	}
	assert.Equal(t, len(q.add(srdispatch.Ask{Avoid: []string{"a"}})), 0)
	first := q.id
	placed = q.s.Release(q.now, "b", srdispatch.Result{})
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Ask, first)
}

// TestResumedStreamsHoldUpNoOthers: more streams than may be passed over wait for the endpoint
// that has started them, which is full. The other endpoint is used by those behind them.
func TestResumedStreamsHoldUpNoOthers(t *testing.T) {
	q := newQueue(t, srdispatch.Options{Seed: 1, Fair: true}, srdispatch.Endpoint{ID: "a", Slots: 1, Share: 1}, srdispatch.Endpoint{ID: "b", Slots: 1, Share: 1})
	assert.Equal(t, len(q.add(srdispatch.Ask{Only: []string{"a"}})), 1)
	for range 40 {
		assert.Equal(t, len(q.add(srdispatch.Ask{Resumed: true, Only: []string{"a"}})), 0)
	}
	placed := q.add(srdispatch.Ask{})
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Endpoint, "b")
}

// TestReturnTimesRecoverFromAnOverload: 100 callers are refused at once, far more than can return
// one after the other. A caller that is refused 10 s later gets the first return time again.
func TestReturnTimesRecoverFromAnOverload(t *testing.T) {
	q := newQueue(t, srdispatch.Options{Seed: 1, Fair: true}, srdispatch.Endpoint{ID: "a", Slots: 1, Share: 1})
	refuse := func(n int) []srdispatch.Decision {
		for range n {
			q.id++
			q.s.Add(q.now, srdispatch.Ask{ID: q.id, Target: q.now, Deadline: q.now.Add(30 * time.Second)})
		}
		q.now = q.now.Add(time.Second)
		return q.s.Tick(q.now)
	}
	assert.Equal(t, len(q.add(srdispatch.Ask{})), 1)
	assert.Equal(t, len(refuse(100)), 100)
	q.now = q.now.Add(10 * time.Second)
	refused := refuse(1)
	assert.Equal(t, len(refused), 1)
	// The least delay, and a second for the one slot a second that is assumed.
	assert.Equal(t, refused[0].After, 1250*time.Millisecond)
}

// TestLateTickRefusesNoneThatFits: the process is suspended past the wait limit of an ask, whose
// endpoint has become available meanwhile.
func TestLateTickRefusesNoneThatFits(t *testing.T) {
	for _, fair := range []bool{false, true} {
		q := newQueue(t, srdispatch.Options{Seed: 1, Fair: fair}, srdispatch.Endpoint{ID: "a", Slots: 4, Share: 4, ColdRate: 2})
		assert.Equal(t, len(q.add(srdispatch.Ask{})), 1)
		assert.Equal(t, len(q.add(srdispatch.Ask{})), 0)
		q.now = q.now.Add(700 * time.Millisecond)
		decided := q.s.Tick(q.now)
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, decided[0].Kind, srdispatch.Placed)
	}
}

// TestAskPastItsDeadlineIsNotPlaced: a slot becomes free after the process was suspended past the
// deadline of the first ask.
func TestAskPastItsDeadlineIsNotPlaced(t *testing.T) {
	q := newQueue(t, srdispatch.Options{Seed: 1, Fair: true}, srdispatch.Endpoint{ID: "a", Slots: 1, Share: 1})
	assert.Equal(t, len(q.add(srdispatch.Ask{})), 1)
	assert.Equal(t, len(q.add(srdispatch.Ask{})), 0)
	q.now = q.now.Add(6 * time.Second)
	assert.Equal(t, len(q.add(srdispatch.Ask{})), 0)
	fresh := q.id
	decided := q.s.Release(q.now, "a", srdispatch.Result{})
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Ask, fresh)
}
