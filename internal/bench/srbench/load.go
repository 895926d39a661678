package srbench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// blockTokens is the number of tokens in a prefix block.
	blockTokens = 64
	// templates is the number of shared prefixes per workspace, and
	// templateBlocks the greatest length of one.
	templates      = 8
	templateBlocks = 32
	// templateShare is the share of sessions that begin with a shared prefix.
	templateShare = 0.8

	// textMedian and textSigma shape the length in tokens of new prompt text.
	textMedian = 220.0
	textSigma  = 1.2
	textLeast  = 20
	textMost   = 6000
	// outputMedian and outputSigma shape the length of answers.
	outputMedian = 90.0
	outputSigma  = 1.0
	outputLeast  = 8
	outputMost   = 800
	// tokenLimit is the most tokens that callers ask for.
	tokenLimit = 1024

	// sessionShare is the share of requests that continue a session.
	sessionShare = 0.45
	// maxSessions bounds the open sessions of a workspace.
	maxSessions = 60
	// sessionMost is the prompt length in tokens at which a session ends.
	sessionMost = 8000

	// burstRate is the load in a burst relative to the mean.
	burstRate  = 2.0
	burstEvery = 20 * time.Second
	burstTime  = 3 * time.Second

	// callTime bounds the steps of a call of the plain service.
	callSteps  = 3
	callBudget = 5 * time.Second

	// sampleSize is the number of requests from which the means are taken.
	sampleSize = 4000
)

// request is one request of the load.
type request struct {
	id        int
	at        time.Duration
	kind      sr.Kind
	target    string
	tier      sr.Tier
	workspace int
	share     float64
	name      string
	prompt    int
	output    int
	blocks    []uint64
	budget    time.Duration
	entry     int
}

// session is a conversation whose prompts grow.
type session struct {
	id       uint64
	template int
	shared   int
	tokens   int
}

// source generates the requests of one workspace.
type source struct {
	c        Case
	index    int
	rng      *rand.Rand
	lengths  []int
	sessions []*session
	ids      uint64
}

func newSource(c Case, index int, seed uint64) *source {
	s := &source{c: c, index: index, rng: newRand(seed, uint64(index)+1)}
	for range templates {
		s.lengths = append(s.lengths, 1+s.rng.IntN(templateBlocks))
	}
	return s
}

// next returns a request without its time.
func (s *source) next() *request {
	w := s.c.Workspaces[s.index]
	r := &request{
		kind:      sr.KindModel,
		target:    ModelTarget,
		workspace: s.index,
		name:      w.Name,
		share:     w.Share,
		output:    lognormal(s.rng, outputMedian*w.Length, outputSigma, outputLeast, outputMost),
		entry:     draw(s.rng, s.c.Entries),
	}
	s.setTier(r)
	x := s.session()
	x.tokens += lognormal(s.rng, textMedian, textSigma, textLeast, textMost)
	r.prompt = x.tokens
	r.blocks = s.chain(x, r.prompt/blockTokens)
	x.tokens += r.output
	return r
}

func (s *source) setTier(r *request) {
	parts := make([]float64, len(s.c.Tiers))
	for i, t := range s.c.Tiers {
		parts[i] = t.Part
	}
	t := s.c.Tiers[draw(s.rng, parts)].Spec
	r.tier, r.budget = t.Rank, t.Budget
}

// session returns a session to continue, or a new one.
func (s *source) session() *session {
	if len(s.sessions) > 0 && s.rng.Float64() < sessionShare {
		i := s.rng.IntN(len(s.sessions))
		if s.sessions[i].tokens < sessionMost {
			return s.sessions[i]
		}
		s.sessions = append(s.sessions[:i], s.sessions[i+1:]...)
	}
	s.ids++
	// A square favours the first templates.
	u := s.rng.Float64()
	template := int(u * u * templates)
	x := &session{id: s.ids, template: template, shared: s.lengths[template]}
	if s.rng.Float64() >= templateShare {
		x.shared = 0
	}
	x.tokens = x.shared * blockTokens
	if len(s.sessions) < maxSessions {
		s.sessions = append(s.sessions, x)
	} else {
		s.sessions[s.rng.IntN(maxSessions)] = x
	}
	return x
}

// chain returns the hash chain of a session's first n blocks.
func (s *source) chain(x *session, n int) []uint64 {
	blocks := make([]uint64, 0, n)
	h := mix(uint64(s.index) + 1)
	for i := range n {
		content := uint64(x.template) + 1
		if i >= x.shared {
			content = x.id << 16
		}
		h = mix(h ^ mix(content+uint64(i)<<40))
		blocks = append(blocks, h)
	}
	return blocks
}

// load returns the requests of a plan in order of their arrival.
func load(p Plan) []*request {
	var all []*request
	capacity := p.Case.Capacity()
	bursts := burstTimes(p)
	for i, w := range p.Case.Workspaces {
		rate := p.Load * capacity * w.Part
		if w.Name == p.Flood {
			rate *= p.FloodBy
		}
		all = append(all, arrivals(p, newSource(p.Case, i, p.Seed), rate, bursts)...)
	}
	all = append(all, calls(p)...)
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	kept := all[:0]
	for i, r := range all {
		r.id = i
		if p.Only == 0 || r.tier == p.Only {
			kept = append(kept, r)
		}
	}
	return kept
}

// arrivals returns the Poisson arrivals of one workspace with common bursts.
func arrivals(p Plan, s *source, rate float64, bursts []time.Duration) []*request {
	var rs []*request
	base := rate * (1 - burstRate*share(burstTime, burstEvery)) / (1 - share(burstTime, burstEvery))
	for at := time.Duration(0); ; {
		now := base
		if inBurst(at, bursts) {
			now = rate * burstRate
		}
		at += time.Duration(s.rng.ExpFloat64() / now * float64(time.Second))
		if at >= p.end() {
			return rs
		}
		r := s.next()
		r.at = at
		rs = append(rs, r)
	}
}

// calls returns the calls of the plain service.
func calls(p Plan) []*request {
	var rs []*request
	rng := newRand(p.Seed, 0)
	if p.Case.Calls <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / p.Case.Calls * float64(time.Second))
		if at >= p.end() {
			return rs
		}
		w := rng.IntN(len(p.Case.Workspaces))
		rs = append(rs, &request{
			at: at, kind: sr.KindCall, target: CallTarget, tier: sr.TopTier,
			workspace: w, name: p.Case.Workspaces[w].Name, share: p.Case.Workspaces[w].Share,
			output: 2 + rng.IntN(callSteps), budget: callBudget, entry: draw(rng, p.Case.Entries),
		})
	}
}

func burstTimes(p Plan) []time.Duration {
	var at []time.Duration
	rng := newRand(p.Seed, 1<<32)
	for t := time.Duration(0); t < p.end(); t += burstEvery {
		at = append(at, t+time.Duration(rng.Int64N(int64(burstEvery-burstTime))))
	}
	return at
}

func inBurst(at time.Duration, bursts []time.Duration) bool {
	for _, b := range bursts {
		if at >= b && at < b+burstTime {
			return true
		}
	}
	return false
}

// meanLengths returns the mean prompt and output of the case in tokens.
func (c Case) meanLengths() (prompt, output float64) {
	parts := 0.0
	for i, w := range c.Workspaces {
		s := newSource(c, i, 1)
		n := sampleSize / len(c.Workspaces)
		for range n {
			r := s.next()
			prompt += w.Part * float64(r.prompt) / float64(n)
			output += w.Part * float64(r.output) / float64(n)
		}
		parts += w.Part
	}
	return prompt / parts, output / parts
}

func lognormal(rng *rand.Rand, median, sigma float64, least, most int) int {
	n := int(median * math.Exp(sigma*rng.NormFloat64()))
	return min(max(n, least), most)
}

// draw returns an index with chances in proportion to parts.
func draw(rng *rand.Rand, parts []float64) int {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	u := rng.Float64() * total
	for i, p := range parts {
		if u -= p; u < 0 {
			return i
		}
	}
	return len(parts) - 1
}

func share(part, whole time.Duration) float64 { return float64(part) / float64(whole) }

func newRand(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, mix(part))) }

// mix is a bijective finaliser that spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
