package srroute

import (
	"math"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxRunning bounds the leases tracked per endpoint.
	maxRunning = 256
	// maxEnded bounds the end times kept to interpret a load report that lags behind.
	maxEnded = 16
	// runningGrace is how long a lease is kept past its expected end.
	runningGrace = time.Minute
	// defaultCache is the cache size in blocks of a class that states none.
	defaultCache = 1 << 14
	// maxReportAge is the age at which a load report is ignored.
	maxReportAge = 10 * time.Second

	// ratioWeight is the weight of a new sample in an endpoint's ratio.
	ratioWeight = 0.2
	// maxRatio bounds how much slower or faster than its class an endpoint can be.
	maxRatio = 8.0
	// ratioHalfLife is the half-life of a ratio that is not updated.
	ratioHalfLife = time.Minute
)

// activeLease is a lease that the placer expects to be in progress. Its times count from
// the placer's epoch.
type activeLease struct {
	// ask is the hash of the ask's ID.
	ask uint64
	// start is the time of the grant, first the expected time of the first token, end
	// that of the last.
	start time.Duration
	first time.Duration
	end   time.Duration
	// ahead is the number of prompt tokens queued before those of this lease, uncached
	// the number of its own that are to be prefilled, batch the batch size at its start.
	ahead    float64
	uncached float64
	batch    float64
}

// endpoint is the tracked state of one endpoint.
type endpoint struct {
	name  string
	pool  sr.PoolID
	class string
	rates *classRates
	// startID identifies the endpoint's process in its last load report, to detect a
	// restart.
	startID string
	// used is the reference bit of the CLOCK eviction.
	used bool
	// lastUsable is when the endpoint was last a candidate or got a grant.
	lastUsable time.Duration
	// blocksAdded counts the blocks that grants have added to the cache, blocksReported is
	// its value at the last load report.
	blocksAdded    uint32
	blocksReported uint32

	running []activeLease
	// endTimes is a ring of the latest end times, endCount the number of ends so far.
	endTimes [maxEnded]time.Duration
	endCount int
	// foreignLoad is the number of requests in the last load report beyond this placer's
	// leases, foreignUntil when it expires.
	foreignLoad  float64
	foreignUntil time.Duration

	// logRatio is the logarithm of the endpoint's time relative to its class.
	logRatio float64
	ratioAt  time.Duration

	// depthStamp is the placer's stamp for which depth, the number of leading blocks of
	// the current prompt in the cache, is valid.
	depthStamp uint32
	depth      int
	// candidateStamp is the placer's stamp at which the endpoint was last a candidate.
	candidateStamp uint32
}

// caches reports whether a block is expected to be still cached that was last used when
// blocksAdded was addedAt.
func (e *endpoint) caches(addedAt uint32) bool {
	return int(e.blocksAdded-addedAt) < e.cacheCapacity()
}

// forgetCache marks every block recorded so far as evicted.
func (e *endpoint) forgetCache() {
	e.blocksAdded += uint32(max(e.cacheCapacity(), defaultCache))
	e.blocksReported = e.blocksAdded
}

func (e *endpoint) cacheCapacity() int {
	if e.rates == nil || e.rates.cache <= 0 {
		return defaultCache
	}
	return e.rates.cache
}

// addLease records a lease, unless maxRunning are recorded already.
func (e *endpoint) addLease(r activeLease) {
	if len(e.running) < maxRunning {
		e.running = append(e.running, r)
	}
}

// removeLease removes a lease and reports whether it was recorded.
func (e *endpoint) removeLease(now time.Duration, ask uint64) (activeLease, bool) {
	for i, r := range e.running {
		if r.ask != ask {
			continue
		}
		last := len(e.running) - 1
		e.running[i] = e.running[last]
		e.running = e.running[:last]
		e.endTimes[e.endCount%maxEnded] = now
		e.endCount++
		return r, true
	}
	return activeLease{}, false
}

// expireLeases drops leases whose end was never reported.
func (e *endpoint) expireLeases(now time.Duration) {
	kept := e.running[:0]
	for _, r := range e.running {
		if now < r.end+runningGrace {
			kept = append(kept, r)
		}
	}
	e.running = kept
}

// applyReport derives the foreign load from a load report that lags by its age: the
// reported requests less the leases that were in progress when the report was made.
func (e *endpoint) applyReport(now time.Duration, l sr.Load) {
	reportedAt := now - l.Age
	own := 0
	for _, r := range e.running {
		if r.start <= reportedAt {
			own++
		}
	}
	for i := range min(e.endCount, maxEnded) {
		if e.endTimes[i] > reportedAt {
			own++
		}
	}
	e.foreignLoad = float64(max(0, l.Running+l.Waiting-own))
	e.foreignUntil = now + maxReportAge - l.Age
}

// batchSize returns the batch size that a new request would meet. counted is the number
// of running requests known from the candidate.
func (e *endpoint) batchSize(now time.Duration, counted int) float64 {
	n := float64(max(counted, len(e.running)))
	if now < e.foreignUntil {
		n += e.foreignLoad
	}
	return n
}

// backlog returns the number of prompt tokens that are still to be prefilled.
func (e *endpoint) backlog(now time.Duration) float64 {
	tokens := 0.0
	for _, r := range e.running {
		if now >= r.first || r.first <= r.start {
			continue
		}
		tokens += r.uncached * float64(r.first-now) / float64(r.first-r.start)
	}
	return tokens
}

// untilFree returns the expected time until the next lease ends.
func (e *endpoint) untilFree(now time.Duration) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range e.running {
		next = min(next, max(0, r.end-now))
	}
	return next
}

// slowdown returns the endpoint's time relative to its class, decayed towards 1 by the
// time since the last sample.
func (e *endpoint) slowdown(now time.Duration) float64 {
	if e.logRatio == 0 {
		return 1
	}
	age := float64(now-e.ratioAt) / float64(ratioHalfLife)
	return math.Exp(e.logRatio * math.Exp2(-age))
}

// learnRatio adds a sample: the quotient of observed and predicted time.
func (e *endpoint) learnRatio(now time.Duration, quotient float64) {
	quotient = min(max(quotient, 1/maxRatio), maxRatio)
	old := math.Log(e.slowdown(now))
	e.logRatio = old + ratioWeight*(math.Log(quotient)-old)
	e.ratioAt = now
}

// endpoints is a table of bounded size with CLOCK eviction, which approximates least
// recently used. hand is the index of the next entry that may be evicted.
type endpoints struct {
	index map[string]int32
	list  []endpoint
	hand  int
	bound int
}

func newEndpoints(bound int) *endpoints {
	return &endpoints{index: make(map[string]int32), bound: bound}
}

// find returns the endpoint of that name, nil when there is none.
func (s *endpoints) find(name string) *endpoint {
	i, ok := s.index[name]
	if !ok {
		return nil
	}
	s.list[i].used = true
	return &s.list[i]
}

// getOrCreate returns the endpoint of that name and its index. A new entry takes over the
// block count of the evicted one, so that blocks recorded for the evicted endpoint count
// as evicted.
func (s *endpoints) getOrCreate(name string) (*endpoint, int32) {
	if i, ok := s.index[name]; ok {
		s.list[i].used = true
		return &s.list[i], i
	}
	i := s.allocate()
	old := &s.list[i]
	old.forgetCache()
	s.list[i] = endpoint{name: name, used: true, blocksAdded: old.blocksAdded, blocksReported: old.blocksAdded}
	s.index[name] = int32(i)
	return &s.list[i], int32(i)
}

// allocate returns the index of an unused entry and evicts one when the table is full.
func (s *endpoints) allocate() int {
	if len(s.list) < s.bound {
		s.list = append(s.list, endpoint{})
		return len(s.list) - 1
	}
	for s.list[s.hand].used {
		s.list[s.hand].used = false
		s.hand = (s.hand + 1) % s.bound
	}
	i := s.hand
	s.hand = (s.hand + 1) % s.bound
	delete(s.index, s.list[i].name)
	return i
}
