package srbench

import (
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srbaseline"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// headroomSlots is the number of slots per pool that the headroom variant reserves.
const headroomSlots = 4

// Variant is a scheduling policy.
type Variant struct {
	Name string
	// Affinity reports whether the variant places requests by their prompt prefix.
	Affinity bool
	// Baseline reports whether the variant is a simple placer for comparison.
	Baseline bool
	placer   func(classes map[string]sr.Class, seed uint64) sr.Placer
	picker   func(seed uint64) picker
	slots    srslot.Options
}

// Full is the name of the scheduler with all its mechanisms.
const Full = "full"

// Variants returns the scheduler, the baselines, and the scheduler with single
// mechanisms disabled.
func Variants() []Variant {
	return append(append([]Variant{scheduler(Full)}, baselines()...), ablations()...)
}

// VariantByName returns a variant or an error that wraps sr.ErrMissing.
func VariantByName(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Wrapf(sr.ErrMissing, "srbench: variant %q", name)
}

// rulePlacer places by a simple rule and takes all estimates from the scheduler, so
// that a baseline differs from the scheduler in the placement only.
type rulePlacer struct {
	*srroute.Placer
	rule sr.Placer
}

// Place implements sr.Placer.
func (p rulePlacer) Place(now time.Time, a sr.Ask, free []sr.Candidate) (sr.Placement, bool) {
	return p.rule.Place(now, a, free)
}

func baseline(name string, rule func(classes map[string]sr.Class, seed uint64) sr.Placer, pick func(seed uint64) picker) Variant {
	return Variant{
		Name:     name,
		Baseline: true,
		placer: func(classes map[string]sr.Class, seed uint64) sr.Placer {
			o := srroute.Options{Seed: seed, Classes: classes, NoAffinity: true}
			return rulePlacer{Placer: srroute.New(o), rule: rule(classes, seed)}
		},
		picker: pick,
	}
}

func scheduler(name string) Variant { return schedulerVariant(name, srroute.Options{}, true) }

// schedulerVariant returns the scheduler with the given options of its placers.
func schedulerVariant(name string, o srroute.Options, affinity bool) Variant {
	return Variant{
		Name:     name,
		Affinity: affinity,
		placer: func(classes map[string]sr.Class, seed uint64) sr.Placer {
			o := o
			o.Seed, o.Classes = seed, classes
			return srroute.New(o)
		},
		picker: func(seed uint64) picker {
			return srroute.NewPicker(srroute.PickerOptions{Seed: seed, NoAffinity: !affinity})
		},
	}
}

func baselines() []Variant {
	leastLoaded := func(seed uint64) picker {
		return srroute.NewPicker(srroute.PickerOptions{Seed: seed, NoAffinity: true})
	}
	roundRobin := func(classes map[string]sr.Class, _ uint64) sr.Placer { return srbaseline.NewRoundRobin(classes) }
	leastOutstanding := func(classes map[string]sr.Class, seed uint64) sr.Placer {
		return srbaseline.NewLeastOutstanding(classes, seed)
	}
	twoChoices := func(classes map[string]sr.Class, seed uint64) sr.Placer {
		return srbaseline.NewTwoChoices(classes, seed)
	}
	prefixHash := func(classes map[string]sr.Class, _ uint64) sr.Placer { return srbaseline.NewPrefixHash(classes) }
	hash := baseline("prefix-hash", prefixHash, func(uint64) picker { return prefixHashPicker{} })
	hash.Affinity = true
	return []Variant{
		baseline("round-robin", roundRobin, func(uint64) picker { return &roundRobinPicker{} }),
		baseline("least-outstanding", leastOutstanding, leastLoaded),
		baseline("two-choices", twoChoices, leastLoaded),
		hash,
	}
}

func ablations() []Variant {
	noFloor := scheduler("no-floors")
	noFloor.slots.Disabled.Floor = true
	noFloor.slots.Disabled.Settling = true
	noPreempt := scheduler("no-preemption")
	noPreempt.slots.PreemptOff = true
	headroom := scheduler("headroom")
	headroom.slots.PreemptOff = true
	headroom.slots.Headroom = headroomSlots
	noRamp := scheduler("no-ramp")
	noRamp.slots.Disabled.Ramp = true
	noFair := scheduler("no-fair-share")
	noFair.slots.Disabled.FairShare = true
	return []Variant{
		schedulerVariant("no-affinity", srroute.Options{NoAffinity: true}, false),
		schedulerVariant("no-rates", srroute.Options{NoRates: true}, true),
		schedulerVariant("no-lengths", srroute.Options{NoLengths: true}, true),
		noFloor, noPreempt, headroom, noRamp, noFair,
	}
}
