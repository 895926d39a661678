package srshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srshare"
)

const (
	instances = 7
	rate      = 1000.0
	burst     = 1000.0
	tick      = 10 * time.Millisecond
	silence   = time.Second
	window    = 8 * time.Second
	// tolerance is the allowed factor over a limit in a window.
	tolerance = 1.25
)

// fleet runs one bucket per instance.
type fleet struct {
	now     time.Time
	buckets []*srshare.Bucket
	ids     []sr.InstanceID
	granted []grant
	denied  float64
}

type grant struct {
	at   time.Time
	cost float64
}

func newFleet() *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for i := range instances {
		f.ids = append(f.ids, sr.InstanceID{Address: string(rune('a' + i)), Incarnation: 1})
		f.buckets = append(f.buckets, f.newBucket())
	}
	return f
}

func (f *fleet) newBucket() *srshare.Bucket {
	return srshare.New(srshare.Limit{Rate: rate, Burst: burst}, instances, silence, f.now)
}

// run lets instance i ask for demand[i] per second in requests of cost, and every 200 ms
// lets instance i receive the total of instance j if receives(i, j).
func (f *fleet) run(d time.Duration, demand []float64, cost float64, receives func(i, j int) bool) {
	pending := make([]float64, len(demand))
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, b := range f.buckets {
			pending[i] += demand[i] * tick.Seconds()
			for ; pending[i] >= cost; pending[i] -= cost {
				if ok, _ := b.Spend(f.now, cost, 0); ok {
					f.granted = append(f.granted, grant{f.now, cost})
				} else {
					f.denied += cost
				}
			}
		}
		if f.now.UnixMilli()%200 == 0 {
			f.exchange(receives)
		}
	}
}

func (f *fleet) exchange(receives func(i, j int) bool) {
	for i := range f.buckets {
		for j := range f.buckets {
			if i != j && receives(i, j) {
				f.buckets[i].ReceiveTotal(f.now, f.ids[j], f.buckets[j].Spent())
			}
		}
	}
}

// peak returns the highest cost that was granted in any window.
func (f *fleet) peak() float64 {
	var most, sum float64
	first := 0
	for _, g := range f.granted {
		sum += g.cost
		for g.at.Sub(f.granted[first].at) > window {
			sum -= f.granted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (f *fleet) total() float64 {
	var sum float64
	for _, g := range f.granted {
		sum += g.cost
	}
	return sum
}

func all(int, int) bool { return true }

// limit is the highest cost that may be granted in a window.
func limit() float64 { return (rate*window.Seconds() + burst) * tolerance }

// TestUnevenCallersGetTheWholeLimit: one instance has nearly all callers, who ask for
// three times the limit. Fixed shares would leave most of the limit unused.
func TestUnevenCallersGetTheWholeLimit(t *testing.T) {
	f := newFleet()
	f.run(20*time.Second, []float64{2800, 100, 100, 0, 0, 0, 0}, 10, all)
	assert.Assert(t, f.peak() <= limit(), "%v in a window", f.peak())
	// Equal shares would grant the busy instance a seventh of the limit.
	assert.Assert(t, f.total() >= 0.9*rate*20, "%v granted", f.total())
}

// TestPartitionedFleetStaysWithinTheLimit: two instances are cut off from the rest and
// from each other, and all instances are asked for more than the limit.
func TestPartitionedFleetStaysWithinTheLimit(t *testing.T) {
	f := newFleet()
	demand := []float64{1000, 1000, 1000, 1000, 1000, 1000, 1000}
	f.run(10*time.Second, demand, 10, all)
	partition := func(i, j int) bool { return i >= 2 && j >= 2 }
	f.run(10*time.Second, demand, 10, partition)
	f.run(10*time.Second, demand, 10, all)
	assert.Assert(t, f.peak() <= limit(), "%v in a window", f.peak())
	assert.Assert(t, f.total() >= 0.8*rate*30, "%v granted", f.total())
}

// TestKilledFleetStaysWithinTheLimit: all instances restart at once and lose their state.
func TestKilledFleetStaysWithinTheLimit(t *testing.T) {
	f := newFleet()
	demand := []float64{600, 600, 600, 600, 600, 600, 600}
	f.run(10*time.Second, demand, 10, all)
	for i := range f.buckets {
		f.ids[i].Incarnation++
		f.buckets[i] = f.newBucket()
	}
	f.run(10*time.Second, demand, 10, all)
	assert.Assert(t, f.peak() <= limit(), "%v in a window", f.peak())
}

// TestLoweredLimitAppliesAtOnce: callers go on asking for ten times the new limit.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	f := newFleet()
	demand := []float64{150, 150, 150, 150, 150, 150, 150}
	f.run(10*time.Second, demand, 10, all)
	for _, b := range f.buckets {
		b.SetLimit(f.now, srshare.Limit{Rate: 100, Burst: 100})
	}
	f.granted = nil
	f.run(10*time.Second, demand, 10, all)
	assert.Assert(t, f.peak() <= (100*window.Seconds()+100)*tolerance, "%v in a window", f.peak())
}

const (
	// large is the number of instances of a large fleet. Each receives the totals of each
	// other one every largeInterval.
	large         = 69
	largeInterval = 690 * time.Millisecond
	// largeSlack is 140,000 tokens for a limit of 636,000 tokens a second.
	largeSlack = 220.0
)

func newLargeFleet() *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for i := range large {
		f.ids = append(f.ids, sr.InstanceID{Address: fmt.Sprint(i), Incarnation: 1})
		f.buckets = append(f.buckets, f.newLargeBucket())
	}
	return f
}

// newLargeBucket returns the bucket of an instance of a large fleet. As in a forwarding
// instance, the burst is spread over the window.
func (f *fleet) newLargeBucket() *srshare.Bucket {
	return srshare.New(srshare.Limit{Rate: rate + burst/window.Seconds(), Burst: burst}, large, 3*largeInterval, f.now)
}

// runLarge offers perSecond in requests of a cost to a large fleet, evenly.
func (f *fleet) runLarge(d time.Duration, perSecond, cost float64) {
	pending := make([]float64, large)
	start := f.now
	for f.now.Before(start.Add(d)) {
		for i, b := range f.buckets {
			pending[i] += perSecond * tick.Seconds() / large
			for ; pending[i] >= cost; pending[i] -= cost {
				if ok, _ := b.Spend(f.now, cost, 0); ok {
					f.granted = append(f.granted, grant{f.now, cost})
				}
			}
		}
		f.exchangeLarge()
	}
}

// exchangeLarge passes on the totals that arrive in a tick, and advances the time.
func (f *fleet) exchangeLarge() {
	step := int(f.now.UnixMilli() / tick.Milliseconds())
	f.exchange(func(i, j int) bool { return (step+i+j)%int(largeInterval/tick) == 0 })
	f.now = f.now.Add(tick)
}

// TestLargeFleetStaysWithinTheLimit: callers ask 69 instances for 7.5 times the limit. Each
// instance receives the totals of each other one every 690 ms.
func TestLargeFleetStaysWithinTheLimit(t *testing.T) {
	f := newLargeFleet()
	f.runLarge(20*time.Second, 7.5*rate, 4)
	assert.Assert(t, f.peak() <= limit()+largeSlack, "%v in a window, allowed %v", f.peak(), limit()+largeSlack)
	assert.Assert(t, f.total() >= 0.95*rate*20, "%v granted", f.total())
}

// TestKilledLargeFleetStaysWithinTheLimit: all instances of a large fleet restart while callers
// ask for 7.5 times the limit, and again two seconds later.
func TestKilledLargeFleetStaysWithinTheLimit(t *testing.T) {
	f := newLargeFleet()
	for _, d := range []time.Duration{10 * time.Second, 2 * time.Second, 10 * time.Second} {
		for i := range f.buckets {
			f.ids[i].Incarnation++
			f.buckets[i] = f.newLargeBucket()
		}
		f.runLarge(d, 7.5*rate, 4)
	}
	assert.Assert(t, f.peak() <= limit()+largeSlack, "%v in a window, allowed %v", f.peak(), limit()+largeSlack)
}

// TestSurgeInALargeFleetStaysWithinTheLimit: a workspace that uses 0.9 of its limit asks for
// 7.5 times the limit at once.
func TestSurgeInALargeFleetStaysWithinTheLimit(t *testing.T) {
	f := newLargeFleet()
	f.runLarge(10*time.Second, 0.9*rate, 4)
	f.runLarge(10*time.Second, 7.5*rate, 4)
	assert.Assert(t, f.peak() <= limit()+largeSlack, "%v in a window, allowed %v", f.peak(), limit()+largeSlack)
}

// TestSurgeAfterIdleTimeStaysWithinTheLimit: callers of a workspace that has spent nothing ask all
// instances for 30 times the limit, and the totals arrive together. Each instance took itself for
// the only one that is asked.
func TestSurgeAfterIdleTimeStaysWithinTheLimit(t *testing.T) {
	f := newLargeFleet()
	const cost = 4.0
	calls := int(30 * rate * tick.Seconds() / large / cost)
	// Nobody asks for as many intervals as it takes to fill the buckets.
	const idle, busy = 10 * largeInterval / tick, 15 * largeInterval / tick
	for i := range idle + busy {
		f.now = f.now.Add(tick)
		for _, b := range f.buckets {
			b.Level(f.now)
			for range calls {
				if i < idle {
					break
				}
				if ok, _ := b.Spend(f.now, cost, 0); ok {
					f.granted = append(f.granted, grant{f.now, cost})
				}
			}
		}
		if (i+1)%(largeInterval/tick) == 0 {
			f.exchange(all)
		}
	}
	assert.Assert(t, f.peak() <= limit()+largeSlack, "%v in a window, allowed %v", f.peak(), limit()+largeSlack)
	assert.Assert(t, f.total() >= 0.95*rate*10, "%v granted", f.total())
}

// TestWorkspaceWithinItsLimitIsServedByALargeFleet: a workspace asks 69 instances for 0.75 of
// its limit in the mean, at random times and in costs of which the largest is a fifth of the
// burst. Clients keep their connections, so half of the requests reach a tenth of the instances.
func TestWorkspaceWithinItsLimitIsServedByALargeFleet(t *testing.T) {
	const meanCost = 20.0
	random := rand.New(rand.NewPCG(1, 2))
	f := newLargeFleet()
	asked := 0.0
	for f.now.Before(time.Unix(60, 0)) {
		for range 2 {
			if random.Float64() > 0.75*rate*tick.Seconds()/meanCost/2 {
				continue
			}
			i := random.IntN(large)
			if random.IntN(2) == 0 {
				i = random.IntN(large / 10)
			}
			cost := min(random.ExpFloat64()*meanCost, burst/5)
			asked += cost
			if ok, _ := f.buckets[i].Spend(f.now, cost, 100*time.Millisecond); ok {
				f.granted = append(f.granted, grant{f.now, cost})
			}
		}
		f.exchangeLarge()
	}
	assert.Assert(t, f.total() >= 0.98*asked, "%v of %v", f.total(), asked)
}

func TestRefundAndWait(t *testing.T) {
	now := time.Unix(0, 0)
	b := srshare.New(srshare.Limit{Rate: 100, Burst: 100}, 1, silence, now)
	// Half of the burst is there at the start.
	for range 2 {
		ok, _ := b.Spend(now, 25, 0)
		assert.Assert(t, ok)
	}
	ok, after := b.Spend(now, 10, 50*time.Millisecond)
	assert.Assert(t, !ok)
	assert.Equal(t, after, 100*time.Millisecond)
	b.Refund(now, 10)
	ok, _ = b.Spend(now, 10, 0)
	assert.Assert(t, ok)
	assert.Equal(t, b.Spent(), 50.0)
}

// TestShortWaitsKeepTheLimit: a caller asks for a little more than the limit in bursts. A
// request that is refused would return late, so short waits must serve at least as many
// requests as none, within the limit.
func TestShortWaitsKeepTheLimit(t *testing.T) {
	serve := func(maxWait time.Duration) (served int, most time.Duration) {
		now := time.Unix(0, 0)
		b := srshare.New(srshare.Limit{Rate: 100, Burst: 10}, 1, silence, now)
		for range 100 {
			for range 9 {
				if ok, wait := b.Spend(now, 1, maxWait); ok {
					served++
					most = max(most, wait)
				}
			}
			now = now.Add(80 * time.Millisecond)
		}
		return served, most
	}
	refused, _ := serve(0)
	waited, most := serve(100 * time.Millisecond)
	assert.Assert(t, waited >= refused)
	assert.Assert(t, most <= 100*time.Millisecond)
	// The limit for a hundred bursts, 80 ms apart, and the burst of the bucket.
	assert.Assert(t, waited <= 100*8+10+10, "%d", waited)
}

// requestKind is a kind of request of one workspace.
type requestKind struct {
	cost  float64
	every time.Duration
	// maxWait is how long a request of the kind may wait.
	maxWait time.Duration

	asked, served float64
}

// TestCheapRequestsAreNotStarved: a workspace asks for about 1.6 times its limit, nearly
// all of it for a few expensive requests that may wait longer. Cheap requests may wait
// only a little and hardly change the sum; they must be served all the same.
func TestCheapRequestsAreNotStarved(t *testing.T) {
	kinds := []*requestKind{
		{cost: 90, every: 100 * time.Millisecond, maxWait: 160 * time.Millisecond},
		{cost: 35, every: 80 * time.Millisecond, maxWait: 100 * time.Millisecond},
		{cost: 18, every: 70 * time.Millisecond, maxWait: 100 * time.Millisecond},
		{cost: 2, every: 60 * time.Millisecond, maxWait: 60 * time.Millisecond},
	}
	now := time.Unix(0, 0)
	b := srshare.New(srshare.Limit{Rate: rate, Burst: burst}, 1, silence, now)
	sum := 0.0
	start := now
	for ; now.Sub(start) < 30*time.Second; now = now.Add(tick) {
		for _, k := range kinds {
			if now.Sub(start)%k.every != 0 {
				continue
			}
			k.asked++
			if ok, wait := b.Spend(now, k.cost, k.maxWait); ok {
				assert.Assert(t, wait <= k.maxWait)
				k.served++
				sum += k.cost
			}
		}
	}
	servedShare := func(i int) float64 { return kinds[i].served / kinds[i].asked }
	t.Logf("served %.2f %.2f %.2f %.2f", servedShare(0), servedShare(1), servedShare(2), servedShare(3))
	// The whole limit is used, and no more.
	elapsed := now.Sub(start).Seconds()
	assert.Assert(t, sum > 0.97*rate*elapsed && sum < rate*elapsed+1.2*burst, "%v", sum)
	assert.Assert(t, servedShare(3) >= 0.95)
	// Requirement: no kind is served less than a quarter as often as all kinds.
	for i := range 3 {
		assert.Assert(t, servedShare(i) >= (servedShare(0)+servedShare(1)+servedShare(2)+servedShare(3))/16)
	}
}
