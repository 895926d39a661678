package srslot

import (
	"fmt"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Summary summarises the pool for heartbeats.
func (p *Pool) Summary(now time.Time) sr.PoolSummary {
	tiers := int(p.clampTier(0)) + 1
	summary := sr.PoolSummary{
		Pool:    p.cfg.Pool,
		Owner:   p.cfg.Owner,
		Waiting: make([]int, tiers),
		Wait:    make([]time.Duration, tiers),
		Running: make([]int, tiers),
	}
	for _, e := range p.sortedEndpoints {
		summary.Slots += p.limitAt(now, e)
		summary.Free += p.freeSlots(now, e)
	}
	for t := 1; t < tiers; t++ {
		q := p.queue(sr.Tier(t))
		summary.Waiting[t] = q.waiting
		summary.Wait[t] = p.capacityFor(now, q.tier).wait(q.waiting, q.service)
		summary.Running[t] = p.cancellableLeases(q.tier).n
	}
	return summary
}

// Dump returns the state of the pool for operators, ready for JSON.
func (p *Pool) Dump(now time.Time) sr.PoolDump {
	d := sr.PoolDump{
		Pool:     p.cfg.Pool.String(),
		Own:      p.mode.Own,
		Majority: p.mode.Majority,
		Floor:    fmt.Sprintf("in force %d, settled %d", p.floor.InForce, p.floor.Settled),
	}
	for _, w := range p.waitingInOrder() {
		d.Waiting = append(d.Waiting, sr.AskDump{
			ID:        w.ask.ID,
			Tier:      w.ask.Tier,
			Workspace: w.ask.Workspace,
			Waited:    now.Sub(w.arrived).Round(time.Millisecond).String(),
		})
	}
	for _, e := range p.sortedEndpoints {
		d.Endpoints = append(d.Endpoints, p.dumpEndpoint(now, e))
	}
	return d
}

func (p *Pool) dumpEndpoint(now time.Time, e *endpoint) sr.EndpointDump {
	return sr.EndpointDump{
		Name:    e.spec.Name,
		Usable:  e.usable(),
		State:   p.endpointState(now, e),
		Limit:   e.limit(),
		Allowed: p.limitAt(now, e),
		Leases:  len(e.leases) - e.abandonedCount,
		Orphans: e.abandonedCount + e.unattributed + e.surplus,
		Report:  e.reportState(now),
	}
}

// endpointState names the reason for the current limit of an endpoint.
func (p *Pool) endpointState(now time.Time, e *endpoint) string {
	switch {
	case !e.usable():
		return "out"
	case e.ramp.Cold() && !p.mode.Majority:
		return "no majority"
	case e.breaker.limit(now, 1) == 0:
		return "refusing"
	case e.awaitingReport:
		return "unknown"
	case e.ramp.Cold():
		return "cold"
	}
	return "warm"
}

func (e *endpoint) reportState(now time.Time) string {
	if !e.reported {
		return "none"
	}
	age := now.Sub(e.reportedAt).Round(time.Millisecond)
	return fmt.Sprintf("start %s, %v old", e.ramp.StartID(), age)
}
