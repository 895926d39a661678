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
// Load pattern: callers ask a large fleet for many times the limit. A total takes the longer
// to arrive the larger the fleet is, and until then each instance would spend the same
// tokens. Here an instance spends its share of what it sees for each interval in which totals
// arrive. Half of the share follows what it has spent lately of what all have, the other half
// is the same for all instances, so that one that had no callers has a share too.
//
// Load pattern: a workspace asks for more than its limit, with a few expensive requests
// and many cheap ones. In order of arrival the expensive ones would use up the limit, and
// cheap ones that hardly change the sum would be refused. Here a cheap request may be
// admitted a little before its tokens are available.
//
// A bucket starts half full, and each instance may spend an equal part of that, so a fleet
// that is killed and restarted stays within the limit together with what it spent before.
// An instance whose totals stop arriving is assumed to spend its equal share until they
// arrive again, which keeps the sum within the limit on both sides of a network partition.
package srshare

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdecay"
)

// Limit is a rate per second and a burst, both in units of cost.
type Limit struct {
	Rate  float64
	Burst float64
}

const (
	// initialFill is the fraction of the burst that a new bucket holds.
	initialFill = 0.5
	// recentTimeConstant is the time constant of the sums of what was spent lately. It is
	// long enough for several requests of a workspace at each instance.
	recentTimeConstant = 4 * time.Second
	// equalWeight is the weight of an equal share in the share of an instance. The rest
	// follows what it has spent lately.
	equalWeight = 0.5
	// maxSavedParts is the number of intervals for which an instance keeps what it has not
	// spent of its part. Requests come in clumps, and one may cost more than a part.
	maxSavedParts = 4
	// intervalsOfSilence is the number of intervals without a total after which an instance
	// counts as silent.
	intervalsOfSilence = 3
	// maxPeers is the maximum number of other instances, twice that of a large fleet.
	maxPeers = 2048
)

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
	// part is what this instance may spend before the totals of the others arrive. It can be
	// negative, since a request may cost more.
	part float64
	// ownRecent and fleetRecent are what this instance and all instances have spent lately.
	ownRecent, fleetRecent float64
	recentDecay            srdecay.Decay
	// meanCost is the moving average of the cost of the requests.
	meanCost float64
	// peers holds the other instances by address. counted is the number of those with
	// counted set.
	peers   map[string]*peer
	counted int
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
	// counted is set once an update has shown what the instance spends. The first one only
	// tells what it had spent before.
	counted bool
	// final is set once the instance has shut down. It spends no more.
	final bool
}

// New returns a half full Bucket for a fleet of that many instances, including this one.
// silence is the time without an update after which an instance counts as silent.
func New(l Limit, fleetSize int, silence time.Duration, now time.Time) *Bucket {
	b := &Bucket{limit: l, level: l.Burst * initialFill, refilledAt: now, peers: make(map[string]*peer), fleetSize: max(fleetSize, 1), silence: silence}
	b.part = b.level * b.share()
	return b
}

// Spent returns the total cost that this instance has spent since it started.
func (b *Bucket) Spent() float64 { return b.spent }

// Limit returns the current limit.
func (b *Bucket) Limit() Limit { return b.limit }

// Clone returns a copy that changes on its own.
func (b *Bucket) Clone() *Bucket {
	c := *b
	c.peers = make(map[string]*peer, len(b.peers))
	for address, p := range b.peers {
		copied := *p
		c.peers[address] = &copied
	}
	return &c
}

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
	wait = max(wait, b.timeUntilPart())
	if wait > maxWait {
		if cost > smallCostFraction*b.meanCost || wait > smallCostWait {
			return false, wait
		}
		wait = maxWait
	}
	b.level -= cost
	b.part -= cost
	b.spent += cost
	b.addRecent(now, cost)
	b.ownRecent += cost
	return true, wait
}

// addRecent adds to what all instances have spent lately.
func (b *Bucket) addRecent(now time.Time, cost float64) {
	factor := b.recentDecay.Factor(now, recentTimeConstant)
	b.ownRecent *= factor
	b.fleetRecent = b.fleetRecent*factor + cost
}

// share returns the fraction of the limit that this instance spends before the totals of the
// others arrive. The shares of a fleet whose instances agree sum up to 1. The fewer of the
// others it has heard, the less what it has spent lately tells of its share.
func (b *Bucket) share() float64 {
	equal := 1 / float64(b.fleetSize)
	if b.fleetRecent <= 0 || b.ownRecent < 0 {
		return equal
	}
	heard := min(float64(1+b.counted)/float64(b.fleetSize), 1)
	lately := min(b.ownRecent/b.fleetRecent, 1)
	return equal + (1-equalWeight)*heard*(lately-equal)
}

// interval returns the time in which the totals of the others arrive.
func (b *Bucket) interval() time.Duration { return b.silence / intervalsOfSilence }

// intervalPart returns what this instance may spend in one interval: its share of the level and
// of the overdraft.
func (b *Bucket) intervalPart() float64 {
	return b.share() * (max(b.level, 0) + b.overdraft())
}

// overdraft returns what all instances together may spend beyond the level in one interval.
// With it the parts of an interval are as much as the limit allows in it while the level is
// positive, and at most half of the burst.
func (b *Bucket) overdraft() float64 {
	allowed := b.limit.Rate * b.interval().Seconds()
	return max(allowed/2, allowed-b.limit.Burst/2)
}

// timeUntilPart returns after how long this instance has something left of its part.
func (b *Bucket) timeUntilPart() time.Duration {
	if b.part > 0 || b.fleetSize == 1 {
		return 0
	}
	part := b.intervalPart()
	if part <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(-b.part/part*float64(b.interval()))+time.Millisecond, maxRetryAfter)
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
	b.part = min(b.part+cost, maxSavedParts*b.intervalPart())
	b.spent -= cost
	b.addRecent(now, -cost)
	b.ownRecent -= cost
}

// ReceiveTotal receives the total that another instance has spent since its start. A
// restart, seen by the incarnation, begins a new total.
func (b *Bucket) ReceiveTotal(now time.Time, from sr.InstanceID, total float64) {
	b.refill(now)
	p, ok := b.peers[from.Address]
	switch {
	case !ok:
		b.makeRoom()
		p = &peer{incarnation: from.Incarnation, total: total, receivedAt: now}
		b.peers[from.Address] = p
		if total <= b.startingTotal() {
			b.level -= total
			b.addRecent(now, total)
			b.count(p)
		}
		return
	case p.incarnation != from.Incarnation:
		p.incarnation, p.total, p.final = from.Incarnation, 0, false
	case p.final:
		return
	}
	delta := total - p.total
	b.addRecent(now, delta)
	if delta > p.assumedSpent {
		b.level -= delta - p.assumedSpent
	}
	p.total, p.receivedAt, p.assumedSpent = total, now, 0
	b.count(p)
}

// ReceiveFinalTotal is ReceiveTotal for an instance that spends no more. Its share is the
// others' from then on, and messages of it that arrive later change nothing.
func (b *Bucket) ReceiveFinalTotal(now time.Time, from sr.InstanceID, total float64) {
	b.ReceiveTotal(now, from, total)
	p := b.peers[from.Address]
	b.uncount(p)
	p.final = true
}

// count records that what an instance spends is known.
func (b *Bucket) count(p *peer) {
	if !p.counted {
		p.counted = true
		b.counted++
	}
}

// uncount takes back count.
func (b *Bucket) uncount(p *peer) {
	if p.counted {
		p.counted = false
		b.counted--
	}
}

// startingTotal returns the most that an instance can have spent if it started with this
// one. When the first total of an instance is not above it, all of it was spent lately;
// otherwise the instance is older, and nothing tells what it has spent lately.
func (b *Bucket) startingTotal() float64 {
	return 2 * (b.limit.Burst*initialFill + b.overdraft()) / float64(b.fleetSize)
}

// makeRoom removes the instance whose last total is the oldest if there are maxPeers.
func (b *Bucket) makeRoom() {
	if len(b.peers) < maxPeers {
		return
	}
	oldest := ""
	for address, p := range b.peers {
		if oldest == "" || p.receivedAt.Before(b.peers[oldest].receivedAt) {
			oldest = address
		}
	}
	b.uncount(b.peers[oldest])
	delete(b.peers, oldest)
}

// refill adds the tokens of the time since the last call, less the assumed spending of
// silent instances.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	share := b.limit.Rate / float64(b.fleetSize) * elapsed
	reporting := 1
	for _, p := range b.peers {
		switch {
		case p.final:
		case now.Sub(p.receivedAt) > b.silence:
			p.assumedSpent += share
		default:
			reporting++
		}
	}
	b.refilledAt = now
	b.level = min(b.level+b.rateOf(reporting)*elapsed, b.limit.Burst)
	part := b.intervalPart()
	b.part = min(b.part+part*elapsed/b.interval().Seconds(), maxSavedParts*part)
}

// rate returns the rate per second that is left when silent instances spend their shares.
// An instance from which nothing was received yet counts as silent.
func (b *Bucket) rate(now time.Time) float64 {
	reporting := 1
	for _, p := range b.peers {
		if !p.final && now.Sub(p.receivedAt) <= b.silence {
			reporting++
		}
	}
	return b.rateOf(reporting)
}

// rateOf returns the rate that is left when that many instances report.
func (b *Bucket) rateOf(reporting int) float64 {
	return b.limit.Rate * min(float64(reporting)/float64(b.fleetSize), 1)
}
