package srforward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srgroup"
)

// maxGroupsAsked is the number of groups that one request asks before it is refused.
const maxGroupsAsked = 2

// groupRoute is a group with the address of its coordinator.
type groupRoute struct {
	name        string
	coordinator string
	endpoints   []string
}

// holders holds this instance's side towards the coordinators of all groups.
type holders struct {
	n *Instance

	mu sync.Mutex
	// services lists the groups of each service that has some, by service.
	services map[string][]*groupHolder
	byName   map[string]*groupHolder
	lastAsk  uint64
}

func newHolders(n *Instance) *holders {
	return &holders{n: n, services: make(map[string][]*groupHolder), byName: make(map[string]*groupHolder)}
}

// configure sets the groups of all services.
func (s *holders) configure(services map[string][]groupRoute) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.byName
	s.services, s.byName = make(map[string][]*groupHolder), make(map[string]*groupHolder)
	for service, routes := range services {
		slices.SortFunc(routes, func(a, b groupRoute) int { return cmp.Compare(a.name, b.name) })
		for _, route := range routes {
			h, ok := former[route.name]
			if !ok {
				h = &groupHolder{n: s.n, name: route.name, queue: s.n.queues.get(service), waiting: make(map[uint64]chan srdispatch.Decision)}
			}
			delete(former, route.name)
			h.configure(route)
			s.services[service] = append(s.services[service], h)
			s.byName[route.name] = h
		}
	}
	for _, h := range former {
		h.configure(groupRoute{name: h.name})
	}
}

func (s *holders) get(name string) *groupHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// candidates returns the groups to ask for a slot, the best one first, and the ID of the ask.
func (s *holders) candidates(service string, a srdispatch.Ask) ([]*groupHolder, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAsk++
	list := slices.Clone(s.services[service])
	if len(a.Only) > 0 {
		list = slices.DeleteFunc(list, func(h *groupHolder) bool { return !h.hasAny(a.Only) })
	}
	if len(list) < 2 {
		return list, s.lastAsk
	}
	names := make([]string, len(list))
	for i, h := range list {
		names[i] = h.name
	}
	first := 0
	if a.LastPart != "" {
		first = slices.Index(names, srgroup.Home(names, a.LastPart))
	} else {
		first = s.n.random.intN(len(list))
	}
	second := s.n.random.intN(len(list) - 1)
	if second >= first {
		second++
	}
	if list[first].room() < 0 && list[second].room() > list[first].room() {
		first, second = second, first
	}
	return []*groupHolder{list[first], list[second]}, s.lastAsk
}

// acquire asks the coordinators of a service's groups for a slot. decided is false when this
// instance has to decide alone.
func (s *holders) acquire(ctx context.Context, q *queue, a srdispatch.Ask, onWait func(queue int)) (d srdispatch.Decision, decided bool, err error) {
	list, id := s.candidates(q.name, a)
	// The coordinator does not know the pauses of endpoints towards this instance.
	if len(list) == 0 || slices.ContainsFunc(a.Only, q.paused) || q.allPaused() {
		return d, false, nil
	}
	a = s.n.groupAsk(q, a)
	for _, h := range list[:min(len(list), maxGroupsAsked)] {
		answer, ok, err := h.acquire(ctx, id, a, onWait)
		switch {
		case err != nil:
			return d, true, err
		case !ok:
			continue
		case answer.Kind == srdispatch.Placed:
			if q.adopt(answer.Endpoint, a.Prompt) {
				return answer, true, nil
			}
			h.release(answer.Endpoint, srdispatch.Result{Unsent: true, Prompt: a.Prompt})
			continue
		}
		d, decided = answer, true
	}
	if !decided {
		s.n.stats.count("group.alone")
	}
	return d, decided, nil
}

// groupAsk returns an ask as a coordinator gets it.
func (n *Instance) groupAsk(q *queue, a srdispatch.Ask) srdispatch.Ask {
	a.Domain, a.Avoid = n.Settings.Domain, q.avoid(a)
	return a
}

// release returns a slot to the coordinator that granted it. The endpoint may have left its group
// meanwhile.
func (s *holders) release(service, endpoint string, r srdispatch.Result) {
	for _, h := range s.of(service) {
		if h.release(endpoint, r) {
			return
		}
	}
}

// started reports that an endpoint has started an answer.
func (s *holders) started(service string, start sr.SlotStart) {
	for _, h := range s.of(service) {
		if h.hasAny([]string{start.Endpoint}) {
			h.started(start)
		}
	}
}

// silent reports that an endpoint has sent nothing to a request for too long.
func (s *holders) silent(service, endpoint string) {
	for _, h := range s.of(service) {
		if h.hasAny([]string{endpoint}) {
			h.silent(endpoint)
		}
	}
}

// of returns the groups of a service.
func (s *holders) of(service string) []*groupHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.services[service])
}

// groupHolder is this instance's side towards the coordinator of one group.
type groupHolder struct {
	n     *Instance
	name  string
	queue *queue

	mu          sync.Mutex
	coordinator string
	// ids are the endpoints of the group, endpoints the same as a set.
	ids       []string
	endpoints map[string]struct{}
	holder    *srgroup.Holder
	waiting   map[uint64]chan srdispatch.Decision
	timer     *time.Timer
}

// configure sets the coordinator and the endpoints. The asks at a former coordinator are decided
// elsewhere, and its slots count as requests in flight without a slot.
func (h *groupHolder) configure(route groupRoute) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(h.ids, route.endpoints) {
		h.ids, h.endpoints = route.endpoints, make(map[string]struct{}, len(route.endpoints))
		for _, id := range route.endpoints {
			h.endpoints[id] = struct{}{}
		}
	}
	if h.coordinator == route.coordinator && h.holder != nil {
		return
	}
	h.undecided()
	// Time passes faster than sequences do, which grow with reports.
	h.coordinator, h.holder = route.coordinator, srgroup.NewHolder(h.name, h.n.Self, uint64(time.Since(h.n.startedAt)))
	h.n.Log.State("group-coordinator", srlog.Group, h.name, srlog.Peer, h.coordinator)
}

// undecided ends the waits of all asks without a decision. The caller must hold h.mu.
func (h *groupHolder) undecided() {
	for id, ch := range h.waiting {
		delete(h.waiting, id)
		ch <- srdispatch.Decision{Ask: id}
	}
}

func (h *groupHolder) hasAny(ids []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool {
		_, ok := h.endpoints[id]
		return ok
	})
}

func (h *groupHolder) room() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Room()
}

// acquire waits for the decision of the coordinator. ok is false when there is none.
func (h *groupHolder) acquire(ctx context.Context, id uint64, a srdispatch.Ask, onWait func(queue int)) (d srdispatch.Decision, ok bool, err error) {
	ch := make(chan srdispatch.Decision, 1)
	now := time.Now()
	h.mu.Lock()
	if h.coordinator == "" || !h.holder.Usable(now) {
		h.mu.Unlock()
		return d, false, nil
	}
	h.waiting[id] = ch
	h.holder.Ask(now, id, a)
	h.schedule(now)
	h.mu.Unlock()
	timer := time.NewTimer(reportTimeout)
	defer timer.Stop()
	for {
		select {
		case d := <-ch:
			return d, d.Kind != 0 && d.Reason != srgroup.ReasonLost, nil
		case <-timer.C:
			onWait(h.length())
			continue
		case <-ctx.Done():
		}
		break
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, id)
	select {
	case d := <-ch:
		// The decision arrived while the context ended.
		return d, d.Kind != 0 && d.Reason != srgroup.ReasonLost, nil
	default:
	}
	h.holder.Withdraw(id)
	return d, true, ctx.Err()
}

func (h *groupHolder) length() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiting)
}

// release returns a slot of an endpoint. It returns false if none is held.
func (h *groupHolder) release(endpoint string, r srdispatch.Result) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holder.Release(endpoint, r) {
		return false
	}
	h.schedule(time.Now())
	return true
}

func (h *groupHolder) started(s sr.SlotStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Started(s)
	h.schedule(time.Now())
}

func (h *groupHolder) silent(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Silent(endpoint)
	h.schedule(time.Now())
}

// deliver applies decisions that the coordinator has sent.
func (h *groupHolder) deliver(g sr.SlotGrants) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.From.Address != h.coordinator {
		return
	}
	now := time.Now()
	h.decide(h.holder.Deliver(now, g.Decisions))
	h.schedule(now)
}

// decide passes decisions on to the requests that wait. The caller must hold h.mu.
func (h *groupHolder) decide(list []srdispatch.Decision) {
	for _, d := range list {
		ch, ok := h.waiting[d.Ask]
		if !ok {
			continue
		}
		delete(h.waiting, d.Ask)
		ch <- d
	}
}

// schedule sends the next report when it is due. The caller must hold h.mu.
func (h *groupHolder) schedule(now time.Time) {
	due, ok := h.holder.Due()
	if !ok || h.coordinator == "" {
		return
	}
	wait := max(due.Sub(now), 0)
	if h.timer == nil {
		h.timer = time.AfterFunc(wait, h.report)
		return
	}
	h.timer.Reset(wait)
}

// report sends the next report, if it is due, and applies the answer.
func (h *groupHolder) report() {
	own := h.queue.running()
	h.mu.Lock()
	now := time.Now()
	for id := range own {
		if _, ok := h.endpoints[id]; !ok {
			delete(own, id)
		}
	}
	holder, coordinator := h.holder, h.coordinator
	r, ok := holder.Next(now, own)
	if !ok || coordinator == "" {
		h.schedule(now)
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	reply, err := h.n.reportTo(coordinator, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return
	}
	now = time.Now()
	if err != nil {
		h.n.stats.count("group.silent")
		h.n.Log.State("group-silent", srlog.Group, h.name, srlog.Peer, coordinator, srlog.Error, err.Error(), srlog.Count, len(h.waiting))
		holder.Fail(now)
		h.undecided()
	} else {
		h.decide(holder.Reply(now, reply))
	}
	h.schedule(now)
}

func (n *Instance) reportTo(address string, r sr.SlotReport) (reply sr.SlotReply, err error) {
	defer n.recoverPanic("report", &err)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	n.stats.count("group.reports")
	if address == n.Self.Address {
		return n.ReportSlots(ctx, r)
	}
	reply, err = n.Fleet.FleetPeer(address).ReportSlots(ctx, r)
	if err == nil {
		err = checkDecisions(reply.Decisions)
	}
	return reply, err
}
