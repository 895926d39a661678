package srroute

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// tieShare and tieTime bound how much worse than the best a near tie is.
	tieShare = 0.03
	tieTime  = 0.002

	// prefillWeight is the weight of the time to the first token: prefill also
	// delays the other prompts of the batch, whose targets are tight.
	prefillWeight = 16.0

	// lateWeight is the weight of the time by which a long answer would be late.
	lateWeight = 2.0

	// learnTokens is the least number of tokens that a rate sample needs.
	learnTokens = 64
	// deferGain is the share of the best score that waiting must save.
	deferGain = 0.2
	// maxDeferred bounds the asks whose deferral is remembered.
	maxDeferred = 1024
	// maxClasses bounds the learned rates.
	maxClasses = 1024
	// seenLapse is how long an endpoint counts as usable after it was a candidate.
	seenLapse = 15 * time.Second
)

// Placer implements sr.Placer.
type Placer struct {
	opts      Options
	rng       *rand.Rand
	epoch     time.Time
	classes   map[string]sr.Class
	rates     map[classKey]*classRates
	endpoints *endpoints
	prefixes  *prefixes
	lengths   *lengths
	deferred  map[uint64]time.Duration
	stamp     uint32
	options   []option
	// stretch is a long answer's length over the expected one.
	stretch float64
	holders []int32
}

var _ sr.Placer = (*Placer)(nil)

// option is a candidate with its times and its score in seconds; late is by how
// much a long answer would miss the budget.
type option struct {
	candidate *sr.Candidate
	cached    int
	first     float64
	late      float64
	score     float64
}

// New returns a placer that has learned nothing yet.
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

// SetClasses replaces the seed rates; a class whose seed changed is learned anew.
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
	t := p.since(now)
	p.stamp++
	p.findHolders(a)
	decode := p.length(a)
	p.stretch = p.long(a) / max(1, decode)
	p.options = p.options[:0]
	for i := range free {
		p.options = append(p.options, p.score(t, a, decode, &free[i]))
	}
	best := p.best(a)
	if p.rather(t, a, decode, best) {
		return sr.Placement{}, false
	}
	return p.placement(best, len(free)), true
}

// Estimate implements sr.Placer.
func (p *Placer) Estimate(a sr.Ask, class string) time.Duration {
	r := p.ratesOf(class, a.Pool.Target)
	batch := float64(r.slots) / 2
	prefill := float64(a.Work.Prefill) * r.prefill.at(batch)
	return seconds(prefill + p.length(a)*r.decode.at(batch))
}

// Granted implements sr.Placer.
func (p *Placer) Granted(now time.Time, a sr.Ask, name string) {
	t := p.since(now)
	e, i := p.endpoints.open(name)
	e.pool = a.Pool
	e.seen = t
	rates := p.ratesFor(e, a.Pool.Target)
	e.expire(t)
	p.stamp++
	p.findHolders(a)
	ahead := e.backlog(t)
	uncached := float64(a.Work.Prefill - cachedTokens(a, p.depth(e)))
	batch := e.load(t, 0)
	slow := e.slowness(t)
	first := (ahead + uncached) * rates.prefill.at(batch) * slow
	total := first + p.length(a)*rates.decode.at(batch)*slow
	e.start(running{
		ask:      xxhash.Sum64String(a.ID),
		start:    t,
		first:    t + seconds(first),
		end:      t + seconds(total),
		ahead:    ahead,
		uncached: uncached,
		batch:    batch,
	})
	delete(p.deferred, xxhash.Sum64String(a.ID))
	p.touch(a, e, i)
}

// Observe implements sr.Placer.
func (p *Placer) Observe(now time.Time, a sr.Ask, name, class string, r sr.Release) {
	t := p.since(now)
	e, _ := p.endpoints.open(name)
	e.class = class
	e.rates = p.ratesOf(class, a.Pool.Target)
	was, known := e.end(t, xxhash.Sum64String(a.ID))
	if r.Result != sr.ReleaseDone || r.Tokens <= 0 {
		return
	}
	p.lengths.open(lengthKey(a.Pool.Target, a.Workspace)).add(r.Tokens)
	p.lengths.open(lengthKey(a.Pool.Target, "")).add(r.Tokens)
	if known && !p.opts.NoRates {
		learn(t, e, was, r)
	}
}

// Report implements sr.Placer.
func (p *Placer) Report(now time.Time, name string, l sr.Load) {
	t := p.since(now)
	e, i := p.endpoints.open(name)
	if e.run != "" && e.run != l.Start {
		e.forgetCache()
	}
	e.run = l.Start
	e.expire(t)
	e.report(t, l)
	if p.prefixes == nil {
		return
	}
	for _, event := range l.Events {
		p.event(e, i, event)
	}
	e.reported = e.touched
}

// Forget implements sr.Placer.
func (p *Placer) Forget(name string) {
	if e := p.endpoints.find(name); e != nil {
		e.forgetCache()
	}
}

func (p *Placer) since(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}

// length returns the expected number of generated tokens.
func (p *Placer) length(a sr.Ask) float64 { return p.lengthAt(a, lengthQuantile) }

// long returns the number of tokens of a long answer.
func (p *Placer) long(a sr.Ask) float64 { return p.lengthAt(a, longQuantile) }

func (p *Placer) lengthAt(a sr.Ask, q float64) float64 {
	limit := a.Work.Decode
	if p.opts.NoLengths {
		return float64(limit)
	}
	for _, workspace := range [...]string{a.Workspace, ""} {
		s := p.lengths.find(lengthKey(a.Pool.Target, workspace))
		if s == nil || s.total < lengthTrust {
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

func (p *Placer) ratesOf(class, target string) *classRates {
	key := classKey{class: class, target: target}
	if r := p.rates[key]; r != nil {
		return r
	}
	r := newClassRates(p.classes[class])
	if len(p.rates) < maxClasses {
		p.rates[key] = r
	}
	return r
}

func (p *Placer) ratesFor(e *endpoint, target string) *classRates {
	if e.rates == nil {
		e.rates = p.ratesOf(e.class, target)
	}
	return e.rates
}

func (p *Placer) score(t time.Duration, a sr.Ask, decode float64, c *sr.Candidate) option {
	e, _ := p.endpoints.open(c.Endpoint)
	if e.class != c.Class || e.rates == nil {
		e.class = c.Class
		e.rates = p.ratesOf(c.Class, a.Pool.Target)
	}
	e.pool = a.Pool
	e.seen = t
	e.free = p.stamp
	cached := cachedTokens(a, p.depth(e))
	first, rest := times(t, e, float64(a.Work.Prefill-cached), decode, c.Running)
	late := 0.0
	if a.Budget > 0 {
		late = max(0, first+rest*p.stretch-a.Budget.Seconds())
	}
	score := prefillWeight*first + rest + lateWeight*late
	return option{candidate: c, cached: cached, first: first, late: late, score: score}
}

// best returns the best option: of the near ties that cache most, one at
// random. A prefix that no candidate caches goes to the tie with the highest
// rendezvous hash.
func (p *Placer) best(a sr.Ask) option {
	limit, most := p.nearest()
	hash := p.prefixes != nil && most == 0 && len(a.Blocks) > 0
	var best option
	var highest uint64
	for _, o := range p.options {
		if o.score > limit || o.cached < most {
			continue
		}
		weight := p.rng.Uint64()
		if hash {
			weight = mix(a.Blocks[0] ^ xxhash.Sum64String(o.candidate.Endpoint))
		}
		if best.candidate == nil || weight > highest {
			best, highest = o, weight
		}
	}
	return best
}

// nearest returns the score up to which options are near ties of the best, and
// the most tokens that one of them caches.
func (p *Placer) nearest() (limit float64, most int) {
	least := p.options[0].score
	for _, o := range p.options {
		least = min(least, o.score)
	}
	limit = least*(1+tieShare) + tieTime
	for _, o := range p.options {
		if o.score <= limit {
			most = max(most, o.cached)
		}
	}
	return limit, most
}

// rather reports whether to wait for another endpoint, for at most Defer.
func (p *Placer) rather(t time.Duration, a sr.Ask, decode float64, best option) bool {
	key := xxhash.Sum64String(a.ID)
	since, waiting := p.deferred[key]
	if waiting && t-since >= p.opts.Defer {
		return false
	}
	wait := best.late > 0 && p.inTime(a) || p.cachedSoon(t, a, decode, best)
	if wait && !waiting {
		p.remember(t, key)
	}
	return wait
}

// cachedSoon reports whether waiting for a busy endpoint that caches more of
// the prompt is expected to end sooner than the best option.
func (p *Placer) cachedSoon(t time.Duration, a sr.Ask, decode float64, best option) bool {
	for _, i := range p.holders {
		if p.betterLater(t, a, decode, best, &p.endpoints.list[i]) {
			return true
		}
	}
	return false
}

// inTime reports whether some class ends a long answer within the budget.
func (p *Placer) inTime(a sr.Ask) bool {
	for key, r := range p.rates {
		if key.target == a.Pool.Target && p.long(a)*r.decode.at(float64(r.slots)) < a.Budget.Seconds() {
			return true
		}
	}
	return false
}

func (p *Placer) betterLater(t time.Duration, a sr.Ask, decode float64, best option, e *endpoint) bool {
	if e.free == p.stamp || e.pool != a.Pool || t-e.seen > seenLapse || len(e.running) == 0 {
		return false
	}
	for _, name := range a.Avoid {
		if name == e.name {
			return false
		}
	}
	cached := cachedTokens(a, p.depth(e))
	wait := e.freeIn(t)
	if cached <= best.cached || wait > p.opts.Defer {
		return false
	}
	first, rest := times(t, e, float64(a.Work.Prefill-cached), decode, len(e.running)-1)
	return wait.Seconds()+first+rest < best.score*(1-deferGain)
}

// remember notes when an ask was first deferred and drops the notes of asks
// that can't be deferred any more when there are too many.
func (p *Placer) remember(t time.Duration, key uint64) {
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

// findHolders stamps the endpoints that cache a part of the prompt with the
// number of blocks they cache. A block implies the blocks before it.
func (p *Placer) findHolders(a sr.Ask) {
	p.holders = p.holders[:0]
	if p.prefixes == nil {
		return
	}
	for i := recorded(len(a.Blocks) - 1); i >= 0; i = recorded(i - 1) {
		entry := p.prefixes.find(a.Blocks[i])
		if entry == nil {
			continue
		}
		p.stampHolders(entry, i+1)
	}
}

func (p *Placer) stampHolders(entry *prefixEntry, depth int) {
	for _, h := range entry.holders {
		if h.endpoint == noEndpoint {
			return
		}
		e := &p.endpoints.list[h.endpoint]
		if e.stamp == p.stamp || !e.holds(h.touched) {
			continue
		}
		e.stamp = p.stamp
		e.depth = depth
		p.holders = append(p.holders, h.endpoint)
	}
}

func (p *Placer) depth(e *endpoint) int {
	if e.stamp != p.stamp {
		return 0
	}
	return e.depth
}

// touch records the blocks of a prompt at an endpoint.
func (p *Placer) touch(a sr.Ask, e *endpoint, i int32) {
	if p.prefixes == nil {
		return
	}
	e.touched += uint32(len(a.Blocks) - p.depth(e))
	h := holder{endpoint: i, touched: e.touched}
	for j := recorded(len(a.Blocks) - 1); j >= 0; j = recorded(j - 1) {
		p.prefixes.open(a.Blocks[j]).add(h)
	}
}

func (p *Placer) event(e *endpoint, i int32, event sr.CacheEvent) {
	if !event.Added {
		if entry := p.prefixes.find(event.Block); entry != nil {
			entry.remove(i, e.reported)
		}
		return
	}
	if entry := p.prefixes.openFree(event.Block); entry != nil {
		entry.add(holder{endpoint: i, touched: e.touched})
	}
}

func (p *Placer) placement(best option, n int) sr.Placement {
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

// times returns the expected seconds to the first token and from there to the end.
func times(t time.Duration, e *endpoint, uncached, decode float64, counted int) (first, rest float64) {
	batch := e.load(t, counted)
	slow := e.slowness(t)
	first = (e.backlog(t) + uncached) * e.rates.prefill.at(batch) * slow
	return first, decode * e.rates.decode.at(batch) * slow
}

// learn takes a finished request's times into the class's lines and the
// endpoint's ratio.
func learn(t time.Duration, e *endpoint, was running, r sr.Release) {
	slow := e.slowness(t)
	work := was.ahead + was.uncached
	gaps := float64(r.Tokens - 1)
	observed, predicted := 0.0, 0.0
	if r.First > 0 && work >= learnTokens {
		observed += r.First.Seconds()
		predicted += work * e.rates.prefill.at(was.batch)
		e.rates.prefill.learn(was.batch, r.First.Seconds()/(work*slow))
	}
	if gaps >= 1 && r.Total > r.First {
		rest := (r.Total - r.First).Seconds()
		observed += rest
		predicted += gaps * e.rates.decode.at(was.batch)
		e.rates.decode.learn(was.batch, rest/gaps/slow)
	}
	if predicted > 0 {
		e.learnRatio(t, observed/predicted)
	}
}

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
