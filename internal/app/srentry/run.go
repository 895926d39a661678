package srentry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// avoidPause is the pause before the endpoints that refused a request are
// tried again, when there are no others.
const avoidPause = time.Second

// run takes one request from its acceptance to its end. A refusal that is
// given ends it at once.
func (e *Entry) run(r *srrequest.Request, refusal sr.Refusal) {
	defer e.active.Done()
	if refusal.Name != "" {
		e.refuse(r, refusal)
		return
	}
	w, refusal, ok := e.admit(r)
	if !ok {
		e.refuse(r, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline())
	defer cancel()
	e.tryUntilEnded(ctx, r, w)
}

// admit checks the request against its workspace's limits and counts it as
// waiting.
func (e *Entry) admit(r *srrequest.Request) (sr.Workspace, sr.Refusal, bool) {
	e.count("requests")
	e.note(r.Ticket, "accept", "tier %d, workspace %s, target %s, budget %s", r.Request.Tier, r.Request.Workspace, r.Request.Target, r.Request.Budget)
	m, ok := e.deps.Manifest()
	if !ok {
		return sr.Workspace{}, sr.Refusal{Name: sr.RefusalEmpty, Reason: "no manifest was accepted yet"}, false
	}
	w := m.Workspaces[r.Request.Workspace]
	refusal, ok := e.deps.Admitter.Admit(time.Now(), w)
	return w, refusal, ok
}

// tryUntilEnded asks for leases and dispatches until an endpoint has taken
// the request or it is refused.
func (e *Entry) tryUntilEnded(ctx context.Context, r *srrequest.Request, w sr.Workspace) {
	leave := sync.OnceFunc(func() { e.deps.Admitter.Leave(w.Name) })
	defer leave()
	var avoid []string
	for try := 1; ; try++ {
		g, refusal, ok := e.acquire(ctx, r, try, avoid)
		if !ok && refusal.Name == sr.RefusalEmpty && len(avoid) > 0 && sleep(ctx, jitter(avoidPause)) == nil {
			avoid = nil
			continue
		}
		if !ok {
			e.refuse(r, refusal)
			return
		}
		leave()
		result := e.start(ctx, r, g)
		if result.ended {
			return
		}
		if result.unused {
			_ = sleep(ctx, jitter(poolPause))
			continue
		}
		avoid = append(avoid, g.lease.Endpoint)
		if refusal, ok := e.deps.Admitter.Retry(time.Now(), w); !ok {
			e.refuse(r, refusal)
			return
		}
		e.count("retries")
	}
}

// tryResult says what became of one try.
type tryResult struct {
	// ended is false when the request was certainly not taken.
	ended bool
	// unused is true when the lease did not allow a start.
	unused bool
}

// start sends the request under a lease, if the lease and the manifest still
// allow it.
func (e *Entry) start(ctx context.Context, r *srrequest.Request, g granted) tryResult {
	held := e.holdings.add(g.lease)
	defer e.holdings.remove(g.lease)
	if reason := e.mayStart(ctx, r, g); reason != "" {
		e.count("leases.unused")
		e.note(r.Ticket, "drop", "lease at %s not used: %s", g.lease.Endpoint, reason)
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return tryResult{unused: true}
	}
	if r.Request.Kind == sr.KindCall {
		return e.startCall(r, g)
	}
	return e.startModel(ctx, r, g, held)
}

// mayStart returns why a request must not be started, "" when it may.
func (e *Entry) mayStart(ctx context.Context, r *srrequest.Request, g granted) string {
	if err := e.deps.Fleet.Fresh(ctx); err != nil {
		return "the view of the fleet is old"
	}
	m, ok := e.deps.Manifest()
	if !ok {
		return "there is no manifest"
	}
	endpoint, ok := m.Endpoints[g.lease.Endpoint]
	if !ok || endpoint.Address != g.lease.Address {
		return "the endpoint is no longer in the manifest"
	}
	if !m.Usable(endpoint) {
		return "the endpoint or its failure domain was taken out"
	}
	now := time.Now()
	if !now.Before(r.Deadline()) {
		return "the budget of the request has ended"
	}
	if !now.Before(g.expires) {
		return "the lease has expired"
	}
	return ""
}

// refuse ends a request that no endpoint has taken. A repeatable call that
// broke before may have run.
func (e *Entry) refuse(r *srrequest.Request, refusal sr.Refusal) {
	if r.MayHaveRun() {
		e.end(r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "an earlier try may have run; then " + refusal.Reason})
		return
	}
	e.count("refusals." + refusal.Name)
	e.note(r.Ticket, "refuse", "%s: %s", refusal.Name, refusal.Reason)
	r.End(time.Now(), sr.Status{
		Outcome: sr.OutcomeNotRun,
		Name:    refusal.Name,
		Reason:  refusal.Reason,
		Retry:   refusal.Retry,
	})
}

// end records the outcome of a request that was sent.
func (e *Entry) end(r *srrequest.Request, s sr.Status) {
	if !r.End(time.Now(), s) {
		return
	}
	e.count("outcomes." + string(s.Outcome))
	detail := string(s.Outcome)
	if s.Reason != "" {
		detail += ": " + s.Reason
	}
	e.note(r.Ticket, "end", "%s after %s", detail, time.Since(r.Arrived).Round(time.Millisecond))
}

// release gives a lease back to the present owner of its pool. A release that
// does not arrive is made good by the next list of held leases.
func (e *Entry) release(r *srrequest.Request, g granted, rel sr.Release) {
	rel = e.named(g, rel)
	e.picked(func(p sr.Picker) { p.Ended(time.Now(), rel.Pool, rel) })
	e.send(r, g, rel)
}

// named returns a release with its lease and its holder.
func (e *Entry) named(g granted, rel sr.Release) sr.Release {
	rel.Lease = g.lease.ID
	rel.Pool = g.lease.Pool
	rel.Holder = e.deps.Self
	return rel
}

// send takes a release to the present owner of its pool.
func (e *Entry) send(r *srrequest.Request, g granted, rel sr.Release) {
	owner, ok := e.deps.Fleet.Owner(g.lease.Pool)
	if !ok {
		owner = g.lease.Owner
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.deps.Peers.Peer(owner.Address).Release(ctx, rel)
	if errors.Is(err, sr.ErrNotOwner) && owner != g.lease.Owner {
		err = e.deps.Peers.Peer(g.lease.Owner.Address).Release(ctx, rel)
	}
	if err != nil {
		e.count("releases.failed")
		e.note(r.Ticket, "release", "owner %s did not answer", owner.Address)
	}
}
