package srforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

// sourceRegistry is the name of the registry in log lines on the source of entries.
const sourceRegistry = "registry"

// sync keeps the view up to date until ctx ends. A few instances watch the
// registry. The others receive its entries from them, and query the registry
// themselves only when their view has not been confirmed for some time.
func (n *Instance) sync(ctx context.Context) {
	lostAt := time.Time{}
	for ctx.Err() == nil {
		watches := n.members.watchesRegistry(time.Now())
		if n.view.Position().Revision > 0 && !watches && n.view.Age(n.Clock()) < n.Settings.QueryAfter() {
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
			if errors.Is(err, sr.ErrMalformed) {
				n.stats.count("registry.malformed")
			}
			n.view.RecordFailure()
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
	after := n.view.Position()
	if after.Revision == 0 {
		return n.listRegistry(ctx)
	}
	wait := time.Duration(0)
	if watches {
		wait = n.Settings.WatchTimeout()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+maxRegistryAnswer)
	defer cancel()
	requestedAt := n.Clock()
	n.stats.count("registry.changes")
	c, err := n.Registry.Changes(ctx, after.Revision, wait)
	if errors.Is(err, sr.ErrHistoryLost) {
		n.Log.State("registry-history-lost", srlog.Era, after.Era, srlog.Revision, after.Revision)
		return n.listRegistry(context.WithoutCancel(ctx))
	}
	if err != nil {
		return err
	}
	if c.Era != after.Era {
		// The changes are those after a revision of another era.
		return n.listRegistry(context.WithoutCancel(ctx))
	}
	n.applyChanges(requestedAt, c, sourceRegistry)
	return nil
}

func (n *Instance) listRegistry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxRegistryAnswer)
	defer cancel()
	requestedAt := n.Clock()
	n.stats.count("registry.list")
	c, err := n.Registry.List(ctx)
	if err != nil {
		return err
	}
	position, age := n.view.AsOf(n.Clock())
	applied := n.applyChanges(requestedAt, c, sourceRegistry)
	n.Log.State("listing", srlog.NewestEra, c.Era, srlog.Newest, c.AsOf, srlog.Count, len(c.Facts), srlog.Era, position.Era, srlog.Revision, position.Revision,
		srlog.Age, age, srlog.Outcome, choose(applied, "applied", "ignored"))
	if !applied {
		// The listing is older than the view.
		_ = srtimer.Wait(ctx, registryRetryDelay)
	}
	return nil
}

// applyChanges applies entries to the view and logs what they changed. It returns false if
// the view ignored them.
func (n *Instance) applyChanges(requestedAt time.Time, c sr.Changes, source string) bool {
	update := n.view.Apply(requestedAt, n.Clock(), c)
	if update.Left.Revision > 0 {
		n.stats.count("registry.restored")
		n.Log.State("registry-restored", srlog.Era, update.Left.Era, srlog.Revision, update.Left.Revision, srlog.NewestEra, c.Era, srlog.Newest, c.AsOf,
			srlog.Carried, update.Carried, srlog.Source, source, srlog.Age, c.Age)
	}
	n.reportUpdate(update, source)
	return !update.Ignored
}

// reportUpdate logs a change of the view and passes it on to the queues and limits.
func (n *Instance) reportUpdate(update srview.Update, source string) {
	if update.Regained > 0 {
		n.Log.State("view-regained", srlog.Source, source, srlog.After, update.Regained)
	}
	if update.Dropped > 0 {
		n.stats.count("registry.full")
		n.Log.State("view-full", srlog.Source, source, srlog.Count, update.Dropped)
	}
	if len(update.Facts) > 0 {
		n.configure()
	}
	for _, e := range update.Facts {
		if e.Kind == sr.EntryRouting && e.Routing != nil {
			n.changes.record(time.Now())
		}
		n.logEntry(e, source)
	}
}

func (n *Instance) logEntry(e sr.RegistryEntry, source string) {
	switch {
	case e.Invalid != "":
		n.stats.count("registry.invalid")
		n.Log.State("entry-unreadable", srlog.Endpoint, e.Name, srlog.Revision, e.Revision, srlog.Source, source, srlog.Error, e.Invalid)
	case e.Kind == sr.EntryRouting && e.Routing != nil:
		n.Log.State("routing", srlog.Version, e.Routing.Version, srlog.Revision, e.Revision, srlog.Source, source, srlog.Count, len(e.Routing.Routes))
	case e.Kind == sr.EntryEvacuation:
		n.Log.State("evacuation", srlog.Domain, e.Name, srlog.State, choose(e.Gone, "over", "ordered"), srlog.Revision, e.Revision, srlog.Source, source)
	case e.Kind == sr.EntryEndpoint:
		state := choose(e.Gone, "gone", choose(e.Endpoint.State == sr.EndpointLeaving, "leaving", choose(e.UseIn > 0, "held", "ready")))
		n.Log.State("endpoint", srlog.Endpoint, e.Name, srlog.State, state, srlog.Service, e.Endpoint.Service, srlog.Domain, e.Endpoint.Domain, srlog.Slots, e.Endpoint.Slots,
			srlog.Born, e.Endpoint.Born, srlog.Sequence, e.Endpoint.Sequence, srlog.Revision, e.Revision, srlog.Source, source)
	}
}

func choose(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// configure passes the usable endpoints to the queues and the quotas to the
// limits.
func (n *Instance) configure() {
	n.configuring.Lock()
	defer n.configuring.Unlock()
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
			d := srdispatch.Endpoint{ID: id, Domain: e.Domain, Born: e.Born, Slots: e.Slots}
			if d.Slots == 0 {
				d.Slots = cfg.Slots
			}
			if bootNow.Before(e.ColdUntil) {
				d.ColdRate = cfg.ColdRate
			}
			usable[service] = append(usable[service], d)
		}
	}
	n.coordinate(now, usable)
	n.division.setShares(usable, others)
	n.queues.configure(usable)
}

// sweep removes expired state periodically until ctx ends.
func (n *Instance) sweep(ctx context.Context) {
	for srtimer.Wait(ctx, sweepInterval) == nil {
		n.view.Sweep(n.Clock())
		n.members.sweep(time.Now())
		n.relay.sweep(time.Now())
		n.crashes.sweep(time.Now())
		n.configure()
		n.logSuperseded()
		n.pruneConnections()
	}
}
