// Package sradmit decides at arrival whether a workspace is within its own
// limits: its rate over the whole fleet, its queue at this instance, and its
// budget of retries.
//
// Each instance admits its part of a workspace's rate by a token bucket. The
// package is pure: time is passed in, and it does no input or output.
//
// # Usage
//
//	a := sradmit.New(sradmit.Options{})
//	a.SetLive(instances)
//	if r, ok := a.Admit(now, workspace); !ok { return r }
//	defer a.Leave(workspace.Name)        // once the request no longer waits
//	if r, ok := a.Retry(now, workspace); !ok { return r }
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
	// queueRetry is when a caller may come back whose workspace's queue is full.
	queueRetry = time.Second
	// maxRetry bounds the time that callers are sent away.
	maxRetry = time.Minute
	// evictTries is how many of the least recently used buckets are looked at
	// for one that can be forgotten.
	evictTries = 8
	// arrivalSpan is the time over which arrivals are averaged.
	arrivalSpan = 10 * time.Second
)

// Options sets the limits that are not the workspaces' own. Zero values take
// the defaults.
type Options struct {
	// Buckets is how many workspaces are known at once.
	Buckets int
	// RetryRatio is the most retries per first try, RetryBurst how many may
	// come at once above it.
	RetryRatio float64
	RetryBurst float64
	// Follow is the part of a workspace's rate, from 0 to 1, that goes to the
	// instances where its load arrives, once SetFleet tells how much arrives
	// anywhere. The rest is divided evenly.
	Follow float64
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
	o.Follow = min(max(o.Follow, 0), 1)
	return o
}

// Admission holds the buckets of the workspaces. It is used by one goroutine.
type Admission struct {
	opts    Options
	live    int
	buckets map[string]*list.Element
	// recent holds the buckets, the most recently used first.
	recent *list.List
}

// New returns an admission for a fleet of one instance.
func New(opts Options) *Admission {
	return &Admission{
		opts:    opts.withDefaults(),
		live:    1,
		buckets: make(map[string]*list.Element),
		recent:  list.New(),
	}
}

// SetLive sets the number of live instances that share the workspaces' rates.
func (a *Admission) SetLive(n int) { a.live = max(n, 1) }

// SetFleet sets how many requests of a workspace arrive at all instances
// together, a second. A workspace that is not known here is ignored.
func (a *Admission) SetFleet(name string, arrivals float64) {
	if e := a.buckets[name]; e != nil {
		e.Value.(*bucket).fleet = max(arrivals, 0)
	}
}

// Arrivals returns how many requests of a workspace arrive here, a second.
func (a *Admission) Arrivals(now time.Time, name string) float64 {
	e := a.buckets[name]
	if e == nil {
		return 0
	}
	b := e.Value.(*bucket)
	b.decay(now)
	return b.arrivals
}

// Admit takes a new request in, which waits until Leave is called, or returns
// why not.
func (a *Admission) Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	b, ok := a.bucket(now, w)
	if !ok {
		return a.crowded(now), false
	}
	b.arrive(now)
	if w.Queue > 0 && b.waiting >= w.Queue {
		return refusal(NameQueue, queueRetry, "workspace %s has %d requests waiting here, its limit", w.Name, b.waiting), false
	}
	if w.Rate > 0 {
		b.refill(now, a.rate(now, b, w), a.burst(w))
		if b.tokens < 1 {
			retry := b.promise(now, a.rate(now, b, w))
			return refusal(NameRate, retry, "workspace %s is over its %g requests a second", w.Name, w.Rate), false
		}
		b.tokens--
	}
	b.waiting++
	b.retries = min(b.retries+a.opts.RetryRatio, a.opts.RetryBurst)
	return sr.Refusal{}, true
}

// Leave says that an admitted request of a workspace no longer waits.
func (a *Admission) Leave(name string) {
	if e := a.buckets[name]; e != nil {
		b := e.Value.(*bucket)
		b.waiting = max(b.waiting-1, 0)
	}
}

// Retry takes one retry from a workspace's budget, or returns why not.
func (a *Admission) Retry(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	b, ok := a.bucket(now, w)
	if !ok {
		return a.crowded(now), false
	}
	if b.retries < 1 {
		return refusal(NameRetries, 0, "workspace %s has used up its retries, %g for each first try",
			w.Name, a.opts.RetryRatio), false
	}
	b.retries--
	return sr.Refusal{}, true
}

// Len returns the number of workspaces that are known.
func (a *Admission) Len() int { return len(a.buckets) }

// rate returns this instance's part of a workspace's rate.
func (a *Admission) rate(now time.Time, b *bucket, w sr.Workspace) float64 {
	even := w.Rate / float64(a.live)
	if b.fleet <= 0 || a.opts.Follow == 0 {
		return even
	}
	b.decay(now)
	arriving := w.Rate * min(b.arrivals/b.fleet, 1)
	return (1-a.opts.Follow)*even + a.opts.Follow*arriving
}

// burst returns this instance's part of a workspace's burst.
func (a *Admission) burst(w sr.Workspace) float64 {
	return max(float64(w.Burst)/float64(a.live), 1)
}

// bucket returns a workspace's bucket, a full one when it is new here. It
// returns false when too many others are in use.
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
	b := &bucket{limits: w, at: now, tokens: a.burst(w), retries: a.opts.RetryBurst}
	a.buckets[w.Name] = a.recent.PushFront(b)
	return b, true
}

// evict forgets a bucket that would be the same if it were new.
func (a *Admission) evict(now time.Time) bool {
	e := a.recent.Back()
	for i := 0; i < evictTries && e != nil; i++ {
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

// untilFull returns when a bucket has all its tokens again.
func (a *Admission) untilFull(now time.Time, b *bucket) time.Duration {
	if b.limits.Rate <= 0 {
		return 0
	}
	rate := a.rate(now, b, b.limits)
	b.refill(now, rate, a.burst(b.limits))
	return seconds((a.burst(b.limits) - b.tokens) / rate)
}

func (a *Admission) crowded(now time.Time) sr.Refusal {
	retry := queueRetry
	if e := a.recent.Back(); e != nil {
		retry = max(retry, a.untilFull(now, e.Value.(*bucket)))
	}
	return refusal(NameWorkspaces, retry, "%d other workspaces are in use at this instance, its limit", len(a.buckets))
}

func refusal(name string, retry time.Duration, format string, args ...any) sr.Refusal {
	return sr.Refusal{Name: name, Reason: fmt.Sprintf(format, args...), Retry: min(retry, maxRetry)}
}

// seconds returns a duration of at most maxRetry.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxRetry.Seconds() {
		return maxRetry
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}
