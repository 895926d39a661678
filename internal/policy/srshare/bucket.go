// Package srshare enforces a rate limit over all instances of a fleet without a
// coordinator. Each instance simulates the whole limit as a token bucket, deducts what it
// spends itself at once, and deducts what the other instances have spent when their
// totals arrive.
//
// # Usage
//
//	b := srshare.New(limit, fleetSize, silence, now)
//	b.ReceiveTotal(now, peer, theirTotal)
//	if ok, after := b.Spend(now, cost, maxWait); !ok {
//		refuse(after)
//	}
//	publish(b.Spent())
//
// Load pattern: callers of one workspace are spread unevenly over the instances and ask
// for several times what the limit allows. Fixed shares would refuse callers of a busy
// instance while others have tokens left. Here every instance can use the whole limit,
// and totals that are a fraction of a second old let the fleet exceed it only by what
// arrives in that time.
//
// Load pattern: a workspace asks for more than its limit, with a few expensive requests
// and many cheap ones. In order of arrival the expensive ones would use up the limit, and
// cheap ones that hardly change the sum would be refused. Here a cheap request may be
// admitted a little before its tokens are available.
//
// A bucket starts nearly empty, so a fleet that is killed and restarted stays within the
// limit together with what it spent before. An instance whose totals stop arriving is
// assumed to spend its equal share until they arrive again, which keeps the sum within
// the limit on both sides of a network partition.
package srshare

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Limit is a rate per second and a burst, both in units of cost.
type Limit struct {
	Rate  float64
	Burst float64
}

// initialFill is the fraction of the burst that a new bucket holds. Instances that start
// together can each spend it before they receive each other's totals, which takes a
// fraction of a second. The excess over the limit is deducted when the totals arrive.
const initialFill = 0.25

// Bucket is one instance's view of a limit. It is not safe for concurrent use.
type Bucket struct {
	limit Limit
	// level is the cost that may be spent, as of refilledAt. It can be negative: a request
	// that waits has spent its cost already, and the totals of other instances are
	// deducted when they arrive.
	level      float64
	refilledAt time.Time
	// spent is the total cost since the start of this instance.
	spent float64
	// meanCost is the moving average of the cost of the requests.
	meanCost float64
	// peers holds the other instances by address.
	peers map[string]*peer
	// fleetSize is the number of instances, including this one.
	fleetSize int
	// silence is the time without an update after which an instance is assumed to spend
	// its share.
	silence time.Duration
}

// peer is the state of another instance.
type peer struct {
	incarnation uint64
	total       float64
	receivedAt  time.Time
	// assumedSpent is what the instance is assumed to have spent since its last update.
	assumedSpent float64
}

// New returns a nearly empty Bucket for a fleet of that many instances, including this
// one. silence is the time without an update after which an instance counts as silent.
func New(l Limit, fleetSize int, silence time.Duration, now time.Time) *Bucket {
	return &Bucket{limit: l, level: l.Burst * initialFill, refilledAt: now, peers: make(map[string]*peer), fleetSize: max(fleetSize, 1), silence: silence}
}

// Spent returns the total cost that this instance has spent since it started.
func (b *Bucket) Spent() float64 { return b.spent }

// Limit returns the current limit.
func (b *Bucket) Limit() Limit { return b.limit }

// Level returns the cost that may be spent now without a wait.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// SetLimit changes the limit.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	b.refill(now)
	b.limit = l
	b.level = min(b.level, l.Burst)
}

// SetFleetSize sets the number of instances, including this one, and the time
// without an update after which an instance counts as silent.
func (b *Bucket) SetFleetSize(now time.Time, n int, silence time.Duration) {
	b.refill(now)
	b.fleetSize, b.silence = max(n, 1), silence
}

// Spend spends cost when it is available within maxWait; the caller then has to wait
// for the returned time. Otherwise it returns after how long the cost may be
// available. Callers that wait are served in order of arrival. A small cost is spent
// even when it will be available only a little after maxWait: requests that may wait
// longer have spent what was available, and refusing it would leave small costs next
// to nothing.
func (b *Bucket) Spend(now time.Time, cost float64, maxWait time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	b.observe(cost)
	if b.level < cost && !b.full() {
		wait = b.timeUntil(now, cost)
	}
	if wait > maxWait {
		if cost > smallCostFraction*b.meanCost || wait > smallCostWait {
			return false, wait
		}
		wait = maxWait
	}
	b.level -= cost
	b.spent += cost
	return true, wait
}

const (
	// smallCostFraction is the fraction of the mean cost up to which a cost is small.
	smallCostFraction = 0.25
	// smallCostWait is the longest time until its tokens are available for which a small
	// cost is still spent. It is about as long as the longest maxWait of the callers.
	smallCostWait = 250 * time.Millisecond
	// meanWeight is the weight of a request in the mean cost.
	meanWeight = 1.0 / 64
)

// observe adds the cost of a request to the mean.
func (b *Bucket) observe(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
		return
	}
	b.meanCost += (cost - b.meanCost) * meanWeight
}

// full reports whether the level cannot rise. A cost above the burst is spent from a full
// bucket.
func (b *Bucket) full() bool { return b.level > 0 && b.level >= b.limit.Burst }

// timeUntil returns after how long cost is available.
func (b *Bucket) timeUntil(now time.Time, cost float64) time.Duration {
	rate := b.rate(now)
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := min(cost, b.limit.Burst) - b.level
	return min(time.Duration(missing/rate*float64(time.Second)), maxRetryAfter)
}

// maxRetryAfter bounds the waits that Spend returns.
const maxRetryAfter = 5 * time.Second

// Refund returns the cost of a request that did not run.
func (b *Bucket) Refund(now time.Time, cost float64) {
	b.refill(now)
	b.level = min(b.level+cost, b.limit.Burst)
	b.spent -= cost
}

// ReceiveTotal receives the total that another instance has spent since its start. A
// restart, seen by the incarnation, begins a new total.
func (b *Bucket) ReceiveTotal(now time.Time, from sr.InstanceID, total float64) {
	b.refill(now)
	p, ok := b.peers[from.Address]
	switch {
	case !ok:
		b.peers[from.Address] = &peer{incarnation: from.Incarnation, total: total, receivedAt: now}
		return
	case p.incarnation != from.Incarnation:
		p.incarnation, p.total = from.Incarnation, 0
	}
	if delta := total - p.total; delta > p.assumedSpent {
		b.level -= delta - p.assumedSpent
	}
	p.total, p.receivedAt, p.assumedSpent = total, now, 0
}

// RemovePeer removes an instance that has shut down.
func (b *Bucket) RemovePeer(now time.Time, address string) {
	b.refill(now)
	delete(b.peers, address)
}

// refill adds the tokens of the time since the last call, less the assumed spending of
// silent instances.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	share := b.limit.Rate / float64(b.fleetSize) * elapsed
	rate := b.rate(now)
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) > b.silence {
			p.assumedSpent += share
		}
	}
	b.refilledAt = now
	b.level = min(b.level+rate*elapsed, b.limit.Burst)
}

// rate returns the rate per second that is left when silent instances spend their shares.
// An instance from which nothing was received yet counts as silent.
func (b *Bucket) rate(now time.Time) float64 {
	reporting := 1
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= b.silence {
			reporting++
		}
	}
	return b.limit.Rate * min(float64(reporting)/float64(b.fleetSize), 1)
}
