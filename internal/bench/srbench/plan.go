package srbench

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// firstTokenTarget is the target for the time to the first token.
	firstTokenTarget = 490 * time.Millisecond
	// DefaultWarm is the default length of the warm-up before the measured interval.
	DefaultWarm = 15 * time.Second
	// DefaultMeasure is the default length of the measured interval.
	DefaultMeasure = 60 * time.Second
	// drainTime is the time after the last arrival in which answers still count.
	drainTime = 100 * time.Second
)

// Failure is the outage of a failure domain. Times count from the start of the
// measured interval.
type Failure struct {
	Domain string
	// Out is when operators disable the domain in the manifest, Stop when its
	// endpoints stop, Boot when they start again, cold, and Back when the manifest
	// enables the domain again.
	Out  time.Duration
	Stop time.Duration
	Boot time.Duration
	Back time.Duration
}

// PlannedFailure returns an outage in which the domain is disabled before its endpoints stop.
func PlannedFailure(domain string) Failure {
	return Failure{Domain: domain, Out: 15 * time.Second, Stop: 25 * time.Second, Boot: 34 * time.Second, Back: 35 * time.Second}
}

// SuddenFailure returns an outage in which the endpoints stop before the domain is disabled.
func SuddenFailure(domain string) Failure {
	return Failure{Domain: domain, Stop: 15 * time.Second, Out: 18 * time.Second, Boot: 34 * time.Second, Back: 35 * time.Second}
}

// impairedAt returns when the outage begins to affect the domain.
func (f Failure) impairedAt() time.Duration { return min(f.Out, f.Stop) }

// Plan describes a run.
type Plan struct {
	Case    Case
	Variant Variant
	Seed    uint64
	// Load is the offered load relative to Case.Capacity.
	Load float64
	// Only restricts the load to one tier; 0 means all tiers.
	Only sr.Tier
	// Flood is a workspace whose rate is multiplied by FloodBy.
	Flood   string
	FloodBy float64
	// Failure divides the measured interval into phases. Without a domain no
	// endpoint fails.
	Failure Failure
	// Warm is the length of the warm-up, Measure that of the measured interval.
	Warm    time.Duration
	Measure time.Duration
}

func (p Plan) withDefaults() Plan {
	if p.Warm <= 0 {
		p.Warm = DefaultWarm
	}
	if p.Measure <= 0 {
		p.Measure = DefaultMeasure
	}
	return p
}

// arrivalsEnd returns the end of the arrivals and of the measured interval.
func (p Plan) arrivalsEnd() time.Duration { return p.Warm + p.Measure }

// validate returns an error that wraps sr.ErrInvalid for an invalid plan, and one
// that wraps sr.ErrMissing for an unknown failure domain.
func (p Plan) validate() error {
	switch {
	case len(p.Case.Endpoints) == 0 || len(p.Case.Entries) == 0:
		return errors.Wrap(sr.ErrInvalid, "srbench: the case has no endpoints or no entry instances")
	case p.Variant.placer == nil:
		return errors.Wrap(sr.ErrInvalid, "srbench: the plan has no variant")
	case p.Load <= 0:
		return errors.Wrapf(sr.ErrInvalid, "srbench: load is %v, want more than 0", p.Load)
	case p.Flood != "" && p.FloodBy <= 0:
		return errors.Wrapf(sr.ErrInvalid, "srbench: flood factor is %v, want more than 0", p.FloodBy)
	}
	f := p.Failure
	if f.Domain == "" {
		return nil
	}
	if !slices.Contains(p.Case.Domains, f.Domain) {
		return errors.Wrapf(sr.ErrMissing, "srbench: unknown failure domain %q", f.Domain)
	}
	if f.Stop >= f.Boot || f.Out >= f.Back || f.Back >= p.Measure {
		return errors.Wrap(sr.ErrInvalid, "srbench: failure times must be in order: Stop before Boot, Out before Back, Back before the end of the interval")
	}
	return nil
}
