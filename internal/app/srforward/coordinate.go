package srforward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srgroup"
)

const (
	// reportTimeout bounds a report to a coordinator and a delivery to a holder. It is some round
	// trips and a pause of a small machine whose share of the processor is used up.
	reportTimeout = 200 * time.Millisecond
	// idleTick is the interval at which a group without waiting asks is checked.
	idleTick = 250 * time.Millisecond
)

// coordinator holds the groups that this instance coordinates.
type coordinator struct {
	n *Instance

	mu     sync.Mutex
	groups map[string]*ownGroup
}

// ownGroup is a group that this instance coordinates.
type ownGroup struct {
	name string
	n    *Instance

	mu    sync.Mutex
	group *srgroup.Group
	timer *time.Timer
	// tickAt is when the timer fires.
	tickAt time.Time
	// closed is set when another instance coordinates the group.
	closed bool
}

func newCoordinator(n *Instance) *coordinator {
	return &coordinator{n: n, groups: make(map[string]*ownGroup)}
}

// configure sets the groups that this instance coordinates, with their usable endpoints.
func (c *coordinator) configure(now time.Time, groups map[string][]srdispatch.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running map[sr.InstanceID]map[string]int
	if len(groups) > 0 {
		running = c.n.members.running(now)
		running[c.n.Self], _ = c.n.queues.load()
	}
	for name, g := range c.groups {
		if _, ok := groups[name]; !ok {
			g.close()
			delete(c.groups, name)
			c.n.Log.State("group", srlog.Group, name, srlog.State, "handed over")
		}
	}
	for name, endpoints := range groups {
		g, ok := c.groups[name]
		if !ok {
			g = &ownGroup{name: name, n: c.n, group: srgroup.New(srgroup.Options{Name: name, Domain: c.n.Settings.Domain, Seed: c.n.Seed})}
			c.groups[name] = g
			c.n.Log.State("group", srlog.Group, name, srlog.State, "coordinated", srlog.Count, len(endpoints))
		}
		g.configure(now, endpoints, running)
	}
}

func (c *coordinator) get(name string) *ownGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[name]
}

func (c *coordinator) dump() map[string]groupDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]groupDump, len(c.groups))
	for name, g := range c.groups {
		g.mu.Lock()
		out[name] = groupDump{Waiting: g.group.Waiting(), Limits: g.group.Limits()}
		g.mu.Unlock()
	}
	return out
}

func (g *ownGroup) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.timer != nil {
		g.timer.Stop()
	}
}

func (g *ownGroup) configure(now time.Time, endpoints []srdispatch.Endpoint, running map[sr.InstanceID]map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.group.Configure(now, endpoints))
	g.send(g.group.SetLoad(now, running))
	g.schedule(now)
}

func (g *ownGroup) report(r sr.SlotReport) (sr.SlotReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.closed {
		return sr.SlotReply{}, sr.ErrNotOwner
	}
	reply, others, err := g.group.Report(now, r)
	g.send(others)
	g.schedule(now)
	return reply, err
}

func (g *ownGroup) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	now := time.Now()
	g.send(g.group.Tick(now))
	g.timer = nil
	g.schedule(now)
}

// schedule starts the timer, or shortens it. The caller must hold g.mu.
func (g *ownGroup) schedule(now time.Time) {
	g.logHealthChanges()
	g.logLimitChanges(now)
	wait := idleTick
	if next, waits := g.group.Next(); waits {
		wait = min(max(next.Sub(now), 0), maxTick)
	}
	at := now.Add(wait)
	switch {
	case g.timer == nil:
		g.timer = time.AfterFunc(wait, g.tick)
	case at.Before(g.tickAt):
		g.timer.Reset(wait)
	default:
		return
	}
	g.tickAt = at
}

func (g *ownGroup) logHealthChanges() {
	for _, c := range g.group.HealthChanges() {
		g.n.Log.State(choose(c.Out, "group-endpoint-out", "group-endpoint-back"), srlog.Endpoint, c.Endpoint, srlog.Group, g.name, srlog.Failures, c.Failures, srlog.After, c.For)
	}
}

func (g *ownGroup) logLimitChanges(now time.Time) {
	for _, c := range g.group.LimitChanges(now) {
		g.n.logLimitChange(c, srlog.Group, g.name)
	}
}

// send delivers decisions without waiting. A holder that does not get one asks again.
func (g *ownGroup) send(list []srgroup.Delivery) {
	for _, d := range list {
		message := sr.SlotGrants{From: g.n.Self, To: d.To, Group: g.name, Decisions: d.Decisions}
		go func() {
			if err := g.n.deliverTo(d.To.Address, message); err != nil {
				g.n.stats.count("group.undelivered")
			}
		}()
	}
}

func (n *Instance) deliverTo(address string, g sr.SlotGrants) (err error) {
	defer n.recoverPanic("deliver", &err)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if address == n.Self.Address {
		return n.DeliverSlots(ctx, g)
	}
	return n.Fleet.FleetPeer(address).DeliverSlots(ctx, g)
}

// ReportSlots implements sr.FleetHandler.
func (n *Instance) ReportSlots(_ context.Context, r sr.SlotReport) (sr.SlotReply, error) {
	if err := checkReport(r); err != nil {
		n.stats.count("fleet.invalid")
		n.Log.Failed("report-invalid", srlog.Peer, r.From.Address[:min(len(r.From.Address), maxAddress)], srlog.Error, err.Error())
		return sr.SlotReply{}, err
	}
	if r.From != n.Self && !n.members.knows(r.From) {
		return sr.SlotReply{}, errors.Wrap(sr.ErrMissing, "instance is not known")
	}
	g := n.coordinator.get(r.Group)
	if g == nil || n.draining.Load() {
		n.stats.count("group.not-owner")
		return sr.SlotReply{}, sr.ErrNotOwner
	}
	return g.report(r)
}

// DeliverSlots implements sr.FleetHandler.
func (n *Instance) DeliverSlots(_ context.Context, g sr.SlotGrants) error {
	if err := checkDecisions(g.Decisions); err != nil {
		n.stats.count("fleet.invalid")
		return err
	}
	if g.To != n.Self {
		return errors.Wrap(sr.ErrMissing, "another instance has asked")
	}
	if h := n.holders.get(g.Group); h != nil {
		h.deliver(g)
	}
	return nil
}

// coordinate assigns the groups of the usable endpoints of each service to the members.
func (n *Instance) coordinate(now time.Time, usable map[string][]srdispatch.Endpoint) {
	members := n.members.powers(now)
	if !n.draining.Load() {
		members = append(members, srgroup.Member{Address: n.Self.Address, Power: n.Settings.Power})
	}
	n.division.setMembers(members)
	sharers := n.members.sharers(now)
	own := make(map[string][]srdispatch.Endpoint)
	services := make(map[string][]groupRoute)
	var names []string
	for service, list := range usable {
		slots := 0
		for _, e := range list {
			slots = max(slots, e.Slots)
		}
		// An instance that hears less than half of the others would grant slots that they use.
		if !srgroup.Needed(sharers, slots) || len(members) < sharers/2 {
			continue
		}
		for name, ids := range n.division.groups(service, list) {
			services[service] = append(services[service], groupRoute{name: name, endpoints: ids})
			names = append(names, name)
		}
	}
	coordinators := n.division.assign(names)
	for service, routes := range services {
		for i := range routes {
			r := &routes[i]
			r.coordinator = coordinators[r.name]
			if r.coordinator == n.Self.Address {
				own[r.name] = selectEndpoints(usable[service], r.endpoints)
			}
		}
	}
	n.coordinator.configure(now, own)
	n.holders.configure(services)
}

// selectEndpoints returns the endpoints of a list that have some of its IDs. Both are in the same
// order.
func selectEndpoints(list []srdispatch.Endpoint, ids []string) []srdispatch.Endpoint {
	out := make([]srdispatch.Endpoint, 0, len(ids))
	for _, e := range list {
		if len(ids) > 0 && e.ID == ids[0] {
			out, ids = append(out, e), ids[1:]
		}
	}
	return out
}
