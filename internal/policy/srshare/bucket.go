// Package srshare divides a limit among the instances of a fleet without an
// owner. Each instance simulates the whole limit as a token bucket, takes what
// it spends itself at once, and what the others have spent as soon as they tell.
//
// # Usage
//
//	b := srshare.New(limit, fleet, silence, now)
//	b.Hear(now, peer, theirTotal)
//	if ok, after := b.Take(now, cost, patience); !ok {
//		refuse(after)
//	}
//	tell(b.Spent())
//
// Load pattern: callers of one workspace are spread unevenly over the instances
// and ask for several times what the limit allows. Fixed parts would refuse
// callers of a busy instance while others have room; here the whole limit is in
// one place, and news that is a fraction of a second old exceeds it only by what
// arrives in that time.
//
// Load pattern: a workspace asks for more than its limit, with a few expensive
// requests and many cheap ones. In order of arrival the expensive ones take the
// limit, and cheap ones that hardly change the sum are refused. Here cheap ones may
// take it a little before it is there.
//
// A bucket starts nearly empty, so a fleet that is killed and comes back stays within
// the limit together with what it spent before. An instance that falls silent is
// taken to spend its equal part until it is heard again, which keeps the sum
// within the limit on both sides of a cut.
package srshare

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Limit is a rate a second with a burst, both in units of cost.
type Limit struct {
	Rate  float64
	Burst float64
}

// startPart is the part of the burst that a new bucket holds. Instances that start
// together spend it before they hear of each other, which takes a fraction of a
// second; what exceeds the limit is taken back as soon as they do.
const startPart = 0.25

// Bucket is one limit as one instance sees it. It is used by one goroutine.
type Bucket struct {
	limit Limit
	level float64
	at    time.Time
	spent float64
	// mean is the mean cost of the requests.
	mean  float64
	peers map[string]*peer
	fleet int
	// silence is the time without news after which an instance is taken to spend
	// its part.
	silence time.Duration
}

// peer is what is known of another instance, by address.
type peer struct {
	incarnation uint64
	total       float64
	heard       time.Time
	// assumed is what it was taken to spend since it was heard.
	assumed float64
}

// New returns a nearly empty Bucket in a fleet of so many instances.
func New(l Limit, fleet int, silence time.Duration, now time.Time) *Bucket {
	return &Bucket{limit: l, level: l.Burst * startPart, at: now, peers: make(map[string]*peer), fleet: max(fleet, 1), silence: silence}
}

// Spent returns what this instance has taken since it started.
func (b *Bucket) Spent() float64 { return b.spent }

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Level returns what may be taken now.
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

// SetFleet says how many instances there are, this one included, and after how
// long without news one is taken to be silent.
func (b *Bucket) SetFleet(now time.Time, n int, silence time.Duration) {
	b.refill(now)
	b.fleet, b.silence = max(n, 1), silence
}

// Take takes cost when it is there within patience; the caller then waits for
// that time. Otherwise it returns after how long the cost may be there. Callers
// that wait are served in the order in which they came. A small cost is taken
// although it would be there a little later: those with more patience have
// taken what was there, and to refuse it would leave them next to nothing.
func (b *Bucket) Take(now time.Time, cost float64, patience time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	b.observe(cost)
	if b.level < cost && !b.full() {
		wait = b.until(now, cost)
	}
	if wait > patience {
		if cost > smallPart*b.mean || wait > smallWait {
			return false, wait
		}
		wait = patience
	}
	b.level -= cost
	b.spent += cost
	return true, wait
}

const (
	// smallPart is the part of the mean cost up to which a cost is small.
	smallPart = 0.25
	// smallWait is how long before it is there a small cost is taken at the most;
	// it is about as far as the most patient go.
	smallWait = 250 * time.Millisecond
	// meanPart is the weight of one request in the mean cost.
	meanPart = 1.0 / 64
)

// observe notes the cost of a request.
func (b *Bucket) observe(cost float64) {
	if b.mean == 0 {
		b.mean = cost
		return
	}
	b.mean += (cost - b.mean) * meanPart
}

// full reports whether the level cannot rise: a cost above the burst is taken
// from a full bucket.
func (b *Bucket) full() bool { return b.level > 0 && b.level >= b.limit.Burst }

// until returns after how long cost is there.
func (b *Bucket) until(now time.Time, cost float64) time.Duration {
	rate := b.rate(now)
	if rate <= 0 {
		return maxWait
	}
	missing := min(cost, b.limit.Burst) - b.level
	return min(time.Duration(missing/rate*float64(time.Second)), maxWait)
}

// maxWait bounds the time that a refused caller is told to wait.
const maxWait = 5 * time.Second

// Refund gives back what was taken for a request that did not run.
func (b *Bucket) Refund(now time.Time, cost float64) {
	b.refill(now)
	b.level = min(b.level+cost, b.limit.Burst)
	b.spent -= cost
}

// Hear takes another instance's total since its start.
func (b *Bucket) Hear(now time.Time, from sr.InstanceID, total float64) {
	b.refill(now)
	p, ok := b.peers[from.Address]
	switch {
	case !ok:
		b.peers[from.Address] = &peer{incarnation: from.Incarnation, total: total, heard: now}
		return
	case p.incarnation != from.Incarnation:
		p.incarnation, p.total = from.Incarnation, 0
	}
	if delta := total - p.total; delta > p.assumed {
		b.level -= delta - p.assumed
	}
	p.total, p.heard, p.assumed = total, now, 0
}

// Leave forgets an instance that has shut down.
func (b *Bucket) Leave(now time.Time, address string) {
	b.refill(now)
	delete(b.peers, address)
}

// refill adds what has become free since the last call, less what silent
// instances are taken to spend.
func (b *Bucket) refill(now time.Time) {
	past := now.Sub(b.at).Seconds()
	if past <= 0 {
		return
	}
	part := b.limit.Rate / float64(b.fleet) * past
	rate := b.rate(now)
	for _, p := range b.peers {
		if now.Sub(p.heard) > b.silence {
			p.assumed += part
		}
	}
	b.at = now
	b.level = min(b.level+rate*past, b.limit.Burst)
}

// rate returns what may be spent a second while silent instances spend theirs.
// An instance that has not been heard at all counts as silent.
func (b *Bucket) rate(now time.Time) float64 {
	heard := 1
	for _, p := range b.peers {
		if now.Sub(p.heard) <= b.silence {
			heard++
		}
	}
	return b.limit.Rate * min(float64(heard)/float64(b.fleet), 1)
}
