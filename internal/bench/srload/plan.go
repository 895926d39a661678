package srload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
)

const (
	// templates is the number of shared prefixes of a workspace.
	templates = 4
	filler    = "offcuts weighed at the gate, oak and azobe in the yard; "
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the time since the start of the run.
	At     time.Duration
	Kind   sr.Kind
	Mix    Mix
	Body   string
	Tokens int
	// Instance is the index of the first instance to submit to.
	Instance int
}

// planner draws the schedule.
type planner struct {
	cfg    Config
	rng    *rand.Rand
	weight float64
	at     time.Duration
	n      int
}

func newPlanner(cfg Config) *planner {
	p := &planner{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for _, m := range cfg.Mixes {
		p.weight += m.Weight
	}
	return p
}

// next returns the next arrival; ok is false behind the last one.
func (p *planner) next() (a Arrival, ok bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	p.n++
	if p.n > p.cfg.Count || p.at > p.cfg.Duration {
		return Arrival{}, false
	}
	a = Arrival{At: p.at, Kind: sr.KindModel, Mix: p.mix(), Instance: p.rng.IntN(len(p.cfg.Instances))}
	if p.rng.Float64() < p.cfg.Calls {
		a.Kind = sr.KindCall
		a.Body = fmt.Sprintf("lot %d of run %d", p.n, p.cfg.Seed)
		return a, true
	}
	a.Body = p.prompt(a.Mix.Workspace)
	a.Tokens = p.length(p.cfg.Answer)
	return a, true
}

func (p *planner) mix() Mix {
	at := p.rng.Float64() * p.weight
	for _, m := range p.cfg.Mixes {
		if at -= m.Weight; at < 0 {
			return m
		}
	}
	return p.cfg.Mixes[len(p.cfg.Mixes)-1]
}

// prompt returns a text that no other request has, with a shared prefix.
func (p *planner) prompt(workspace string) string {
	size := p.length(p.cfg.Prompt) * srprefix.TokenBytes
	shared := fill(fmt.Sprintf("%s form %d: ", workspace, p.rng.IntN(templates)), int(float64(size)*p.cfg.Shared))
	own := fmt.Sprintf("|%d/%d|", p.cfg.Seed, p.n)
	return shared + fill(own, max(size-len(shared), len(own)))
}

func (p *planner) length(r Range) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max)+1)
	n := int(math.Exp(low + p.rng.Float64()*(high-low)))
	return min(max(n, r.Min), r.Max)
}

// fill returns size bytes that begin with head.
func fill(head string, size int) string {
	rest := max(size-len(head), 0)
	text := head + strings.Repeat(filler, rest/len(filler)+1)
	return text[:size]
}
