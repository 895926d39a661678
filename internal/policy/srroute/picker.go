package srroute

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// DefaultPrefill is the prefill rate, in prompt tokens per second, by which the
	// picker weighs a cached prefix against a wait.
	DefaultPrefill = 4000.0
	// DefaultService is the expected service time before the first observation.
	DefaultService = 4 * time.Second

	// maxPools bounds the number of tracked pools.
	maxPools = 1024
	// maxRecent bounds the asks and the ends recorded per pool.
	maxRecent = 128
	// serviceWeight is the weight of a new sample in the average service time.
	serviceWeight = 0.1
	// loadBound is the load, relative to the mean, up to which a pool gets no penalty for
	// its load, so that it can be chosen for its cache.
	loadBound = 1.0
	// concentrationBound is a workspace's asks to a full pool, relative to an even
	// division, up to which the pool gets no penalty. concentrationWeight is the weight
	// of the excess.
	concentrationBound  = 1.4
	concentrationWeight = 4.0
	// preferredCached is the fraction of the prompt that is assumed to be cached in the
	// pool with the highest rendezvous weight.
	preferredCached = 1.0
	// refusedWait, in seconds, is added to the wait of a pool that has refused an ask
	// since its last update.
	refusedWait = 0.5
	// pickTie is the difference in cost, in seconds, up to which pools are near ties.
	pickTie = 0.01
	// maxPrefixShare is the largest share of a workspace's asks for which those with a
	// common prefix are kept in one pool, as a multiple of a pool's even share.
	maxPrefixShare = 2.0
)

// PickerOptions configures a Picker. Zero values take the defaults.
type PickerOptions struct {
	// Seed seeds the random choice between near ties.
	Seed uint64
	// Blocks bounds the number of prefix blocks whose pools are tracked.
	Blocks int
	// Prefill is the prefill rate in prompt tokens per second.
	Prefill float64
	// NoAffinity ignores prefix caches.
	NoAffinity bool
}

// Picker orders the pools of a target for a request at an entry instance.
type Picker struct {
	opts     PickerOptions
	rng      *rand.Rand
	epoch    time.Time
	pools    map[sr.PoolID]*pool
	list     []*pool
	prefixes *prefixes
	traffic  traffic
	// service is the average service time in seconds.
	service float64
	ranks   []rankedPool
}

// pool is the local state of a pool, in addition to its owner's summaries.
type pool struct {
	id sr.PoolID
	// index is the pool's position in Picker.list.
	index int32
	hash  uint64
	asked recent
	ended recent
	// refused is the time of the last refusal, 0 for none.
	refused time.Duration
	// cached is the number of leading blocks of the current prompt that this instance
	// has sent to the pool before.
	cached int
}

// rankedPool is a pool with its cost in seconds. tie is a random number that decides
// between near ties.
type rankedPool struct {
	pool   sr.PoolID
	usable bool
	cost   float64
	tie    uint64
}

// NewPicker returns a Picker without tracked pools.
func NewPicker(o PickerOptions) *Picker {
	if o.Prefill <= 0 {
		o.Prefill = DefaultPrefill
	}
	if o.Blocks <= 0 {
		o.Blocks = DefaultBlocks / 4
	}
	k := &Picker{
		opts:    o,
		rng:     rand.New(rand.NewPCG(o.Seed, o.Seed^0xd1b54a32d192ed03)),
		pools:   make(map[sr.PoolID]*pool),
		service: DefaultService.Seconds(),
	}
	if !o.NoAffinity {
		k.prefixes = newPrefixes(o.Blocks)
	}
	return k
}

// Pick returns the pools of summaries in the order in which to ask them. Pools without
// usable slots come last.
func (k *Picker) Pick(now time.Time, a sr.Ask, summaries []sr.PoolSummary) []sr.PoolID {
	t := k.sinceEpoch(now)
	all := sumSlots(summaries)
	k.countCached(a, summaries)
	preferred := k.preferred(a, summaries)
	k.ranks = k.ranks[:0]
	for _, s := range summaries {
		cost := k.wait(t, a, s, all) + k.prefill(a, s.Pool, preferred)
		k.ranks = append(k.ranks, rankedPool{pool: s.Pool, usable: s.Slots > 0, cost: cost, tie: k.rng.Uint64()})
	}
	slices.SortStableFunc(k.ranks, rankedPool.compare)
	k.randomizeFirst()
	ids := make([]sr.PoolID, 0, len(k.ranks))
	for _, r := range k.ranks {
		ids = append(ids, r.pool)
	}
	return ids
}

// Asked records that an ask was sent to a pool.
func (k *Picker) Asked(now time.Time, a sr.Ask, id sr.PoolID) {
	p := k.poolState(id)
	p.asked.add(k.sinceEpoch(now))
	workspace := xxhash.Sum64String(a.Workspace)
	k.traffic.add(workspace, a.Blocks)
	k.traffic.increment(workspace ^ p.hash)
	if k.prefixes == nil {
		return
	}
	l := location{index: p.index}
	for i := lastRecorded(len(a.Blocks) - 1); i >= 0; i = lastRecorded(i - 1) {
		k.prefixes.getOrCreate(a.Blocks[i]).add(l)
	}
}

// Refused records that a pool refused an ask.
func (k *Picker) Refused(now time.Time, id sr.PoolID) {
	p := k.poolState(id)
	p.refused = max(1, k.sinceEpoch(now))
	p.ended.add(k.sinceEpoch(now))
}

// Ended records that a lease of a pool was released.
func (k *Picker) Ended(now time.Time, id sr.PoolID, r sr.Release) {
	k.poolState(id).ended.add(k.sinceEpoch(now))
	if r.Result == sr.ReleaseDone {
		k.service += serviceWeight * (r.Total.Seconds() - k.service)
	}
}

// sinceEpoch returns the time since the first call.
func (k *Picker) sinceEpoch(now time.Time) time.Duration {
	if k.epoch.IsZero() {
		k.epoch = now
	}
	return now.Sub(k.epoch)
}

// poolState returns the state of a pool and creates it when there is none.
func (k *Picker) poolState(id sr.PoolID) *pool {
	if p := k.pools[id]; p != nil {
		return p
	}
	if len(k.list) >= maxPools {
		k.reset()
	}
	p := &pool{id: id, index: int32(len(k.list)), hash: xxhash.Sum64String(id.String())}
	k.pools[id] = p
	k.list = append(k.list, p)
	return p
}

// reset drops all pools, and with them the record of which blocks they cache.
func (k *Picker) reset() {
	clear(k.pools)
	k.list = nil
	if k.prefixes != nil {
		k.prefixes = newPrefixes(k.opts.Blocks)
	}
}

// wait returns the expected wait in seconds, with penalties for a pool whose load is
// above the bound, a full pool that gets too many of the workspace's asks, and a pool
// that has refused an ask since its last update.
func (k *Picker) wait(t time.Duration, a sr.Ask, s sr.PoolSummary, all totals) float64 {
	if s.Slots <= 0 {
		return math.MaxFloat32
	}
	p := k.poolState(s.Pool)
	updated := t - s.Age
	slots := float64(s.Slots)
	free := float64(s.Free - p.asked.countAfter(updated) + p.ended.countAfter(updated))
	load := 1 - free/slots
	wait := k.service * max(0, load-loadBound*all.load()-1/slots)
	if free < 1 {
		wait += tierWait(s, a.Tier) + k.service*(1-free)/slots
		wait += concentrationWeight * k.service * k.concentration(a, p, slots/float64(all.slots))
	}
	if p.refused > 0 && p.refused >= updated {
		wait += refusedWait
	}
	return wait
}

// concentration returns by how much the workspace's asks to a full pool exceed the pool's
// share of the slots, relative to an even division. Fair sharing works within a single
// pool only, so asks concentrated in one pool wait longer than the workspace's share over
// all pools would require.
func (k *Picker) concentration(a sr.Ask, p *pool, slotShare float64) float64 {
	workspace := xxhash.Sum64String(a.Workspace)
	expected := slotShare * float64(k.traffic.count(workspace))
	if expected < minTrafficAsks {
		return 0
	}
	return max(0, float64(k.traffic.count(workspace^p.hash))/expected-concentrationBound)
}

// prefill returns the expected prefill time in seconds.
func (k *Picker) prefill(a sr.Ask, id, preferred sr.PoolID) float64 {
	if k.prefixes == nil || len(a.Blocks) == 0 {
		return 0
	}
	share := float64(k.poolState(id).cached) / float64(len(a.Blocks))
	if id == preferred {
		share = max(share, preferredCached)
	}
	return float64(a.Work.Prefill) * (1 - share) / k.opts.Prefill
}

// countCached sets, for each pool, how many leading blocks of the prompt this instance
// has sent there before.
func (k *Picker) countCached(a sr.Ask, summaries []sr.PoolSummary) {
	if k.prefixes == nil {
		return
	}
	for _, s := range summaries {
		k.poolState(s.Pool).cached = 0
	}
	for i := lastRecorded(len(a.Blocks) - 1); i >= 0; i = lastRecorded(i - 1) {
		entry := k.prefixes.find(a.Blocks[i])
		if entry == nil {
			continue
		}
		for _, l := range entry.locations {
			if l.index == noLocation {
				break
			}
			p := k.list[l.index]
			p.cached = max(p.cached, i+1)
		}
	}
}

// preferred returns the pool with the highest rendezvous weight for the prompt's prefix.
// The chance of a pool is proportional to its slots.
func (k *Picker) preferred(a sr.Ask, summaries []sr.PoolSummary) sr.PoolID {
	if k.prefixes == nil || len(a.Blocks) == 0 {
		return sr.PoolID{}
	}
	key := k.traffic.firstUncommon(xxhash.Sum64String(a.Workspace), a.Blocks, maxPrefixShare/float64(max(1, len(summaries))))
	var best sr.PoolID
	least := math.Inf(1)
	for _, s := range summaries {
		if s.Slots <= 0 {
			continue
		}
		uniform := (float64(mix(key^k.poolState(s.Pool).hash)>>11) + 0.5) / (1 << 53)
		if weight := -math.Log(uniform) / float64(s.Slots); weight < least {
			best, least = s.Pool, weight
		}
	}
	return best
}

// randomizeFirst moves a random one of the near ties of the best pool to the front.
func (k *Picker) randomizeFirst() {
	chosen := 0
	for i, r := range k.ranks {
		if !r.usable || r.cost > k.ranks[0].cost+pickTie {
			break
		}
		if r.tie > k.ranks[chosen].tie {
			chosen = i
		}
	}
	r := k.ranks
	if chosen > 0 {
		first := r[chosen]
		copy(r[1:chosen+1], r[:chosen])
		r[0] = first
	}
}

func (r rankedPool) compare(other rankedPool) int {
	if r.usable != other.usable {
		if r.usable {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.cost, other.cost)
}

// totals holds the slot counts of all pools together.
type totals struct {
	free  int
	slots int
}

func sumSlots(summaries []sr.PoolSummary) totals {
	var all totals
	for _, s := range summaries {
		all.free += s.Free
		all.slots += s.Slots
	}
	return all
}

// load returns the fraction of slots in use.
func (all totals) load() float64 {
	if all.slots == 0 {
		return 0
	}
	return 1 - float64(all.free)/float64(all.slots)
}

func tierWait(s sr.PoolSummary, tier sr.Tier) float64 {
	if int(tier) >= len(s.Wait) {
		return 0
	}
	return s.Wait[tier].Seconds()
}

// recent is a ring of the latest times of an event; n counts all events.
type recent struct {
	times [maxRecent]time.Duration
	n     int
}

func (r *recent) add(t time.Duration) {
	r.times[r.n%maxRecent] = t
	r.n++
}

// countAfter counts the recorded events after t.
func (r *recent) countAfter(t time.Duration) int {
	count := 0
	for i := r.n - 1; i >= 0 && i >= r.n-maxRecent; i-- {
		if r.times[i%maxRecent] <= t {
			break
		}
		count++
	}
	return count
}
