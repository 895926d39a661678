package srdispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

func during(l load, from, to time.Duration) load {
	l.from, l.to = from, to
	return l
}

// TestLateAndReturnedRequests compares what callers get with what they get without fair
// shares, of 100 requests a second that fit.
func TestLateAndReturnedRequests(t *testing.T) {
	high, usual, low := stream("high", "a", 0, 30), stream("usual", "a", 1, 30), stream("low", "a", 2, 20)
	short := stream("short", "a", 1, 120)
	short.target = 400 * time.Millisecond
	many := func(l load, perSecond float64, from, to time.Duration) load {
		l.perSecond = perSecond
		return during(l, from, to)
	}
	// want bounds the share served, and the callers that return in vain relative to before.
	type want struct{ served, vain float64 }
	for name, c := range map[string]struct {
		loads []load
		want  map[string]want
	}{
		"burst of a low rank": {
			[]load{high, usual, low, many(low, 200, 2*time.Second, 4*time.Second)},
			map[string]want{"high": {1, 0}, "usual": {1, 0}, "low": {0.6, 0.95}},
		},
		"burst of the high rank": {
			[]load{high, usual, low, many(high, 150, 2*time.Second, 4*time.Second)},
			map[string]want{"high": {0.99, 0.1}, "usual": {0.84, 0.95}, "low": {0.77, 1}},
		},
		"herd of returns": {
			[]load{high, usual, low, many(usual, 2000, 2*time.Second, 2100*time.Millisecond)},
			map[string]want{"high": {1, 0}, "usual": {0.9, 0.6}},
		},
		"overload": {
			[]load{many(high, 40, 0, 10*time.Second), many(usual, 50, 0, 10*time.Second), many(low, 60, 0, 10*time.Second)},
			map[string]want{"high": {1, 0}, "usual": {0.88, 0.8}, "low": {0.5, 0.8}},
		},
		"overload of short objectives": {
			[]load{many(high, 20, 0, 10*time.Second), many(short, 120, 0, 10*time.Second)},
			map[string]want{"high": {1, 0}, "short": {0.8, 0.7}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := compare(t, 5, 14*time.Second, c.loads...)
			for kind, w := range c.want {
				b, a := before[kind], after[kind]
				assert.Assert(t, a.served() >= w.served, "%s: %v", kind, a)
				assert.Assert(t, float64(a.vain) <= w.vain*float64(b.vain), "%s: %v", kind, a)
				assert.Assert(t, w.served < 1 || a.timely() >= 0.99, "%s: %v", kind, a)
			}
		})
	}
}

// TestLateAnswersCostNoneInTime covers an overload of one and a half times for 10 s. While it
// lasts, as many are in time as without late answers, and fewer callers return in vain.
func TestLateAnswersCostNoneInTime(t *testing.T) {
	before, after := compare(t, 5, 14*time.Second, during(stream("usual", "a", 1, 150), 0, 10*time.Second))
	for second := 3; second < 9; second++ {
		b, a := before["usual"].bySecond[second], after["usual"].bySecond[second]
		assert.Assert(t, a[1] >= b[1]-b[0]/100, "second %d: %d instead of %d of %d", second, a[1], b[1], b[0])
	}
	assert.Assert(t, after["usual"].vain*3 <= before["usual"].vain*2)
	assert.Assert(t, after["usual"].served() >= before["usual"].served()+0.05)
}

// TestShortLackOfSlotsRefusesNone covers plain requests of 30 ms, which may take 150 ms and
// whose callers wait for 2.5 s: for a moment four times as many arrive, or all endpoints pause.
func TestShortLackOfSlotsRefusesNone(t *testing.T) {
	plain := load{kind: "plain", workspace: "c", rank: 2, perSecond: 500, to: always, target: 150 * time.Millisecond, deadline: 2500 * time.Millisecond, patience: 2500 * time.Millisecond, work: 30 * time.Millisecond}
	burst := during(plain, 2*time.Second, 2100*time.Millisecond)
	burst.perSecond = 1500
	before, after := compare(t, 3, 6*time.Second, plain, burst)
	assert.Assert(t, before["plain"].refused > 0)
	assert.Equal(t, after["plain"].refused, 0)
	assert.Assert(t, after["plain"].timely() >= before["plain"].timely())

	s, now := srdispatch.New(srdispatch.Options{Fair: true}), time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "a", Slots: 4, Share: 4, Born: 1}})
	s.Pause(now, "a", 1, 300*time.Millisecond)
	assert.Equal(t, len(s.Add(now, srdispatch.Ask{ID: 1, Target: now.Add(plain.target), Deadline: now.Add(plain.deadline), Patience: plain.patience})), 0)
	for range 29 {
		now = now.Add(10 * time.Millisecond)
		assert.Equal(t, len(s.Tick(now)), 0)
	}
	assert.Equal(t, s.Tick(now.Add(10 * time.Millisecond))[0].Kind, srdispatch.Placed)
}

// TestReturnedRequestsWaitByPatience checks how long a late request may wait, which is 0.5 s for
// a caller that leaves after 2 s.
func TestReturnedRequestsWaitByPatience(t *testing.T) {
	for _, c := range []struct {
		fair           bool
		patience, wait time.Duration
	}{
		{false, 4 * time.Second, 500 * time.Millisecond},
		{true, 0, 500 * time.Millisecond},
		{true, 2 * time.Second, 500 * time.Millisecond},
		{true, 4 * time.Second, time.Second},
		{true, 4800 * time.Millisecond, 1200 * time.Millisecond},
		// The answer must end by the deadline, after 6 s.
		{true, time.Minute, 1500 * time.Millisecond},
	} {
		s, now := srdispatch.New(srdispatch.Options{Fair: c.fair}), time.Unix(0, 0)
		s.Configure(now, []srdispatch.Endpoint{{ID: "a", Slots: 1, Share: 1}})
		s.Add(now, srdispatch.Ask{ID: 1, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)})
		s.Add(now, srdispatch.Ask{ID: 2, Target: now, Deadline: now.Add(6 * time.Second), Patience: c.patience, Returned: true})
		next, ok := s.Next()
		assert.Assert(t, ok)
		assert.Equal(t, next.Sub(now), c.wait)
		assert.Equal(t, s.Tick(next)[0].Reason, srdispatch.ReasonLate)
	}
}

// TestOrderOfReturnedRequests checks the order in which asks get a slot that becomes free.
func TestOrderOfReturnedRequests(t *testing.T) {
	s, now := srdispatch.New(srdispatch.Options{Fair: true}), time.Unix(0, 0)
	s.Configure(now, []srdispatch.Endpoint{{ID: "a", Slots: 1, Share: 1}})
	add := func(id uint64, rank int, target time.Duration, returned bool) {
		s.Add(now, srdispatch.Ask{ID: id, Route: rank, Target: now.Add(target), Deadline: now.Add(10 * time.Second), Patience: 4 * time.Second, Returned: returned})
	}
	add(9, 0, time.Second, false)
	add(1, 1, time.Second, false)
	add(2, 0, -time.Second, true)
	add(3, 0, time.Second, false)
	// Returned early enough, and so in time before the one above.
	add(4, 0, 500*time.Millisecond, true)
	for _, want := range []uint64{4, 3, 2, 1} {
		assert.Equal(t, s.Release(now, "a", srdispatch.Result{})[0].Ask, want)
	}
}

// TestHigherRanksReturnFirst offers 120 requests of each of three ranks at once, beside 30 a
// second. Refused callers get return times in the order of their ranks.
func TestHigherRanksReturnFirst(t *testing.T) {
	var sum, count [3]float64
	sim := newSimulationOf(t, srdispatch.Options{Seed: 1, Domain: "a", Fair: true}, healthy(5, 8)...)
	sim.refused = func(a *ask, d srdispatch.Decision) {
		sum[a.Route] += d.After.Seconds()
		count[a.Route]++
	}
	offer := func(rank int) {
		sim.ask(&ask{work: 400 * time.Millisecond, Ask: srdispatch.Ask{Route: rank, Target: sim.now.Add(time.Second), Deadline: sim.now.Add(12 * time.Second), Patience: 4 * time.Second}})
	}
	sim.advance(3*time.Second, func() {
		if sim.now.UnixMilli()%33 == 0 {
			offer(0)
		}
		for i := 0; sim.now.UnixMilli() == 2000 && i < 360; i++ {
			offer(i % 3)
		}
	})
	t.Log(sum, count)
	assert.Assert(t, sum[0]/count[0] < sum[1]/count[1] && sum[1]/count[1] < sum[2]/count[2])
}
