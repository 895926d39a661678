// Package sradmit decides at arrival whether a workspace is within its own limits: its
// rate over the whole fleet, its queue at this instance, and its retry budget.
//
// Each instance admits its share of a workspace's rate by a token bucket. The package
// does no input or output, and the time is an argument.
//
// # Usage
//
//	a := sradmit.New(sradmit.Options{})
//	a.SetInstances(instances)
//	if r, ok := a.Admit(now, workspace); !ok { return r }
//	defer a.Dequeue(workspace.Name)           // once the request no longer waits
//	if r, ok := a.AdmitRetry(now, workspace); !ok { return r }
package sradmit

import (
	"container/list"
	"fmt"
	"math"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Names of refusals.
const (
	NameRate       = "rate"
	NameQueue      = "queue"
	NameRetries    = "retries"
	NameWorkspaces = "workspaces"
)

// Defaults of Options, and bounds.
const (
	defaultBuckets    = 1 << 16
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
	// queueRetryAfter is when a caller may return after a refusal for a full queue.
	queueRetryAfter = time.Second
	// maxRetryAfter bounds the time after which a refused caller may return.
	maxRetryAfter = time.Minute
	// maxEvictScan is how many of the least recently used buckets are checked for one
	// that can be evicted.
	maxEvictScan = 8
	// arrivalTimeConstant is the time constant of the average arrival rate.
	arrivalTimeConstant = 10 * time.Second
)

// Options sets the limits that workspaces do not set themselves. Zero values take the
// defaults.
type Options struct {
	// Buckets is the number of workspaces that are tracked at once.
	Buckets int
	// RetryRatio is the number of retries that each admitted request adds to the retry
	// budget, RetryBurst the size of that budget, which starts full.
	RetryRatio float64
	RetryBurst float64
	// FollowArrivals is the fraction, from 0 to 1, of a workspace's rate that is divided
	// in proportion to the arrivals at each instance, once SetFleetArrivals has set the
	// arrivals of the fleet. The rest is divided evenly.
	FollowArrivals float64
}

func (o Options) withDefaults() Options {
	if o.Buckets <= 0 {
		o.Buckets = defaultBuckets
	}
	if o.RetryRatio <= 0 {
		o.RetryRatio = defaultRetryRatio
	}
	if o.RetryBurst <= 0 {
		o.RetryBurst = defaultRetryBurst
	}
	o.FollowArrivals = min(max(o.FollowArrivals, 0), 1)
	return o
}

// Admission holds the token buckets of the workspaces. It is not safe for concurrent use.
type Admission struct {
	opts Options
	// live is the number of live instances.
	live    int
	buckets map[string]*list.Element
	// recent holds the buckets, the most recently used first.
	recent *list.List
}

// New returns an Admission for a fleet of one instance.
func New(opts Options) *Admission {
	return &Admission{
		opts:    opts.withDefaults(),
		live:    1,
		buckets: make(map[string]*list.Element),
		recent:  list.New(),
	}
}

// SetInstances sets the number of live instances that share the workspaces' rates.
func (a *Admission) SetInstances(n int) { a.live = max(n, 1) }

// SetFleetArrivals sets how many requests of a workspace arrive per second at all
// instances together. It ignores workspaces that are not tracked here.
func (a *Admission) SetFleetArrivals(name string, arrivals float64) {
	if e := a.buckets[name]; e != nil {
		e.Value.(*bucket).fleetArrivals = max(arrivals, 0)
	}
}

// Arrivals returns how many requests of a workspace arrive at this instance per second.
func (a *Admission) Arrivals(now time.Time, name string) float64 {
	e := a.buckets[name]
	if e == nil {
		return 0
	}
	b := e.Value.(*bucket)
	b.decay(now)
	return b.arrivals
}

// Admit admits a new request, which counts as waiting until Dequeue is called, or
// returns the reason for its refusal.
func (a *Admission) Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	b, ok := a.bucket(now, w)
	if !ok {
		return a.tooManyWorkspaces(now), false
	}
	b.addArrival(now)
	if w.Queue > 0 && b.waiting >= w.Queue {
		return refusal(NameQueue, queueRetryAfter, "workspace %s has %d requests waiting here, its limit", w.Name, b.waiting), false
	}
	if w.Rate > 0 {
		b.refill(now, a.rate(now, b, w), a.burst(w))
		if b.tokens < 1 {
			retry := b.reserveReturn(now, a.rate(now, b, w))
			return refusal(NameRate, retry, "workspace %s is over its %g requests a second", w.Name, w.Rate), false
		}
		b.tokens--
	}
	b.waiting++
	b.retries = min(b.retries+a.opts.RetryRatio, a.opts.RetryBurst)
	return sr.Refusal{}, true
}

// Dequeue records that an admitted request of a workspace no longer waits.
func (a *Admission) Dequeue(name string) {
	if e := a.buckets[name]; e != nil {
		b := e.Value.(*bucket)
		b.waiting = max(b.waiting-1, 0)
	}
}

// AdmitRetry spends one retry of a workspace's budget, or returns the reason for its
// refusal.
func (a *Admission) AdmitRetry(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	b, ok := a.bucket(now, w)
	if !ok {
		return a.tooManyWorkspaces(now), false
	}
	if b.retries < 1 {
		return refusal(NameRetries, 0, "workspace %s has used up its retries, %g for each first try",
			w.Name, a.opts.RetryRatio), false
	}
	b.retries--
	return sr.Refusal{}, true
}

// Len returns the number of tracked workspaces.
func (a *Admission) Len() int { return len(a.buckets) }

// rate returns this instance's share of a workspace's rate.
func (a *Admission) rate(now time.Time, b *bucket, w sr.Workspace) float64 {
	equalShare := w.Rate / float64(a.live)
	if b.fleetArrivals <= 0 || a.opts.FollowArrivals == 0 {
		return equalShare
	}
	b.decay(now)
	arrivalShare := w.Rate * min(b.arrivals/b.fleetArrivals, 1)
	return (1-a.opts.FollowArrivals)*equalShare + a.opts.FollowArrivals*arrivalShare
}

// burst returns this instance's share of a workspace's burst, at least 1 so that a
// request can be admitted at all.
func (a *Admission) burst(w sr.Workspace) float64 {
	return max(float64(w.Burst)/float64(a.live), 1)
}

// bucket returns a workspace's bucket and creates a full one when there is none. It
// returns false when there are too many others that are in use.
func (a *Admission) bucket(now time.Time, w sr.Workspace) (*bucket, bool) {
	if e := a.buckets[w.Name]; e != nil {
		a.recent.MoveToFront(e)
		b := e.Value.(*bucket)
		b.limits = w
		return b, true
	}
	if len(a.buckets) >= a.opts.Buckets && !a.evict(now) {
		return nil, false
	}
	b := &bucket{limits: w, refilledAt: now, tokens: a.burst(w), retries: a.opts.RetryBurst}
	a.buckets[w.Name] = a.recent.PushFront(b)
	return b, true
}

// evict drops a bucket that is full and whose workspace has no waiting request, so that a
// new bucket would hold the same tokens. It returns false when there is none among the
// buckets it checks.
func (a *Admission) evict(now time.Time) bool {
	e := a.recent.Back()
	for i := 0; i < maxEvictScan && e != nil; i++ {
		b := e.Value.(*bucket)
		if b.waiting == 0 && a.untilFull(now, b) == 0 {
			a.recent.Remove(e)
			delete(a.buckets, b.limits.Name)
			return true
		}
		e = e.Prev()
	}
	return false
}

// untilFull returns the time until a bucket is full.
func (a *Admission) untilFull(now time.Time, b *bucket) time.Duration {
	if b.limits.Rate <= 0 {
		return 0
	}
	rate := a.rate(now, b, b.limits)
	b.refill(now, rate, a.burst(b.limits))
	return seconds((a.burst(b.limits) - b.tokens) / rate)
}

// tooManyWorkspaces returns the refusal of a workspace for which there is no bucket. Its
// retry time is when the least recently used bucket is full.
func (a *Admission) tooManyWorkspaces(now time.Time) sr.Refusal {
	retry := queueRetryAfter
	if e := a.recent.Back(); e != nil {
		retry = max(retry, a.untilFull(now, e.Value.(*bucket)))
	}
	return refusal(NameWorkspaces, retry, "%d other workspaces are in use at this instance, its limit", len(a.buckets))
}

func refusal(name string, retry time.Duration, format string, args ...any) sr.Refusal {
	return sr.Refusal{Name: name, Reason: fmt.Sprintf(format, args...), Retry: min(retry, maxRetryAfter)}
}

// seconds converts seconds to a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}
