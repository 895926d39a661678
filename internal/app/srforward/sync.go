package srforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// sourceRegistry is the name of the registry in log lines on the source of facts.
const sourceRegistry = "registry"

// sync keeps the view up to date until ctx ends. A few instances watch the
// registry. The others receive its facts from them, and query the registry
// themselves only when their view has not been confirmed for some time.
func (n *Instance) sync(ctx context.Context) {
	lostAt := time.Time{}
	for ctx.Err() == nil {
		watches := n.members.watchesRegistry(time.Now())
		if n.view.Revision() > 0 && !watches && n.view.Age(n.Clock()) < n.Settings.AskAfter() {
			_ = srtimer.Wait(ctx, syncInterval)
			continue
		}
		err := n.queryRegistry(ctx, watches)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && !lostAt.IsZero():
			n.Log.State("registry-regained", srlog.After, time.Since(lostAt))
			lostAt = time.Time{}
		case err != nil:
			n.stats.count("registry.failed")
			if lostAt.IsZero() {
				lostAt = time.Now()
				n.Log.State("registry-lost", srlog.Error, err.Error(), srlog.Age, n.view.Age(n.Clock()))
			}
			_ = srtimer.Wait(ctx, registryRetryDelay)
		}
	}
}

// queryRegistry sends one query to the registry: for a full listing if the view is
// empty, otherwise for changes. An instance that watches the registry waits for
// changes.
func (n *Instance) queryRegistry(ctx context.Context, watches bool) error {
	after := n.view.Revision()
	if after == 0 {
		return n.listRegistry(ctx)
	}
	wait := time.Duration(0)
	if watches {
		wait = n.Settings.Watch()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+registryTimeout)
	defer cancel()
	requestedAt := n.Clock()
	n.stats.count("registry.changes")
	c, err := n.Registry.Changes(ctx, after, wait)
	if errors.Is(err, sr.ErrHistoryLost) {
		n.Log.State("registry-history-lost", srlog.Revision, after)
		return n.listRegistry(context.WithoutCancel(ctx))
	}
	if err != nil {
		return err
	}
	n.applyChanges(requestedAt, c, sourceRegistry)
	return nil
}

func (n *Instance) listRegistry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := n.Clock()
	n.stats.count("registry.list")
	c, err := n.Registry.List(ctx)
	if err != nil {
		return err
	}
	n.applyChanges(requestedAt, c, sourceRegistry)
	return nil
}

// applyChanges applies facts to the view and logs what they changed.
func (n *Instance) applyChanges(requestedAt time.Time, c sr.Changes, source string) {
	update := n.view.Apply(requestedAt, n.Clock(), c)
	if update.Regained > 0 {
		n.Log.State("view-regained", srlog.Source, source, srlog.After, update.Regained)
	}
	if len(update.Facts) > 0 {
		n.configure()
	}
	for _, f := range update.Facts {
		n.logFact(f, source)
	}
}

func (n *Instance) logFact(f sr.Fact, source string) {
	switch {
	case f.Invalid != "":
		n.stats.count("registry.invalid")
		n.Log.State("entry-unreadable", srlog.Endpoint, f.Name, srlog.Revision, f.Revision, srlog.Source, source, srlog.Error, f.Invalid)
	case f.Kind == sr.FactRouting && f.Routing != nil:
		n.Log.State("routing", srlog.Version, f.Routing.Version, srlog.Revision, f.Revision, srlog.Source, source, srlog.Count, len(f.Routing.Routes))
	case f.Kind == sr.FactEvacuation:
		n.Log.State("evacuation", srlog.Domain, f.Name, srlog.State, choose(f.Gone, "over", "ordered"), srlog.Revision, f.Revision, srlog.Source, source)
	case f.Kind == sr.FactEndpoint:
		state := choose(f.Gone, "gone", choose(f.Endpoint.State == sr.EndpointLeaving, "leaving", "ready"))
		n.Log.State("endpoint", srlog.Endpoint, f.Name, srlog.State, state, srlog.Service, f.Endpoint.Service, srlog.Domain, f.Endpoint.Domain, srlog.Slots, f.Endpoint.Slots, srlog.Revision, f.Revision, srlog.Source, source)
	}
}

func choose(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// configure passes the usable endpoints to the queues and the allowances to the
// limits.
func (n *Instance) configure() {
	now := time.Now()
	bootNow := n.Clock()
	st := n.view.State()
	if st.Routing == nil {
		return
	}
	others := n.members.endpointSharers(now)
	for workspace, limit := range n.limits.configure(now, st.Routing) {
		n.Log.State("allowance", srlog.Workspace, workspace, srlog.Rate, limit.Rate, srlog.Burst, limit.Burst, srlog.Version, st.Routing.Version)
	}
	usable := make(map[string][]srdispatch.Endpoint)
	for service, ids := range st.Services {
		cfg := st.Routing.Services[service]
		for _, id := range ids {
			if !st.Usable(id, bootNow) {
				continue
			}
			e := st.Endpoints[id]
			d := srdispatch.Endpoint{ID: id, Domain: e.Domain, Slots: e.Slots}
			if d.Slots == 0 {
				d.Slots = cfg.Slots
			}
			if bootNow.Before(e.ColdUntil) {
				d.Cold = cfg.ColdRate
			}
			usable[service] = append(usable[service], d)
		}
		srdispatch.Share(usable[service], n.Self.Address, others)
	}
	n.queues.configure(usable)
}

// sweep removes expired state periodically until ctx ends.
func (n *Instance) sweep(ctx context.Context) {
	for srtimer.Wait(ctx, sweepInterval) == nil {
		n.view.Sweep(n.Clock())
		n.members.sweep(time.Now())
		n.configure()
		n.pruneConnections()
	}
}
