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
	// templateCount is the number of shared prompt prefixes per workspace.
	templateCount = 4
	// filler is the text that prompts repeat up to their length.
	filler = "offcuts weighed at the gate, oak and azobe in the yard; "
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind sr.Kind
	Mix  Mix
	// Body is the prompt of a model request or the body of a call.
	Body string
	// Tokens is the requested length of the answer to a model request.
	Tokens int
	// Instance is the index of the first instance to submit to.
	Instance int
}

// planner generates the schedule.
type planner struct {
	cfg         Config
	rng         *rand.Rand
	totalWeight float64
	at          time.Duration
	count       int
}

func newPlanner(cfg Config) *planner {
	p := &planner{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for _, m := range cfg.Mixes {
		p.totalWeight += m.Weight
	}
	return p
}

// next returns the next arrival; ok is false after the last one.
func (p *planner) next() (a Arrival, ok bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	p.count++
	if p.count > p.cfg.Count || p.at > p.cfg.Duration {
		return Arrival{}, false
	}
	a = Arrival{At: p.at, Kind: sr.KindModel, Mix: p.drawMix(), Instance: p.rng.IntN(len(p.cfg.Instances))}
	if p.rng.Float64() < p.cfg.CallFraction {
		a.Kind = sr.KindCall
		a.Body = fmt.Sprintf("lot %d of run %d", p.count, p.cfg.Seed)
		return a, true
	}
	a.Body = p.prompt(a.Mix.Workspace)
	a.Tokens = p.drawLength(p.cfg.Answer)
	return a, true
}

func (p *planner) drawMix() Mix {
	x := p.rng.Float64() * p.totalWeight
	for _, m := range p.cfg.Mixes {
		if x -= m.Weight; x < 0 {
			return m
		}
	}
	return p.cfg.Mixes[len(p.cfg.Mixes)-1]
}

// prompt returns a text that is unique to the request after a shared prefix.
func (p *planner) prompt(workspace string) string {
	size := p.drawLength(p.cfg.Prompt) * srprefix.TokenBytes
	shared := padTo(fmt.Sprintf("%s form %d: ", workspace, p.rng.IntN(templateCount)), int(float64(size)*p.cfg.SharedFraction))
	own := fmt.Sprintf("|%d/%d|", p.cfg.Seed, p.count)
	return shared + padTo(own, max(size-len(shared), len(own)))
}

func (p *planner) drawLength(r Range) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max)+1)
	n := int(math.Exp(low + p.rng.Float64()*(high-low)))
	return min(max(n, r.Min), r.Max)
}

// padTo returns prefix followed by filler, cut to size bytes.
func padTo(prefix string, size int) string {
	padding := max(size-len(prefix), 0)
	text := prefix + strings.Repeat(filler, padding/len(filler)+1)
	return text[:size]
}
