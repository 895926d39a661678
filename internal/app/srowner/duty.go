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
	// maxEvents is the size of a duty's channel.
	maxEvents = 1024
	// acquireWait is how long an ask waits before its holder asks again.
	acquireWait = time.Second
	// minTick bounds how often the pool is ticked by its own timer.
	minTick = time.Millisecond
	// sendTimeout bounds a message to a holder.
	sendTimeout = time.Second
	// maxSends is the most messages to holders on their way at once.
	maxSends = 64
)

// event is one change of a pool's state, carried out by its duty.
type event func(now time.Time)

// duty owns the state of one pool.
type duty struct {
	id     sr.PoolID
	deps   Deps
	pool   sr.Pool
	events chan event
	done   chan struct{}
	once   sync.Once
	sends  chan struct{}

	// waiters is used by the duty's goroutine alone.
	waiters map[string]*waiter

	mu     sync.Mutex
	news   sr.PoolNews
	newsAt time.Time
	config sr.PoolConfig
}

// waiter is an Acquire call that waits for its answer.
type waiter struct {
	reply chan sr.Grant
}

func newDuty(id sr.PoolID, deps Deps) *duty {
	return &duty{
		id:      id,
		deps:    deps,
		pool:    deps.NewPool(id),
		events:  make(chan event, maxEvents),
		done:    make(chan struct{}),
		sends:   make(chan struct{}, maxSends),
		waiters: make(map[string]*waiter),
		news:    sr.PoolNews{Pool: id, Owner: deps.Self},
		newsAt:  time.Now(),
	}
}

// run carries out events and ticks until the duty is stopped.
func (d *duty) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-d.events:
			e(time.Now())
			d.drainEvents()
		case <-timer.C:
		case <-d.done:
			d.refuseAll()
			return
		}
		timer.Reset(d.tick())
	}
}

// post hands an event to the duty. It waits while the channel is full, and
// returns false when the duty has stopped.
func (d *duty) post(e event) bool {
	select {
	case d.events <- e:
		return true
	default:
		count(d.deps.Metrics, "pool.full", 1)
	}
	select {
	case d.events <- e:
		return true
	case <-d.done:
		return false
	}
}

func (d *duty) stop() { d.once.Do(func() { close(d.done) }) }

func (d *duty) configure(c sr.PoolConfig) {
	d.mu.Lock()
	d.config = c
	d.mu.Unlock()
	d.post(func(now time.Time) { d.pool.Configure(now, c) })
}

func (d *duty) acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	w := &waiter{reply: make(chan sr.Grant, 1)}
	if !d.post(func(now time.Time) { d.ask(now, a, w) }) {
		return sr.Grant{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", d.id)
	}
	timer := time.NewTimer(acquireWait)
	defer timer.Stop()
	select {
	case g := <-w.reply:
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-d.done:
		return sr.Grant{}, errors.Wrapf(sr.ErrNotOwner, "srowner: pool %s", d.id)
	}
	d.post(func(time.Time) { d.forget(a.ID, w) })
	return sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalWaiting}}, nil
}

func (d *duty) ask(now time.Time, a sr.Ask, w *waiter) {
	d.waiters[a.ID] = w
	d.pool.Ask(now, a)
}

func (d *duty) forget(ask string, w *waiter) {
	if d.waiters[ask] == w {
		delete(d.waiters, ask)
	}
}

func (d *duty) withdraw(now time.Time, ask string) {
	delete(d.waiters, ask)
	d.pool.Withdraw(now, ask)
}

// drainEvents carries out the events that are already waiting.
func (d *duty) drainEvents() {
	for range maxEvents {
		select {
		case e := <-d.events:
			e(time.Now())
		default:
			return
		}
	}
}

// tick carries out the pool's actions and returns the time until the next tick.
func (d *duty) tick() time.Duration {
	now := time.Now()
	d.pool.SetMode(now, d.deps.Mode(d.id))
	for _, a := range d.pool.Tick(now) {
		d.carryOut(now, a)
	}
	d.setNews(now)
	return max(d.pool.Next(now).Sub(now), minTick)
}

func (d *duty) carryOut(now time.Time, a sr.Action) {
	switch a.Kind {
	case sr.ActionGrant:
		count(d.deps.Metrics, "pool.grants", 1)
		d.answer(a)
	case sr.ActionRefuse:
		count(d.deps.Metrics, "pool.refusals."+a.Grant.Refusal.Name, 1)
		d.answer(a)
	case sr.ActionRevoke:
		count(d.deps.Metrics, "pool.revokes", 1)
		d.revoke(a)
	case sr.ActionFloor:
		count(d.deps.Metrics, "pool.floors", 1)
		d.deps.Announce(d.id.Target, a.Tier)
	}
}

// answer replies to the holder that waits; one that does not will ask again.
func (d *duty) answer(a sr.Action) {
	w, ok := d.waiters[a.Ask]
	if !ok {
		return
	}
	delete(d.waiters, a.Ask)
	w.reply <- a.Grant
}

// revoke tells a holder to cut a request; without an answer the pool's own
// rules repeat the message.
func (d *duty) revoke(a sr.Action) {
	select {
	case d.sends <- struct{}{}:
	default:
		count(d.deps.Metrics, "pool.sends.full", 1)
		return
	}
	go func() {
		defer func() { <-d.sends }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := d.deps.Peers.Peer(a.Holder.Address).Revoke(ctx, a.Revoke); err != nil {
			count(d.deps.Metrics, "pool.revokes.failed", 1)
		}
	}()
}

func (d *duty) refuseAll() {
	for _, w := range d.waiters {
		w.reply <- sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalNotOwner}}
	}
	clear(d.waiters)
}

func (d *duty) setNews(now time.Time) {
	news := d.pool.News(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.news = news
	d.newsAt = now
}

func (d *duty) lastNews() sr.PoolNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.news
	news.Age = time.Since(d.newsAt)
	return news
}

func (d *duty) endpoints() (sr.Kind, []sr.PoolEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Kind, d.config.Endpoints
}

func count(r metrics.Registry, name string, n int64) {
	metrics.GetOrRegisterCounter(name, r).Inc(n)
}
