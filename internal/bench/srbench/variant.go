package srbench

import (
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srbaseline"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// headroomSlots is what the variant without preemption keeps free per pool.
const headroomSlots = 4

// Variant is a way to schedule.
type Variant struct {
	Name string
	// Affinity reports whether it looks at prompt prefixes.
	Affinity bool
	// Baseline reports whether it is a simple placer to compare with.
	Baseline bool
	placer   func(classes map[string]sr.Class, seed uint64) sr.Placer
	picker   func(seed uint64) picker
	slots    srslot.Options
}

// Full is the scheduler with all its mechanisms.
const Full = "full"

// Variants returns the scheduler, the baselines, and the scheduler with each
// mechanism off.
func Variants() []Variant {
	return append(append([]Variant{scheduler(Full)}, baselines()...), reductions()...)
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

// guided places by a simple rule and takes all estimates from the scheduler,
// so that a baseline differs from it in the placement alone.
type guided struct {
	*srroute.Placer
	rule sr.Placer
}

// Place implements sr.Placer.
func (g guided) Place(now time.Time, a sr.Ask, free []sr.Candidate) (sr.Placement, bool) {
	return g.rule.Place(now, a, free)
}

func baseline(name string, rule func(classes map[string]sr.Class, seed uint64) sr.Placer, pick func(seed uint64) picker) Variant {
	return Variant{
		Name:     name,
		Baseline: true,
		placer: func(classes map[string]sr.Class, seed uint64) sr.Placer {
			o := srroute.Options{Seed: seed, Classes: classes, NoAffinity: true}
			return guided{Placer: srroute.New(o), rule: rule(classes, seed)}
		},
		picker: pick,
	}
}

func scheduler(name string) Variant { return routed(name, srroute.Options{}, true) }

// routed returns the scheduler with the given options of its placers.
func routed(name string, o srroute.Options, affinity bool) Variant {
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
	least := func(classes map[string]sr.Class, seed uint64) sr.Placer {
		return srbaseline.NewLeastOutstanding(classes, seed)
	}
	twoChoices := func(classes map[string]sr.Class, seed uint64) sr.Placer {
		return srbaseline.NewTwoChoices(classes, seed)
	}
	prefixHash := func(classes map[string]sr.Class, _ uint64) sr.Placer { return srbaseline.NewPrefixHash(classes) }
	hash := baseline("prefix-hash", prefixHash, func(uint64) picker { return hashing{} })
	hash.Affinity = true
	return []Variant{
		baseline("round-robin", roundRobin, func(uint64) picker { return &rotation{} }),
		baseline("least-outstanding", least, leastLoaded),
		baseline("two-choices", twoChoices, leastLoaded),
		hash,
	}
}

func reductions() []Variant {
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
		routed("no-affinity", srroute.Options{NoAffinity: true}, false),
		routed("no-rates", srroute.Options{NoRates: true}, true),
		routed("no-lengths", srroute.Options{NoLengths: true}, true),
		noFloor, noPreempt, headroom, noRamp, noFair,
	}
}
