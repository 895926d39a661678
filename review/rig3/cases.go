package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// runCase plays a case and returns 1 if the rule was broken, 0 if it held, and 2 if the case could
// not be played.
func runCase(name, dir string, trouble bool) int {
	play, ok := map[string]func(*rig, bool) (bool, error){
		"refused":    caseRefused,
		"incomplete": caseIncomplete,
		"cold":       caseCold,
		"pause":      casePause,
		"again":      caseAgain,
	}[name]
	if !ok {
		return 2
	}
	r, err := newRig(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := play(r, trouble)
	r.writeRecord()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		r.rec.add("case", "could not be played: %v", err)
		return 2
	case broken:
		return 1
	}
	return 0
}

type m = map[string]any

const (
	key     = "i9n73hh2b9wu3fexd9dn"
	desk    = "desk"
	writers = "writers"
	timeout = 2 * time.Second
	// tagTimeout is the time limit of a tag.
	tagTimeout = 2500 * time.Millisecond
)

// coldPerS is how many requests a second a cold runner of the writers tolerates.
const coldPerS = 21.0

// prompt returns the headers of a request to a model runner. Its last part is its own.
func prompt() map[string]string {
	return map[string]string{
		"Authorization": "Bearer " + key, "X-Model": "m", "X-Token-Usage": "420,40",
		"X-Prompt-Prefix": "5c1e07a2:60,91bd3f06:60," + newID()[:8] + ":300",
	}
}

var zones = []string{"oost-a", "oost-b", "oost-c"}

// config is a configuration with two services and two routes.
func config() m {
	route := func(name, prefix, kind, service string, attempts, timeoutMs, targetMs int, public bool) m {
		return m{
			"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
			"priority": 1, "service": service, "max_attempts": attempts, "public": public, "sticky": service == writers, "resumable": false, "gap_aim_ms": 200,
		}
	}
	return m{
		"version": 7,
		"routes": []m{
			route("r-book", "/book/", "non_idempotent", desk, 1, 2000, 300, true),
			route("r-write", "/write/", "streaming", writers, 1, 12000, 500, false),
		},
		"services": []m{
			{"name": desk, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
			{"name": writers, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": coldPerS, "engine": m{"slots": 13}},
		},
		"limits":  m{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []m{{"name": "plant", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 367904, "burst": 367904}},
	}
}

// fleet holds the runners of one service, at addresses that they keep.
type fleet struct {
	r       *rig
	service string
	ids     []string
	address []string
	common  []string
}

// startFleet starts the store's configuration, n runners and three machines of the system.
func (r *rig) startFleet(service string, n int, common ...string) (*fleet, error) {
	r.store.put("op/config", config())
	f := &fleet{r: r, service: service, common: common}
	var err error
	if f.address, err = freePorts(n); err != nil {
		return nil, err
	}
	for i := range n {
		f.ids = append(f.ids, fmt.Sprintf("i-%d", i+1))
		if err := f.start(i, f.ids[i]); err != nil {
			return nil, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := r.startFronts(3, zones); err != nil {
		return nil, err
	}
	return f, r.awaitReady()
}

// start starts the runner at a place of the fleet under an id.
func (f *fleet) start(i int, id string, args ...string) error {
	all := append([]string{"-address", f.address[i], "-service", f.service, "-zone", zones[i%len(zones)]}, f.common...)
	return f.r.startRunner(id, append(all, args...)...)
}

// busiest returns the place of the runner that most requests have reached so far.
func (f *fleet) busiest() int {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	count := map[string]int{}
	for _, a := range f.r.arrivals {
		count[a.Runner]++
	}
	most := 0
	for i, id := range f.ids {
		if count[id] > count[f.ids[most]] {
			most = i
		}
	}
	return most
}

// caseRefused: a runner fails a part of its requests with 503 after it has run them, and does not
// state that it has not run them.
func caseRefused(r *rig, trouble bool) (bool, error) {
	f, err := r.startFleet(desk, 7, "-work", "60ms")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	r.load(stop, 27, http.MethodPost, "/book/1", func() string { return "booking " + newID() }, nil, timeout)
	time.Sleep(2 * time.Second)
	if trouble {
		i := f.busiest()
		r.rec.add("case", "%s fails 0.4 of its requests from now on", f.ids[i])
		if err := r.order(f.address[i], "/stand-in/fail?share=0.4&status=503"); err != nil {
			return false, err
		}
	}
	time.Sleep(6500 * time.Millisecond)
	close(stop)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]string{}
	for _, a := range r.arrivals {
		if a.What == "runs" {
			ran[a.Request] = a.Runner
		}
	}
	refused := 0
	for _, q := range r.requests {
		if by, ok := ran[q.id]; ok && (q.status == 429 || q.status == 503 || q.status == 408 || q.status == 421) {
			refused++
			r.rec.add("check", "request %s was run by %s, and its client got %d", q.id, by, q.status)
		}
	}
	r.rec.add("check", "requests that may run once, were run, and were answered 429, 503, 408 or 421: %d of %d (none allowed)", refused, len(r.requests))
	return refused > 0, nil
}

// caseIncomplete: a runner leaves as planned and its entry is removed. Later another writer puts an
// entry under its id in which fields are missing.
func caseIncomplete(r *rig, trouble bool) (bool, error) {
	const drain = 2 * time.Second
	f, err := r.startFleet(writers, 7, "-work", "20ms", "-slots", "13")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	r.load(stop, 60, http.MethodPost, "/write/tag", func() string { return "a lot " + newID() }, prompt, tagTimeout)
	time.Sleep(5 * time.Second)
	i := f.busiest()
	leaver := f.ids[i]
	r.rec.add("case", "%s leaves: its entry is removed, and it goes on serving", leaver)
	if err := r.order(f.address[i], "/stand-in/leave"); err != nil {
		return false, err
	}
	left := time.Now()
	time.Sleep(4 * time.Second)
	if trouble {
		r.store.put("servers/"+leaver, m{"service": writers, "address": f.address[i], "zone": zones[i%len(zones)], "state": "ready"})
	}
	time.Sleep(3 * time.Second)
	close(stop)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	late, before := 0, 0
	for _, a := range r.arrivals {
		q := r.requests[a.Request]
		switch at := time.Unix(0, a.At); {
		case a.Runner != leaver || a.What == "421" || q == nil:
		case at.Sub(left) > drain:
			late++
		default:
			before++
		}
	}
	r.rec.add("check", "requests that reached %s until drain_ms after the removal of its entry: %d, later: %d (none allowed)", leaver, before, late)
	return late > 0, nil
}

// reborn cuts a runner from the store, and from nothing else, ends it, and starts it again at once
// under the id that it had. It returns when it was started.
func (f *fleet) reborn(i int, cut bool, args ...string) (time.Time, error) {
	id := f.ids[i]
	if cut {
		f.r.rec.add("case", "%s is cut from the store", id)
		f.r.store.cut(id, true)
	}
	time.Sleep(100 * time.Millisecond)
	f.r.rec.add("case", "SIGKILL to %s", id)
	f.r.runners[id].kill()
	time.Sleep(300 * time.Millisecond)
	return time.Now(), f.start(i, id, args...)
}

// heal ends the cut of a runner.
func (f *fleet) heal(i int) {
	f.r.rec.add("case", "the way from %s to the store is whole", f.ids[i])
	f.r.store.cut(f.ids[i], false)
}

// caseCold: a runner crashes behind a cut from the store and starts again under its id. It is cold,
// and cannot say so there.
func caseCold(r *rig, trouble bool) (bool, error) {
	const coldOver, coldSlack, coldFor = 1.5, 5.0, 3 * time.Second
	f, err := r.startFleet(writers, 5, "-work", "20ms", "-slots", "13")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	r.load(stop, 100, http.MethodPost, "/write/tag", func() string { return "a lot " + newID() }, prompt, tagTimeout)
	time.Sleep(4 * time.Second)
	place := f.busiest()
	started, err := f.reborn(place, trouble, "-cold-for", coldFor.String())
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.heal(place)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	type pass struct{ sent, arrived time.Time }
	var list []pass
	for _, a := range r.arrivals {
		at, q := time.Unix(0, a.At), r.requests[a.Request]
		if a.Runner == f.ids[place] && a.What != "421" && q != nil && at.After(started) && at.Sub(started) < coldFor {
			list = append(list, pass{q.sent, at})
		}
	}
	most := 0
	for _, first := range list {
		n := 0
		for _, p := range list {
			if !p.sent.Before(first.sent) && p.arrived.Sub(first.sent) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	r.rec.add("check", "requests that were sent and reached the cold runner %s in one second: %d (at most %.1f)", f.ids[place], most, coldPerS*coldOver+coldSlack)
	return float64(most) > coldPerS*coldOver+coldSlack, nil
}

// casePause: a runner crashes behind a cut from the store and starts again under its id. For a while
// it turns requests away with Retry-After. Then the cut heals.
func casePause(r *rig, trouble bool) (bool, error) {
	const retryAfter, turnsAway = 10 * time.Second, 2500 * time.Millisecond
	f, err := r.startFleet(writers, 5, "-work", "20ms", "-slots", "13")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	r.load(stop, 60, http.MethodPost, "/write/tag", func() string { return "a lot " + newID() }, prompt, tagTimeout)
	time.Sleep(4 * time.Second)
	place := f.busiest()
	if trouble {
		if _, err := f.reborn(place, true, "-refuse-for", turnsAway.String(), "-retry-after", "10"); err != nil {
			return false, err
		}
	} else {
		r.rec.add("case", "%s turns requests away, without a restart", f.ids[place])
		if err := r.order(f.address[place], "/stand-in/refuse?for="+turnsAway.String()+"&retry_after=10"); err != nil {
			return false, err
		}
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		f.heal(place)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	first, late := map[string]time.Time{}, map[string]int{}
	for _, a := range r.arrivals {
		q, ok := r.requests[a.Request]
		if !ok || a.Runner != f.ids[place] {
			continue
		}
		at := time.Unix(0, a.At)
		since, paused := first[q.front]
		if paused && at.Sub(since) > 500*time.Millisecond && at.Sub(since) < retryAfter {
			late[q.front]++
		}
		if !paused && a.What == "503" {
			first[q.front] = at
		}
	}
	broken := false
	for _, machine := range r.fronts {
		since, paused := first[machine.name]
		if !paused {
			r.rec.add("check", "%s: %s never turned one of its requests away", machine.name, f.ids[place])
			continue
		}
		r.rec.add("check", "%s: 503 with Retry-After 10 at %.3f; requests that reached %s from half a second later to the end of that time: %d (at most 2)",
			machine.name, since.Sub(r.rec.start).Seconds(), f.ids[place], late[machine.name])
		broken = broken || late[machine.name] > 2
	}
	return broken, nil
}

// caseAgain: a request that crashes the runners that begin to run it comes again, with the same path,
// caller and body, each time in another session, so that the last part of its prompt is another one.
func caseAgain(r *rig, trouble bool) (bool, error) {
	const contact, deadly = 3 * time.Second, "a body that crashes"
	f, err := r.startFleet(writers, 6, "-work", "20ms", "-slots", "13")
	if err != nil {
		return false, err
	}
	if trouble {
		for i := range f.ids {
			if err := r.order(f.address[i], "/stand-in/deadly"); err != nil {
				return false, err
			}
		}
		f.common = append(f.common, "-deadly")
	}
	stop := make(chan struct{})
	revived := make(chan struct{})
	go func() {
		defer close(revived)
		f.revive(stop)
	}()
	r.load(stop, 20, http.MethodPost, "/write/report", func() string { return "a sound body " + newID() }, prompt, 10*time.Second)
	time.Sleep(3 * time.Second)
	again := map[string]bool{}
	for n := range 14 {
		q := r.call(r.fronts[n%len(r.fronts)], http.MethodPost, "/write/minutes", deadly, prompt(), 10*time.Second)
		again[q.id] = true
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	r.clients.Wait()
	<-revived
	r.mu.Lock()
	defer r.mu.Unlock()
	runs, late := 0, 0
	var third time.Time
	for _, a := range r.arrivals {
		if !again[a.Request] || a.What != "runs" {
			continue
		}
		at := time.Unix(0, a.At)
		if runs++; runs == 3 {
			third = at
		}
		if runs > 3 && r.requests[a.Request].sent.Sub(third) > contact {
			late++
		}
	}
	if !trouble {
		r.rec.add("check", "the request that comes again was run %d times and crashed no runner", runs)
		return false, nil
	}
	r.rec.add("check", "the request that crashes runners was run %d times, the third time at %.3f; runs of those sent later than contact_ms after it: %d (at most 3)",
		runs, third.Sub(r.rec.start).Seconds(), late)
	return late > 3, nil
}

// revive starts each runner that has ended again three seconds later, as a new lifetime, until stop is
// closed.
func (f *fleet) revive(stop <-chan struct{}) {
	ids := append([]string(nil), f.ids...)
	lives := make([]int, len(ids))
	downSince := make([]time.Time, len(ids))
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for i := range ids {
			f.r.mu.Lock()
			p := f.r.runners[ids[i]]
			f.r.mu.Unlock()
			select {
			case <-p.done:
			default:
				continue
			}
			switch {
			case downSince[i].IsZero():
				downSince[i] = time.Now()
			case time.Since(downSince[i]) > 3*time.Second:
				downSince[i] = time.Time{}
				lives[i]++
				ids[i] = fmt.Sprintf("%s-%d", f.ids[i], lives[i])
				_ = f.start(i, ids[i])
			}
		}
	}
}
