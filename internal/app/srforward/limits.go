package srforward

import (
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srbudget"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srshare"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

// limits holds the quotas and retry budgets that all instances share.
type limits struct {
	retry srforwardsettings.RetryLimit
	// quotaWindow is the window in which a quota is counted, 0 when not configured.
	quotaWindow time.Duration

	mu sync.Mutex
	// buckets are the quotas by workspace; a workspace without a limit has none.
	buckets map[string]*srshare.Bucket
	// budgets limit the retries by service.
	budgets map[string]*srbudget.Budget
	// fleetSize is the number of instances, this one included.
	fleetSize int
	// silenceTimeout is the time without gossip after which an instance counts as
	// silent.
	silenceTimeout time.Duration
}

func newLimits(cfg srforwardsettings.Settings, fleetSize int) *limits {
	return &limits{
		retry:          cfg.Retry,
		quotaWindow:    cfg.QuotaWindow,
		buckets:        make(map[string]*srshare.Bucket),
		budgets:        make(map[string]*srbudget.Budget),
		fleetSize:      fleetSize,
		silenceTimeout: minSilenceTimeout,
	}
}

// configure applies the quotas of a configuration, and returns the changed ones
// by workspace. The zero limit stands for a removed workspace.
func (l *limits) configure(now time.Time, c *sr.Routing) map[string]srshare.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[string]srshare.Limit)
	for name, w := range c.Workspaces {
		limit := l.bucketLimit(w.Allowance)
		b, ok := l.buckets[name]
		switch {
		case limit.Rate <= 0 && ok:
			delete(l.buckets, name)
		case limit.Rate <= 0 || ok && b.Limit() == limit:
			continue
		case ok:
			b.SetLimit(now, limit)
		default:
			l.buckets[name] = srshare.New(limit, l.fleetSize, l.silenceTimeout, now)
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

// bucketLimit returns the limit of a workspace's bucket. It spreads the burst over
// the window in which a quota is counted, so that a caller with a steady rate
// gets everything that the window allows.
func (l *limits) bucketLimit(q sr.Quota) srshare.Limit {
	rate := q.Rate
	if rate > 0 && l.quotaWindow > 0 {
		rate += q.Burst / l.quotaWindow.Seconds()
	}
	return srshare.Limit{Rate: rate, Burst: q.Burst}
}

// setFleet sets the number of instances and the time after which one is considered
// silent. It reports whether the number has changed.
func (l *limits) setFleet(now time.Time, size int, silenceTimeout time.Duration) (resized bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if size == l.fleetSize && silenceTimeout == l.silenceTimeout {
		return false
	}
	resized = size != l.fleetSize
	l.fleetSize, l.silenceTimeout = size, silenceTimeout
	for _, b := range l.buckets {
		b.SetFleetSize(now, size, silenceTimeout)
	}
	return resized
}

// acquire takes cost from a workspace's quota if the cost is available within
// maxWait; the caller then has to wait for the returned time. If ok is false, wait is
// the time after which a retry may succeed. The level is what the bucket held before.
func (l *limits) acquire(now time.Time, workspace string, cost float64, maxWait time.Duration) (ok bool, wait time.Duration, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, limited := l.buckets[workspace]
	if !limited {
		return true, 0, 0
	}
	level = b.Level(now)
	ok, wait = b.Spend(now, cost, maxWait)
	return ok, wait, level
}

// peek returns what acquire would, without taking anything. limited is false for a workspace
// without a limit.
func (l *limits) peek(now time.Time, workspace string, cost float64, maxWait time.Duration) (ok bool, wait time.Duration, level float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, limited := l.buckets[workspace]
	if !limited {
		return true, 0, 0, false
	}
	b = b.Clone()
	level = b.Level(now)
	ok, wait = b.Spend(now, cost, maxWait)
	return ok, wait, level, true
}

// refund returns the cost of a request that did not run.
func (l *limits) refund(now time.Time, workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[workspace]; ok {
		b.Refund(now, cost)
	}
}

// spent returns the cost that this instance has spent, by workspace.
func (l *limits) spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		out[name] = b.Spent()
	}
	return out
}

// receive applies what another instance has spent of each workspace's quota. It spends no more if
// final is set.
func (l *limits) receive(now time.Time, from sr.InstanceID, final bool, spent func(workspace string) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		if final {
			b.ReceiveFinalTotal(now, from, spent(name))
			continue
		}
		b.ReceiveTotal(now, from, spent(name))
	}
}

// countRequest counts a new request for a service towards its retry budget.
func (l *limits) countRequest(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryBudget(now, service).AddRequest(now)
}

// allowRetry reports whether the retry budget of a service allows one more retry,
// and takes it.
func (l *limits) allowRetry(now time.Time, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryBudget(now, service).AllowRetry(now, l.fleetSize)
}

func (l *limits) retryBudget(now time.Time, service string) *srbudget.Budget {
	b, ok := l.budgets[service]
	if !ok {
		b = srbudget.New(l.retry, now)
		l.budgets[service] = b
	}
	return b
}
