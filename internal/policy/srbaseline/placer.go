package srbaseline

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// defaultPrefill and defaultDecode are in tokens per second, for classes that state
	// none.
	defaultPrefill = 2000.0
	defaultDecode  = 30.0
)

// choice is a rule that returns the index of one of the candidates, of which there is at
// least one.
type choice interface {
	choose(a sr.Ask, free []sr.Candidate) int
}

// Placer implements sr.Placer by a fixed rule.
type Placer struct {
	classes map[string]sr.Class
	why     string
	choice  choice
}

var _ sr.Placer = (*Placer)(nil)

// NewRoundRobin returns a Placer that chooses the endpoints in turn, ordered by name.
func NewRoundRobin(classes map[string]sr.Class) *Placer {
	return &Placer{classes: classes, why: "round robin", choice: &roundRobin{}}
}

// NewLeastOutstanding returns a Placer that chooses the endpoint with the fewest leases,
// at random among equals.
func NewLeastOutstanding(classes map[string]sr.Class, seed uint64) *Placer {
	return &Placer{classes: classes, why: "least outstanding", choice: leastOutstanding{rng: newRand(seed)}}
}

// NewTwoChoices returns a Placer that draws two endpoints at random and chooses the one
// with fewer leases.
func NewTwoChoices(classes map[string]sr.Class, seed uint64) *Placer {
	return &Placer{classes: classes, why: "two random choices", choice: twoChoices{rng: newRand(seed)}}
}

// NewPrefixHash returns a Placer that chooses the endpoint with the highest rendezvous
// hash for the prompt's first block.
func NewPrefixHash(classes map[string]sr.Class) *Placer {
	return &Placer{classes: classes, why: "prefix hash", choice: prefixHash{}}
}

// Place implements sr.Placer.
func (p *Placer) Place(_ time.Time, a sr.Ask, free []sr.Candidate) (sr.Placement, bool) {
	if len(free) == 0 {
		return sr.Placement{}, false
	}
	c := free[p.choice.choose(a, free)]
	prefill, decode := p.rates(c.Class)
	first := seconds(float64(a.Work.Prefill) / prefill)
	return sr.Placement{
		Endpoint: c.Endpoint,
		Expected: first + seconds(float64(a.Work.Decode)/decode),
		First:    first,
		Why:      p.why,
	}, true
}

// Estimate implements sr.Placer.
func (p *Placer) Estimate(a sr.Ask, class string) time.Duration {
	prefill, decode := p.rates(class)
	return seconds(float64(a.Work.Prefill)/prefill + float64(a.Work.Decode)/decode)
}

// Granted implements sr.Placer and does nothing.
func (p *Placer) Granted(time.Time, sr.Ask, string) {}

// Observe implements sr.Placer and does nothing.
func (p *Placer) Observe(time.Time, sr.Ask, string, string, sr.Release) {}

// Report implements sr.Placer and does nothing.
func (p *Placer) Report(time.Time, string, sr.Load) {}

// Forget implements sr.Placer and does nothing.
func (p *Placer) Forget(string) {}

func (p *Placer) rates(class string) (prefill, decode float64) {
	c := p.classes[class]
	prefill, decode = c.Prefill, c.Decode
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	if decode <= 0 {
		decode = defaultDecode
	}
	return prefill, decode
}

type roundRobin struct {
	last string
}

func (r *roundRobin) choose(_ sr.Ask, free []sr.Candidate) int {
	next, first := -1, 0
	for i, c := range free {
		if c.Endpoint < free[first].Endpoint {
			first = i
		}
		if c.Endpoint > r.last && (next < 0 || c.Endpoint < free[next].Endpoint) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last = free[next].Endpoint
	return next
}

// leastOutstanding chooses among equals by reservoir sampling.
type leastOutstanding struct {
	rng *rand.Rand
}

func (l leastOutstanding) choose(_ sr.Ask, free []sr.Candidate) int {
	best, ties := 0, 0
	for i, c := range free {
		if c.Running > free[best].Running {
			continue
		}
		if c.Running < free[best].Running {
			best, ties = i, 0
		}
		ties++
		if l.rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

type twoChoices struct {
	rng *rand.Rand
}

func (t twoChoices) choose(_ sr.Ask, free []sr.Candidate) int {
	a, b := t.rng.IntN(len(free)), t.rng.IntN(len(free))
	if free[b].Running < free[a].Running {
		return b
	}
	return a
}

type prefixHash struct{}

func (prefixHash) choose(a sr.Ask, free []sr.Candidate) int {
	var key uint64
	if len(a.Blocks) > 0 {
		key = a.Blocks[0]
	}
	best := 0
	var highest uint64
	for i, c := range free {
		weight := mix(key ^ xxhash.Sum64String(c.Endpoint))
		if i == 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// mix is a bijective finalizer that spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
