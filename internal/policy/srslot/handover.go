package srslot

import (
	"cmp"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Adopt takes over from the previous owner. Without a handover it is unknown which
// requests run, so each endpoint is granted nothing until its next load report.
func (p *Pool) Adopt(now time.Time, h sr.Handover) {
	p.dirty = true
	if !h.Yielded {
		p.resetForTakeover(now)
		return
	}
	p.stateAdopted = true
	for _, w := range h.Warm {
		e := p.endpointByName(w.Endpoint)
		e.ramp.Import(w)
		e.awaitingReport = false
	}
	for _, held := range h.Leases {
		p.adopt(now, held)
	}
}

// adopt counts a lease of the previous owner. A lease without a holder is abandoned.
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
		l.abandoned = true
		l.clearAfter = l.startBy
	}
	p.addLease(p.endpointByName(held.Endpoint), l)
}

// endpointByName returns an endpoint and adds it if the manifest does not have it.
func (p *Pool) endpointByName(name string) *endpoint {
	if e := p.endpoints[name]; e != nil {
		return e
	}
	e := newEndpoint(sr.PoolEndpoint{Name: name}, p.opts.Warm)
	e.present = false
	p.insert(e)
	return e
}

// Handover returns the state for the next owner and stops granting. Requests that no
// live holder will end are passed on as leases without a holder.
func (p *Pool) Handover(_ time.Time) sr.Handover {
	h := sr.Handover{Yielded: true}
	for _, e := range p.sortedEndpoints {
		for _, l := range e.leases {
			h.Leases = append(h.Leases, heldLease(e, l))
		}
		for range e.unattributed + e.surplus {
			h.Leases = append(h.Leases, sr.HeldLease{ID: p.newLeaseID(), Endpoint: e.spec.Name, Tier: p.clampTier(0), Confirmed: true})
		}
		if e.present && !e.awaitingReport {
			h.Warm = append(h.Warm, e.ramp.Export(e.spec.Name))
		}
	}
	slices.SortFunc(h.Leases, func(a, b sr.HeldLease) int { return cmp.Compare(a.ID, b.ID) })
	p.mode.Own = false
	p.stateAdopted = false
	p.refuseAll(notOwnerRefusal())
	p.dropAllLeases()
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

// dropAllLeases drops all leases and other used slots, which the next owner counts
// from now on.
func (p *Pool) dropAllLeases() {
	for _, l := range p.leases {
		p.dropLease(l)
	}
	for _, e := range p.sortedEndpoints {
		e.unattributed = 0
		e.surplus = 0
		e.observations = nil
	}
	p.removeGoneEndpoints()
}
