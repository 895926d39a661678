package srroute

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// tieShare (a fraction of the best score) and tieTime (seconds) bound by how much a
	// near tie may be worse than the best candidate.
	tieShare = 0.03
	tieTime  = 0.002

	// prefillWeight is the weight of the time to the first token: prefill also delays the
	// other prompts of the batch, whose time to the first token is tightly limited.
	prefillWeight = 16.0

	// lateWeight is the weight of the time by which a long answer would miss its budget.
	lateWeight = 2.0

	// minSampleTokens is the least number of prompt tokens for a prefill rate sample.
	minSampleTokens = 64
	// deferGain is the fraction of the best score that waiting must save.
	deferGain = 0.2
	// maxDeferred bounds the recorded deferrals.
	maxDeferred = 1024
	// maxClassRates bounds the learned rates, one entry per class and target.
	maxClassRates = 1024
	// usableLifetime is how long an endpoint counts as usable after it was a candidate or
	// got a grant.
	usableLifetime = 15 * time.Second
)

// Placer implements sr.Placer. It scores candidates by the expected time to the end of
// the answer, with extra weight on the time to the first token.
type Placer struct {
	opts      Options
	rng       *rand.Rand
	epoch     time.Time
	classes   map[string]sr.Class
	rates     map[classKey]*classRates
	endpoints *endpoints
	prefixes  *prefixes
	lengths   *lengths
	// deferred holds when an ask was first deferred, by the hash of its ID.
	deferred map[uint64]time.Duration
	// stamp numbers the calls that look up a prompt's blocks. Marks with another stamp on
	// endpoints are out of date.
	stamp  uint32
	scored []scoredCandidate
	// longRatio is the length of a long answer relative to the expected length.
	longRatio float64
	// cachingEndpoints are the indices of the endpoints that cache a part of the prompt.
	cachingEndpoints []int32
}

var _ sr.Placer = (*Placer)(nil)

// scoredCandidate is a candidate with the prompt tokens it caches, the expected seconds
// to the first token, and its score in weighted seconds; the lowest is best. late is by
// how many seconds a long answer would exceed the budget.
type scoredCandidate struct {
	candidate *sr.Candidate
	cached    int
	first     float64
	late      float64
	score     float64
}

// New returns a Placer that uses the rates of o.Classes until it has learned others.
func New(o Options) *Placer {
	o = o.withDefaults()
	p := &Placer{
		opts:      o,
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		rates:     make(map[classKey]*classRates),
		endpoints: newEndpoints(o.Endpoints),
		lengths:   newLengths(o.Workspaces),
		deferred:  make(map[uint64]time.Duration),
	}
	if !o.NoAffinity {
		p.prefixes = newPrefixes(o.Blocks)
	}
	p.SetClasses(o.Classes)
	return p
}

// SetClasses replaces the initial rates. The learned rates of a class whose initial rates
// have changed are dropped.
func (p *Placer) SetClasses(classes map[string]sr.Class) {
	for key := range p.rates {
		if classes[key.class] != p.classes[key.class] {
			delete(p.rates, key)
		}
	}
	for i := range p.endpoints.list {
		p.endpoints.list[i].rates = nil
	}
	p.classes = classes
}

// Place implements sr.Placer.
func (p *Placer) Place(now time.Time, a sr.Ask, free []sr.Candidate) (sr.Placement, bool) {
	if len(free) == 0 {
		return sr.Placement{}, false
	}
	t := p.sinceEpoch(now)
	p.stamp++
	p.findCachingEndpoints(a)
	decode := p.expectedLength(a)
	p.longRatio = p.longLength(a) / max(1, decode)
	p.scored = p.scored[:0]
	for i := range free {
		p.scored = append(p.scored, p.score(t, a, decode, &free[i]))
	}
	best := p.best(a)
	if p.shouldDefer(t, a, decode, best) {
		return sr.Placement{}, false
	}
	return p.placement(best, len(free)), true
}

// Estimate implements sr.Placer.
func (p *Placer) Estimate(a sr.Ask, class string) time.Duration {
	r := p.ratesForClass(class, a.Pool.Target)
	batch := float64(r.slots) / 2
	prefill := float64(a.Work.Prefill) * r.prefill.predict(batch)
	return seconds(prefill + p.expectedLength(a)*r.decode.predict(batch))
}

// Granted implements sr.Placer.
func (p *Placer) Granted(now time.Time, a sr.Ask, name string) {
	t := p.sinceEpoch(now)
	e, i := p.endpoints.getOrCreate(name)
	e.pool = a.Pool
	e.lastUsable = t
	rates := p.endpointRates(e, a.Pool.Target)
	e.expireLeases(t)
	p.stamp++
	p.findCachingEndpoints(a)
	ahead := e.backlog(t)
	uncached := float64(a.Work.Prefill - cachedTokens(a, p.depth(e)))
	batch := e.batchSize(t, 0)
	slow := e.slowdown(t)
	first := (ahead + uncached) * rates.prefill.predict(batch) * slow
	total := first + p.expectedLength(a)*rates.decode.predict(batch)*slow
	e.addLease(activeLease{
		ask:      xxhash.Sum64String(a.ID),
		start:    t,
		first:    t + seconds(first),
		end:      t + seconds(total),
		ahead:    ahead,
		uncached: uncached,
		batch:    batch,
	})
	delete(p.deferred, xxhash.Sum64String(a.ID))
	p.recordBlocks(a, e, i)
}

// Observe implements sr.Placer.
func (p *Placer) Observe(now time.Time, a sr.Ask, name, class string, r sr.Release) {
	t := p.sinceEpoch(now)
	e, _ := p.endpoints.getOrCreate(name)
	e.class = class
	e.rates = p.ratesForClass(class, a.Pool.Target)
	lease, known := e.removeLease(t, xxhash.Sum64String(a.ID))
	if r.Result != sr.ReleaseDone || r.Tokens <= 0 {
		return
	}
	p.lengths.getOrCreate(lengthKey(a.Pool.Target, a.Workspace)).add(r.Tokens)
	p.lengths.getOrCreate(lengthKey(a.Pool.Target, "")).add(r.Tokens)
	if known && !p.opts.NoRates {
		learn(t, e, lease, r)
	}
}

// Report implements sr.Placer.
func (p *Placer) Report(now time.Time, name string, l sr.Load) {
	t := p.sinceEpoch(now)
	e, i := p.endpoints.getOrCreate(name)
	if e.startID != "" && e.startID != l.Start {
		e.forgetCache()
	}
	e.startID = l.Start
	e.expireLeases(t)
	e.applyReport(t, l)
	if p.prefixes == nil {
		return
	}
	for _, event := range l.Events {
		p.applyEvent(e, i, event)
	}
	e.blocksReported = e.blocksAdded
}

// Forget implements sr.Placer.
func (p *Placer) Forget(name string) {
	if e := p.endpoints.find(name); e != nil {
		e.forgetCache()
	}
}

// sinceEpoch returns the time since the first call.
func (p *Placer) sinceEpoch(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}

// expectedLength returns the expected number of generated tokens.
func (p *Placer) expectedLength(a sr.Ask) float64 { return p.lengthAt(a, lengthQuantile) }

// longLength returns the number of tokens of a long answer.
func (p *Placer) longLength(a sr.Ask) float64 { return p.lengthAt(a, longQuantile) }

// lengthAt returns a quantile of the output length: that of the workspace, that of the
// target when the workspace has too few samples, or else the request's token limit.
func (p *Placer) lengthAt(a sr.Ask, q float64) float64 {
	limit := a.Work.Decode
	if p.opts.NoLengths {
		return float64(limit)
	}
	for _, workspace := range [...]string{a.Workspace, ""} {
		s := p.lengths.find(lengthKey(a.Pool.Target, workspace))
		if s == nil || s.total < minLengthSamples {
			continue
		}
		n := s.quantile(q)
		if limit > 0 {
			n = min(n, limit)
		}
		return float64(n)
	}
	return float64(limit)
}

// ratesForClass returns the rates of a class and target.
func (p *Placer) ratesForClass(class, target string) *classRates {
	key := classKey{class: class, target: target}
	if r := p.rates[key]; r != nil {
		return r
	}
	r := newClassRates(p.classes[class])
	if len(p.rates) < maxClassRates {
		p.rates[key] = r
	}
	return r
}

// endpointRates returns the rates of an endpoint's class.
func (p *Placer) endpointRates(e *endpoint, target string) *classRates {
	if e.rates == nil {
		e.rates = p.ratesForClass(e.class, target)
	}
	return e.rates
}

// score returns a candidate with its expected times and its score, and marks its endpoint
// as a candidate of this call.
func (p *Placer) score(t time.Duration, a sr.Ask, decode float64, c *sr.Candidate) scoredCandidate {
	e, _ := p.endpoints.getOrCreate(c.Endpoint)
	if e.class != c.Class || e.rates == nil {
		e.class = c.Class
		e.rates = p.ratesForClass(c.Class, a.Pool.Target)
	}
	e.pool = a.Pool
	e.lastUsable = t
	e.candidateStamp = p.stamp
	cached := cachedTokens(a, p.depth(e))
	first, rest := expectedTimes(t, e, float64(a.Work.Prefill-cached), decode, c.Running)
	late := 0.0
	if a.Budget > 0 {
		late = max(0, first+rest*p.longRatio-a.Budget.Seconds())
	}
	score := prefillWeight*first + rest + lateWeight*late
	return scoredCandidate{candidate: c, cached: cached, first: first, late: late, score: score}
}

// best returns the best candidate: one of the near ties that cache the most tokens, at
// random. When no near tie caches a part of the prompt, the one with the highest
// rendezvous hash is chosen.
func (p *Placer) best(a sr.Ask) scoredCandidate {
	limit, most := p.tieLimits()
	hash := p.prefixes != nil && most == 0 && len(a.Blocks) > 0
	var best scoredCandidate
	var highest uint64
	for _, c := range p.scored {
		if c.score > limit || c.cached < most {
			continue
		}
		weight := p.rng.Uint64()
		if hash {
			weight = mix(a.Blocks[0] ^ xxhash.Sum64String(c.candidate.Endpoint))
		}
		if best.candidate == nil || weight > highest {
			best, highest = c, weight
		}
	}
	return best
}

// tieLimits returns the score up to which candidates are near ties of the best, and the
// most tokens that one of them caches.
func (p *Placer) tieLimits() (limit float64, most int) {
	least := p.scored[0].score
	for _, c := range p.scored {
		least = min(least, c.score)
	}
	limit = least*(1+tieShare) + tieTime
	for _, c := range p.scored {
		if c.score <= limit {
			most = max(most, c.cached)
		}
	}
	return limit, most
}

// shouldDefer reports whether to wait for another endpoint, for at most Defer since the
// first deferral: for one that caches more of the prompt, or for one of a faster class
// when a long answer would miss its budget at the best candidate.
func (p *Placer) shouldDefer(t time.Duration, a sr.Ask, decode float64, best scoredCandidate) bool {
	key := xxhash.Sum64String(a.ID)
	since, waiting := p.deferred[key]
	if waiting && t-since >= p.opts.Defer {
		return false
	}
	wait := best.late > 0 && p.inTime(a) || p.cachedSoon(t, a, decode, best)
	if wait && !waiting {
		p.recordDeferral(t, key)
	}
	return wait
}

// cachedSoon reports whether waiting for a busy endpoint that caches more of the prompt
// is expected to end sooner than the best candidate.
func (p *Placer) cachedSoon(t time.Duration, a sr.Ask, decode float64, best scoredCandidate) bool {
	for _, i := range p.cachingEndpoints {
		if p.worthWaitingFor(t, a, decode, best, &p.endpoints.list[i]) {
			return true
		}
	}
	return false
}

// inTime reports whether any class that the placer has met for the target can generate a
// long answer within the budget.
func (p *Placer) inTime(a sr.Ask) bool {
	for key, r := range p.rates {
		if key.target == a.Pool.Target && p.longLength(a)*r.decode.predict(float64(r.slots)) < a.Budget.Seconds() {
			return true
		}
	}
	return false
}

// worthWaitingFor reports whether a busy endpoint caches more of the prompt than the best
// candidate, is expected to have a free slot within Defer, and to end clearly sooner.
func (p *Placer) worthWaitingFor(t time.Duration, a sr.Ask, decode float64, best scoredCandidate, e *endpoint) bool {
	if e.candidateStamp == p.stamp || e.pool != a.Pool || t-e.lastUsable > usableLifetime || len(e.running) == 0 {
		return false
	}
	for _, name := range a.Avoid {
		if name == e.name {
			return false
		}
	}
	cached := cachedTokens(a, p.depth(e))
	wait := e.untilFree(t)
	if cached <= best.cached || wait > p.opts.Defer {
		return false
	}
	first, rest := expectedTimes(t, e, float64(a.Work.Prefill-cached), decode, len(e.running)-1)
	return wait.Seconds()+first+rest < best.score*(1-deferGain)
}

// recordDeferral records when an ask was first deferred. When there are too many records,
// it drops those of asks that cannot be deferred any longer, or else all.
func (p *Placer) recordDeferral(t time.Duration, key uint64) {
	if len(p.deferred) >= maxDeferred {
		for old, at := range p.deferred {
			if t-at >= p.opts.Defer {
				delete(p.deferred, old)
			}
		}
	}
	if len(p.deferred) >= maxDeferred {
		clear(p.deferred)
	}
	p.deferred[key] = t
}

// findCachingEndpoints marks the endpoints that cache a part of the prompt with the
// number of its blocks they cache. A cached block implies that the blocks before it are
// cached.
func (p *Placer) findCachingEndpoints(a sr.Ask) {
	p.cachingEndpoints = p.cachingEndpoints[:0]
	if p.prefixes == nil {
		return
	}
	for i := lastRecorded(len(a.Blocks) - 1); i >= 0; i = lastRecorded(i - 1) {
		entry := p.prefixes.find(a.Blocks[i])
		if entry == nil {
			continue
		}
		p.markCachingEndpoints(entry, i+1)
	}
}

// markCachingEndpoints marks those endpoints of an entry that are not marked yet and are
// expected to cache its block still.
func (p *Placer) markCachingEndpoints(entry *prefixEntry, depth int) {
	for _, l := range entry.locations {
		if l.index == noLocation {
			return
		}
		e := &p.endpoints.list[l.index]
		if e.depthStamp == p.stamp || !e.caches(l.addedAt) {
			continue
		}
		e.depthStamp = p.stamp
		e.depth = depth
		p.cachingEndpoints = append(p.cachingEndpoints, l.index)
	}
}

// depth returns the number of leading blocks of the current prompt that an endpoint
// caches.
func (p *Placer) depth(e *endpoint) int {
	if e.depthStamp != p.stamp {
		return 0
	}
	return e.depth
}

// recordBlocks records that an endpoint caches the blocks of a prompt.
func (p *Placer) recordBlocks(a sr.Ask, e *endpoint, i int32) {
	if p.prefixes == nil {
		return
	}
	e.blocksAdded += uint32(len(a.Blocks) - p.depth(e))
	l := location{index: i, addedAt: e.blocksAdded}
	for j := lastRecorded(len(a.Blocks) - 1); j >= 0; j = lastRecorded(j - 1) {
		p.prefixes.getOrCreate(a.Blocks[j]).add(l)
	}
}

// applyEvent applies a cache event of an endpoint. An added block is not recorded when
// its set in the table is full, so that events evict no entries.
func (p *Placer) applyEvent(e *endpoint, i int32, event sr.CacheEvent) {
	if !event.Added {
		if entry := p.prefixes.find(event.Block); entry != nil {
			entry.remove(i, e.blocksReported)
		}
		return
	}
	if entry := p.prefixes.createIfFree(event.Block); entry != nil {
		entry.add(location{index: i, addedAt: e.blocksAdded})
	}
}

func (p *Placer) placement(best scoredCandidate, n int) sr.Placement {
	c := best.candidate
	return sr.Placement{
		Endpoint: c.Endpoint,
		Cached:   best.cached,
		Expected: seconds(best.score),
		First:    seconds(best.first),
		Why: fmt.Sprintf("%d tokens cached, %d running, first token in %.3f s, end in %.3f s, best of %d",
			best.cached, c.Running, best.first, best.score, n),
	}
}

// expectedTimes returns the expected seconds to the first token, and from there to the
// end.
func expectedTimes(t time.Duration, e *endpoint, uncached, decode float64, counted int) (first, rest float64) {
	batch := e.batchSize(t, counted)
	slow := e.slowdown(t)
	first = (e.backlog(t) + uncached) * e.rates.prefill.predict(batch) * slow
	return first, decode * e.rates.decode.predict(batch) * slow
}

// learn adds the times of a finished request to the rates of its class and to the ratio
// of its endpoint.
func learn(t time.Duration, e *endpoint, lease activeLease, r sr.Release) {
	slow := e.slowdown(t)
	work := lease.ahead + lease.uncached
	gaps := float64(r.Tokens - 1)
	observed, predicted := 0.0, 0.0
	if r.First > 0 && work >= minSampleTokens {
		observed += r.First.Seconds()
		predicted += work * e.rates.prefill.predict(lease.batch)
		e.rates.prefill.addSample(lease.batch, r.First.Seconds()/(work*slow))
	}
	if gaps >= 1 && r.Total > r.First {
		rest := (r.Total - r.First).Seconds()
		observed += rest
		predicted += gaps * e.rates.decode.predict(lease.batch)
		e.rates.decode.addSample(lease.batch, rest/gaps/slow)
	}
	if predicted > 0 {
		e.learnRatio(t, observed/predicted)
	}
}

// cachedTokens returns how many prompt tokens the first depth blocks hold.
func cachedTokens(a sr.Ask, depth int) int {
	if depth == 0 || len(a.Blocks) == 0 {
		return 0
	}
	return min(a.Work.Prefill, a.Work.Prefill*depth/len(a.Blocks))
}

func lengthKey(target, workspace string) uint64 {
	return mix(xxhash.Sum64String(target)) ^ xxhash.Sum64String(workspace)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
