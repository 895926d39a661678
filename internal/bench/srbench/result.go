package srbench

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Prefill counts the prompt tokens of requests that an endpoint accepted.
type Prefill struct {
	// Prompt is the total, Cached the part in the cache of the chosen endpoint.
	Prompt int
	Cached int
	// Elsewhere counts tokens that were prefilled although they were cached at
	// another endpoint.
	Elsewhere int
	// Cut counts tokens that were prefilled for requests that were cancelled or lost.
	Cut int
}

// Wasted returns the number of tokens that were prefilled in vain.
func (p Prefill) Wasted() int { return p.Elsewhere + p.Cut }

// TierResult holds the results of a tier.
type TierResult struct {
	Tier    sr.Tier
	Name    string
	Offered int
	// Good counts complete answers within the deadline and Late those after it. Cut
	// counts answers that were cancelled, Shed requests that were refused or
	// expired, and Lost those that broke off with an endpoint.
	Good int
	Late int
	Cut  int
	Shed int
	Lost int
	// Goodput is Good as a share of Offered.
	Goodput float64
	// FirstOK is the share of Offered that is good and met the target for the first
	// token. Served is the part of FirstOK that met the target for the time between
	// tokens as well.
	FirstOK float64
	Served  float64
	// FirstP50 and FirstP95 are quantiles of the time to the first token in
	// milliseconds.
	FirstP50 float64
	FirstP95 float64
	// Fairness is Jain's fairness index over the goodput of the workspaces; 1 is best.
	Fairness   float64
	Workspaces []WorkspaceResult
}

// WorkspaceResult holds the results of a workspace in a tier.
type WorkspaceResult struct {
	Name    string
	Offered int
	Good    int
}

// Phase holds the results of the interval before, during or after a domain's outage.
type Phase struct {
	Name    string
	Seconds float64
	// Good counts complete answers within the deadline to requests that arrived in
	// the phase.
	Good int
	// PerSecond is Good per second.
	PerSecond float64
	// Quiet is the longest time between two good answers in milliseconds, TopQuiet
	// the same for the top tier.
	Quiet    float64
	TopQuiet float64
}

// Result holds the results of a run.
type Result struct {
	Case    string
	Variant string
	Seed    uint64
	Load    float64
	Only    sr.Tier
	Flood   string
	Failure string
	// Rate is the number of offered model requests per second.
	Rate  float64
	Tiers []TierResult
	// Calls holds the results of the calls of the plain service.
	Calls   TierResult
	Prefill Prefill
	// Falls counts the crashes of cold endpoints.
	Falls int
	// Messages and Bytes are the control messages and their bytes per request.
	Messages float64
	Bytes    float64
	Phases   []Phase
	// Reasons counts the shed requests by the name of the refusal.
	Reasons map[string]int
}

// Tier returns the results of a tier, or an empty value when it has none.
func (r Result) Tier(t sr.Tier) TierResult {
	for _, x := range r.Tiers {
		if x.Tier == t {
			return x
		}
	}
	return TierResult{}
}

// Good returns the number of good answers of all tiers, without calls.
func (r Result) Good() int {
	n := 0
	for _, t := range r.Tiers {
		n += t.Good
	}
	return n
}

// WastedShare returns the wasted prompt tokens as a share of all prompt tokens.
func (r Result) WastedShare() float64 {
	return ratio(float64(r.Prefill.Wasted()), float64(r.Prefill.Prompt))
}

// result returns the results of a run with the given totals of control messages.
func (b *bench) result(messages, bytes int) Result {
	p := b.plan
	r := Result{
		Case: p.Case.Name, Variant: p.Variant.Name, Seed: p.Seed, Load: p.Load, Only: p.Only,
		Flood: p.Flood, Failure: p.Failure.Domain, Prefill: b.stats.prefill, Reasons: b.stats.reasons,
	}
	offered := b.stats.calls.offered
	for _, t := range p.Case.Tiers {
		x := b.tierResult(t.Spec)
		offered += x.Offered
		r.Tiers = append(r.Tiers, x)
	}
	r.Calls = b.stats.calls.result()
	r.Calls.Name = "calls"
	r.Rate = float64(offered-r.Calls.Offered) / p.Measure.Seconds()
	r.Messages = ratio(float64(messages), float64(offered))
	r.Bytes = ratio(float64(bytes), float64(offered))
	for _, name := range b.endpointNames {
		r.Falls += b.engines[name].crashes
	}
	r.Phases = b.phases()
	return r
}

func (b *bench) tierResult(spec sr.TierSpec) TierResult {
	x := b.stats.tiers[spec.Rank].result()
	x.Tier, x.Name = spec.Rank, spec.Name
	var sum, squares, n float64
	for i, t := range b.stats.workspaces[spec.Rank] {
		x.Workspaces = append(x.Workspaces, WorkspaceResult{
			Name: b.plan.Case.Workspaces[i].Name, Offered: t.offered, Good: t.good,
		})
		if t.offered == 0 {
			continue
		}
		g := float64(t.good) / float64(t.offered)
		sum += g
		squares += g * g
		n++
	}
	x.Fairness = ratio(sum*sum, n*squares)
	return x
}

func (t *tally) result() TierResult {
	offered := float64(t.offered)
	return TierResult{
		Offered: t.offered, Good: t.good, Late: t.late, Cut: t.cut, Shed: t.shed, Lost: t.lost,
		Goodput:  ratio(float64(t.good), offered),
		FirstOK:  ratio(float64(t.firstOK), offered),
		Served:   ratio(float64(t.served), offered),
		FirstP50: float64(t.firstTokens.ValueAtQuantile(50)) / 1000,
		FirstP95: float64(t.firstTokens.ValueAtQuantile(95)) / 1000,
	}
}

func (b *bench) phases() []Phase {
	p := b.plan
	if p.Failure.Back == 0 {
		return []Phase{b.phase("all", p.Warm, p.arrivalsEnd())}
	}
	outageStart, outageEnd := p.Warm+p.Failure.impairedAt(), p.Warm+p.Failure.Back
	return []Phase{
		b.phase("before", p.Warm, outageStart),
		b.phase("during", outageStart, outageEnd),
		b.phase("after", outageEnd, p.arrivalsEnd()),
	}
}

func (b *bench) phase(name string, from, to time.Duration) Phase {
	model := func(a goodAnswer) bool { return a.kind == sr.KindModel }
	top := func(a goodAnswer) bool { return model(a) && a.tier == sr.TopTier }
	good := b.stats.countAnswers(from, to, model)
	return Phase{
		Name:      name,
		Seconds:   (to - from).Seconds(),
		Good:      good,
		PerSecond: float64(good) / (to - from).Seconds(),
		Quiet:     float64(b.stats.longestGap(from, to, model)) / float64(time.Millisecond),
		TopQuiet:  float64(b.stats.longestGap(from, to, top)) / float64(time.Millisecond),
	}
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
