package srslot_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

const (
	worldTTL   = 500 * time.Millisecond
	worldDelay = 100 * time.Millisecond
	worldHold  = 2 * time.Second
	worldQueue = 12
	// worldCold is what a cold endpoint bears until it has completed as many.
	worldCold = 2
)

// world knows what really runs at the endpoints of a pool, which the pool only
// hears of late, and notes each broken promise.
type world struct {
	pool     *srslot.Pool
	opts     srslot.Options
	pick     func(n int) int
	placer   *leastLoaded
	now      time.Time
	mode     sr.PoolMode
	floor    sr.FloorState
	owners   uint64
	starts   int
	asked    int
	start    map[string]int
	done     map[string]int
	grants   []*granted
	open     map[string]sr.Ask
	answers  map[string]sr.LeaseID
	reports  []pendingReport
	releases []pendingRelease
	shed     map[sr.Tier]time.Time
	holders  []sr.InstanceID
	broken   []string
}

// granted is a lease in its holder's hands.
type granted struct {
	lease sr.Lease
	ask   sr.Ask
	// by is the owner that granted the lease, owner the one that counts it.
	by      uint64
	owner   uint64
	until   time.Time
	started time.Time
	running bool
	// run is the run of the endpoint that took the request.
	run      int
	over     bool
	lost     bool
	released bool
	// revokedBy is the owner that revoked the lease last.
	revokedBy uint64
}

type pendingReport struct {
	endpoint string
	taken    time.Time
	load     sr.Load
}

type pendingRelease struct {
	at time.Time
	r  sr.Release
}

func newWorld(opts srslot.Options, pick func(n int) int) *world {
	opts.GrantTTL = worldTTL
	opts.NetDelay = worldDelay
	opts.Unlisted = time.Second
	opts.ShedHold = worldHold
	opts.Queue = worldQueue
	opts.Warm.Step = 2
	// The bound on memory, which knows no tiers, is out of reach.
	opts.HardQueue = 1000
	// No report is missing for ever here, so blindness always ends with one.
	opts.BlindWait = time.Hour
	w := &world{
		opts:    opts,
		pick:    pick,
		placer:  &leastLoaded{service: time.Second},
		now:     epoch,
		mode:    sr.PoolMode{Own: true, Majority: true},
		start:   map[string]int{"e1": 0, "e2": 0, "e3": 0},
		done:    make(map[string]int),
		open:    make(map[string]sr.Ask),
		answers: make(map[string]sr.LeaseID),
		shed:    make(map[sr.Tier]time.Time),
		holders: []sr.InstanceID{holder, other},
	}
	w.newOwner(sr.Handover{})
	return w
}

func (w *world) newOwner(h sr.Handover) {
	w.owners++
	// What the previous owner has shed is known to the next one by the floor,
	// which is set at random here.
	clear(w.shed)
	w.pool = srslot.New(w.opts, w.placer, rand.New(rand.NewPCG(w.owners, 7)))
	c := config("e1", "e2", "e3")
	for i := range c.Endpoints {
		c.Endpoints[i].Class = sr.Class{Name: "w", Slots: 5, Cold: worldCold}
	}
	w.pool.Configure(w.now, c)
	w.pool.Adopt(w.now, h)
	w.pool.SetMode(w.now, w.mode)
	w.pool.SetFloor(w.now, w.floor)
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// busy returns how many requests run at an endpoint, and how many more may
// be started without another grant.
func (w *world) busy(endpoint string) (running, startable int) {
	for _, g := range w.grants {
		if g.lease.Endpoint != endpoint || g.over {
			continue
		}
		if g.running {
			running++
		} else if w.now.Before(g.until) {
			startable++
		}
	}
	return running, startable
}

func (w *world) limit(endpoint string) int {
	for _, e := range w.pool.Dump(w.now).Endpoints {
		if e.Name == endpoint {
			return e.Limit
		}
	}
	return 0
}

func (w *world) tick() {
	actions := w.pool.Tick(w.now)
	for _, a := range actions {
		switch a.Kind {
		case sr.ActionGrant:
			w.onGrant(a)
		case sr.ActionRefuse:
			w.onRefuse(a)
		case sr.ActionRevoke:
			w.onRevoke(a)
		}
	}
}

func (w *world) onGrant(a sr.Action) {
	l := a.Grant.Lease
	if id, ok := w.answers[a.Ask]; ok {
		if id != l.ID {
			w.fail("ask %s got lease %d after lease %d", a.Ask, l.ID, id)
		}
		return
	}
	ask, ok := w.open[a.Ask]
	if !ok {
		w.fail("ask %s got a second answer", a.Ask)
		return
	}
	delete(w.open, a.Ask)
	w.answers[a.Ask] = l.ID
	if w.floor.InForce != 0 && w.floor.InForce.Outranks(ask.Tier) {
		w.fail("tier %d was granted under floor %d", ask.Tier, w.floor.InForce)
	}
	if slices.Contains(ask.Avoid, l.Endpoint) {
		w.fail("ask %s was placed where it must not be", a.Ask)
	}
	for t, at := range w.shed {
		if t.Outranks(ask.Tier) && w.now.Sub(at) < worldHold {
			w.fail("tier %d was granted %v after tier %d was shed", ask.Tier, w.now.Sub(at), t)
		}
	}
	w.grants = append(w.grants, &granted{lease: l, ask: ask, until: w.now.Add(worldTTL), by: w.owners, owner: w.owners})
	running, startable := w.busy(l.Endpoint)
	if limit := w.limit(l.Endpoint); running+startable > limit {
		w.fail("%s bears %d, has %d running and %d granted", l.Endpoint, limit, running, startable)
	}
}

func (w *world) onRefuse(a sr.Action) {
	ask, ok := w.open[a.Ask]
	if !ok {
		w.fail("ask %s got a second answer", a.Ask)
		return
	}
	delete(w.open, a.Ask)
	name := a.Grant.Refusal.Name
	if name != "overloaded" && name != "late" && name != "floor" {
		return
	}
	w.shed[ask.Tier] = w.now
	if ask.Tier != lowest && (w.floor.Settled == 0 || ask.Tier.Outranks(w.floor.Settled)) {
		w.fail("tier %d was shed, settled is %d", ask.Tier, w.floor.Settled)
	}
	for _, g := range w.grants {
		counted := g.owner == w.owners && g.running && !g.over && !g.lost
		if counted && ask.Tier.Outranks(g.ask.Tier) && g.ask.Cancellable {
			w.fail("tier %d was shed while %d ran for tier %d", ask.Tier, g.lease.ID, g.ask.Tier)
		}
	}
}

func (w *world) onRevoke(a sr.Action) {
	i := slices.IndexFunc(w.grants, func(g *granted) bool { return g.lease.ID == a.Revoke.Lease })
	g := w.grants[i]
	if !g.ask.Cancellable || !a.Revoke.For.Outranks(g.ask.Tier) {
		w.fail("lease of tier %d was revoked for tier %d", g.ask.Tier, a.Revoke.For)
	}
	if g.revokedBy == w.owners {
		return
	}
	g.revokedBy = w.owners
	outstanding := 0
	for _, x := range w.grants {
		if x.revokedBy == w.owners && x.running && !x.over && !x.lost {
			outstanding++
		}
	}
	if outstanding > len(w.open) {
		w.fail("%d revokes for %d asks", outstanding, len(w.open))
	}
}

// actions returns everything that may happen.
func (w *world) actions() map[string]func() {
	return map[string]func(){
		"ask": w.ask, "ask2": w.ask, "ask3": w.ask, "repeat": w.seldom(w.repeat), "withdraw": w.seldom(w.withdraw),
		"start": w.startOne, "start2": w.startOne, "finish": w.finishOne, "finish2": w.finishOne,
		"wait": w.wait, "wait2": w.wait, "read": w.read, "deliver": w.deliver, "held": w.held,
		"break": w.seldom(w.breakOne), "refuse": w.seldom(w.refuseOne), "unused": w.seldom(w.unused),
		"cut": w.cutRevoked, "floor": w.seldom(w.setFloor), "majority": w.seldom(w.setMajority),
		"holder lost": w.seldom(w.holderLost), "restart": w.seldom(w.restart),
		"restart unseen": w.seldom(w.restartUnseen),
		"hand over":      w.seldom(w.handOver), "owner dies": w.seldom(w.seldom(w.ownerDies)),
	}
}

// seldom lets the pool warm up between two great changes.
func (w *world) seldom(act func()) func() {
	return func() {
		if w.pick(6) == 0 {
			act()
		}
	}
}

func (w *world) ask() {
	w.asked++
	a := ask(fmt.Sprintf("q%d", w.asked), sr.Tier(1+w.pick(int(lowest))))
	a.Holder = w.holders[w.pick(len(w.holders))]
	a.Workspace = fmt.Sprintf("w%d", w.pick(3))
	a.Cancellable = w.pick(3) > 0
	a.Budget = time.Duration(1+w.pick(8)) * time.Second
	a.First = a.Budget / 4
	if w.pick(8) == 0 {
		a.Avoid = []string{fmt.Sprintf("e%d", 1+w.pick(3))}
	}
	w.open[a.ID] = a
	w.pool.Ask(w.now, a)
}

func (w *world) repeat() {
	if w.asked == 0 {
		return
	}
	id := fmt.Sprintf("q%d", w.asked-w.pick(min(w.asked, 5)))
	a, waiting := w.open[id]
	if waiting {
		w.pool.Ask(w.now, a)
		return
	}
	for _, g := range w.grants {
		if g.ask.ID == id && g.by == w.owners && !g.over && w.now.Before(g.until) && !g.lost {
			w.pool.Ask(w.now, g.ask)
		}
	}
}

func (w *world) withdraw() {
	if w.asked > 0 {
		w.pool.Withdraw(w.now, fmt.Sprintf("q%d", 1+w.pick(w.asked)))
	}
}

// some returns one of the leases that match, nil when none does.
func (w *world) some(match func(g *granted) bool) *granted {
	var gs []*granted
	for _, g := range w.grants {
		if !g.over && match(g) {
			gs = append(gs, g)
		}
	}
	if len(gs) == 0 {
		return nil
	}
	return gs[w.pick(len(gs))]
}

func startable(w *world) func(*granted) bool {
	return func(g *granted) bool { return !g.running && w.now.Before(g.until) }
}

func running(g *granted) bool { return g.running }

// startOne also starts leases whose holder is lost to the owner but alive.
func (w *world) startOne() {
	if g := w.some(startable(w)); g != nil {
		g.running = true
		g.started = w.now
		g.run = w.start[g.lease.Endpoint]
		w.bear(g.lease.Endpoint)
		w.tellTaken(g)
	}
}

// bear checks what an endpoint's present run has to bear.
func (w *world) bear(endpoint string) {
	n := 0
	for _, g := range w.grants {
		if g.lease.Endpoint == endpoint && g.running && !g.over && g.run == w.start[endpoint] {
			n++
		}
	}
	if w.done[endpoint] < worldCold && n > worldCold {
		w.fail("cold %s fell over with %d requests", endpoint, n)
	}
}

// tellTaken says that a request was taken; some of these messages are lost.
func (w *world) tellTaken(g *granted) {
	if g.lost || !g.lease.Confirm || w.pick(8) == 0 {
		return
	}
	r := sr.Release{Lease: g.lease.ID, Pool: poolID, Holder: g.ask.Holder, Result: sr.ReleaseTaken, Start: fmt.Sprintf("s%d", g.run)}
	w.releases = append(w.releases, pendingRelease{at: w.now.Add(w.transit()), r: r})
}

func (w *world) finishOne() {
	if g := w.some(running); g != nil {
		w.done[g.lease.Endpoint]++
		w.end(g, sr.ReleaseDone)
	}
}

func (w *world) unused() {
	if g := w.some(func(g *granted) bool { return !g.running && !g.lost }); g != nil {
		w.end(g, sr.ReleaseUnused)
	}
}

func (w *world) refuseOne() {
	if g := w.some(startable(w)); g != nil {
		w.end(g, sr.ReleaseRefused)
	}
}

// breakOne breaks the connection of a request that goes on running.
func (w *world) breakOne() {
	if g := w.some(func(g *granted) bool { return g.running && !g.lost }); g != nil {
		w.release(g, sr.ReleaseLost)
		g.lost = true
	}
}

func (w *world) cutRevoked() {
	if g := w.some(func(g *granted) bool { return g.revokedBy != 0 && !g.lost }); g != nil {
		w.end(g, sr.ReleaseCut)
	}
}

func (w *world) end(g *granted, result sr.ReleaseResult) {
	g.over = true
	if !g.lost {
		w.release(g, result)
	}
}

func (w *world) release(g *granted, result sr.ReleaseResult) {
	r := sr.Release{Lease: g.lease.ID, Pool: poolID, Holder: g.ask.Holder, Result: result}
	if g.running {
		r.Total = w.now.Sub(g.started)
	}
	w.releases = append(w.releases, pendingRelease{at: w.now.Add(w.transit()), r: r})
}

func (w *world) transit() time.Duration {
	return time.Duration(w.pick(int(worldDelay/time.Millisecond))) * time.Millisecond
}

func (w *world) wait() {
	w.advance(time.Duration(1+w.pick(8)) * 50 * time.Millisecond)
}

// advance lets time pass; releases arrive in it.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := end
		for _, x := range w.releases {
			if x.at.Before(next) {
				next = x.at
			}
		}
		w.now = next
		w.releases = slices.DeleteFunc(w.releases, func(x pendingRelease) bool {
			if x.at.After(w.now) {
				return false
			}
			w.arrive(x.r)
			return true
		})
		w.tick()
		if !w.now.Before(end) {
			return
		}
	}
}

func (w *world) arrive(r sr.Release) {
	for _, g := range w.grants {
		if g.lease.ID == r.Lease {
			g.released = true
		}
	}
	w.pool.Release(w.now, r)
}

// read takes a load report, which arrives later.
func (w *world) read() {
	for _, e := range []string{"e1", "e2", "e3"} {
		n, _ := w.busy(e)
		load := sr.Load{Start: fmt.Sprintf("s%d", w.start[e]), Running: n}
		w.reports = append(w.reports, pendingReport{endpoint: e, taken: w.now, load: load})
	}
}

func (w *world) deliver() {
	if len(w.reports) == 0 {
		return
	}
	taken := w.reports[0].taken
	for len(w.reports) > 0 && w.reports[0].taken.Equal(taken) {
		r := w.reports[0]
		w.reports = w.reports[1:]
		// The time on the network is not part of the age.
		r.load.Age = max(0, w.now.Sub(r.taken)-w.transit())
		w.pool.Report(w.now, r.endpoint, r.load)
	}
}

func (w *world) held() {
	h := w.holders[w.pick(len(w.holders))]
	var ids []sr.LeaseID
	for _, g := range w.grants {
		unstarted := !g.running && w.pick(2) == 0
		// A holder may count an adopted lease as its previous owner's.
		if g.ask.Holder == h && g.by == w.owners && !g.over && !unstarted {
			ids = append(ids, g.lease.ID)
		}
	}
	w.pool.Held(w.now, w.now, h, ids)
}

// holderLost cuts a holder off from the owner; a new run takes its place.
func (w *world) holderLost() {
	i := w.pick(len(w.holders))
	h := w.holders[i]
	for _, g := range w.grants {
		if g.ask.Holder == h {
			g.lost = true
		}
	}
	w.releases = slices.DeleteFunc(w.releases, func(x pendingRelease) bool { return x.r.Holder == h })
	w.holders[i].Incarnation++
	w.pool.HolderLost(w.now, h)
	w.tick()
	for _, a := range w.open {
		if a.Holder == h {
			w.fail("ask %s waits for a lost holder", a.ID)
		}
	}
}

// restart ends all that runs at an endpoint; its holders say so.
func (w *world) restart() { w.restartOne(sr.ReleaseLost) }

// restartUnseen is a restart that holders take for broken connections.
func (w *world) restartUnseen() { w.restartOne(sr.ReleaseCut) }

func (w *world) restartOne(result sr.ReleaseResult) {
	e := fmt.Sprintf("e%d", 1+w.pick(3))
	w.starts++
	w.start[e] = w.starts
	w.done[e] = 0
	for _, g := range w.grants {
		if g.lease.Endpoint == e && g.running && !g.over {
			w.end(g, result)
		}
	}
}

func (w *world) handOver() {
	h := w.pool.Handover(w.now)
	w.tick()
	w.newOwner(h)
	for _, g := range w.grants {
		if g.owner == w.owners-1 {
			g.owner = w.owners
		}
	}
}

// ownerDies starts another owner once the old leases can't be started.
func (w *world) ownerDies() {
	w.pool.SetMode(w.now, sr.PoolMode{})
	w.advance(worldTTL)
	clear(w.open)
	w.newOwner(sr.Handover{})
}

func (w *world) setFloor() {
	w.floor.InForce = sr.Tier(w.pick(int(lowest) + 1))
	w.floor.Settled = 0
	if w.pick(2) == 0 {
		w.floor.Settled = w.floor.InForce
	}
	w.pool.SetFloor(w.now, w.floor)
}

func (w *world) setMajority() {
	w.mode.Majority = w.pick(3) > 0
	w.pool.SetMode(w.now, w.mode)
}

// drain lets everything end well: all asks must be answered and no slot may
// stay taken.
func (w *world) drain() {
	w.mode.Majority = true
	w.pool.SetMode(w.now, w.mode)
	w.floor = sr.FloorState{InForce: 1, Settled: 1}
	w.pool.SetFloor(w.now, w.floor)
	for range 40 {
		for _, g := range w.grants {
			if !g.over {
				w.end(g, sr.ReleaseDone)
			}
		}
		w.advance(time.Second)
		w.reports = nil
		w.read()
		w.deliver()
		w.deliver()
		w.deliver()
		w.advance(time.Millisecond)
	}
	if len(w.open) > 0 {
		w.fail("%d asks got no answer", len(w.open))
	}
	for _, e := range w.pool.Dump(w.now).Endpoints {
		if e.Leases+e.Orphans > 0 {
			w.fail("%s still has %d leases and %d orphans", e.Name, e.Leases, e.Orphans)
		}
	}
}
