package srlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// TestLimitStaysWithinItsBounds gives endpoints answers of random times, loads, cold starts and
// slot counts. A limit is at least one and at most the slots, and the changes are bounded. The
// loads of the package comment are replayed in internal/policy/srdispatch, limits_test.go.
func TestLimitStaysWithinItsBounds(t *testing.T) {
	falls := 0
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, seed))
		l := srlimit.New()
		slots := make([]int, 5)
		endpoints := make([]*srlimit.Endpoint, len(slots))
		for i := range endpoints {
			slots[i] = 1 + r.IntN(10)
			endpoints[i] = l.Add(slots[i])
		}
		now := time.Unix(0, 0)
		for range 8_000 {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			i := r.IntN(len(endpoints))
			e, prompt, running := endpoints[i], r.IntN(3000), r.IntN(slots[i]+2)
			took := time.Duration((1 + r.ExpFloat64()*float64(running*i)) * float64(20*time.Millisecond))
			switch r.IntN(40) {
			case 0:
				slots[i] = 1 + r.IntN(10)
				e.Configure(now, slots[i], false)
			case 1:
				e.Configure(now, slots[i], r.IntN(20) == 0)
			case 2:
				e.Probe(now)
			default:
				e.Placed(now, prompt, r.IntN(9000), running)
				e.Started(now, prompt, prompt, took)
				e.Ended(now, srlimit.Answer{Pace: took, Running: running})
			}
			assert.Assert(t, e.Limit() >= 1 && e.Limit() <= slots[i], "seed %d: %d of %d", seed, e.Limit(), slots[i])
			assert.Assert(t, e.Slowness(now) > 0 && e.StartTime(now, prompt) >= 0)
		}
		changes := l.Changes()
		for _, c := range changes {
			if c.Reason == srlimit.Slow {
				falls++
			}
		}
		assert.Assert(t, len(changes) <= 256)
		assert.Equal(t, len(l.Changes()), 0)
	}
	assert.Assert(t, falls > 0)
}

// fallen returns endpoints with 8 slots, of which the first one is six times slower with more than
// four requests, after 20 s.
func fallen() (l *srlimit.Limiter, endpoints []*srlimit.Endpoint, now time.Time) {
	l = srlimit.New()
	endpoints = []*srlimit.Endpoint{l.Add(8), l.Add(8), l.Add(8)}
	now = time.Unix(0, 0)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		running := 1 + i/200%8
		for n, e := range endpoints {
			running := min(running, e.Limit())
			took := 20 * time.Millisecond
			if n == 0 && running > 4 {
				took *= 6
			}
			e.Placed(now, 0, 0, running)
			e.Ended(now, srlimit.Answer{Pace: took, Running: running})
		}
	}
	return l, endpoints, now
}

// TestNextIncarnationIsNotLimited checks that an incarnation does not inherit the limit of the one
// before, nor its speed.
func TestNextIncarnationIsNotLimited(t *testing.T) {
	l, endpoints, now := fallen()
	slow := endpoints[0]
	assert.Assert(t, slow.Limit() < 8)
	assert.Equal(t, endpoints[1].Limit(), 8)
	l.Changes()
	slow.Reset(now)
	assert.Equal(t, slow.Limit(), 8)
	assert.Equal(t, slow.Slowness(now), 1.0)
	assert.DeepEqual(t, l.Changes()[0].Reason, srlimit.Forgotten)
}

// TestPredictionsAreBounded: the sizes of prompts come from clients. The time predicted for the
// largest ones does not overflow, so that no endpoint looks free because of them.
func TestPredictionsAreBounded(t *testing.T) {
	l := srlimit.New()
	e := l.Add(8)
	now := time.Unix(0, 0)
	for i := range 100 {
		now = now.Add(200 * time.Millisecond)
		prompt := 100 * (1 + i%5)
		e.Placed(now, prompt, 0, 1)
		e.Started(now, prompt, prompt, time.Duration(prompt)*10*time.Millisecond)
	}
	for tokens := 1000; tokens > 0; tokens *= 1000 {
		assert.Assert(t, e.StartTime(now, tokens) > time.Second, "%d tokens: %v", tokens, e.StartTime(now, tokens))
	}
}

// TestLimitSurvivesAChangeOfSlots: a limit that has fallen stays where it is when the endpoint has
// fewer slots for a moment, as many as the limit.
func TestLimitSurvivesAChangeOfSlots(t *testing.T) {
	_, endpoints, now := fallen()
	slow := endpoints[0]
	limit := slow.Limit()
	assert.Assert(t, limit < 8)
	slow.Configure(now, limit, false)
	slow.Configure(now, 8, false)
	assert.Equal(t, slow.Limit(), limit)
	endpoints[1].Configure(now, 12, false)
	assert.Equal(t, endpoints[1].Limit(), 12)
}
