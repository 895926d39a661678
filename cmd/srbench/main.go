// Command srbench measures the scheduling policy by simulation in virtual time.
//
// # Usage
//
//	srbench --case rybomlyn --seed 1 --variant full --load 0.8
//	srbench --all --seed 1 --seed 2 --load 0.8 --load 1.5
//	srbench --case dwarsliggers --failure planned --domain oost-a
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/bench/srbench"
)

// options holds the flags of the command line.
type options struct {
	Case    []string      `help:"Cases to run." default:"rybomlyn"`
	Variant []string      `help:"Variants to run." default:"full"`
	Seed    []uint64      `help:"Seeds of the random generators." default:"1"`
	Load    []float64     `help:"Offered load relative to the capacity." default:"0.8"`
	All     bool          `help:"Run every case with every variant."`
	Tier    uint8         `help:"Generate only the requests of this tier; 0 generates all."`
	Flood   string        `help:"Workspace whose rate is multiplied."`
	FloodBy float64       `help:"Factor by which the rate of the flooding workspace is multiplied." default:"10"`
	Failure string        `help:"Failure of a failure domain: planned with notice, sudden without." enum:"none,planned,sudden" default:"none"`
	Domain  string        `help:"Failure domain that fails. The default is the first one of each case."`
	Measure time.Duration `help:"Length of the measured interval." default:"60s"`
	Format  string        `help:"Output format." enum:"table,summary,phases,json" default:"summary"`
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Measures the scheduling policy by simulation in virtual time."))
	results, err := run(o)
	ctx.FatalIfErrorf(err)
	ctx.FatalIfErrorf(write(o.Format, results))
}

func run(o options) ([]srbench.Result, error) {
	cases, variants, err := selectRuns(o)
	if err != nil {
		return nil, err
	}
	var results []srbench.Result
	for _, c := range cases {
		for _, load := range o.Load {
			for _, seed := range o.Seed {
				for _, v := range variants {
					r, err := srbench.Run(newPlan(o, c, v, seed, load))
					if err != nil {
						return nil, err
					}
					results = append(results, r)
				}
			}
		}
	}
	return results, nil
}

func selectRuns(o options) ([]srbench.Case, []srbench.Variant, error) {
	if o.All {
		return srbench.Cases(), srbench.Variants(), nil
	}
	var cases []srbench.Case
	for _, name := range o.Case {
		c, err := srbench.CaseByName(name)
		if err != nil {
			return nil, nil, err
		}
		cases = append(cases, c)
	}
	var variants []srbench.Variant
	for _, name := range o.Variant {
		v, err := srbench.VariantByName(name)
		if err != nil {
			return nil, nil, err
		}
		variants = append(variants, v)
	}
	return cases, variants, nil
}

func newPlan(o options, c srbench.Case, v srbench.Variant, seed uint64, load float64) srbench.Plan {
	p := srbench.Plan{
		Case: c, Variant: v, Seed: seed, Load: load,
		Only: sr.Tier(o.Tier), Flood: o.Flood, FloodBy: o.FloodBy, Measure: o.Measure,
	}
	domain := o.Domain
	if domain == "" {
		domain = c.Domains[0]
	}
	switch o.Failure {
	case "planned":
		p.Failure = srbench.PlannedFailure(domain)
	case "sudden":
		p.Failure = srbench.SuddenFailure(domain)
	}
	return p
}

func write(format string, results []srbench.Result) error {
	switch format {
	case "table":
		return srbench.WriteTable(os.Stdout, results)
	case "summary":
		return srbench.WriteSummary(os.Stdout, results)
	case "phases":
		return srbench.WritePhases(os.Stdout, results)
	case "json":
		return srbench.WriteJSON(os.Stdout, results)
	}
	return errors.Errorf("srbench: unknown format %q", format)
}
