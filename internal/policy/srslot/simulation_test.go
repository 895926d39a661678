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
	simTTL         = 500 * time.Millisecond
	simMaxDelay    = 100 * time.Millisecond
	simShedHold    = 2 * time.Second
	simMaxQueueLen = 12
	// simColdLimit is the number of requests that a cold endpoint can run at once. It
	// is warm after it has completed as many.
	simColdLimit = 2
)

// simulation models the requests that actually run at the endpoints of a pool, which
// the pool gets to know only with a delay. It records each violated guarantee.
type simulation struct {
	pool *srslot.Pool
	opts srslot.Options
	// pick returns a random number from 0 to n-1.
	pick   func(n int) int
	placer *leastLoaded
	now    time.Time
	mode   sr.PoolMode
	floor  sr.FloorState
	// lastOwner, lastProcess and lastAsk are the latest numbers of owners, endpoint
	// processes and asks.
	lastOwner   uint64
	lastProcess int
	lastAsk     int
	// process is the number of the current process of each endpoint, completed how
	// many requests that process has completed.
	process    map[string]int
	completed  map[string]int
	grants     []*simLease
	waiting    map[string]sr.Ask
	leaseByAsk map[string]sr.LeaseID
	reports    []pendingReport
	releases   []pendingRelease
	// shedAt is when the current owner last shed each tier.
	shedAt     map[sr.Tier]time.Time
	holders    []sr.InstanceID
	violations []string
}

// simLease is a lease that was granted to a holder.
type simLease struct {
	lease sr.Lease
	ask   sr.Ask
	// grantedBy is the owner that granted the lease, owner the one that counts it.
	grantedBy uint64
	owner     uint64
	startBy   time.Time
	started   time.Time
	running   bool
	// process is the endpoint process that accepted the request.
	process int
	ended   bool
	// lost is set when the owner no longer receives messages from the holder about
	// the lease.
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

func newSimulation(opts srslot.Options, pick func(n int) int) *simulation {
	opts.GrantTTL = simTTL
	opts.MaxNetDelay = simMaxDelay
	opts.UnlistedTimeout = time.Second
	opts.ShedHold = simShedHold
	opts.MaxQueueLen = simMaxQueueLen
	opts.Warm.Step = 2
	// The hard queue limit ignores tiers, so it is set too high to be reached.
	opts.HardQueueFactor = 1000
	// Every endpoint reports in the end, so there is no need to grant without a report.
	opts.FirstReportWait = time.Hour
	s := &simulation{
		opts:       opts,
		pick:       pick,
		placer:     &leastLoaded{service: time.Second},
		now:        epoch,
		mode:       sr.PoolMode{Own: true, Majority: true},
		process:    map[string]int{"e1": 0, "e2": 0, "e3": 0},
		completed:  make(map[string]int),
		waiting:    make(map[string]sr.Ask),
		leaseByAsk: make(map[string]sr.LeaseID),
		shedAt:     make(map[sr.Tier]time.Time),
		holders:    []sr.InstanceID{holder, other},
	}
	s.newOwner(sr.Handover{})
	return s
}

func (s *simulation) newOwner(h sr.Handover) {
	s.lastOwner++
	// A new owner learns only from the floor what the previous one has shed, and the
	// floor is random here.
	clear(s.shedAt)
	s.pool = srslot.New(s.opts, s.placer, rand.New(rand.NewPCG(s.lastOwner, 7)))
	c := config("e1", "e2", "e3")
	for i := range c.Endpoints {
		c.Endpoints[i].Class = sr.Class{Name: "w", Slots: 5, Cold: simColdLimit}
	}
	s.pool.Configure(s.now, c)
	s.pool.Adopt(s.now, h)
	s.pool.SetMode(s.now, s.mode)
	s.pool.SetFloor(s.now, s.floor)
}

func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// busy returns how many requests run at an endpoint, and how many more may be
// started with the leases granted so far.
func (s *simulation) busy(endpoint string) (running, startable int) {
	for _, g := range s.grants {
		if g.lease.Endpoint != endpoint || g.ended {
			continue
		}
		if g.running {
			running++
		} else if s.now.Before(g.startBy) {
			startable++
		}
	}
	return running, startable
}

func (s *simulation) limit(endpoint string) int {
	for _, e := range s.pool.Dump(s.now).Endpoints {
		if e.Name == endpoint {
			return e.Limit
		}
	}
	return 0
}

func (s *simulation) tick() {
	actions := s.pool.Tick(s.now)
	for _, a := range actions {
		switch a.Kind {
		case sr.ActionGrant:
			s.onGrant(a)
		case sr.ActionRefuse:
			s.onRefuse(a)
		case sr.ActionRevoke:
			s.onRevoke(a)
		}
	}
}

func (s *simulation) onGrant(a sr.Action) {
	l := a.Grant.Lease
	if id, ok := s.leaseByAsk[a.Ask]; ok {
		if id != l.ID {
			s.recordViolation("ask %s got lease %d after lease %d", a.Ask, l.ID, id)
		}
		return
	}
	ask, ok := s.waiting[a.Ask]
	if !ok {
		s.recordViolation("ask %s got a second answer", a.Ask)
		return
	}
	delete(s.waiting, a.Ask)
	s.leaseByAsk[a.Ask] = l.ID
	if s.floor.InForce != 0 && s.floor.InForce.Outranks(ask.Tier) {
		s.recordViolation("tier %d was granted under floor %d", ask.Tier, s.floor.InForce)
	}
	if slices.Contains(ask.Avoid, l.Endpoint) {
		s.recordViolation("ask %s was placed at an endpoint that it avoids", a.Ask)
	}
	for t, at := range s.shedAt {
		if t.Outranks(ask.Tier) && s.now.Sub(at) < simShedHold {
			s.recordViolation("tier %d was granted %v after tier %d was shed", ask.Tier, s.now.Sub(at), t)
		}
	}
	s.grants = append(s.grants, &simLease{lease: l, ask: ask, startBy: s.now.Add(simTTL), grantedBy: s.lastOwner, owner: s.lastOwner})
	running, startable := s.busy(l.Endpoint)
	if limit := s.limit(l.Endpoint); running+startable > limit {
		s.recordViolation("%s has limit %d, but %d running and %d granted", l.Endpoint, limit, running, startable)
	}
}

func (s *simulation) onRefuse(a sr.Action) {
	ask, ok := s.waiting[a.Ask]
	if !ok {
		s.recordViolation("ask %s got a second answer", a.Ask)
		return
	}
	delete(s.waiting, a.Ask)
	name := a.Grant.Refusal.Name
	if name != "overloaded" && name != "late" && name != "floor" {
		return
	}
	s.shedAt[ask.Tier] = s.now
	if ask.Tier != lowest && (s.floor.Settled == 0 || ask.Tier.Outranks(s.floor.Settled)) {
		s.recordViolation("tier %d was shed, settled is %d", ask.Tier, s.floor.Settled)
	}
	for _, g := range s.grants {
		counted := g.owner == s.lastOwner && g.running && !g.ended && !g.lost
		if counted && ask.Tier.Outranks(g.ask.Tier) && g.ask.Cancellable {
			s.recordViolation("tier %d was shed while %d ran for tier %d", ask.Tier, g.lease.ID, g.ask.Tier)
		}
	}
}

func (s *simulation) onRevoke(a sr.Action) {
	i := slices.IndexFunc(s.grants, func(g *simLease) bool { return g.lease.ID == a.Revoke.Lease })
	g := s.grants[i]
	if !g.ask.Cancellable || !a.Revoke.For.Outranks(g.ask.Tier) {
		s.recordViolation("lease of tier %d was revoked for tier %d", g.ask.Tier, a.Revoke.For)
	}
	if g.revokedBy == s.lastOwner {
		return
	}
	g.revokedBy = s.lastOwner
	outstanding := 0
	for _, x := range s.grants {
		if x.revokedBy == s.lastOwner && x.running && !x.ended && !x.lost {
			outstanding++
		}
	}
	if outstanding > len(s.waiting) {
		s.recordViolation("%d revokes for %d asks", outstanding, len(s.waiting))
	}
}

// actions returns the steps of the simulation by name. Seeded runs depend on the
// order of the names.
func (s *simulation) actions() map[string]func() {
	return map[string]func(){
		"ask": s.ask, "ask2": s.ask, "ask3": s.ask, "repeat": s.rarely(s.repeat), "withdraw": s.rarely(s.withdraw),
		"start": s.startOne, "start2": s.startOne, "finish": s.finishOne, "finish2": s.finishOne,
		"wait": s.wait, "wait2": s.wait, "read": s.takeReports, "deliver": s.deliverReports, "held": s.listHeld,
		"break": s.rarely(s.disconnectOne), "refuse": s.rarely(s.refuseOne), "unused": s.rarely(s.releaseUnused),
		"cancel": s.cancelRevoked, "floor": s.rarely(s.setFloor), "majority": s.rarely(s.setMajority),
		"holder lost": s.rarely(s.holderLost), "restart": s.rarely(s.restart),
		"restart unnoticed": s.rarely(s.restartUnnoticed),
		"hand over":         s.rarely(s.handOver), "owner dies": s.rarely(s.rarely(s.ownerDies)),
	}
}

// rarely skips most calls of a disruptive step, so that the pool can warm up between
// two of them.
func (s *simulation) rarely(act func()) func() {
	return func() {
		if s.pick(6) == 0 {
			act()
		}
	}
}

func (s *simulation) ask() {
	s.lastAsk++
	a := ask(fmt.Sprintf("q%d", s.lastAsk), sr.Tier(1+s.pick(int(lowest))))
	a.Holder = s.holders[s.pick(len(s.holders))]
	a.Workspace = fmt.Sprintf("w%d", s.pick(3))
	a.Cancellable = s.pick(3) > 0
	a.Budget = time.Duration(1+s.pick(8)) * time.Second
	a.First = a.Budget / 4
	if s.pick(8) == 0 {
		a.Avoid = []string{fmt.Sprintf("e%d", 1+s.pick(3))}
	}
	s.waiting[a.ID] = a
	s.pool.Ask(s.now, a)
}

func (s *simulation) repeat() {
	if s.lastAsk == 0 {
		return
	}
	id := fmt.Sprintf("q%d", s.lastAsk-s.pick(min(s.lastAsk, 5)))
	a, waiting := s.waiting[id]
	if waiting {
		s.pool.Ask(s.now, a)
		return
	}
	for _, g := range s.grants {
		if g.ask.ID == id && g.grantedBy == s.lastOwner && !g.ended && s.now.Before(g.startBy) && !g.lost {
			s.pool.Ask(s.now, g.ask)
		}
	}
}

func (s *simulation) withdraw() {
	if s.lastAsk > 0 {
		s.pool.Withdraw(s.now, fmt.Sprintf("q%d", 1+s.pick(s.lastAsk)))
	}
}

// pickLease returns one of the leases that match and have not ended, nil when there
// is none.
func (s *simulation) pickLease(match func(g *simLease) bool) *simLease {
	var gs []*simLease
	for _, g := range s.grants {
		if !g.ended && match(g) {
			gs = append(gs, g)
		}
	}
	if len(gs) == 0 {
		return nil
	}
	return gs[s.pick(len(gs))]
}

func startable(s *simulation) func(*simLease) bool {
	return func(g *simLease) bool { return !g.running && s.now.Before(g.startBy) }
}

func running(g *simLease) bool { return g.running }

// startOne starts the request of a lease, also when the owner has lost the holder:
// the holder may still be alive.
func (s *simulation) startOne() {
	if g := s.pickLease(startable(s)); g != nil {
		g.running = true
		g.started = s.now
		g.process = s.process[g.lease.Endpoint]
		s.checkColdLimit(g.lease.Endpoint)
		s.notifyTaken(g)
	}
}

// checkColdLimit checks that a cold process of an endpoint runs no more requests than
// it can.
func (s *simulation) checkColdLimit(endpoint string) {
	n := 0
	for _, g := range s.grants {
		if g.lease.Endpoint == endpoint && g.running && !g.ended && g.process == s.process[endpoint] {
			n++
		}
	}
	if s.completed[endpoint] < simColdLimit && n > simColdLimit {
		s.recordViolation("cold %s was overloaded with %d requests", endpoint, n)
	}
}

// notifyTaken notifies the pool that an endpoint has accepted a request. Some of
// these messages are lost.
func (s *simulation) notifyTaken(g *simLease) {
	if g.lost || !g.lease.Confirm || s.pick(8) == 0 {
		return
	}
	r := sr.Release{Lease: g.lease.ID, Pool: poolID, Holder: g.ask.Holder, Result: sr.ReleaseTaken, Start: fmt.Sprintf("s%d", g.process)}
	s.releases = append(s.releases, pendingRelease{at: s.now.Add(s.transit()), r: r})
}

func (s *simulation) finishOne() {
	if g := s.pickLease(running); g != nil {
		s.completed[g.lease.Endpoint]++
		s.endLease(g, sr.ReleaseDone)
	}
}

// releaseUnused ends a lease whose request was not started.
func (s *simulation) releaseUnused() {
	if g := s.pickLease(func(g *simLease) bool { return !g.running && !g.lost }); g != nil {
		s.endLease(g, sr.ReleaseUnused)
	}
}

func (s *simulation) refuseOne() {
	if g := s.pickLease(startable(s)); g != nil {
		s.endLease(g, sr.ReleaseRefused)
	}
}

// disconnectOne breaks the connection of a request that continues to run.
func (s *simulation) disconnectOne() {
	if g := s.pickLease(func(g *simLease) bool { return g.running && !g.lost }); g != nil {
		s.release(g, sr.ReleaseLost)
		g.lost = true
	}
}

// cancelRevoked cancels the request of a revoked lease.
func (s *simulation) cancelRevoked() {
	if g := s.pickLease(func(g *simLease) bool { return g.revokedBy != 0 && !g.lost }); g != nil {
		s.endLease(g, sr.ReleaseCancelled)
	}
}

func (s *simulation) endLease(g *simLease, result sr.ReleaseResult) {
	g.ended = true
	if !g.lost {
		s.release(g, result)
	}
}

func (s *simulation) release(g *simLease, result sr.ReleaseResult) {
	r := sr.Release{Lease: g.lease.ID, Pool: poolID, Holder: g.ask.Holder, Result: result}
	if g.running {
		r.Total = s.now.Sub(g.started)
	}
	s.releases = append(s.releases, pendingRelease{at: s.now.Add(s.transit()), r: r})
}

func (s *simulation) transit() time.Duration {
	return time.Duration(s.pick(int(simMaxDelay/time.Millisecond))) * time.Millisecond
}

func (s *simulation) wait() {
	s.advance(time.Duration(1+s.pick(8)) * 50 * time.Millisecond)
}

// advance moves the clock and delivers the releases that are due.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := end
		for _, x := range s.releases {
			if x.at.Before(next) {
				next = x.at
			}
		}
		s.now = next
		s.releases = slices.DeleteFunc(s.releases, func(x pendingRelease) bool {
			if x.at.After(s.now) {
				return false
			}
			s.deliverRelease(x.r)
			return true
		})
		s.tick()
		if !s.now.Before(end) {
			return
		}
	}
}

func (s *simulation) deliverRelease(r sr.Release) {
	for _, g := range s.grants {
		if g.lease.ID == r.Lease {
			g.released = true
		}
	}
	s.pool.Release(s.now, r)
}

// takeReports takes a load report of each endpoint, to be delivered later.
func (s *simulation) takeReports() {
	for _, e := range []string{"e1", "e2", "e3"} {
		n, _ := s.busy(e)
		load := sr.Load{Start: fmt.Sprintf("s%d", s.process[e]), Running: n}
		s.reports = append(s.reports, pendingReport{endpoint: e, taken: s.now, load: load})
	}
}

// deliverReports delivers the oldest pending reports.
func (s *simulation) deliverReports() {
	if len(s.reports) == 0 {
		return
	}
	taken := s.reports[0].taken
	for len(s.reports) > 0 && s.reports[0].taken.Equal(taken) {
		r := s.reports[0]
		s.reports = s.reports[1:]
		// The age in a report does not include the time on the network.
		r.load.Age = max(0, s.now.Sub(r.taken)-s.transit())
		s.pool.Report(s.now, r.endpoint, r.load)
	}
}

// listHeld sends the pool the list of the leases that a holder has.
func (s *simulation) listHeld() {
	h := s.holders[s.pick(len(s.holders))]
	var ids []sr.LeaseID
	for _, g := range s.grants {
		unstarted := !g.running && s.pick(2) == 0
		// A holder may still list an adopted lease under the previous owner.
		if g.ask.Holder == h && g.grantedBy == s.lastOwner && !g.ended && !unstarted {
			ids = append(ids, g.lease.ID)
		}
	}
	s.pool.ReconcileLeases(s.now, s.now, h, ids)
}

// holderLost disconnects a holder from the owner and replaces it by its next
// incarnation.
func (s *simulation) holderLost() {
	i := s.pick(len(s.holders))
	h := s.holders[i]
	for _, g := range s.grants {
		if g.ask.Holder == h {
			g.lost = true
		}
	}
	s.releases = slices.DeleteFunc(s.releases, func(x pendingRelease) bool { return x.r.Holder == h })
	s.holders[i].Incarnation++
	s.pool.HolderLost(s.now, h)
	s.tick()
	for _, a := range s.waiting {
		if a.Holder == h {
			s.recordViolation("ask %s waits for a lost holder", a.ID)
		}
	}
}

// restart restarts an endpoint. The holders report lost connections, which indicate
// the restart to the pool.
func (s *simulation) restart() { s.restartEndpoint(sr.ReleaseLost) }

// restartUnnoticed restarts an endpoint, but the holders report its requests as
// cancelled, which does not show the restart to the pool.
func (s *simulation) restartUnnoticed() { s.restartEndpoint(sr.ReleaseCancelled) }

func (s *simulation) restartEndpoint(result sr.ReleaseResult) {
	e := fmt.Sprintf("e%d", 1+s.pick(3))
	s.lastProcess++
	s.process[e] = s.lastProcess
	s.completed[e] = 0
	for _, g := range s.grants {
		if g.lease.Endpoint == e && g.running && !g.ended {
			s.endLease(g, result)
		}
	}
}

func (s *simulation) handOver() {
	h := s.pool.Handover(s.now)
	s.tick()
	s.newOwner(h)
	for _, g := range s.grants {
		if g.owner == s.lastOwner-1 {
			g.owner = s.lastOwner
		}
	}
}

// ownerDies replaces the owner without a handover, once the old leases can no longer
// be started.
func (s *simulation) ownerDies() {
	s.pool.SetMode(s.now, sr.PoolMode{})
	s.advance(simTTL)
	clear(s.waiting)
	s.newOwner(sr.Handover{})
}

func (s *simulation) setFloor() {
	s.floor.InForce = sr.Tier(s.pick(int(lowest) + 1))
	s.floor.Settled = 0
	if s.pick(2) == 0 {
		s.floor.Settled = s.floor.InForce
	}
	s.pool.SetFloor(s.now, s.floor)
}

func (s *simulation) setMajority() {
	s.mode.Majority = s.pick(3) > 0
	s.pool.SetMode(s.now, s.mode)
}

// drain ends all requests without further disruptions. All asks must be answered and
// no slot may remain in use.
func (s *simulation) drain() {
	s.mode.Majority = true
	s.pool.SetMode(s.now, s.mode)
	s.floor = sr.FloorState{InForce: 1, Settled: 1}
	s.pool.SetFloor(s.now, s.floor)
	for range 40 {
		for _, g := range s.grants {
			if !g.ended {
				s.endLease(g, sr.ReleaseDone)
			}
		}
		s.advance(time.Second)
		s.reports = nil
		s.takeReports()
		s.deliverReports()
		s.deliverReports()
		s.deliverReports()
		s.advance(time.Millisecond)
	}
	if len(s.waiting) > 0 {
		s.recordViolation("%d asks got no answer", len(s.waiting))
	}
	for _, e := range s.pool.Dump(s.now).Endpoints {
		if e.Leases+e.Orphans > 0 {
			s.recordViolation("%s still has %d leases and %d orphans", e.Name, e.Leases, e.Orphans)
		}
	}
}
