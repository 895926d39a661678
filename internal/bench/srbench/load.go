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
	// templateCount is the number of shared prompt prefixes per workspace, and
	// maxTemplateBlocks the greatest length of one in blocks.
	templateCount     = 8
	maxTemplateBlocks = 32
	// templateShare is the share of sessions that begin with a shared prefix.
	templateShare = 0.8

	// promptMedian, promptSigma, promptMin and promptMax define the log-normal
	// distribution of the tokens that a request adds to the prompt of its session.
	promptMedian = 220.0
	promptSigma  = 1.2
	promptMin    = 20
	promptMax    = 6000
	// outputMedian, outputSigma, outputMin and outputMax define the log-normal
	// distribution of the answer length in tokens.
	outputMedian = 90.0
	outputSigma  = 1.0
	outputMin    = 8
	outputMax    = 800
	// tokenLimit is the answer length in tokens that every caller sets as its limit.
	tokenLimit = 1024

	// sessionShare is the share of requests that continue a session.
	sessionShare = 0.45
	// maxSessions is the maximum number of open sessions per workspace.
	maxSessions = 60
	// maxSessionTokens is the prompt length in tokens at which a session ends.
	maxSessionTokens = 8000

	// burstFactor is the arrival rate in a burst relative to the mean rate.
	burstFactor   = 2.0
	burstInterval = 20 * time.Second
	burstDuration = 3 * time.Second

	// minCallSteps is the minimum number of steps of a call of the plain service, and
	// callStepRange the number of possible values.
	minCallSteps  = 2
	callStepRange = 3
	callTimeout   = 5 * time.Second

	// sampleSize is the number of requests from which the mean lengths are computed.
	sampleSize = 4000
)

// request is a generated request of the load. blocks is the hash chain of its prompt,
// and budget the time from its arrival to its deadline.
type request struct {
	id             int
	at             time.Duration
	kind           sr.Kind
	target         string
	tier           sr.Tier
	workspaceIndex int
	share          float64
	workspaceName  string
	promptTokens   int
	outputTokens   int
	blocks         []uint64
	budget         time.Duration
	entryIndex     int
}

// session is a conversation whose prompt grows with each request. Its first
// sharedBlocks blocks are a template.
type session struct {
	id           uint64
	template     int
	sharedBlocks int
	tokens       int
}

// source generates the requests of one workspace.
type source struct {
	c               Case
	workspaceIndex  int
	rng             *rand.Rand
	templateLengths []int
	sessions        []*session
	lastSession     uint64
}

func newSource(c Case, index int, seed uint64) *source {
	s := &source{c: c, workspaceIndex: index, rng: newRand(seed, uint64(index)+1)}
	for range templateCount {
		s.templateLengths = append(s.templateLengths, 1+s.rng.IntN(maxTemplateBlocks))
	}
	return s
}

// nextRequest returns a request without its arrival time.
func (s *source) nextRequest() *request {
	w := s.c.Workspaces[s.workspaceIndex]
	r := &request{
		kind:           sr.KindModel,
		target:         ModelTarget,
		workspaceIndex: s.workspaceIndex,
		workspaceName:  w.Name,
		share:          w.Share,
		outputTokens:   lognormal(s.rng, outputMedian*w.Length, outputSigma, outputMin, outputMax),
		entryIndex:     weightedIndex(s.rng, s.c.Entries),
	}
	s.setTier(r)
	x := s.session()
	x.tokens += lognormal(s.rng, promptMedian, promptSigma, promptMin, promptMax)
	r.promptTokens = x.tokens
	r.blocks = s.chain(x, r.promptTokens/blockTokens)
	x.tokens += r.outputTokens
	return r
}

func (s *source) setTier(r *request) {
	weights := make([]float64, len(s.c.Tiers))
	for i, t := range s.c.Tiers {
		weights[i] = t.LoadShare
	}
	t := s.c.Tiers[weightedIndex(s.rng, weights)].Spec
	r.tier, r.budget = t.Rank, t.Budget
}

// session returns a session to continue, or a new one.
func (s *source) session() *session {
	if len(s.sessions) > 0 && s.rng.Float64() < sessionShare {
		i := s.rng.IntN(len(s.sessions))
		if s.sessions[i].tokens < maxSessionTokens {
			return s.sessions[i]
		}
		s.sessions = append(s.sessions[:i], s.sessions[i+1:]...)
	}
	s.lastSession++
	// Squaring the random number makes the first templates more frequent.
	u := s.rng.Float64()
	template := int(u * u * templateCount)
	x := &session{id: s.lastSession, template: template, sharedBlocks: s.templateLengths[template]}
	if s.rng.Float64() >= templateShare {
		x.sharedBlocks = 0
	}
	x.tokens = x.sharedBlocks * blockTokens
	if len(s.sessions) < maxSessions {
		s.sessions = append(s.sessions, x)
	} else {
		s.sessions[s.rng.IntN(maxSessions)] = x
	}
	return x
}

// chain returns the hash chain of the first n blocks of a session.
func (s *source) chain(x *session, n int) []uint64 {
	blocks := make([]uint64, 0, n)
	h := mix(uint64(s.workspaceIndex) + 1)
	for i := range n {
		content := uint64(x.template) + 1
		if i >= x.sharedBlocks {
			// The shift keeps session IDs apart from template numbers.
			content = x.id << 16
		}
		h = mix(h ^ mix(content+uint64(i)<<40))
		blocks = append(blocks, h)
	}
	return blocks
}

// generateLoad returns the requests of a plan in order of arrival. IDs are assigned
// before the filter by tier, so Plan.Only does not change them.
func generateLoad(p Plan) []*request {
	var all []*request
	capacity := p.Case.Capacity()
	bursts := burstTimes(p)
	for i, w := range p.Case.Workspaces {
		rate := p.Load * capacity * w.LoadShare
		if w.Name == p.Flood {
			rate *= p.FloodBy
		}
		all = append(all, modelArrivals(p, newSource(p.Case, i, p.Seed), rate, bursts)...)
	}
	all = append(all, callArrivals(p)...)
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

// modelArrivals returns the Poisson arrivals of one workspace. All workspaces have
// their bursts at the same times.
func modelArrivals(p Plan, s *source, rate float64, bursts []time.Duration) []*request {
	var rs []*request
	// The rate between bursts is lower than the mean, so that the mean including the
	// bursts is rate.
	base := rate * (1 - burstFactor*durationRatio(burstDuration, burstInterval)) / (1 - durationRatio(burstDuration, burstInterval))
	for at := time.Duration(0); ; {
		current := base
		if inBurst(at, bursts) {
			current = rate * burstFactor
		}
		at += time.Duration(s.rng.ExpFloat64() / current * float64(time.Second))
		if at >= p.arrivalsEnd() {
			return rs
		}
		r := s.nextRequest()
		r.at = at
		rs = append(rs, r)
	}
}

// callArrivals returns the Poisson arrivals of calls of the plain service.
func callArrivals(p Plan) []*request {
	var rs []*request
	rng := newRand(p.Seed, 0)
	if p.Case.Calls <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / p.Case.Calls * float64(time.Second))
		if at >= p.arrivalsEnd() {
			return rs
		}
		w := rng.IntN(len(p.Case.Workspaces))
		rs = append(rs, &request{
			at: at, kind: sr.KindCall, target: CallTarget, tier: sr.TopTier,
			workspaceIndex: w, workspaceName: p.Case.Workspaces[w].Name, share: p.Case.Workspaces[w].Share,
			outputTokens: minCallSteps + rng.IntN(callStepRange), budget: callTimeout, entryIndex: weightedIndex(rng, p.Case.Entries),
		})
	}
}

func burstTimes(p Plan) []time.Duration {
	var at []time.Duration
	rng := newRand(p.Seed, 1<<32)
	for t := time.Duration(0); t < p.arrivalsEnd(); t += burstInterval {
		at = append(at, t+time.Duration(rng.Int64N(int64(burstInterval-burstDuration))))
	}
	return at
}

func inBurst(at time.Duration, bursts []time.Duration) bool {
	for _, b := range bursts {
		if at >= b && at < b+burstDuration {
			return true
		}
	}
	return false
}

// meanLengths returns the mean prompt and output lengths of the case in tokens.
func (c Case) meanLengths() (prompt, output float64) {
	total := 0.0
	for i, w := range c.Workspaces {
		s := newSource(c, i, 1)
		n := sampleSize / len(c.Workspaces)
		for range n {
			r := s.nextRequest()
			prompt += w.LoadShare * float64(r.promptTokens) / float64(n)
			output += w.LoadShare * float64(r.outputTokens) / float64(n)
		}
		total += w.LoadShare
	}
	return prompt / total, output / total
}

func lognormal(rng *rand.Rand, median, sigma float64, low, high int) int {
	n := int(median * math.Exp(sigma*rng.NormFloat64()))
	return min(max(n, low), high)
}

// weightedIndex returns a random index with a probability proportional to its weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	u := rng.Float64() * total
	for i, weight := range weights {
		if u -= weight; u < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func durationRatio(part, whole time.Duration) float64 { return float64(part) / float64(whole) }

// newRand returns a generator for one purpose. Each purpose of a run has its own
// stream number, so that the numbers drawn for one do not depend on the others.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, mix(stream))) }

// mix is a bijective 64-bit hash finaliser (splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
