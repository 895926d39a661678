package srentry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// avoidedEndpointPause is the longest pause before endpoints that did not take a
// request are tried again because no other endpoint is left.
const avoidedEndpointPause = time.Second

// run processes an accepted request until it ends. A refusal with a name ends
// it immediately.
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
	e.runAttempts(ctx, r, w)
}

// admit checks the request against the limits of its workspace and counts it
// as waiting.
func (e *Entry) admit(r *srrequest.Request) (sr.Workspace, sr.Refusal, bool) {
	e.count("requests")
	e.recordStep(r.Ticket, "accept", "tier %d, workspace %s, target %s, budget %s", r.Request.Tier, r.Request.Workspace, r.Request.Target, r.Request.Budget)
	m, ok := e.deps.Manifest()
	if !ok {
		return sr.Workspace{}, sr.Refusal{Name: sr.RefusalEmpty, Reason: "no manifest was accepted yet"}, false
	}
	w := m.Workspaces[r.Request.Workspace]
	refusal, ok := e.deps.Admitter.Admit(time.Now(), w)
	return w, refusal, ok
}

// runAttempts makes attempts to run the request until an endpoint takes it or
// it is refused.
func (e *Entry) runAttempts(ctx context.Context, r *srrequest.Request, w sr.Workspace) {
	dequeue := sync.OnceFunc(func() { e.deps.Admitter.Dequeue(w.Name) })
	defer dequeue()
	var avoid []string
	for attempt := 1; ; attempt++ {
		g, refusal, ok := e.acquire(ctx, r, attempt, avoid)
		if !ok && refusal.Name == sr.RefusalEmpty && len(avoid) > 0 && sleep(ctx, jitter(avoidedEndpointPause)) == nil {
			avoid = nil
			continue
		}
		if !ok {
			e.refuse(r, refusal)
			return
		}
		dequeue()
		result := e.start(ctx, r, g)
		if result.ended {
			return
		}
		if result.unused {
			_ = sleep(ctx, jitter(poolRetryPause))
			continue
		}
		avoid = append(avoid, g.lease.Endpoint)
		if refusal, ok := e.deps.Admitter.AdmitRetry(time.Now(), w); !ok {
			e.refuse(r, refusal)
			return
		}
		e.count("retries")
	}
}

// attemptResult is the result of one attempt. Unless the request has ended, it is
// attempted again.
type attemptResult struct {
	// ended reports whether the request needs no further attempt.
	ended bool
	// unused reports whether the lease was returned without sending the request.
	unused bool
}

// start sends the request under a lease if the lease and the manifest still
// allow it.
func (e *Entry) start(ctx context.Context, r *srrequest.Request, g grantedLease) attemptResult {
	held := e.heldLeases.add(g.lease)
	defer e.heldLeases.remove(g.lease)
	if reason := e.reasonNotToStart(ctx, r, g); reason != "" {
		e.count("leases.unused")
		e.recordStep(r.Ticket, "drop", "lease at %s not used: %s", g.lease.Endpoint, reason)
		e.release(r, g, sr.Release{Result: sr.ReleaseUnused})
		return attemptResult{unused: true}
	}
	if r.Request.Kind == sr.KindCall {
		return e.startCall(r, g)
	}
	return e.startModel(ctx, r, g, held)
}

// reasonNotToStart returns why a request must not be sent, or "" if it may be.
func (e *Entry) reasonNotToStart(ctx context.Context, r *srrequest.Request, g grantedLease) string {
	if err := e.deps.Fleet.AwaitFreshView(ctx); err != nil {
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

// refuse ends a request for which no further attempt is made. It ends as cut short if an
// earlier attempt of a repeatable call broke and may have run, otherwise as not run.
func (e *Entry) refuse(r *srrequest.Request, refusal sr.Refusal) {
	if r.MayHaveRun() {
		e.recordOutcome(r, sr.Status{Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "an earlier try may have run; then " + refusal.Reason})
		return
	}
	e.count("refusals." + refusal.Name)
	e.recordStep(r.Ticket, "refuse", "%s: %s", refusal.Name, refusal.Reason)
	r.End(time.Now(), sr.Status{
		Outcome: sr.OutcomeNotRun,
		Name:    refusal.Name,
		Reason:  refusal.Reason,
		Retry:   refusal.Retry,
	})
}

// recordOutcome records the outcome of a request that was sent.
func (e *Entry) recordOutcome(r *srrequest.Request, s sr.Status) {
	if !r.End(time.Now(), s) {
		return
	}
	e.count("outcomes." + string(s.Outcome))
	detail := string(s.Outcome)
	if s.Reason != "" {
		detail += ": " + s.Reason
	}
	e.recordStep(r.Ticket, "end", "%s after %s", detail, time.Since(r.Arrived).Round(time.Millisecond))
}

// release returns a lease to the current owner of its pool. If the message is
// lost, the owner frees the lease when the next list of held leases lacks it.
func (e *Entry) release(r *srrequest.Request, g grantedLease, rel sr.Release) {
	rel = e.completeRelease(g, rel)
	e.notifyPicker(func(p sr.Picker) { p.Ended(time.Now(), rel.Pool, rel) })
	e.sendRelease(r, g, rel)
}

// completeRelease returns rel with the lease, its pool and its holder filled in.
func (e *Entry) completeRelease(g grantedLease, rel sr.Release) sr.Release {
	rel.Lease = g.lease.ID
	rel.Pool = g.lease.Pool
	rel.Holder = e.deps.Self
	return rel
}

// sendRelease sends a release to the current owner of its pool. If that instance
// answers that it does not own the pool, the instance that granted the lease gets
// the message.
func (e *Entry) sendRelease(r *srrequest.Request, g grantedLease, rel sr.Release) {
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
		e.recordStep(r.Ticket, "release", "owner %s did not answer", owner.Address)
	}
}
