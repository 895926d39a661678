// Package srwarm decides how many requests an endpoint bears while it is in a
// cold start.
//
// A ramp starts at its class's cold limit and climbs with requests that
// completed on the same run of the endpoint process, never with time alone.
// Any doubt about the endpoint starts it anew. The package is pure: it reads no
// clock and does no input or output.
//
// # Usage
//
//	r := srwarm.New(srwarm.Options{}, class)
//	restarted := r.Report(load.Start)
//	run := r.Run()                // kept with each granted lease
//	r.Completed(now, run, first, norm) // a request of that run has ended
//	free := r.Limit() - taken
package srwarm

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Defaults of Options.
const (
	defaultStep         = 1
	defaultFirstFactor  = 8
	defaultFirstSlack   = 500 * time.Millisecond
	defaultMissedReport = 2
)

// Options sets how a ramp climbs and when it starts anew. Zero values take the
// defaults.
type Options struct {
	// Step is how many slots the limit gains once as many requests completed
	// as the limit allows at once.
	Step int
	// FirstFactor and FirstSlack bound the time to the first token: beyond
	// norm x FirstFactor + FirstSlack the endpoint counts as cold.
	FirstFactor int
	FirstSlack  time.Duration
	// MissedReports is how many load reports in a row may be missing before
	// the endpoint counts as cold.
	MissedReports int
}

func (o Options) withDefaults() Options {
	if o.Step <= 0 {
		o.Step = defaultStep
	}
	if o.FirstFactor <= 0 {
		o.FirstFactor = defaultFirstFactor
	}
	if o.FirstSlack <= 0 {
		o.FirstSlack = defaultFirstSlack
	}
	if o.MissedReports <= 0 {
		o.MissedReports = defaultMissedReport
	}
	return o
}

// Ramp is the cold start of one endpoint. It is used by one goroutine.
type Ramp struct {
	opts      Options
	class     sr.Class
	start     string
	limit     int
	completed int
	missed    int
	run       uint64
	// total counts the completed requests of this run, since is when the first
	// of them ended.
	total int
	since time.Time
}

// New returns the ramp of an endpoint about which nothing is known: a cold one.
func New(opts Options, class sr.Class) *Ramp {
	r := &Ramp{opts: opts.withDefaults(), class: class}
	r.Reset()
	return r
}

// Limit returns the number of requests that the endpoint bears at once.
func (r *Ramp) Limit() int { return r.limit }

// ColdLimit returns the limit with which the ramp starts.
func (r *Ramp) ColdLimit() int { return coldLimit(r.class) }

// Cold reports whether the endpoint bears less than its class does.
func (r *Ramp) Cold() bool { return r.limit < r.class.Slots }

// Class returns the endpoint's class.
func (r *Ramp) Class() sr.Class { return r.class }

// Start returns the run of the endpoint process that was last reported, "" when
// none was.
func (r *Ramp) Start() string { return r.start }

// Run numbers the ramp's starts; it changes with each Reset.
func (r *Ramp) Run() uint64 { return r.run }

// Reset makes the endpoint cold.
func (r *Ramp) Reset() {
	r.run++
	r.completed = 0
	r.total = 0
	r.limit = coldLimit(r.class)
}

// SetClass applies the manifest's class. Another class makes the endpoint cold.
func (r *Ramp) SetClass(class sr.Class) {
	if class.Name != r.class.Name {
		r.class = class
		r.start = ""
		r.Reset()
		return
	}
	warm := !r.Cold()
	r.class = class
	if warm {
		r.limit = class.Slots
	}
	r.limit = min(r.limit, class.Slots)
	r.limit = max(r.limit, coldLimit(class))
}

// Report takes the start identifier of a load report and returns whether the
// endpoint has restarted since the last one.
func (r *Ramp) Report(start string) bool {
	r.missed = 0
	if start == r.start && start != "" {
		return false
	}
	restarted := r.start != ""
	r.start = start
	r.Reset()
	return restarted
}

// ReportMissing says that no load report could be had.
func (r *Ramp) ReportMissing() {
	r.missed++
	if r.missed == r.opts.MissedReports {
		r.Reset()
	}
}

// Refused says that the endpoint refused a request or broke its connection.
func (r *Ramp) Refused() { r.Reset() }

// Completed says that a request granted in the given run has ended. First is
// the time to its first token, norm the expected one; 0 for not known. The
// limit climbs once the class's warm requests have completed and its settle
// time has passed since the first of them.
func (r *Ramp) Completed(now time.Time, run uint64, first, norm time.Duration) {
	if run != r.run {
		return
	}
	if norm > 0 && first > r.slowest(norm) {
		r.Reset()
		return
	}
	if r.start == "" || r.missed >= r.opts.MissedReports || !r.Cold() {
		return
	}
	if r.total == 0 {
		r.since = now
	}
	r.total++
	if r.total < r.class.Warm || now.Sub(r.since) < r.class.Settle {
		return
	}
	r.completed++
	if r.completed < r.limit {
		return
	}
	r.completed = 0
	r.limit = min(r.limit+r.opts.Step, r.class.Slots)
}

// Export returns the state for the pool's next owner.
func (r *Ramp) Export(endpoint string) sr.WarmState {
	return sr.WarmState{Endpoint: endpoint, Start: r.start, Limit: r.limit, Warm: !r.Cold()}
}

// Import takes the state over from the pool's previous owner. A state without
// a start identifier, or of another run than the one reported here, is ignored.
func (r *Ramp) Import(w sr.WarmState) {
	if w.Start == "" || (r.start != "" && r.start != w.Start) {
		return
	}
	r.start = w.Start
	r.completed = 0
	r.limit = max(min(w.Limit, r.class.Slots), coldLimit(r.class))
	if w.Warm {
		r.limit = r.class.Slots
	}
}

func (r *Ramp) slowest(norm time.Duration) time.Duration {
	return norm*time.Duration(r.opts.FirstFactor) + r.opts.FirstSlack
}

// coldLimit is at least 1, without which no request could ever complete.
func coldLimit(class sr.Class) int {
	return min(max(class.Cold, 1), class.Slots)
}
