package srslot

import (
	"fmt"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// News summarises the pool for heartbeats.
func (p *Pool) News(now time.Time) sr.PoolNews {
	tiers := int(p.clampTier(0)) + 1
	n := sr.PoolNews{
		Pool:    p.cfg.Pool,
		Owner:   p.cfg.Owner,
		Waiting: make([]int, tiers),
		Wait:    make([]time.Duration, tiers),
		Running: make([]int, tiers),
	}
	for _, e := range p.order {
		n.Slots += p.limitAt(now, e)
		n.Free += p.freeAt(now, e)
	}
	for t := 1; t < tiers; t++ {
		q := p.queue(sr.Tier(t))
		n.Waiting[t] = q.waiting
		n.Wait[t] = p.outlookFor(now, q.tier).wait(q.waiting, q.service)
		n.Running[t] = p.list(q.tier).n
	}
	return n
}

// Dump returns the state for people, ready for JSON.
func (p *Pool) Dump(now time.Time) sr.PoolDump {
	d := sr.PoolDump{
		Pool:     p.cfg.Pool.String(),
		Own:      p.mode.Own,
		Majority: p.mode.Majority,
		Floor:    fmt.Sprintf("in force %d, settled %d", p.floor.InForce, p.floor.Settled),
	}
	for _, w := range p.inOrder() {
		d.Waiting = append(d.Waiting, sr.AskDump{
			ID:        w.ask.ID,
			Tier:      w.ask.Tier,
			Workspace: w.ask.Workspace,
			Waited:    now.Sub(w.arrived).Round(time.Millisecond).String(),
		})
	}
	for _, e := range p.order {
		d.Endpoints = append(d.Endpoints, e.dump(now))
	}
	return d
}

func (e *endpoint) dump(now time.Time) sr.EndpointDump {
	return sr.EndpointDump{
		Name:    e.spec.Name,
		Usable:  e.usable(),
		State:   e.state(),
		Limit:   e.limit(),
		Leases:  len(e.leases) - e.orphans,
		Orphans: e.orphans + e.nameless + e.surplus,
		Report:  e.reportState(now),
	}
}

func (e *endpoint) state() string {
	if e.blind {
		return "unknown"
	}
	if e.ramp.Cold() {
		return "cold"
	}
	return "warm"
}

func (e *endpoint) reportState(now time.Time) string {
	if !e.reported {
		return "none"
	}
	age := now.Sub(e.reportedAt).Round(time.Millisecond)
	return fmt.Sprintf("start %s, %v old", e.ramp.Start(), age)
}
