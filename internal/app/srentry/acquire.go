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
	// acquireTimeout bounds one call to an owner, which answers within a second.
	acquireTimeout = 2 * time.Second
	// skipPool is how long a pool is left alone whose owner did not answer.
	skipPool = 300 * time.Millisecond
	// poolPause is the pause when no pool can be asked.
	poolPause = 50 * time.Millisecond
	// retryAfter is the advice to callers when no pool gave one.
	retryAfter = 2 * time.Second
	// idBase is the base of the numbers in an ask's ID.
	idBase = 36
)

// granted is a lease with its expiry on this instance's clock.
type granted struct {
	lease   sr.Lease
	expires time.Time
}

// search is the state of one search for a lease.
type search struct {
	try  int
	asks int
	// work and blocks are those of the request's prompt.
	work    sr.Work
	blocks  []uint64
	avoid   []string
	refused map[sr.PoolID]sr.Refusal
	skipped map[sr.PoolID]time.Time
	// noted holds each pool's last answer, so that a repeated one is recorded once.
	noted map[sr.PoolID]sr.Refusal
}

func newSearch(r *srrequest.Request, try int, avoid []string) *search {
	s := &search{
		try:     try,
		avoid:   avoid,
		refused: make(map[sr.PoolID]sr.Refusal),
		skipped: make(map[sr.PoolID]time.Time),
		noted:   make(map[sr.PoolID]sr.Refusal),
	}
	if r.Request.Kind == sr.KindModel {
		s.work = sr.Work{Prefill: srprefix.Tokens(r.Request.Body), Decode: r.Request.Tokens}
		s.blocks = srprefix.Blocks(r.Request.Workspace, r.Request.Body)
	}
	return s
}

// acquire asks the owners of the target's pools, best first, until one grants
// a lease or all have refused.
func (e *Entry) acquire(ctx context.Context, r *srrequest.Request, try int, avoid []string) (granted, sr.Refusal, bool) {
	s := newSearch(r, try, avoid)
	for ctx.Err() == nil {
		pool, ok := e.nextPool(r, s)
		if !ok {
			if refusal, final := e.finalRefusal(r, s); final {
				return granted{}, refusal, false
			}
			_ = sleep(ctx, jitter(poolPause))
			continue
		}
		g, refusal, ok := e.askPool(ctx, r, s, pool)
		if ok {
			return g, sr.Refusal{}, true
		}
		e.noteRefusal(r, s, pool, refusal)
	}
	return granted{}, sr.Refusal{Name: sr.RefusalLate, Reason: "no endpoint was free within the budget", Retry: retryAfter}, false
}

// nextPool returns the best pool that was not refused or skipped.
func (e *Entry) nextPool(r *srrequest.Request, s *search) (sr.PoolID, bool) {
	now := time.Now()
	ask := e.newAsk(r, s, sr.PoolID{Target: r.Request.Target})
	for _, pool := range e.pick(now, ask) {
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

// finalRefusal returns the refusal of the request once every pool that has
// usable endpoints has refused it.
func (e *Entry) finalRefusal(r *srrequest.Request, s *search) (sr.Refusal, bool) {
	m, ok := e.deps.Manifest()
	if !ok {
		return sr.Refusal{}, false
	}
	final := sr.Refusal{Name: sr.RefusalEmpty, Reason: "no endpoint of the target is in service", Retry: retryAfter}
	for _, pool := range m.Pools() {
		if pool.Target != r.Request.Target || !usable(m, pool) {
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

// askPool asks one pool's owner until it grants or refuses.
func (e *Entry) askPool(ctx context.Context, r *srrequest.Request, s *search, pool sr.PoolID) (granted, sr.Refusal, bool) {
	owner, ok := e.deps.Fleet.Owner(pool)
	if !ok {
		return granted{}, sr.Refusal{Name: sr.RefusalNotOwner, Reason: "the pool has no owner"}, false
	}
	s.asks++
	first := time.Now()
	ask := e.newAsk(r, s, pool)
	e.picked(func(p sr.Picker) { p.Asked(time.Now(), ask, pool) })
	for {
		sent := time.Now()
		ask.Budget = r.Deadline().Sub(sent)
		grant, err := e.askOwner(ctx, owner, ask)
		if err != nil {
			return granted{}, refusalOf(err), false
		}
		if grant.Lease.ID != 0 && ctx.Err() == nil {
			e.note(r.Ticket, "grant", "%s in %s by %s after %s: %s", grant.Lease.Endpoint, pool, owner.Address, time.Since(first).Round(time.Millisecond), grant.Lease.Why)
			return granted{lease: grant.Lease, expires: sent.Add(grant.Lease.Waited + grant.Lease.TTL)}, sr.Refusal{}, true
		}
		if grant.Refusal.Name != sr.RefusalWaiting || ctx.Err() != nil {
			return granted{}, grant.Refusal, false
		}
		if reason := e.leavePool(owner, ask); reason != "" {
			go e.withdraw(owner, ask)
			return granted{}, sr.Refusal{Name: sr.RefusalNotOwner, Reason: reason}, false
		}
	}
}

// askOwner sends an ask once. One whose answer was lost or comes too late is
// withdrawn.
func (e *Entry) askOwner(ctx context.Context, owner sr.InstanceID, ask sr.Ask) (sr.Grant, error) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	grant, err := e.deps.Peers.Peer(owner.Address).Acquire(callCtx, ask)
	if errors.Is(err, sr.ErrUnreachable) || ctx.Err() != nil {
		go e.withdraw(owner, ask)
	}
	return grant, err
}

// leavePool returns why an ask that waits should be sent elsewhere, "" when it
// should go on waiting.
func (e *Entry) leavePool(owner sr.InstanceID, ask sr.Ask) string {
	if current, ok := e.deps.Fleet.Owner(ask.Pool); !ok || current != owner {
		return "the pool has another owner"
	}
	here, elsewhere := 0, 0
	for _, n := range e.deps.Fleet.News(ask.Pool.Target) {
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

// withdraw drops an ask whose answer is of no more use.
func (e *Entry) withdraw(owner sr.InstanceID, ask sr.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := e.deps.Peers.Peer(owner.Address).Withdraw(ctx, ask.Pool, ask.ID); err != nil {
		e.count("withdrawals.failed")
	}
}

func (e *Entry) noteRefusal(r *srrequest.Request, s *search, pool sr.PoolID, refusal sr.Refusal) {
	if refusal != s.noted[pool] {
		s.noted[pool] = refusal
		e.note(r.Ticket, "ask", "%s answered %s: %s", pool, refusal.Name, refusal.Reason)
	}
	if refusal.Name == sr.RefusalNotOwner || refusal.Name == sr.RefusalWithdrawn {
		s.skipped[pool] = time.Now().Add(jitter(skipPool))
		return
	}
	s.refused[pool] = refusal
	e.picked(func(p sr.Picker) { p.Refused(time.Now(), pool) })
}

// pick orders the target's pools for an ask.
func (e *Entry) pick(now time.Time, ask sr.Ask) []sr.PoolID {
	news := e.deps.Fleet.News(ask.Pool.Target)
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	return e.deps.Picker.Pick(now, ask, news)
}

// picked tells the picker what happened.
func (e *Entry) picked(tell func(sr.Picker)) {
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	tell(e.deps.Picker)
}

func (e *Entry) newAsk(r *srrequest.Request, s *search, pool sr.PoolID) sr.Ask {
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
		ask.First = firstBudget(m, r.Request.Tier) - now.Sub(r.Arrived)
	}
	return ask
}

// askID is unique among the instances: it holds the incarnation, the ticket's
// number and the count of this request's asks.
func (e *Entry) askID(r *srrequest.Request, s *search) string {
	return strings.Join([]string{
		strconv.FormatUint(e.deps.Self.Incarnation, idBase),
		strconv.FormatUint(r.Number, idBase),
		strconv.Itoa(s.try),
		strconv.Itoa(s.asks),
	}, ".")
}

func firstBudget(m sr.Manifest, t sr.Tier) time.Duration {
	for _, spec := range m.Tiers {
		if spec.Rank == t {
			return spec.First
		}
	}
	return 0
}

func usable(m sr.Manifest, pool sr.PoolID) bool {
	for _, endpoint := range m.PoolEndpoints(pool) {
		if m.Usable(endpoint) {
			return true
		}
	}
	return false
}

func refusalOf(err error) sr.Refusal {
	if errors.Is(err, sr.ErrOverloaded) {
		return sr.Refusal{Name: sr.RefusalOverloaded, Reason: err.Error(), Retry: retryAfter}
	}
	return sr.Refusal{Name: sr.RefusalNotOwner, Reason: err.Error()}
}
