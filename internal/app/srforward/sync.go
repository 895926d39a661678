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

// sourceRegistry names the registry in lines about where facts come from.
const sourceRegistry = "registry"

// sync keeps the view up to date until ctx ends. A few instances watch the
// registry; the others learn from them and ask it only when their proof ages.
func (n *Instance) sync(ctx context.Context) {
	lost := time.Time{}
	for ctx.Err() == nil {
		watches := n.members.reads(time.Now())
		if n.view.Revision() > 0 && !watches && n.view.Age(n.Clock()) < n.Settings.AskAfter() {
			_ = srtimer.Wait(ctx, syncPause)
			continue
		}
		err := n.ask(ctx, watches)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && !lost.IsZero():
			n.Log.State("registry-regained", srlog.After, time.Since(lost))
			lost = time.Time{}
		case err != nil:
			n.figures.count("registry.failed")
			if lost.IsZero() {
				lost = time.Now()
				n.Log.State("registry-lost", srlog.Error, err.Error(), srlog.Age, n.view.Age(n.Clock()))
			}
			_ = srtimer.Wait(ctx, failPause)
		}
	}
}

// ask asks the registry once: for everything when nothing is known, and
// otherwise for changes, waiting for some when this instance watches the registry.
func (n *Instance) ask(ctx context.Context, watches bool) error {
	after := n.view.Revision()
	if after == 0 {
		return n.list(ctx)
	}
	wait := time.Duration(0)
	if watches {
		wait = n.Settings.Watch()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	asked := n.Clock()
	n.figures.count("registry.changes")
	c, err := n.Registry.Changes(ctx, after, wait)
	if errors.Is(err, sr.ErrHistoryLost) {
		n.Log.State("registry-history-lost", srlog.Revision, after)
		return n.list(context.WithoutCancel(ctx))
	}
	if err != nil {
		return err
	}
	n.learn(asked, c, sourceRegistry)
	return nil
}

func (n *Instance) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	asked := n.Clock()
	n.figures.count("registry.list")
	c, err := n.Registry.List(ctx)
	if err != nil {
		return err
	}
	n.learn(asked, c, sourceRegistry)
	return nil
}

// learn applies facts and tells what they changed.
func (n *Instance) learn(asked time.Time, c sr.Changes, source string) {
	news := n.view.Apply(asked, n.Clock(), c)
	if news.Regained > 0 {
		n.Log.State("view-regained", srlog.Source, source, srlog.After, news.Regained)
	}
	if len(news.Facts) > 0 {
		n.configure()
	}
	for _, f := range news.Facts {
		n.logFact(f, source)
	}
}

func (n *Instance) logFact(f sr.Fact, source string) {
	switch {
	case f.Invalid != "":
		n.figures.count("registry.invalid")
		n.Log.State("entry-unreadable", srlog.Endpoint, f.Name, srlog.Revision, f.Revision, srlog.Source, source, srlog.Error, f.Invalid)
	case f.Kind == sr.FactRouting && f.Routing != nil:
		n.Log.State("routing", srlog.Version, f.Routing.Version, srlog.Revision, f.Revision, srlog.Source, source, srlog.Count, len(f.Routing.Routes))
	case f.Kind == sr.FactEvacuation:
		n.Log.State("evacuation", srlog.Domain, f.Name, srlog.State, stateOf(f.Gone, "over", "ordered"), srlog.Revision, f.Revision, srlog.Source, source)
	case f.Kind == sr.FactEndpoint:
		state := stateOf(f.Gone, "gone", stateOf(f.Endpoint.State == sr.EndpointLeaving, "leaving", "ready"))
		n.Log.State("endpoint", srlog.Endpoint, f.Name, srlog.State, state, srlog.Service, f.Endpoint.Service, srlog.Domain, f.Endpoint.Domain, srlog.Slots, f.Endpoint.Slots, srlog.Revision, f.Revision, srlog.Source, source)
	}
}

func stateOf(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}

// configure passes the usable endpoints and the limits on.
func (n *Instance) configure() {
	now := time.Now()
	boot := n.Clock()
	st := n.view.State()
	if st.Routing == nil {
		return
	}
	others := n.members.present(now)
	for workspace, limit := range n.limits.configure(now, st.Routing) {
		n.Log.State("allowance", srlog.Workspace, workspace, srlog.Rate, limit.Rate, srlog.Burst, limit.Burst, srlog.Version, st.Routing.Version)
	}
	usable := make(map[string][]srdispatch.Endpoint)
	for service, ids := range st.Services {
		cfg := st.Routing.Services[service]
		for _, id := range ids {
			if !st.Usable(id, boot) {
				continue
			}
			e := st.Endpoints[id]
			d := srdispatch.Endpoint{ID: id, Domain: e.Domain, Slots: e.Slots}
			if d.Slots == 0 {
				d.Slots = cfg.Slots
			}
			if boot.Before(e.ColdUntil) {
				d.Cold = cfg.ColdRate
			}
			usable[service] = append(usable[service], d)
		}
		srdispatch.Share(usable[service], n.Self.Address, others)
	}
	n.queues.configure(usable)
}

// sweep removes what has expired until ctx ends.
func (n *Instance) sweep(ctx context.Context) {
	for srtimer.Wait(ctx, sweepEvery) == nil {
		n.view.Sweep(n.Clock())
		n.members.sweep(time.Now())
		n.configure()
		n.keepConnections()
	}
}
