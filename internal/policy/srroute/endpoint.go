package srroute

import (
	"math"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxRunning bounds the leases tracked per endpoint.
	maxRunning = 256
	// maxEnded bounds the ends kept to interpret a lagging report.
	maxEnded = 16
	// runningGrace is how far past its expected end a lease is forgotten.
	runningGrace = time.Minute
	// defaultCache is the number of blocks that an unknown class caches.
	defaultCache = 1 << 14
	// reportLapse is the age at which a load report is ignored.
	reportLapse = 10 * time.Second

	// ratioStep is the weight of a new sample in an endpoint's ratio.
	ratioStep = 0.2
	// maxRatio bounds how much slower or faster than its class an endpoint is.
	maxRatio = 8.0
	// ratioHalfLife is the time in which an unused ratio fades by half.
	ratioHalfLife = time.Minute
)

// running is a lease that the placer expects to be in progress.
type running struct {
	ask      uint64
	start    time.Duration
	first    time.Duration
	end      time.Duration
	ahead    float64
	uncached float64
	batch    float64
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	name     string
	pool     sr.PoolID
	class    string
	rates    *classRates
	run      string
	used     bool
	seen     time.Duration
	touched  uint32
	reported uint32

	running []running
	ended   [maxEnded]time.Duration
	ends    int
	foreign float64
	lapse   time.Duration

	ratio   float64
	ratioAt time.Duration

	stamp uint32
	depth int
	free  uint32
}

// holds reports whether a block touched then is expected to be cached still.
func (e *endpoint) holds(touched uint32) bool {
	return int(e.touched-touched) < e.capacity()
}

// forgetCache makes every block touched so far count as evicted.
func (e *endpoint) forgetCache() {
	e.touched += uint32(max(e.capacity(), defaultCache))
	e.reported = e.touched
}

func (e *endpoint) capacity() int {
	if e.rates == nil || e.rates.cache <= 0 {
		return defaultCache
	}
	return e.rates.cache
}

// start records a lease.
func (e *endpoint) start(r running) {
	if len(e.running) < maxRunning {
		e.running = append(e.running, r)
	}
}

// end removes a lease and reports whether it was known.
func (e *endpoint) end(now time.Duration, ask uint64) (running, bool) {
	for i, r := range e.running {
		if r.ask != ask {
			continue
		}
		last := len(e.running) - 1
		e.running[i] = e.running[last]
		e.running = e.running[:last]
		e.ended[e.ends%maxEnded] = now
		e.ends++
		return r, true
	}
	return running{}, false
}

// expire forgets leases whose end was never reported.
func (e *endpoint) expire(now time.Duration) {
	kept := e.running[:0]
	for _, r := range e.running {
		if now < r.end+runningGrace {
			kept = append(kept, r)
		}
	}
	e.running = kept
}

// report takes the part of a lagging report that is not explained by the
// leases that were in progress when its figures were taken.
func (e *endpoint) report(now time.Duration, l sr.Load) {
	at := now - l.Age
	own := 0
	for _, r := range e.running {
		if r.start <= at {
			own++
		}
	}
	for i := range min(e.ends, maxEnded) {
		if e.ended[i] > at {
			own++
		}
	}
	e.foreign = float64(max(0, l.Running+l.Waiting-own))
	e.lapse = now + reportLapse - l.Age
}

// load returns the batch size that a new request would meet.
func (e *endpoint) load(now time.Duration, counted int) float64 {
	n := float64(max(counted, len(e.running)))
	if now < e.lapse {
		n += e.foreign
	}
	return n
}

// backlog returns the prompt tokens that are still to be prefilled.
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

// freeIn returns the expected time until a lease ends.
func (e *endpoint) freeIn(now time.Duration) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range e.running {
		next = min(next, max(0, r.end-now))
	}
	return next
}

// slowness returns the ratio, faded by the time since it was learned.
func (e *endpoint) slowness(now time.Duration) float64 {
	if e.ratio == 0 {
		return 1
	}
	age := float64(now-e.ratioAt) / float64(ratioHalfLife)
	return math.Exp(e.ratio * math.Exp2(-age))
}

// learnRatio takes the quotient of observed and predicted time.
func (e *endpoint) learnRatio(now time.Duration, quotient float64) {
	quotient = min(max(quotient, 1/maxRatio), maxRatio)
	old := math.Log(e.slowness(now))
	e.ratio = old + ratioStep*(math.Log(quotient)-old)
	e.ratioAt = now
}

// endpoints holds a bounded number of endpoints, least recently used out.
type endpoints struct {
	index map[string]int32
	list  []endpoint
	hand  int
	bound int
}

func newEndpoints(bound int) *endpoints {
	return &endpoints{index: make(map[string]int32), bound: bound}
}

func (s *endpoints) find(name string) *endpoint {
	i, ok := s.index[name]
	if !ok {
		return nil
	}
	s.list[i].used = true
	return &s.list[i]
}

func (s *endpoints) open(name string) (*endpoint, int32) {
	if i, ok := s.index[name]; ok {
		s.list[i].used = true
		return &s.list[i], i
	}
	i := s.slot()
	old := &s.list[i]
	old.forgetCache()
	s.list[i] = endpoint{name: name, used: true, touched: old.touched, reported: old.touched}
	s.index[name] = int32(i)
	return &s.list[i], int32(i)
}

func (s *endpoints) slot() int {
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
