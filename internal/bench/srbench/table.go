package srbench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
)

// WriteTable writes results as a text table, one line per run and tier.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "case\tvariant\tseed\tload\ttier\toffered\tgood\tfirst ok\tserved\tp50 ms\tp95 ms\tlate\tcut\tshed\tlost\tfair\t")
	for _, r := range results {
		for _, t := range append(r.Tiers[:len(r.Tiers):len(r.Tiers)], r.Calls) {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f\t%s\t%d\t%s\t%s\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.3f\t\n",
				r.Case, r.Variant, r.Seed, r.Load, t.Name, t.Offered, percent(t.Goodput), percent(t.FirstOK),
				percent(t.Served), t.FirstP50, t.FirstP95, t.Late, t.Cut, t.Shed, t.Lost, t.Fairness)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "srbench: write table")
	}
	return nil
}

// WriteSummary writes results as a text table, one line per run.
func WriteSummary(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "case\tvariant\tseed\tload\tgood\ttop good\ttop served\tcached\twasted\tfalls\tmessages\tbytes\tquiet ms\ttop quiet ms\t")
	for _, r := range results {
		quiet, topQuiet := 0.0, 0.0
		for _, p := range r.Phases {
			quiet = max(quiet, p.Quiet)
			topQuiet = max(topQuiet, p.TopQuiet)
		}
		top := r.Tier(sr.TopTier)
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f\t%d\t%s\t%s\t%s\t%s\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t\n",
			r.Case, r.Variant, r.Seed, r.Load, r.Good(), percent(top.Goodput), percent(top.Served),
			percent(ratio(float64(r.Prefill.Cached), float64(r.Prefill.Prompt))), percent(r.WastedShare()),
			r.Falls, r.Messages, r.Bytes, quiet, topQuiet)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "srbench: write summary")
	}
	return nil
}

// WritePhases writes the phases of runs with a failure as a text table.
func WritePhases(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "case\tvariant\tseed\tload\tdomain\tphase\tseconds\tgood\tper s\tquiet ms\ttop quiet ms\tfalls\t")
	for _, r := range results {
		for _, p := range r.Phases {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f\t%s\t%s\t%.0f\t%d\t%.1f\t%.0f\t%.0f\t%d\t\n",
				r.Case, r.Variant, r.Seed, r.Load, r.Failure, p.Name, p.Seconds, p.Good, p.PerSecond, p.Quiet, p.TopQuiet, r.Falls)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "srbench: write phases")
	}
	return nil
}

// WriteJSON writes results as indented JSON.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(results), "srbench: write JSON")
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
