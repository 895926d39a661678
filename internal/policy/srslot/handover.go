package srslot

import (
	"cmp"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Adopt takes over from the previous owner. Without a handover nothing is
// known of what runs, and each endpoint waits for its next report.
func (p *Pool) Adopt(now time.Time, h sr.Handover) {
	p.dirty = true
	if !h.Yielded {
		p.takeOver(now)
		return
	}
	p.adopted = true
	for _, w := range h.Warm {
		e := p.endpointFor(w.Endpoint)
		e.ramp.Import(w)
		e.blind = false
	}
	for _, held := range h.Leases {
		p.adopt(now, held)
	}
}

// adopt counts a lease of the previous owner. One without a holder is an orphan.
func (p *Pool) adopt(now time.Time, held sr.HeldLease) {
	if _, known := p.leases[held.ID]; known || held.ID == 0 {
		return
	}
	l := &lease{
		id: held.ID,
		ask: sr.Ask{
			Holder:      held.Holder,
			Pool:        p.cfg.Pool,
			Tier:        p.clampTier(held.Tier),
			Workspace:   held.Workspace,
			Work:        held.Work,
			Cancellable: held.Cancellable,
		},
		granted: now,
		startBy: now.Add(p.opts.GrantTTL),
		adopted: true,

		confirmed: held.Confirmed,
	}
	if held.Holder == (sr.InstanceID{}) {
		l.orphan = true
		l.clearAfter = l.startBy
	}
	p.addLease(p.endpointFor(held.Endpoint), l)
}

// endpointFor returns an endpoint, also when the manifest does not have it.
func (p *Pool) endpointFor(name string) *endpoint {
	if e := p.endpoints[name]; e != nil {
		return e
	}
	e := newEndpoint(sr.PoolEndpoint{Name: name}, p.opts.Warm)
	e.present = false
	p.insert(e)
	return e
}

// Handover gives the state to the next owner and ends all grants. What no
// living holder will end is passed on as leases without a holder.
func (p *Pool) Handover(_ time.Time) sr.Handover {
	h := sr.Handover{Yielded: true}
	for _, e := range p.order {
		for _, l := range e.leases {
			h.Leases = append(h.Leases, heldLease(e, l))
		}
		for range e.nameless + e.surplus {
			h.Leases = append(h.Leases, sr.HeldLease{ID: p.newID(), Endpoint: e.spec.Name, Tier: p.clampTier(0), Confirmed: true})
		}
		if e.present && !e.blind {
			h.Warm = append(h.Warm, e.ramp.Export(e.spec.Name))
		}
	}
	slices.SortFunc(h.Leases, func(a, b sr.HeldLease) int { return cmp.Compare(a.ID, b.ID) })
	p.mode.Own = false
	p.adopted = false
	p.refuseAll(notOwner())
	p.forgetLeases()
	return h
}

func heldLease(e *endpoint, l *lease) sr.HeldLease {
	h := sr.HeldLease{
		ID:          l.id,
		Holder:      l.ask.Holder,
		Endpoint:    e.spec.Name,
		Tier:        l.ask.Tier,
		Workspace:   l.ask.Workspace,
		Work:        l.ask.Work,
		Cancellable: l.ask.Cancellable,
		Confirmed:   l.confirmed,
	}
	if !l.attached {
		h.Holder = sr.InstanceID{}
	}
	return h
}

// forgetLeases drops what the next owner counts from now on.
func (p *Pool) forgetLeases() {
	for _, l := range p.leases {
		p.dropLease(l)
	}
	for _, e := range p.order {
		e.nameless = 0
		e.surplus = 0
		e.sightings = nil
	}
	p.forgetGone()
}
