package srsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
)

const (
	step = 10 * time.Millisecond
	// contact is the time within which instances learn of each other's observations, as
	// the platform states it.
	contact = 3 * time.Second
	// allowedCrashes is the number of crashes after which requests with their cause must
	// stop, allowedSame that for one request that comes again, allowedAfter the number of
	// such requests that may still be sent later than contact after it.
	allowedCrashes = 5
	allowedSame    = 3
	allowedAfter   = 3
	// startDelay is the time from sending a request to the start of its answer, soundDelay
	// from there until it counts as sound, downtime that of a crashed endpoint.
	startDelay = 100 * time.Millisecond
	soundDelay = 300 * time.Millisecond
	downtime   = 3 * time.Second
)

// seeds is the number of seeds that each load is replayed with.
const seeds = 10

// load describes the requests of a replay.
type load struct {
	instances int
	endpoints int
	// gossip is the interval at which instances exchange reports.
	gossip time.Duration
	// perSecond is the rate of requests, crashingShare the share of those with a crashing part.
	perSecond     float64
	crashingShare float64
	// first is the number of different first parts; middle that of the parts after them,
	// 0 for none.
	first  int
	middle int
	// shared is the number of further parts that all requests have.
	shared int
	// crashing builds the parts of a request that crashes its endpoint from those of a
	// sound one.
	crashing func(parts []string) []string
	// alike is set if all requests have the same path, workspace and body.
	alike bool
	// outage is a time at which all endpoints crash together, 0 for none.
	outage time.Duration
	// random is the rate, per second, of crashes without a cause in a request.
	random   float64
	duration time.Duration
}

// running is a request at an endpoint.
type running struct {
	instance int
	parts    []string
	crashing bool
	startsAt time.Duration
	soundAt  time.Duration
}

// result is what a replay observed.
type result struct {
	crashes int
	// late counts the crashing requests sent later than contact after the allowed crashes.
	late int
	// sound and refused count the sound requests after that time, and those of them that
	// were blocked.
	sound, refused int
	// refusedEver counts the sound requests that were blocked at any time, of soundEver.
	refusedEver, soundEver int
}

func replay(seed uint64, l load) result {
	r := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(1_000_000, 0)
	var all []*srsuspect.Suspects
	for i := range l.instances {
		all = append(all, srsuspect.New(srsuspect.Options{Rank: func(string) int { return i }}))
	}
	atEndpoint := make([][]running, l.endpoints)
	upAt := make([]time.Duration, l.endpoints)
	born := make([]int64, l.endpoints)
	var out result
	var lateFrom time.Duration
	requests := uint64(0)
	crash := func(now time.Duration, e int) {
		out.crashes++
		if out.crashes == allowedCrashes {
			lateFrom = now + contact
		}
		byInstance := make(map[int][][]string)
		for _, q := range atEndpoint[e] {
			if now < q.soundAt {
				byInstance[q.instance] = append(byInstance[q.instance], q.parts)
			}
		}
		for _, i := range slices.Sorted(mapKeys(byInstance)) {
			all[i].AddCrash(start.Add(now), sr.Crash{Endpoint: fmt.Sprint("e", e), Born: born[e], Requests: byInstance[i]})
		}
		atEndpoint[e], upAt[e] = nil, now+downtime
		born[e]++
	}
	for now := time.Duration(0); now < l.duration; now += step {
		for e := range atEndpoint {
			crashing := slices.ContainsFunc(atEndpoint[e], func(q running) bool { return q.crashing && now >= q.startsAt })
			if crashing || r.Float64() < l.random*step.Seconds()/float64(l.endpoints) || l.outage > 0 && now == l.outage {
				crash(now, e)
			}
			atEndpoint[e] = slices.DeleteFunc(atEndpoint[e], func(q running) bool {
				if now >= q.soundAt {
					all[q.instance].AddSound(start.Add(now), q.parts)
				}
				return now >= q.soundAt
			})
		}
		for i := range all {
			if l.gossip > 0 && (now+time.Duration(i)*step)%l.gossip == 0 {
				report := all[i].Report(start.Add(now))
				for j := range all {
					if j != i {
						all[j].Receive(start.Add(now), report)
					}
				}
				all[i].Sweep(start.Add(now))
			}
		}
		for n := l.perSecond * step.Seconds(); n > 0; n-- {
			if n < 1 && r.Float64() >= n {
				break
			}
			q := running{instance: r.IntN(l.instances), parts: append(ownParts(l.shared, "shared"), fmt.Sprint("first", r.IntN(l.first)))}
			if l.middle > 0 {
				q.parts = append(q.parts, fmt.Sprint("middle", r.IntN(l.middle)))
			}
			if r.Float64() < l.crashingShare {
				q.crashing, q.parts = true, l.crashing(q.parts)
			}
			requests++
			if l.alike {
				q.parts = append(q.parts, srsuspect.Identity(requests), srsuspect.Identity(0))
			}
			late := lateFrom > 0 && now > lateFrom
			if all[q.instance].Admit(start.Add(now), q.parts).Blocked {
				if !q.crashing {
					out.refusedEver++
					if late {
						out.refused++
					}
				}
				continue
			}
			if !q.crashing {
				out.soundEver++
				if late {
					out.sound++
				}
			}
			e := r.IntN(l.endpoints)
			if now < upAt[e] {
				continue
			}
			if q.crashing && late {
				out.late++
			}
			q.startsAt, q.soundAt = now+startDelay, now+startDelay+soundDelay
			atEndpoint[e] = append(atEndpoint[e], q)
		}
	}
	return out
}

func mapKeys(m map[int][][]string) func(func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// ownParts returns parts that only prompts with a name have.
func ownParts(n int, name string) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint(name, "-", i))
	}
	return out
}

func inserted(parts []string) []string { return append(slices.Clone(parts), "bad") }

var small = load{instances: 7, endpoints: 16, gossip: 200 * time.Millisecond, perSecond: 38, crashingShare: 0.05, first: 3, crashing: inserted, duration: 30 * time.Second}

func (l load) with(change func(*load)) load {
	change(&l)
	return l
}

// Requests with a part that crashes endpoints must stop, and those that share their other
// parts must go on.
func TestCrashingPartIsBlockedAndTheOthersAreNot(t *testing.T) {
	for name, l := range map[string]load{
		"after a shared part": small,
		"before a shared part": small.with(func(l *load) {
			l.crashing = func(parts []string) []string { return append([]string{"bad"}, parts...) }
		}),
		"instead of the first part": small.with(func(l *load) { l.crashing = func([]string) []string { return []string{"bad"} } }),
		"between parts": small.with(func(l *load) {
			l.first, l.middle = 3, 40
			l.crashing = func(parts []string) []string { return []string{parts[0], "bad", parts[1]} }
		}),
		"two parts": small.with(func(l *load) {
			n := 0
			l.crashing = func(parts []string) []string {
				n++
				return append(slices.Clone(parts), fmt.Sprint("bad", n%2))
			}
		}),
		"behind more parts than a crash had": small.with(func(l *load) {
			l.shared = 70
		}),
		"among more parts than a crash keeps": small.with(func(l *load) {
			n := 0
			l.crashing = func(parts []string) []string {
				n++
				own := ownParts(1500, fmt.Sprint(n))
				return slices.Concat(parts, own[:900], []string{"bad"}, own[900:])
			}
		}),
		"path, workspace and body of all": small.with(func(l *load) { l.alike = true }),
		"the same, a few requests": small.with(func(l *load) {
			l.alike, l.perSecond, l.crashingShare = true, 8, 0.1
		}),
		"the same, a large share": small.with(func(l *load) { l.alike, l.crashingShare = true, 0.3 }),
		"the same, beside other crashes": small.with(func(l *load) {
			l.alike, l.random = true, 1
		}),
		"large share":          small.with(func(l *load) { l.crashingShare = 0.3 }),
		"few requests":         small.with(func(l *load) { l.perSecond, l.crashingShare = 8, 0.1 }),
		"beside other crashes": small.with(func(l *load) { l.random = 1 }),
		"large fleet": small.with(func(l *load) {
			l.instances, l.endpoints, l.gossip, l.perSecond, l.first = 69, 90, 690*time.Millisecond, 201, 3
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				got := replay(seed, l)
				assert.Check(t, got.late <= allowedAfter, "seed %d: %+v", seed, got)
				assert.Check(t, got.refused*20 <= got.sound, "seed %d: %+v", seed, got)
			}
		})
	}
}

// Crashes that no request causes must not lead to a suspicion that lasts.
func TestCrashesWithoutACauseBlockNothing(t *testing.T) {
	for name, l := range map[string]load{
		"one after the other": small.with(func(l *load) { l.crashingShare, l.random = 0, 2 }),
		"all at once":         small.with(func(l *load) { l.crashingShare, l.outage = 0, 10*time.Second }),
		"rare parts": small.with(func(l *load) {
			l.crashingShare, l.random, l.middle = 0, 2, 200
		}),
		"path, workspace and body of all": small.with(func(l *load) {
			l.alike, l.crashingShare, l.random, l.outage = true, 0, 2, 10*time.Second
		}),
		"large fleet": small.with(func(l *load) {
			l.crashingShare, l.instances, l.endpoints, l.gossip, l.perSecond, l.random, l.outage = 0, 69, 90, 690*time.Millisecond, 201, 5, 10*time.Second
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				got := replay(seed, l)
				assert.Check(t, got.refusedEver*50 <= got.soundEver, "seed %d: %+v", seed, got)
			}
		})
	}
}

// repeats describes the requests of a replay in which requests are sent again.
type repeats struct {
	instances int
	endpoints int
	gossip    time.Duration
	perSecond float64
	// deadly is the number of requests that crash each endpoint and come again. Each coming
	// has a second attempt at the same instance, and a retry of the client at another one.
	deadly int
	// popular is the share of the sound requests that are one and the same.
	popular float64
	// parts is the number of different shared parts, 0 when requests have none.
	parts int
	// random is the rate, per second, of crashes without a cause in a request, outage a time
	// at which all endpoints crash together, 0 for none.
	random float64
	outage time.Duration
	// restart is a time at which all instances but the first one forget everything.
	restart time.Duration
	// form returns the number of the form in which a request comes for the n-th time, and the
	// shared parts that it has then besides those of the replay. Nil means one form.
	form func(n int) (form uint64, parts []string)
	// awaitsCheck is set if a request that was at a crash is not attempted again before the
	// instance knows whether its endpoint has crashed.
	awaitsCheck bool
}

const (
	// retryDelay is the time after which a client retries, returnDelay that after which a
	// deadly request comes again at least.
	retryDelay  = 250 * time.Millisecond
	returnDelay = 2 * time.Second
	// attemptDelay is the time between the attempts of an instance.
	attemptDelay = step
	// checkDelay is the time until an instance knows of a crash.
	checkDelay = 40 * time.Millisecond
	duration   = 30 * time.Second
)

// sending is a request at one of its attempts, to be sent at a time.
type sending struct {
	at       time.Duration
	instance int
	// attempt counts the attempts of the instance, retry those of the client, from 0.
	attempt, retry int
	deadly         int
	parts          []string
	startsAt       time.Duration
	soundAt        time.Duration
}

// repeated is what a replay with repeated requests observed.
type repeated struct {
	crashes int
	// late is, of all deadly requests, the largest number of attempts sent later than
	// contact after the allowed crashes.
	late int
	// sound counts the sound requests, refused those of them that were blocked.
	sound, refused int
}

// replayRepeats replays requests that are sent again after a crash.
func replayRepeats(seed uint64, l repeats) (out repeated) {
	r := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(1_000_000, 0)
	newInstance := func(i int) *srsuspect.Suspects {
		return srsuspect.New(srsuspect.Options{Rank: func(string) int { return i }})
	}
	var all []*srsuspect.Suspects
	for i := range l.instances {
		all = append(all, newInstance(i))
	}
	atEndpoint := make([][]sending, l.endpoints)
	upAt := make([]time.Duration, l.endpoints)
	caused, late, lateFrom := make([]int, l.deadly+1), make([]int, l.deadly+1), make([]time.Duration, l.deadly+1)
	// reports holds the crashes that the instances have not noticed yet.
	var reports []func()
	var reportAt []time.Duration
	newParts := func(request, form uint64, more ...string) (parts []string) {
		if l.parts > 0 {
			parts = append(parts, fmt.Sprint("first", r.IntN(l.parts)))
		}
		return append(append(parts, more...), srsuspect.Identity(1<<32+form<<16+request), srsuspect.Identity(request))
	}
	var due []sending
	for i := range l.deadly {
		due = append(due, sending{at: time.Duration(i) * time.Second, deadly: i + 1, parts: newParts(uint64(i), 0)})
	}
	next := uint64(l.deadly)
	const popularRequest = 60_000
	comings := 0
	again := func(now time.Duration, q sending) {
		if q.deadly > 0 && q.attempt == 1 && l.form != nil {
			comings++
			form, more := l.form(comings)
			q.parts = newParts(uint64(q.deadly-1), form, more...)
		}
		switch {
		case q.attempt == 0:
			q.attempt, q.at = 1, now+attemptDelay
			if l.awaitsCheck && all[q.instance].IsInvolved(q.parts[len(q.parts)-1]) {
				q.at = now + checkDelay + attemptDelay
			}
		case q.retry == 0:
			q.attempt, q.retry, q.at, q.instance = 0, 1, now+retryDelay, r.IntN(l.instances)
		case q.deadly > 0:
			q.attempt, q.retry, q.at, q.instance = 0, 0, now+returnDelay+time.Duration(r.IntN(3000))*time.Millisecond, r.IntN(l.instances)
		default:
			return
		}
		due = append(due, q)
	}
	crash := func(now time.Duration, e int) {
		out.crashes++
		byInstance := make(map[int]sr.Crash)
		for _, q := range atEndpoint[e] {
			if q.deadly > 0 && now >= q.startsAt {
				if caused[q.deadly]++; caused[q.deadly] == allowedSame {
					lateFrom[q.deadly] = now + contact
				}
			}
			c := byInstance[q.instance]
			c.Requests, c.Ran = append(c.Requests, q.parts), append(c.Ran, now-q.at)
			byInstance[q.instance] = c
			again(now, q)
		}
		for i, c := range byInstance {
			c.Endpoint, c.Born, c.Age = fmt.Sprint("e", e), int64(now), checkDelay
			reports, reportAt = append(reports, func() { all[i].AddCrash(start.Add(now+checkDelay), c) }), append(reportAt, now+checkDelay)
		}
		atEndpoint[e], upAt[e] = nil, now+downtime
	}
	for now := time.Duration(0); now < duration; now += step {
		if l.restart > 0 && now == l.restart {
			for i := 1; i < l.instances; i++ {
				all[i] = newInstance(i)
			}
		}
		for len(reports) > 0 && reportAt[0] <= now {
			reports[0]()
			reports, reportAt = reports[1:], reportAt[1:]
		}
		for e := range atEndpoint {
			begins := slices.ContainsFunc(atEndpoint[e], func(q sending) bool { return q.deadly > 0 && now >= q.startsAt })
			if begins || r.Float64() < l.random*step.Seconds()/float64(l.endpoints) || l.outage > 0 && now == l.outage {
				crash(now, e)
			}
			atEndpoint[e] = slices.DeleteFunc(atEndpoint[e], func(q sending) bool {
				if now >= q.soundAt {
					all[q.instance].AddSound(start.Add(now), q.parts)
				}
				return now >= q.soundAt
			})
		}
		for i := range all {
			if (now+time.Duration(i)*step)%l.gossip == 0 {
				report := all[i].Report(start.Add(now))
				for j := range all {
					if j != i {
						all[j].Receive(start.Add(now), report)
					}
				}
				all[i].Sweep(start.Add(now))
			}
		}
		if r.Float64() < l.perSecond*step.Seconds() {
			q := sending{at: now, instance: r.IntN(l.instances), parts: newParts(next, 0)}
			next++
			if r.Float64() < l.popular {
				q.parts = newParts(popularRequest, 0)
			}
			due = append(due, q)
		}
		ready := slices.Clone(due)
		due = slices.DeleteFunc(due, func(q sending) bool { return q.at <= now })
		for _, q := range ready {
			if q.at > now {
				continue
			}
			blocked := all[q.instance].Admit(start.Add(now), q.parts).Blocked
			if q.deadly == 0 && q.attempt+q.retry == 0 {
				out.sound++
			}
			if blocked {
				if q.deadly == 0 {
					out.refused++
				} else {
					again(now, q)
				}
				continue
			}
			var up []int
			for e := range upAt {
				if now >= upAt[e] {
					up = append(up, e)
				}
			}
			if len(up) == 0 {
				again(now, q)
				continue
			}
			if q.deadly > 0 && lateFrom[q.deadly] > 0 && now > lateFrom[q.deadly] {
				late[q.deadly]++
			}
			q.at, q.startsAt, q.soundAt = now, now+step+time.Duration(r.IntN(50))*time.Millisecond, now+startDelay+soundDelay
			e := up[r.IntN(len(up))]
			atEndpoint[e] = append(atEndpoint[e], q)
		}
	}
	out.late = slices.Max(late)
	return out
}

var few = repeats{instances: 7, endpoints: 4, gossip: 200 * time.Millisecond, perSecond: 20, parts: 3, deadly: 1}

func (l repeats) with(change func(*repeats)) repeats {
	change(&l)
	return l
}

// A request that crashes each endpoint and comes again must stop, and the requests beside it,
// which are sent again with it, must go on.
func TestCrashingRequestIsBlockedAndTheOthersAreNot(t *testing.T) {
	for name, l := range map[string]repeats{
		"one request":          few,
		"several requests":     few.with(func(l *repeats) { l.deadly, l.endpoints, l.perSecond = 8, 12, 60 }),
		"few endpoints":        few.with(func(l *repeats) { l.parts, l.endpoints, l.deadly = 0, 2, 2 }),
		"beside other crashes": few.with(func(l *repeats) { l.random, l.endpoints, l.deadly = 0.5, 12, 3 }),
		"restart":              few.with(func(l *repeats) { l.restart = 12 * time.Second }),
		"popular request":      few.with(func(l *repeats) { l.popular, l.deadly, l.endpoints, l.perSecond = 0.3, 4, 12, 60 }),
		"shared part":          few.with(func(l *repeats) { l.parts, l.deadly, l.endpoints = 1, 4, 12 }),
		"in other forms": few.with(func(l *repeats) {
			l.form = func(n int) (uint64, []string) { return uint64(n), nil }
		}),
		"in other forms, with parts of its own": few.with(func(l *repeats) {
			l.form = func(n int) (uint64, []string) { return uint64(n), ownParts(3, fmt.Sprint("own", n)) }
		}),
		"in other forms, with a part that stays": few.with(func(l *repeats) {
			l.form = func(n int) (uint64, []string) { return uint64(n), []string{"stays"} }
		}),
		"in other forms, without a shared part": few.with(func(l *repeats) {
			l.parts = 0
			l.form = func(n int) (uint64, []string) { return uint64(n), nil }
		}),
		"in other forms later on": few.with(func(l *repeats) {
			l.awaitsCheck = true
			l.form = func(n int) (uint64, []string) { return uint64(max(n-4, 0)), nil }
		}),
		"in other forms, several requests": few.with(func(l *repeats) {
			l.deadly, l.endpoints, l.perSecond = 8, 12, 60
			l.form = func(n int) (uint64, []string) { return uint64(n), ownParts(n%3, fmt.Sprint("own", n)) }
		}),
		"large fleet": few.with(func(l *repeats) {
			l.instances, l.endpoints, l.gossip, l.perSecond, l.deadly = 69, 30, 690*time.Millisecond, 90, 8
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				got := replayRepeats(seed, l)
				assert.Check(t, got.late <= allowedAfter, "seed %d: %+v", seed, got)
				assert.Check(t, got.refused*50 <= got.sound, "seed %d: %+v", seed, got)
			}
		})
	}
}

// Requests that are sent again during crashes without a cause must not be suspected, also
// those that many clients send.
func TestRepeatedRequestsBesideCrashesAreNotBlocked(t *testing.T) {
	for name, l := range map[string]repeats{
		"one after the other": few.with(func(l *repeats) { l.deadly, l.endpoints, l.random = 0, 12, 2 }),
		"all at once":         few.with(func(l *repeats) { l.deadly, l.outage = 0, 10*time.Second }),
		"popular request": few.with(func(l *repeats) {
			l.deadly, l.endpoints, l.random, l.outage, l.popular, l.perSecond = 0, 12, 2, 10*time.Second, 0.5, 60
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				got := replayRepeats(seed, l)
				assert.Check(t, got.refused*100 <= got.sound, "seed %d: %+v", seed, got)
			}
		})
	}
}
