package srload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// TierCalls is the name under which calls of plain services are reported, as they have
	// no tier.
	TierCalls = "(calls)"

	// maxFaults is the maximum number of faults that a report describes.
	maxFaults = 20
	// maxReasons is the maximum number of reasons that are counted separately for a tier;
	// further ones are counted as reasonOther.
	maxReasons  = 32
	reasonOther = "other"

	// maxMicroseconds and significantDigits are the range and the precision of the
	// histograms.
	maxMicroseconds   = int64(2 * MaxDuration / time.Microsecond)
	significantDigits = 3
)

// Report holds the results of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Seconds is the time from the start of the schedule to the last answer.
	Seconds float64 `json:"seconds"`
	// Skipped counts arrivals that were not submitted, because Config.InFlight requests
	// were in flight.
	Skipped int    `json:"skipped"`
	Tiers   []Tier `json:"tiers"`
	// FaultCount counts wrong answers and requests whose number of runs contradicts their
	// outcome.
	FaultCount int      `json:"fault_count"`
	Faults     []string `json:"faults,omitempty"`
	// Audited counts the requests whose runs were compared with their outcomes.
	Audited int `json:"audited"`
}

// Tier holds the results of one tier.
type Tier struct {
	Tier     string `json:"tier"`
	Requests int    `json:"requests"`
	Complete int    `json:"complete"`
	CutShort int    `json:"cut_short"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// Wrong counts the answers that differ from the expected ones.
	Wrong int `json:"wrong"`
	// Retried counts the requests that took more than one attempt.
	Retried int `json:"retried"`
	// First holds the time from the scheduled arrival to the first text of an answer, or
	// to the answer of a call. Gap holds the time between two texts of an answer.
	First Quantiles `json:"first"`
	Gap   Quantiles `json:"gap"`
	// Reasons counts the requests that are not complete by their reasons.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Quantiles holds quantiles of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// collector aggregates results. It is not safe for concurrent use.
type collector struct {
	cfg        Config
	tiers      map[string]*tally
	audited    []auditedRequest
	faults     []string
	faultCount int
}

// tally aggregates the results of one tier.
type tally struct {
	Tier
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// auditedRequest is the part of a result that the audit needs.
type auditedRequest struct {
	kind    sr.Kind
	body    string
	ticket  string
	outcome sr.Outcome
}

func newCollector(cfg Config) *collector {
	return &collector{cfg: cfg, tiers: make(map[string]*tally)}
}

func (c *collector) add(r result) {
	name := r.Mix.Tier
	if r.Kind == sr.KindCall {
		name = TierCalls
	}
	t := c.tally(name)
	t.add(r)
	if r.mismatch != "" {
		c.recordFault(fmt.Sprintf("%s, tier %s: %s", r.ticket, name, r.mismatch))
	}
	if len(c.cfg.Engines)+len(c.cfg.Services) > 0 {
		c.audited = append(c.audited, auditedRequest{kind: r.Kind, body: r.Body, ticket: r.ticket, outcome: r.outcome})
	}
}

func (c *collector) tally(name string) *tally {
	t, ok := c.tiers[name]
	if !ok {
		t = &tally{
			Tier:  Tier{Tier: name, Reasons: make(map[string]int)},
			first: hdrhistogram.New(1, maxMicroseconds, significantDigits),
			gap:   hdrhistogram.New(1, maxMicroseconds, significantDigits),
		}
		c.tiers[name] = t
	}
	return t
}

func (c *collector) recordFault(text string) {
	c.faultCount++
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, text)
	}
}

func (c *collector) report(skipped int, elapsed time.Duration) Report {
	report := Report{Seed: c.cfg.Seed, Seconds: elapsed.Seconds(), Skipped: skipped}
	for _, name := range slices.Sorted(maps.Keys(c.tiers)) {
		t := c.tiers[name]
		t.First, t.Gap = quantiles(t.first), quantiles(t.gap)
		report.Tiers = append(report.Tiers, t.Tier)
	}
	report.FaultCount, report.Faults = c.faultCount, c.faults
	return report
}

func (t *tally) add(r result) {
	t.Requests++
	switch r.outcome {
	case sr.OutcomeComplete:
		t.Complete++
	case sr.OutcomeCutShort:
		t.CutShort++
	case sr.OutcomeNotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
	if r.mismatch != "" {
		t.Wrong++
	}
	if r.attempts > 1 {
		t.Retried++
	}
	if r.outcome != sr.OutcomeComplete {
		t.countReason(cmp.Or(r.reason, string(r.outcome)))
	}
	if r.firstToken > 0 {
		record(t.first, r.firstToken)
	}
	for _, gap := range r.tokenGaps {
		record(t.gap, gap)
	}
}

func (t *tally) countReason(text string) {
	if _, ok := t.Reasons[text]; !ok && len(t.Reasons) >= maxReasons {
		text = reasonOther
	}
	t.Reasons[text]++
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a text table. Times are in milliseconds.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "tier\trequests\tcomplete\tcut short\tnot run\tunknown\twrong\tretried\tfirst p50\tp95\tp99\tgap p50\tp95\tp99\t")
	for _, t := range r.Tiers {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", t.Tier, t.Requests, t.Complete, t.CutShort, t.NotRun, t.Unknown, t.Wrong, t.Retried)
		fmt.Fprintf(tw, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", t.First.P50, t.First.P95, t.First.P99, t.Gap.P50, t.Gap.P95, t.Gap.P99)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, t := range r.Tiers {
		for _, reason := range slices.Sorted(maps.Keys(t.Reasons)) {
			fmt.Fprintf(w, "%s: %d ended with %q\n", t.Tier, t.Reasons[reason], reason)
		}
	}
	for _, fault := range r.Faults {
		fmt.Fprintln(w, "fault:", fault)
	}
	_, err := fmt.Fprintf(w, "seed %d, %.1f s, %d skipped, %d audited, %d faults\n", r.Seed, r.Seconds, r.Skipped, r.Audited, r.FaultCount)
	return err
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   inMilliseconds(h.ValueAtQuantile(50)),
		P95:   inMilliseconds(h.ValueAtQuantile(95)),
		P99:   inMilliseconds(h.ValueAtQuantile(99)),
		Max:   inMilliseconds(h.Max()),
	}
}

// record adds a time in microseconds, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func inMilliseconds(us int64) float64 { return float64(us) / 1000 }
