package srowner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// eventQueueSize is the capacity of a runner's event channel. It also bounds the
	// events that a runner executes between two ticks.
	eventQueueSize = 1024
	// acquireWait is how long one Acquire call waits for the answer. Its holder
	// then asks again.
	acquireWait = time.Second
	// minTickInterval is the shortest time to the next tick by the timer.
	minTickInterval = time.Millisecond
	// sendTimeout bounds a call to a holder.
	sendTimeout = time.Second
	// maxSendsInFlight is the maximum number of calls to holders in flight.
	maxSendsInFlight = 64
)

// event is one change of a pool's state. The pool's runner executes it.
type event func(now time.Time)

// poolRunner runs one pool. Its goroutine is the only one that uses the pool's state.
type poolRunner struct {
	id       sr.PoolID
	deps     Deps
	pool     sr.Pool
	events   chan event
	done     chan struct{}
	stopOnce sync.Once
	// sendSlots bounds the calls to holders in flight.
	sendSlots chan struct{}

	// waiters holds the waiting Acquire call of each ask. Only the runner's
	// goroutine uses it.
	waiters map[string]*waiter

	// mu guards the fields below, which other goroutines read.
	mu        sync.Mutex
	summary   sr.PoolSummary
	summaryAt time.Time
	config    sr.PoolConfig
}

// waiter is an Acquire call that waits for the answer to its ask.
type waiter struct {
	reply chan sr.Grant
}

func newPoolRunner(id sr.PoolID, deps Deps) *poolRunner {
	return &poolRunner{
		id:        id,
		deps:      deps,
		pool:      deps.NewPool(id),
		events:    make(chan event, eventQueueSize),
		done:      make(chan struct{}),
		sendSlots: make(chan struct{}, maxSendsInFlight),
		waiters:   make(map[string]*waiter),
		summary:   sr.PoolSummary{Pool: id, Owner: deps.Self},
		summaryAt: time.Now(),
	}
}

// run executes events and ticks the pool until the runner is stopped.
func (p *poolRunner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-p.events:
			e(time.Now())
			p.drainEvents()
		case <-timer.C:
		case <-p.done:
			p.refuseWaiters()
			return
		}
		timer.Reset(p.tick())
	}
}

// post queues an event for the runner. It blocks while the channel is full, and
// returns false if the runner has stopped.
func (p *poolRunner) post(e event) bool {
	select {
	case p.events <- e:
		return true
	default:
		count(p.deps.Metrics, "pool.full", 1)
	}
	select {
	case p.events <- e:
		return true
	case <-p.done:
		return false
	}
}

func (p *poolRunner) stop() { p.stopOnce.Do(func() { close(p.done) }) }

func (p *poolRunner) configure(c sr.PoolConfig) {
	p.mu.Lock()
	p.config = c
	p.mu.Unlock()
	p.post(func(now time.Time) { p.pool.Configure(now, c) })
}

func (p *poolRunner) acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	w := &waiter{reply: make(chan sr.Grant, 1)}
	if !p.post(func(now time.Time) { p.ask(now, a, w) }) {
		return sr.Grant{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", p.id)
	}
	timer := time.NewTimer(acquireWait)
	defer timer.Stop()
	select {
	case g := <-w.reply:
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-p.done:
		return sr.Grant{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", p.id)
	}
	p.post(func(time.Time) { p.removeWaiter(a.ID, w) })
	return sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalWaiting}}, nil
}

func (p *poolRunner) ask(now time.Time, a sr.Ask, w *waiter) {
	p.waiters[a.ID] = w
	p.pool.Ask(now, a)
}

func (p *poolRunner) removeWaiter(ask string, w *waiter) {
	if p.waiters[ask] == w {
		delete(p.waiters, ask)
	}
}

func (p *poolRunner) withdraw(now time.Time, ask string) {
	delete(p.waiters, ask)
	p.pool.Withdraw(now, ask)
}

// drainEvents executes the events that are already queued.
func (p *poolRunner) drainEvents() {
	for range eventQueueSize {
		select {
		case e := <-p.events:
			e(time.Now())
		default:
			return
		}
	}
}

// tick executes the pool's due actions and returns the time until the next tick.
func (p *poolRunner) tick() time.Duration {
	now := time.Now()
	p.pool.SetMode(now, p.deps.Mode(p.id))
	for _, a := range p.pool.Tick(now) {
		p.execute(now, a)
	}
	p.updateSummary(now)
	return max(p.pool.Next(now).Sub(now), minTickInterval)
}

func (p *poolRunner) execute(now time.Time, a sr.Action) {
	switch a.Kind {
	case sr.ActionGrant:
		count(p.deps.Metrics, "pool.grants", 1)
		p.replyTo(a)
	case sr.ActionRefuse:
		count(p.deps.Metrics, "pool.refusals."+a.Grant.Refusal.Name, 1)
		p.replyTo(a)
	case sr.ActionRevoke:
		count(p.deps.Metrics, "pool.revokes", 1)
		p.revoke(a)
	case sr.ActionFloor:
		count(p.deps.Metrics, "pool.floors", 1)
		p.deps.AnnounceFloor(p.id.Target, a.Tier)
	}
}

// replyTo replies to the Acquire call that waits for an ask. If none waits, the
// holder gets the answer when it asks again.
func (p *poolRunner) replyTo(a sr.Action) {
	w, ok := p.waiters[a.Ask]
	if !ok {
		return
	}
	delete(p.waiters, a.Ask)
	w.reply <- a.Grant
}

// revoke notifies a holder that it must cancel a request. A failed call is not retried
// here, since the pool repeats the revoke.
func (p *poolRunner) revoke(a sr.Action) {
	select {
	case p.sendSlots <- struct{}{}:
	default:
		count(p.deps.Metrics, "pool.sends.full", 1)
		return
	}
	go func() {
		defer func() { <-p.sendSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := p.deps.Peers.Peer(a.Holder.Address).Revoke(ctx, a.Revoke); err != nil {
			count(p.deps.Metrics, "pool.revokes.failed", 1)
		}
	}()
}

func (p *poolRunner) refuseWaiters() {
	for _, w := range p.waiters {
		w.reply <- sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalNotOwner}}
	}
	clear(p.waiters)
}

func (p *poolRunner) updateSummary(now time.Time) {
	summary := p.pool.Summary(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary = summary
	p.summaryAt = now
}

func (p *poolRunner) latestSummary() sr.PoolSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	summary := p.summary
	summary.Age = time.Since(p.summaryAt)
	return summary
}

func (p *poolRunner) endpoints() (sr.Kind, []sr.PoolEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.Kind, p.config.Endpoints
}

func count(r metrics.Registry, name string, n int64) {
	metrics.GetOrRegisterCounter(name, r).Inc(n)
}
