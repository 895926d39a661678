package srdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

var explainStart = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// explained adds an ask after an explanation of it, which must tell what happens.
func explained(t *testing.T, s *srdispatch.Service, now time.Time, a srdispatch.Ask) srdispatch.Explanation {
	t.Helper()
	x := s.Explain(now, a)
	d := decisionOn(s.Add(now, a), a.ID)
	assert.DeepEqual(t, withID(x.Decision, d.Ask), d)
	for _, c := range x.Candidates {
		assert.Equal(t, c.Chosen, d.Kind == srdispatch.Placed && c.Endpoint == d.Endpoint, "%+v", c)
	}
	return x
}

// decisionOn returns the decision on an ask, an empty one for none.
func decisionOn(list []srdispatch.Decision, id uint64) srdispatch.Decision {
	for _, d := range list {
		if d.Ask == id {
			return d
		}
	}
	return srdispatch.Decision{}
}

func withID(d srdispatch.Decision, id uint64) srdispatch.Decision {
	d.Ask = id
	return d
}

// TestExplanationIsTheDecision: Explain tells what Add does, and why.
func TestExplanationIsTheDecision(t *testing.T) {
	usual := srdispatch.Ask{ID: 1000, Target: explainStart.Add(time.Second), Deadline: explainStart.Add(10 * time.Second), Prompt: 100}
	endpoints := func(coldRate float64) []srdispatch.Endpoint {
		return []srdispatch.Endpoint{{ID: "e-1", Domain: "a", Slots: 2, Share: 2, ColdRate: coldRate}, {ID: "e-2", Domain: "b", Slots: 2, Share: 2, ColdRate: coldRate}}
	}
	fill := func(s *srdispatch.Service, n int) {
		for i := range n {
			s.Add(explainStart, srdispatch.Ask{ID: uint64(i + 1), Target: usual.Target, Deadline: usual.Deadline, Prompt: 100})
		}
	}
	late, long := usual, usual
	late.Target = explainStart.Add(-time.Second)
	long.Length = 100_000
	for name, c := range map[string]struct {
		coldRate float64
		prepare  func(s *srdispatch.Service)
		ask      srdispatch.Ask
		want     string
	}{
		"free":         {0, func(*srdispatch.Service) {}, usual, "1 e-1 :e-1 e-2"},
		"one in use":   {0, func(s *srdispatch.Service) { fill(s, 1) }, usual, "1 e-2 :e-2 e-1"},
		"all full":     {0, func(s *srdispatch.Service) { fill(s, 4) }, usual, "0  :e-1 full e-2 full"},
		"ejected":      {0, func(s *srdispatch.Service) { s.ReportSilent(explainStart, "e-1") }, usual, "1 e-2 :e-2 e-1 ejected"},
		"most ejected": {0, func(s *srdispatch.Service) { s.ReportSilent(explainStart, "e-1"); s.ReportSilent(explainStart, "e-2") }, usual, "1 e-1 :e-1 e-2"},
		"paused":       {0, func(s *srdispatch.Service) { s.Pause(explainStart, "e-1", 0, time.Minute) }, usual, "1 e-2 :e-2 e-1 paused"},
		"all paused": {0, func(s *srdispatch.Service) {
			s.Pause(explainStart, "e-1", 0, time.Minute)
			s.Pause(explainStart, "e-2", 0, time.Minute)
		}, usual, "2  paused:e-1 paused e-2 paused"},
		"cold":          {1, func(s *srdispatch.Service) { fill(s, 2) }, usual, "0  :e-1 cold e-2 cold"},
		"late":          {0, func(s *srdispatch.Service) { learnSpeeds(s, "e-1") }, late, "1 e-1 :e-1 e-2"},
		"in time":       {0, func(s *srdispatch.Service) { learnSpeeds(s, "e-1") }, usual, "1 e-2 :e-2 e-1"},
		"long answer":   {0, func(s *srdispatch.Service) { learnSpeeds(s, "e-1") }, long, "1 e-2 :e-2 late e-1 late"},
		"avoided":       {0, func(*srdispatch.Service) {}, srdispatch.Ask{ID: 1000, Target: usual.Target, Deadline: usual.Deadline, Avoid: []string{"e-1"}}, "1 e-2 :e-2 e-1 avoided"},
		"no endpoint":   {0, func(s *srdispatch.Service) { s.Configure(explainStart, nil) }, usual, "2  empty:"},
		"slots ran out": {0, func(s *srdispatch.Service) { fill(s, 4); complete(s, 20) }, usual, "2  full:e-1 full e-2 full"},
	} {
		t.Run(name, func(t *testing.T) {
			s := srdispatch.New(srdispatch.Options{Seed: 1, Domain: "a"})
			s.Configure(explainStart, endpoints(c.coldRate))
			c.prepare(s)
			x := explained(t, s, explainStart, c.ask)
			got := fmt.Sprintf("%d %s %s:", x.Decision.Kind, x.Decision.Endpoint, x.Decision.Reason)
			for i, e := range x.Candidates {
				for _, word := range []string{e.Endpoint, string(e.Obstacle), map[bool]string{false: "late"}[e.InTime]} {
					if word != "" {
						got += map[bool]string{true: " "}[i > 0 || word != e.Endpoint] + word
					}
				}
			}
			assert.Equal(t, got, c.want)
			assert.Equal(t, x.MaxWait > 0 && x.RetryAfter > 0, x.Decision.Kind == 0)
		})
	}
}

// learnSpeeds lets answers of an endpoint start and run ten times as slowly as of the others.
func learnSpeeds(s *srdispatch.Service, slow string) {
	at := explainStart.Add(-10 * time.Second)
	for range 400 {
		at = at.Add(20 * time.Millisecond)
		for _, id := range []string{"e-1", "e-2"} {
			pace := 10 * time.Millisecond
			if id == slow {
				pace *= 10
			}
			s.Adopt(at, id, 100)
			s.AnswerStarted(at, id, 100, pace)
			s.Release(at, id, srdispatch.Result{Pace: pace, Events: 10, Length: 10})
		}
	}
}

// complete lets requests end, so that the rate is known, and streams wait to be continued.
func complete(s *srdispatch.Service, n int) {
	for i := range n {
		at := explainStart.Add(time.Duration(i-n) * 200 * time.Millisecond)
		s.Add(at, srdispatch.Ask{ID: uint64(100 + i), Target: at.Add(time.Hour), Deadline: at.Add(time.Hour), Prompt: 100})
		s.Release(at, []string{"e-1", "e-2"}[i%2], srdispatch.Result{})
	}
	for i := range n {
		s.Add(explainStart, srdispatch.Ask{ID: uint64(200 + i), Target: explainStart.Add(time.Hour), Deadline: explainStart.Add(time.Hour), Prompt: 100, Resumed: true})
	}
}

// TestExplanationChangesNothing plays the same random work against two services, and explains
// each ask to one of them before it is added. Both decide the same throughout.
func TestExplanationChangesNothing(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 7))
		newService := func() *srdispatch.Service {
			return srdispatch.New(srdispatch.Options{Seed: seed, Domain: "a", Fair: seed%2 == 0})
		}
		plain, asked := newService(), newService()
		now, held, changed := explainStart, []string{}, 0
		// both applies a step to both services.
		both := func(step func(s *srdispatch.Service) []srdispatch.Decision) {
			want := step(plain)
			got := step(asked)
			assert.DeepEqual(t, got, want)
			for _, d := range want {
				if d.Kind == srdispatch.Placed {
					held = append(held, d.Endpoint)
				} else {
					changed++
				}
			}
		}
		var list []srdispatch.Endpoint
		for i := range 6 {
			list = append(list, srdispatch.Endpoint{ID: fmt.Sprintf("e-%d", i), Domain: string(rune('a' + i%2)), Slots: 4, Share: 2 + i%3, ColdRate: float64(i/5) * 3})
		}
		both(func(s *srdispatch.Service) []srdispatch.Decision { return s.Configure(now, list) })
		for i := range 2000 {
			now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			a := srdispatch.Ask{
				ID: uint64(i + 1), Route: r.IntN(3), Prompt: r.IntN(2000), Length: r.IntN(400), Returned: r.IntN(5) == 0,
				WorkspaceName: string(rune('u' + r.IntN(4))), Weight: 1, Patience: 2 * time.Second,
				Target: now.Add(time.Duration(r.IntN(800)-50) * time.Millisecond), Deadline: now.Add(4 * time.Second), LastPart: fmt.Sprint(r.IntN(9)),
			}
			x := asked.Explain(now, a)
			switch k := r.IntN(20); {
			case k < 11:
				both(func(s *srdispatch.Service) []srdispatch.Decision {
					list := s.Add(now, a)
					assert.DeepEqual(t, withID(x.Decision, decisionOn(list, a.ID).Ask), decisionOn(list, a.ID))
					return list
				})
			case k < 18 && len(held) > 0:
				j := r.IntN(len(held))
				id := held[j]
				held = slices.Delete(held, j, j+1)
				result := srdispatch.Result{Failed: r.IntN(15) == 0, Pace: time.Duration(5+r.IntN(20)) * time.Millisecond, Events: 5, Length: 40}
				both(func(s *srdispatch.Service) []srdispatch.Decision {
					s.AnswerStarted(now, id, 500, result.Pace*3)
					return s.Release(now, id, result)
				})
			case k == 18 && i%7 == 0:
				id := fmt.Sprintf("e-%d", r.IntN(6))
				both(func(s *srdispatch.Service) []srdispatch.Decision {
					s.Pause(now, id, 0, 200*time.Millisecond)
					return nil
				})
			default:
				both(func(s *srdispatch.Service) []srdispatch.Decision { return s.Tick(now) })
			}
			assert.DeepEqual(t, asked.HealthChanges(), plain.HealthChanges())
			assert.DeepEqual(t, asked.LimitChanges(now), plain.LimitChanges(now))
		}
		assert.Assert(t, changed > 100, "seed %d: only %d refusals", seed, changed)
	}
}
