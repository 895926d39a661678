package srgroup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

const (
	// holderTimeout is the time without a report after which the asks and slots of a holder
	// are dropped. Holders report every holdInterval.
	holderTimeout = 3 * holdInterval
	// deliveryTimeout is the time after which a slot that the holder does not list as held is
	// free again. A decision and the next report take less.
	deliveryTimeout = time.Second
	// loadDelay is the time after a report in which other messages may still count slots that it
	// returned. Members of a large fleet hear of each other every 0.7 s.
	loadDelay = time.Second
	// maxHolders bounds the holders that are remembered, twice the instances of a large fleet.
	maxHolders = 2048
	// maxWaiting bounds the waiting asks of a group, a few seconds of its requests.
	maxWaiting = 4096
)

// Options configure a Group.
type Options struct {
	// Name is the name of the group.
	Name string
	// Domain is the failure domain of the coordinator.
	Domain string
	Seed   uint64
}

// Group is the state of the coordinator of a group. It is not safe for concurrent use.
type Group struct {
	name       string
	dispatcher *srdispatch.Service
	holders    map[sr.InstanceID]*holder
	overlap    overlap
	// asks are the waiting asks by the ID that the dispatcher knows them by.
	asks   map[uint64]origin
	lastID uint64
}

// origin is where an ask came from.
type origin struct {
	holder *holder
	ask    uint64
	prompt int
}

// holder is an instance with asks or slots.
type holder struct {
	id         sr.InstanceID
	sequence   uint64
	lastReport time.Time
	// waiting maps the holder's IDs of its asks to those of the dispatcher.
	waiting map[uint64]uint64
	grants  map[uint64]grant
	// refused are the refusals that the holder may not have received, by ask.
	refused map[uint64]sr.SlotDecision
	// own is the number of requests in flight without a slot of this coordinator.
	own map[string]int
}

// grant is a slot of a holder.
type grant struct {
	endpoint  string
	prompt    int
	grantedAt time.Time
}

// Delivery are decisions for one holder.
type Delivery struct {
	To        sr.InstanceID
	Decisions []sr.SlotDecision
}

// New returns a Group without endpoints.
func New(o Options) *Group {
	return &Group{
		name:       o.Name,
		dispatcher: srdispatch.New(srdispatch.Options{Seed: o.Seed, Domain: o.Domain, Fair: true}),
		holders:    make(map[sr.InstanceID]*holder),
		asks:       make(map[uint64]origin),
	}
}

// SetLoad sets what members have in flight by other messages than reports, for those that have
// not reported lately: before this instance became the coordinator, because they have no asks and
// slots, or because they are of an earlier version.
func (g *Group) SetLoad(now time.Time, running map[sr.InstanceID]map[string]int) []Delivery {
	for id, counts := range running {
		h, known := g.holders[id]
		switch {
		case !known && len(g.holders) >= maxHolders:
			continue
		case !known:
			h = newHolder(now, id)
			g.holders[id] = h
		case h.sequence > 0 && (len(h.waiting)+len(h.grants) > 0 || now.Sub(h.lastReport) < loadDelay):
			continue
		}
		h.own, h.lastReport = counts, now
	}
	return g.deliver(now, g.updateOwn(now))
}

func newHolder(now time.Time, id sr.InstanceID) *holder {
	return &holder{id: id, lastReport: now, waiting: make(map[uint64]uint64), grants: make(map[uint64]grant), refused: make(map[uint64]sr.SlotDecision)}
}

// Configure sets the usable endpoints of the group.
func (g *Group) Configure(now time.Time, list []srdispatch.Endpoint) []Delivery {
	for i := range list {
		// All slots that holders do not use without a grant belong to the group.
		list[i].Share = srdispatch.ShareOfCoordinator
		list[i].Slots = g.overlap.slots(list[i].Slots)
	}
	return g.deliver(now, g.dispatcher.Configure(now, list))
}

// Report handles the report of a holder. It returns the decisions on the asks of that holder,
// and those on the asks of others. It returns ErrExpired for a report that is older than the
// last one, and ErrOverloaded when there is no room for the holder.
func (g *Group) Report(now time.Time, r sr.SlotReport) (sr.SlotReply, []Delivery, error) {
	h, known := g.holders[r.From]
	switch {
	case known && r.Sequence <= h.sequence:
		return sr.SlotReply{}, nil, errors.Wrap(sr.ErrExpired, "srgroup: report")
	case !known && len(g.holders) >= maxHolders:
		return sr.SlotReply{}, nil, errors.Wrapf(sr.ErrOverloaded, "srgroup: more than %d holders", maxHolders)
	case !known:
		h = newHolder(now, r.From)
		g.holders[r.From] = h
	}
	h.sequence, h.lastReport = r.Sequence, now
	for _, s := range r.Started {
		g.dispatcher.AnswerStarted(now, s.Endpoint, s.Prompt, s.First)
	}
	for _, id := range r.Silent {
		g.dispatcher.ReportSilent(now, id)
	}
	// Asks are withdrawn before slots become free, so that none of them gets one.
	g.withdrawUnlisted(h, r.Waiting)
	var decisions []srdispatch.Decision
	for _, released := range r.Released {
		decisions = append(decisions, g.release(now, h, released.Ask, resultOf(released.Result))...)
	}
	g.reconcile(now, h, r, &decisions)
	maps.DeleteFunc(h.refused, func(ask uint64, _ sr.SlotDecision) bool { return !slices.Contains(r.Waiting, ask) })
	if !maps.Equal(h.own, r.Own) {
		h.own = r.Own
		decisions = append(decisions, g.updateOwn(now)...)
	}
	refused := g.add(now, h, r.Asks, &decisions)
	reply := sr.SlotReply{Decisions: append(refused, h.missed(r.Waiting)...)}
	var others []Delivery
	for _, d := range g.deliver(now, decisions) {
		if d.To == r.From {
			reply.Decisions = append(reply.Decisions, d.Decisions...)
			continue
		}
		others = append(others, d)
	}
	reply.Free, reply.Waiting = g.dispatcher.Free(now), g.dispatcher.Waiting()
	return reply, others, nil
}

// missed returns the decisions on asks that the holder believes to wait. One that is not known
// any more is lost, and the holder decides on it alone.
func (h *holder) missed(waiting []uint64) []sr.SlotDecision {
	var out []sr.SlotDecision
	for _, ask := range waiting {
		if _, waits := h.waiting[ask]; waits {
			continue
		}
		if held, ok := h.grants[ask]; ok {
			out = append(out, sr.SlotDecision{Ask: ask, Granted: true, Endpoint: held.endpoint})
			continue
		}
		if d, ok := h.refused[ask]; ok {
			out = append(out, d)
			continue
		}
		out = append(out, sr.SlotDecision{Ask: ask, Reason: ReasonLost})
	}
	return out
}

// ReasonLost means that the coordinator does not know an ask any more, because it has restarted, has not
// heard the holder for holderTimeout, or its decision did not arrive.
const ReasonLost = "lost"

// add queues the asks of a holder. It returns the refusals of those for which there is no room.
func (g *Group) add(now time.Time, h *holder, asks []sr.SlotAsk, decisions *[]srdispatch.Decision) []sr.SlotDecision {
	var refused []sr.SlotDecision
	for _, a := range asks {
		_, waits := h.waiting[a.ID]
		_, granted := h.grants[a.ID]
		if waits || granted {
			continue
		}
		if len(g.asks) >= maxWaiting {
			refused = append(refused, sr.SlotDecision{Ask: a.ID, Reason: srdispatch.ReasonFull, After: fullRetryAfter, Queue: len(g.asks)})
			continue
		}
		g.lastID++
		h.waiting[a.ID] = g.lastID
		g.asks[g.lastID] = origin{holder: h, ask: a.ID, prompt: a.Prompt}
		*decisions = append(*decisions, g.dispatcher.Add(now, askOf(now, g.lastID, a))...)
	}
	return refused
}

// fullRetryAfter is the retry delay of a caller when maxWaiting asks wait.
const fullRetryAfter = time.Second

// release returns a slot of a holder.
func (g *Group) release(now time.Time, h *holder, ask uint64, r srdispatch.Result) []srdispatch.Decision {
	held, ok := h.grants[ask]
	if !ok {
		return nil
	}
	delete(h.grants, ask)
	if r.Unsent {
		// A holder that does not wait any more does not know the prompt.
		r.Prompt = held.prompt
	}
	g.overlap.observe(now, now.Sub(held.grantedAt), r.Ran)
	return g.dispatcher.Release(now, held.endpoint, r)
}

// withdrawUnlisted drops the asks that a holder does not list.
func (g *Group) withdrawUnlisted(h *holder, listed []uint64) {
	for ask, id := range h.waiting {
		if !slices.Contains(listed, ask) {
			g.withdraw(h, ask, id)
		}
	}
}

// reconcile drops the slots that a holder does not list, and adopts those that this coordinator
// does not know of.
func (g *Group) reconcile(now time.Time, h *holder, r sr.SlotReport, decisions *[]srdispatch.Decision) {
	for ask, held := range h.grants {
		if _, listed := r.Held[ask]; !listed && now.Sub(held.grantedAt) > deliveryTimeout {
			*decisions = append(*decisions, g.release(now, h, ask, srdispatch.Result{Unsent: true, Prompt: held.prompt})...)
		}
	}
	for ask, endpoint := range r.Held {
		if _, known := h.grants[ask]; !known && g.dispatcher.Adopt(now, endpoint, 0) {
			h.grants[ask] = grant{endpoint: endpoint, grantedAt: now}
		}
	}
}

func (g *Group) withdraw(h *holder, ask, id uint64) {
	g.dispatcher.Withdraw(id)
	delete(h.waiting, ask)
	delete(g.asks, id)
}

// updateOwn sums what the holders have in flight without a grant.
func (g *Group) updateOwn(now time.Time) []srdispatch.Decision {
	load := make(map[string]srdispatch.Load)
	for _, h := range g.holders {
		for id, n := range h.own {
			l := load[id]
			l.Running += n
			load[id] = l
		}
	}
	return g.dispatcher.SetPeerLoad(now, load)
}

// Tick drops the holders that have not reported for holderTimeout, and refuses the asks that
// have reached their wait limit.
func (g *Group) Tick(now time.Time) []Delivery {
	var silent []*holder
	for id, h := range g.holders {
		if now.Sub(h.lastReport) <= holderTimeout {
			continue
		}
		silent = append(silent, h)
		delete(g.holders, id)
		// The asks of all of them are withdrawn before slots become free.
		for ask, queued := range h.waiting {
			g.withdraw(h, ask, queued)
		}
	}
	var decisions []srdispatch.Decision
	for _, h := range silent {
		for ask, held := range h.grants {
			decisions = append(decisions, g.release(now, h, ask, srdispatch.Result{Unknown: true, Prompt: held.prompt})...)
		}
	}
	if len(silent) > 0 {
		decisions = append(decisions, g.updateOwn(now)...)
	}
	return g.deliver(now, append(decisions, g.dispatcher.Tick(now)...))
}

// Next returns when Tick should be called, and whether any ask waits.
func (g *Group) Next() (time.Time, bool) { return g.dispatcher.Next() }

// Explain returns where an ask would go now, without a change.
func (g *Group) Explain(now time.Time, a srdispatch.Ask) srdispatch.Explanation {
	return g.dispatcher.Explain(now, a)
}

// Free returns the number of slots that a request could get now.
func (g *Group) Free(now time.Time) int { return g.dispatcher.Free(now) }

// Waiting returns the number of waiting asks.
func (g *Group) Waiting() int { return g.dispatcher.Waiting() }

// Holders returns the number of instances with asks or slots.
func (g *Group) Holders() int { return len(g.holders) }

// HealthChanges returns and clears the health changes since the last call.
func (g *Group) HealthChanges() []srdispatch.HealthChange { return g.dispatcher.HealthChanges() }

// LimitChanges returns and clears the changes of learned limits since the last call.
func (g *Group) LimitChanges(now time.Time) []srdispatch.LimitChange {
	return g.dispatcher.LimitChanges(now)
}

// Limits returns the number of requests that each endpoint gets at most at once.
func (g *Group) Limits() map[string]int { return g.dispatcher.Limits() }

// deliver records decisions and sorts them by holder.
func (g *Group) deliver(now time.Time, list []srdispatch.Decision) []Delivery {
	byHolder := make(map[sr.InstanceID]*Delivery)
	for _, d := range list {
		o, ok := g.asks[d.Ask]
		if !ok {
			continue
		}
		delete(g.asks, d.Ask)
		delete(o.holder.waiting, o.ask)
		if d.Kind == srdispatch.Placed {
			o.holder.grants[o.ask] = grant{endpoint: d.Endpoint, prompt: o.prompt, grantedAt: now}
		}
		to, ok := byHolder[o.holder.id]
		if !ok {
			to = &Delivery{To: o.holder.id}
			byHolder[o.holder.id] = to
		}
		decision := decisionOf(o.ask, d)
		if !decision.Granted {
			o.holder.refused[o.ask] = decision
		}
		to.Decisions = append(to.Decisions, decision)
	}
	out := make([]Delivery, 0, len(byHolder))
	for _, d := range byHolder {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Delivery) int { return cmp.Compare(a.To.Address, b.To.Address) })
	return out
}
