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
	// DefaultPrefill is the prompt tokens a second by which the picker weighs
	// a cached prefix against a wait.
	DefaultPrefill = 4000.0
	// DefaultService is the expected service time until one was observed.
	DefaultService = 4 * time.Second

	// maxPools bounds the pools whose asks are remembered.
	maxPools = 1024
	// maxRecent bounds the asks and ends remembered per pool.
	maxRecent = 128
	// serviceStep is the weight of a new service time.
	serviceStep = 0.1
	// loadBound is the load, relative to the mean, up to which a pool is
	// chosen for its cache without a penalty.
	loadBound = 1.0
	// crowdBound is the part of a workspace's asks, relative to an even division,
	// up to which a full pool is chosen without a penalty, and crowdWeight the
	// weight of what exceeds it.
	crowdBound  = 1.4
	crowdWeight = 4.0
	// guess is the share of the prompt taken as cached in the pool that the
	// rendezvous hash prefers.
	guess = 1.0
	// refusedWait is added to the wait of a pool that refused since its news.
	refusedWait = 0.5
	// pickTie is the difference in seconds up to which pools are near ties.
	pickTie = 0.01
	// keyShare is the part of a pool's even share of the asks that a prefix
	// may have to be kept in one pool.
	keyShare = 2.0
)

// PickerOptions configures a Picker. Zero values take the defaults.
type PickerOptions struct {
	// Seed seeds the random choice among near ties.
	Seed uint64
	// Blocks bounds the number of prefix blocks whose pools are known.
	Blocks int
	// Prefill is in prompt tokens a second.
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
	service  float64
	ranks    []rank
}

// pool is what an entry knows of a pool beside its owner's news.
type pool struct {
	id      sr.PoolID
	index   int32
	hash    uint64
	asked   recent
	ended   recent
	refused time.Duration
	cached  int
}

// rank is a pool with its cost in seconds.
type rank struct {
	pool   sr.PoolID
	usable bool
	cost   float64
	tie    uint64
}

// NewPicker returns a picker that knows no pools yet.
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

// Pick returns the pools of news in the order in which they should be asked.
// Pools without usable slots come last.
func (k *Picker) Pick(now time.Time, a sr.Ask, news []sr.PoolNews) []sr.PoolID {
	t := k.since(now)
	load := loadOf(news)
	k.findPools(a, news)
	preferred := k.preferred(a, news)
	k.ranks = k.ranks[:0]
	for _, n := range news {
		cost := k.wait(t, a, n, load) + k.prefill(a, n.Pool, preferred)
		k.ranks = append(k.ranks, rank{pool: n.Pool, usable: n.Slots > 0, cost: cost, tie: k.rng.Uint64()})
	}
	slices.SortStableFunc(k.ranks, rank.compare)
	k.spread()
	ids := make([]sr.PoolID, 0, len(k.ranks))
	for _, r := range k.ranks {
		ids = append(ids, r.pool)
	}
	return ids
}

// Asked tells the picker that an ask was sent to a pool.
func (k *Picker) Asked(now time.Time, a sr.Ask, id sr.PoolID) {
	p := k.open(id)
	p.asked.add(k.since(now))
	workspace := xxhash.Sum64String(a.Workspace)
	k.traffic.add(workspace, a.Blocks)
	k.traffic.increment(workspace ^ p.hash)
	if k.prefixes == nil {
		return
	}
	h := holder{endpoint: p.index}
	for i := recorded(len(a.Blocks) - 1); i >= 0; i = recorded(i - 1) {
		k.prefixes.open(a.Blocks[i]).add(h)
	}
}

// Refused tells the picker that a pool refused an ask.
func (k *Picker) Refused(now time.Time, id sr.PoolID) {
	p := k.open(id)
	p.refused = max(1, k.since(now))
	p.ended.add(k.since(now))
}

// Ended tells the picker that a lease of a pool was released.
func (k *Picker) Ended(now time.Time, id sr.PoolID, r sr.Release) {
	k.open(id).ended.add(k.since(now))
	if r.Result == sr.ReleaseDone {
		k.service += serviceStep * (r.Total.Seconds() - k.service)
	}
}

func (k *Picker) since(now time.Time) time.Duration {
	if k.epoch.IsZero() {
		k.epoch = now
	}
	return now.Sub(k.epoch)
}

func (k *Picker) open(id sr.PoolID) *pool {
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

// reset forgets all pools, and with them which blocks they cache.
func (k *Picker) reset() {
	clear(k.pools)
	k.list = nil
	if k.prefixes != nil {
		k.prefixes = newPrefixes(k.opts.Blocks)
	}
}

// wait returns the expected wait in seconds, with a penalty for a pool that
// is loaded above the bound.
func (k *Picker) wait(t time.Duration, a sr.Ask, n sr.PoolNews, all totals) float64 {
	if n.Slots <= 0 {
		return math.MaxFloat32
	}
	p := k.open(n.Pool)
	taken := t - n.Age
	slots := float64(n.Slots)
	free := float64(n.Free - p.asked.since(taken) + p.ended.since(taken))
	load := 1 - free/slots
	wait := k.service * max(0, load-loadBound*all.load()-1/slots)
	if free < 1 {
		wait += waitOf(n, a.Tier) + k.service*(1-free)/slots
		wait += crowdWeight * k.service * k.crowding(a, p, slots/float64(all.slots))
	}
	if p.refused > 0 && p.refused >= taken {
		wait += refusedWait
	}
	return wait
}

// crowding returns by how much the workspace's asks to a full pool exceed what
// the pool's part of the slots would get of them. Its share is fair within a
// pool only, so asks crowded into one pool wait longer than their workspace's
// share of all pools demands.
func (k *Picker) crowding(a sr.Ask, p *pool, part float64) float64 {
	workspace := xxhash.Sum64String(a.Workspace)
	even := part * float64(k.traffic.count(workspace))
	if even < trafficLeast {
		return 0
	}
	return max(0, float64(k.traffic.count(workspace^p.hash))/even-crowdBound)
}

// prefill returns the expected prefill time in seconds.
func (k *Picker) prefill(a sr.Ask, id, preferred sr.PoolID) float64 {
	if k.prefixes == nil || len(a.Blocks) == 0 {
		return 0
	}
	share := float64(k.open(id).cached) / float64(len(a.Blocks))
	if id == preferred {
		share = max(share, guess)
	}
	return float64(a.Work.Prefill) * (1 - share) / k.opts.Prefill
}

// findPools notes how many of the prompt's blocks this entry has sent to
// each pool before.
func (k *Picker) findPools(a sr.Ask, news []sr.PoolNews) {
	if k.prefixes == nil {
		return
	}
	for _, n := range news {
		k.open(n.Pool).cached = 0
	}
	for i := recorded(len(a.Blocks) - 1); i >= 0; i = recorded(i - 1) {
		entry := k.prefixes.find(a.Blocks[i])
		if entry == nil {
			continue
		}
		for _, h := range entry.holders {
			if h.endpoint == noEndpoint {
				break
			}
			p := k.list[h.endpoint]
			p.cached = max(p.cached, i+1)
		}
	}
}

// preferred returns the pool with the highest rendezvous weight for the
// prompt's prefix, with chances in proportion to the slots.
func (k *Picker) preferred(a sr.Ask, news []sr.PoolNews) sr.PoolID {
	if k.prefixes == nil || len(a.Blocks) == 0 {
		return sr.PoolID{}
	}
	key := k.traffic.key(xxhash.Sum64String(a.Workspace), a.Blocks, keyShare/float64(max(1, len(news))))
	var best sr.PoolID
	least := math.Inf(1)
	for _, n := range news {
		if n.Slots <= 0 {
			continue
		}
		uniform := (float64(mix(key^k.open(n.Pool).hash)>>11) + 0.5) / (1 << 53)
		if weight := -math.Log(uniform) / float64(n.Slots); weight < least {
			best, least = n.Pool, weight
		}
	}
	return best
}

// spread moves one of the near ties of the best pool to the front at random.
func (k *Picker) spread() {
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

func (r rank) compare(other rank) int {
	if r.usable != other.usable {
		if r.usable {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.cost, other.cost)
}

// totals are the slots of all pools.
type totals struct {
	free  int
	slots int
}

func loadOf(news []sr.PoolNews) totals {
	var all totals
	for _, n := range news {
		all.free += n.Free
		all.slots += n.Slots
	}
	return all
}

// load returns the share of slots in use.
func (all totals) load() float64 {
	if all.slots == 0 {
		return 0
	}
	return 1 - float64(all.free)/float64(all.slots)
}

func waitOf(n sr.PoolNews, tier sr.Tier) float64 {
	if int(tier) >= len(n.Wait) {
		return 0
	}
	return n.Wait[tier].Seconds()
}

// recent is a ring of the latest times of an event.
type recent struct {
	times [maxRecent]time.Duration
	n     int
}

func (r *recent) add(t time.Duration) {
	r.times[r.n%maxRecent] = t
	r.n++
}

// since counts the events after t.
func (r *recent) since(t time.Duration) int {
	count := 0
	for i := r.n - 1; i >= 0 && i >= r.n-maxRecent; i-- {
		if r.times[i%maxRecent] <= t {
			break
		}
		count++
	}
	return count
}
