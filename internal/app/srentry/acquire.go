package srentry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

const (
	// acquireTimeout bounds one call to an owner, which answers an ask within a
	// second even if the ask still waits.
	acquireTimeout = 2 * time.Second
	// skipDuration is the longest time for which a pool is not asked again after
	// its owner was unreachable, gave up ownership or dropped the ask.
	skipDuration = 300 * time.Millisecond
	// poolRetryPause is the longest pause before the pools are tried again when none
	// can be asked now, or when a lease could not be used.
	poolRetryPause = 50 * time.Millisecond
	// retryAfter is the retry delay given to callers when no pool states one.
	retryAfter = 2 * time.Second
	// askIDBase is the numeral base of the incarnation and the number in an ask's ID.
	askIDBase = 36
)

// grantedLease is a lease with its expiry on this instance's clock.
type grantedLease struct {
	lease   sr.Lease
	expires time.Time
}

// leaseSearch is the state of the search for a lease during one attempt.
type leaseSearch struct {
	attempt int
	// asks is the number of asks made so far.
	asks int
	// work is the expected work of a model request, blocks the hash chain of the
	// prefix blocks of its prompt.
	work   sr.Work
	blocks []uint64
	// avoid lists the endpoints that did not take the request.
	avoid []string
	// refused holds the pools that refused for the rest of this search.
	refused map[sr.PoolID]sr.Refusal
	// skipped holds until when a pool is not asked again.
	skipped map[sr.PoolID]time.Time
	// lastRefusal holds the last refusal of each pool, so that a repeated refusal is
	// recorded only once.
	lastRefusal map[sr.PoolID]sr.Refusal
}

func newLeaseSearch(r *srrequest.Request, attempt int, avoid []string) *leaseSearch {
	s := &leaseSearch{
		attempt:     attempt,
		avoid:       avoid,
		refused:     make(map[sr.PoolID]sr.Refusal),
		skipped:     make(map[sr.PoolID]time.Time),
		lastRefusal: make(map[sr.PoolID]sr.Refusal),
	}
	if r.Request.Kind == sr.KindModel {
		s.work = sr.Work{Prefill: srprefix.Tokens(r.Request.Body), Decode: r.Request.Tokens}
		s.blocks = srprefix.Blocks(r.Request.Workspace, r.Request.Body)
	}
	return s
}

// acquire asks the owners of the target's pools, best pool first, until one
// grants a lease, all have refused or ctx ends.
func (e *Entry) acquire(ctx context.Context, r *srrequest.Request, attempt int, avoid []string) (grantedLease, sr.Refusal, bool) {
	s := newLeaseSearch(r, attempt, avoid)
	for ctx.Err() == nil {
		pool, ok := e.nextPool(r, s)
		if !ok {
			if refusal, final := e.finalRefusal(r, s); final {
				return grantedLease{}, refusal, false
			}
			_ = sleep(ctx, jitter(poolRetryPause))
			continue
		}
		g, refusal, ok := e.askPool(ctx, r, s, pool)
		if ok {
			return g, sr.Refusal{}, true
		}
		e.handleRefusal(r, s, pool, refusal)
	}
	return grantedLease{}, sr.Refusal{Name: sr.RefusalLate, Reason: "no endpoint was free within the budget", Retry: retryAfter}, false
}

// nextPool returns the best pool that has not refused and is not skipped now.
func (e *Entry) nextPool(r *srrequest.Request, s *leaseSearch) (sr.PoolID, bool) {
	now := time.Now()
	ask := e.newAsk(r, s, sr.PoolID{Target: r.Request.Target})
	for _, pool := range e.rankPools(now, ask) {
		if _, refused := s.refused[pool]; refused {
			continue
		}
		if now.Before(s.skipped[pool]) {
			continue
		}
		return pool, true
	}
	return sr.PoolID{}, false
}

// finalRefusal returns the refusal of the whole request, and false until every
// pool with usable endpoints has refused it.
func (e *Entry) finalRefusal(r *srrequest.Request, s *leaseSearch) (sr.Refusal, bool) {
	m, ok := e.deps.Manifest()
	if !ok {
		return sr.Refusal{}, false
	}
	final := sr.Refusal{Name: sr.RefusalEmpty, Reason: "no endpoint of the target is in service", Retry: retryAfter}
	for _, pool := range m.Pools() {
		if pool.Target != r.Request.Target || !hasUsableEndpoint(m, pool) {
			continue
		}
		refusal, refused := s.refused[pool]
		if !refused {
			return sr.Refusal{}, false
		}
		final = refusal
	}
	return final, true
}

// askPool asks one pool's owner until it grants or refuses, or until the ask
// should move to another pool.
func (e *Entry) askPool(ctx context.Context, r *srrequest.Request, s *leaseSearch, pool sr.PoolID) (grantedLease, sr.Refusal, bool) {
	owner, ok := e.deps.Fleet.Owner(pool)
	if !ok {
		return grantedLease{}, sr.Refusal{Name: sr.RefusalNotOwner, Reason: "the pool has no owner"}, false
	}
	s.asks++
	askedAt := time.Now()
	ask := e.newAsk(r, s, pool)
	e.notifyPicker(func(p sr.Picker) { p.Asked(time.Now(), ask, pool) })
	for {
		sent := time.Now()
		ask.Budget = r.Deadline().Sub(sent)
		grant, err := e.askOwner(ctx, owner, ask)
		if err != nil {
			return grantedLease{}, refusalFromError(err), false
		}
		if grant.Lease.ID != 0 && ctx.Err() == nil {
			e.recordStep(r.Ticket, "grant", "%s in %s by %s after %s: %s", grant.Lease.Endpoint, pool, owner.Address, time.Since(askedAt).Round(time.Millisecond), grant.Lease.Why)
			return grantedLease{lease: grant.Lease, expires: sent.Add(grant.Lease.Waited + grant.Lease.TTL)}, sr.Refusal{}, true
		}
		if grant.Refusal.Name != sr.RefusalWaiting || ctx.Err() != nil {
			return grantedLease{}, grant.Refusal, false
		}
		if reason := e.reasonToLeavePool(owner, ask); reason != "" {
			go e.withdraw(owner, ask)
			return grantedLease{}, sr.Refusal{Name: sr.RefusalNotOwner, Reason: reason}, false
		}
	}
}

// askOwner sends an ask once. If the answer is lost or comes too late, the ask
// is withdrawn, since the owner may have granted it.
func (e *Entry) askOwner(ctx context.Context, owner sr.InstanceID, ask sr.Ask) (sr.Grant, error) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	grant, err := e.deps.Peers.Peer(owner.Address).Acquire(callCtx, ask)
	if errors.Is(err, sr.ErrUnreachable) || ctx.Err() != nil {
		go e.withdraw(owner, ask)
	}
	return grant, err
}

// reasonToLeavePool returns why a waiting ask should be sent elsewhere, or "" if it
// should keep waiting.
func (e *Entry) reasonToLeavePool(owner sr.InstanceID, ask sr.Ask) string {
	if current, ok := e.deps.Fleet.Owner(ask.Pool); !ok || current != owner {
		return "the pool has another owner"
	}
	here, elsewhere := 0, 0
	for _, n := range e.deps.Fleet.PoolSummaries(ask.Pool.Target) {
		if n.Pool == ask.Pool {
			here = n.Slots
		} else {
			elsewhere += n.Slots
		}
	}
	if here == 0 && elsewhere > 0 {
		return "no endpoint of the pool answers"
	}
	return ""
}

// withdraw drops an ask, or the lease that it was granted.
func (e *Entry) withdraw(owner sr.InstanceID, ask sr.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := e.deps.Peers.Peer(owner.Address).Withdraw(ctx, ask.Pool, ask.ID); err != nil {
		e.count("withdrawals.failed")
	}
}

func (e *Entry) handleRefusal(r *srrequest.Request, s *leaseSearch, pool sr.PoolID, refusal sr.Refusal) {
	if refusal != s.lastRefusal[pool] {
		s.lastRefusal[pool] = refusal
		e.recordStep(r.Ticket, "ask", "%s answered %s: %s", pool, refusal.Name, refusal.Reason)
	}
	if refusal.Name == sr.RefusalNotOwner || refusal.Name == sr.RefusalWithdrawn {
		s.skipped[pool] = time.Now().Add(jitter(skipDuration))
		return
	}
	s.refused[pool] = refusal
	e.notifyPicker(func(p sr.Picker) { p.Refused(time.Now(), pool) })
}

// rankPools returns the target's pools for an ask, best first.
func (e *Entry) rankPools(now time.Time, ask sr.Ask) []sr.PoolID {
	summaries := e.deps.Fleet.PoolSummaries(ask.Pool.Target)
	e.pickerMu.Lock()
	defer e.pickerMu.Unlock()
	return e.deps.Picker.Pick(now, ask, summaries)
}

// notifyPicker calls notify with the picker while holding the picker's lock.
func (e *Entry) notifyPicker(notify func(sr.Picker)) {
	e.pickerMu.Lock()
	defer e.pickerMu.Unlock()
	notify(e.deps.Picker)
}

func (e *Entry) newAsk(r *srrequest.Request, s *leaseSearch, pool sr.PoolID) sr.Ask {
	now := time.Now()
	ask := sr.Ask{
		ID:          e.askID(r, s),
		Holder:      e.deps.Self,
		Pool:        pool,
		Tier:        r.Request.Tier,
		Workspace:   r.Request.Workspace,
		Cancellable: r.Request.Cancellable(),
		Budget:      r.Deadline().Sub(now),
		Avoid:       s.avoid,
		Work:        s.work,
		Blocks:      s.blocks,
	}
	if m, ok := e.deps.Manifest(); ok {
		ask.Share = m.Workspaces[r.Request.Workspace].Share
		ask.First = firstTokenBudget(m, r.Request.Tier) - now.Sub(r.Arrived)
	}
	return ask
}

// askID returns an ID that is unique among all instances. It is made of the
// incarnation, the request's number, the attempt and the number of its asks.
func (e *Entry) askID(r *srrequest.Request, s *leaseSearch) string {
	return strings.Join([]string{
		strconv.FormatUint(e.deps.Self.Incarnation, askIDBase),
		strconv.FormatUint(r.Number, askIDBase),
		strconv.Itoa(s.attempt),
		strconv.Itoa(s.asks),
	}, ".")
}

// firstTokenBudget returns how long after its arrival a request of a tier may wait for
// its first token, 0 if the manifest lacks the tier.
func firstTokenBudget(m sr.Manifest, t sr.Tier) time.Duration {
	for _, spec := range m.Tiers {
		if spec.Rank == t {
			return spec.First
		}
	}
	return 0
}

// hasUsableEndpoint reports whether a pool has an endpoint that is in service.
func hasUsableEndpoint(m sr.Manifest, pool sr.PoolID) bool {
	for _, endpoint := range m.PoolEndpoints(pool) {
		if m.Usable(endpoint) {
			return true
		}
	}
	return false
}

func refusalFromError(err error) sr.Refusal {
	if errors.Is(err, sr.ErrOverloaded) {
		return sr.Refusal{Name: sr.RefusalOverloaded, Reason: err.Error(), Retry: retryAfter}
	}
	return sr.Refusal{Name: sr.RefusalNotOwner, Reason: err.Error()}
}
