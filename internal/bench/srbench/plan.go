package srbench

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// firstTarget is the target time to the first token.
	firstTarget = 490 * time.Millisecond
	// DefaultWarm is the time before the measured interval.
	DefaultWarm = 15 * time.Second
	// DefaultMeasure is the measured interval.
	DefaultMeasure = 60 * time.Second
	// drain is the time after the last arrival in which answers still count.
	drain = 100 * time.Second
)

// Failure is a failure domain that leaves and returns. Times count from the
// start of the measured interval.
type Failure struct {
	Domain string
	// Out is when operators take the domain out in the manifest, Stop when its
	// endpoints die, Boot when they start again, cold, and Back when the
	// manifest has the domain in again.
	Out  time.Duration
	Stop time.Duration
	Boot time.Duration
	Back time.Duration
}

// Planned returns a domain taken out with notice and brought back.
func Planned(domain string) Failure {
	return Failure{Domain: domain, Out: 15 * time.Second, Stop: 25 * time.Second, Boot: 34 * time.Second, Back: 35 * time.Second}
}

// Sudden returns a domain whose endpoints die without notice.
func Sudden(domain string) Failure {
	return Failure{Domain: domain, Stop: 15 * time.Second, Out: 18 * time.Second, Boot: 34 * time.Second, Back: 35 * time.Second}
}

// left returns when the domain is first impaired.
func (f Failure) left() time.Duration { return min(f.Out, f.Stop) }

// Plan is one run.
type Plan struct {
	Case    Case
	Variant Variant
	Seed    uint64
	// Load is the offered load relative to the capacity.
	Load float64
	// Only keeps the requests of one tier, 0 for all.
	Only sr.Tier
	// Flood is a workspace whose rate is multiplied by FloodBy.
	Flood   string
	FloodBy float64
	// Failure divides the interval into phases; without a domain nothing fails.
	Failure Failure
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

// end returns when the last request arrives.
func (p Plan) end() time.Duration { return p.Warm + p.Measure }

// check returns an error that wraps sr.ErrInvalid for a plan that can't be run.
func (p Plan) check() error {
	switch {
	case len(p.Case.Endpoints) == 0 || len(p.Case.Entries) == 0:
		return errors.Wrap(sr.ErrInvalid, "srbench: the case has no endpoints or no entries")
	case p.Variant.placer == nil:
		return errors.Wrap(sr.ErrInvalid, "srbench: the plan has no variant")
	case p.Load <= 0:
		return errors.Wrapf(sr.ErrInvalid, "srbench: load %v is not above 0", p.Load)
	case p.Flood != "" && p.FloodBy <= 0:
		return errors.Wrapf(sr.ErrInvalid, "srbench: flood factor %v is not above 0", p.FloodBy)
	}
	f := p.Failure
	if f.Domain == "" {
		return nil
	}
	if !slices.Contains(p.Case.Domains, f.Domain) {
		return errors.Wrapf(sr.ErrMissing, "srbench: failure domain %q", f.Domain)
	}
	if f.Stop >= f.Boot || f.Out >= f.Back || f.Back >= p.Measure {
		return errors.Wrap(sr.ErrInvalid, "srbench: the domain has to leave, return, and the interval to end, in this order")
	}
	return nil
}
