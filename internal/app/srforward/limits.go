package srforward

import (
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srbudget"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srshare"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
)

// limits holds the limits that all instances share.
type limits struct {
	retry srsite.RetryLimit
	// window is the time in which an allowance is counted, 0 when not stated.
	window time.Duration

	mu sync.Mutex
	// buckets are the allowances by workspace; a workspace without a limit has none.
	buckets map[string]*srshare.Bucket
	// budgets bound the retries by service.
	budgets map[string]*srbudget.Budget
	fleet   int
	// silence is the time without news after which an instance is silent.
	silence time.Duration
}

func newLimits(cfg srsite.Settings) *limits {
	return &limits{
		retry:   cfg.Retry,
		window:  cfg.Allowance,
		buckets: make(map[string]*srshare.Bucket),
		budgets: make(map[string]*srbudget.Budget),
		fleet:   1,
		silence: aliveFor,
	}
}

// configure applies the allowances of a configuration, and returns those that
// changed, by workspace.
func (l *limits) configure(now time.Time, c *sr.Routing) map[string]srshare.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[string]srshare.Limit)
	for name, w := range c.Workspaces {
		limit := l.limit(w.Allowance)
		b, ok := l.buckets[name]
		switch {
		case limit.Rate <= 0 && ok:
			delete(l.buckets, name)
		case limit.Rate <= 0 || ok && b.Limit() == limit:
			continue
		case ok:
			b.SetLimit(now, limit)
		default:
			l.buckets[name] = srshare.New(limit, l.fleet, l.silence, now)
		}
		changed[name] = limit
	}
	for name := range l.buckets {
		if _, ok := c.Workspaces[name]; !ok {
			delete(l.buckets, name)
			changed[name] = srshare.Limit{}
		}
	}
	return changed
}

// limit spreads the burst over the window in which an allowance is counted, so
// that a steady caller gets what the window allows.
func (l *limits) limit(a sr.Allowance) srshare.Limit {
	rate := a.Rate
	if rate > 0 && l.window > 0 {
		rate += a.Burst / l.window.Seconds()
	}
	return srshare.Limit{Rate: rate, Burst: a.Burst}
}

// setFleet says how many instances there are and after how long one is silent,
// and reports whether the number is another one.
func (l *limits) setFleet(now time.Time, fleet int, silence time.Duration) (resized bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fleet == l.fleet && silence == l.silence {
		return false
	}
	resized = fleet != l.fleet
	l.fleet, l.silence = fleet, silence
	for _, b := range l.buckets {
		b.SetFleet(now, fleet, silence)
	}
	return resized
}

// take takes cost from a workspace's allowance, which may be there after a wait
// within patience; level is what was left before.
func (l *limits) take(now time.Time, workspace string, cost float64, patience time.Duration) (ok bool, wait time.Duration, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, limited := l.buckets[workspace]
	if !limited {
		return true, 0, 0
	}
	level = b.Level(now)
	ok, wait = b.Take(now, cost, patience)
	return ok, wait, level
}

// refund gives back what a request took that did not run.
func (l *limits) refund(now time.Time, workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[workspace]; ok {
		b.Refund(now, cost)
	}
}

func (l *limits) spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		out[name] = b.Spent()
	}
	return out
}

func (l *limits) hear(now time.Time, g sr.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		b.Hear(now, g.From, g.Usage.Spent[name])
	}
}

func (l *limits) leave(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		b.Leave(now, address)
	}
}

// request counts the first arrival of a request at a service.
func (l *limits) request(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget(now, service).Request(now)
}

// again takes one retry at a service when the budget allows it.
func (l *limits) again(now time.Time, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget(now, service).Retry(now, l.fleet)
}

func (l *limits) budget(now time.Time, service string) *srbudget.Budget {
	b, ok := l.budgets[service]
	if !ok {
		b = srbudget.New(l.retry, now)
		l.budgets[service] = b
	}
	return b
}
