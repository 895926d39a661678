// Package srwarm limits the number of concurrent requests at an endpoint during its
// cold start.
//
// A ramp starts at the cold limit of the endpoint's class. The limit rises as
// requests complete on the same endpoint process, never with time alone. Any sign
// that the endpoint may be cold again resets the ramp. The package is pure: it reads
// no clock and does no input or output.
//
// # Usage
//
//	r := srwarm.New(srwarm.Options{}, class)
//	restarted := r.Report(load.Start)
//	generation := r.Generation()  // kept with each granted lease
//	r.Completed(now, generation, first, expected) // the request of a lease has ended
//	free := r.Limit() - running
package srwarm

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Defaults of Options.
const (
	defaultStep             = 1
	defaultFirstTokenFactor = 8
	defaultFirstTokenSlack  = 500 * time.Millisecond
	defaultMissedReports    = 2
)

// Options sets how the limit rises and when the ramp is reset. Zero values take the
// defaults.
type Options struct {
	// Step is how much the limit rises each time that as many requests have completed
	// as the limit allows at once.
	Step int
	// FirstTokenFactor and FirstTokenSlack bound the time to the first token. Beyond
	// the expected time x FirstTokenFactor + FirstTokenSlack the endpoint counts as
	// cold.
	FirstTokenFactor int
	FirstTokenSlack  time.Duration
	// MissedReports is the number of consecutive missing load reports at which the
	// endpoint counts as cold.
	MissedReports int
}

func (o Options) withDefaults() Options {
	if o.Step <= 0 {
		o.Step = defaultStep
	}
	if o.FirstTokenFactor <= 0 {
		o.FirstTokenFactor = defaultFirstTokenFactor
	}
	if o.FirstTokenSlack <= 0 {
		o.FirstTokenSlack = defaultFirstTokenSlack
	}
	if o.MissedReports <= 0 {
		o.MissedReports = defaultMissedReports
	}
	return o
}

// Ramp tracks the cold start of one endpoint. It must be used by one goroutine only.
type Ramp struct {
	opts    Options
	class   sr.Class
	startID string
	limit   int
	// completedAtLimit counts the requests completed towards the next rise of the limit.
	completedAtLimit int
	// missedReports counts the consecutive missing load reports.
	missedReports int
	generation    uint64
	// completedInTotal counts the requests completed in this generation, and
	// firstCompletedAt is when the first of them completed.
	completedInTotal int
	firstCompletedAt time.Time
}

// New returns the ramp of an endpoint in an unknown state, which counts as cold.
func New(opts Options, class sr.Class) *Ramp {
	r := &Ramp{opts: opts.withDefaults(), class: class}
	r.Reset()
	return r
}

// Limit returns how many requests the endpoint may run at once.
func (r *Ramp) Limit() int { return r.limit }

// ColdLimit returns the limit with which the ramp starts.
func (r *Ramp) ColdLimit() int { return coldLimit(r.class) }

// Cold reports whether the limit is below the number of slots of the class.
func (r *Ramp) Cold() bool { return r.limit < r.class.Slots }

// Class returns the endpoint's class.
func (r *Ramp) Class() sr.Class { return r.class }

// StartID returns the start ID of the endpoint process in the last load report, or ""
// before the first one.
func (r *Ramp) StartID() string { return r.startID }

// Generation returns a number that changes with each Reset.
func (r *Ramp) Generation() uint64 { return r.generation }

// Reset marks the endpoint as cold and begins a new generation.
func (r *Ramp) Reset() {
	r.generation++
	r.completedAtLimit = 0
	r.completedInTotal = 0
	r.limit = coldLimit(r.class)
}

// SetClass applies the class of the endpoint in the manifest. A class of another name
// makes the endpoint cold.
func (r *Ramp) SetClass(class sr.Class) {
	if class.Name != r.class.Name {
		r.class = class
		r.startID = ""
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

// Report handles the start ID of a load report and returns whether the endpoint has
// restarted since the last one. Each report without a start ID resets the ramp, as it
// does not show which process it comes from.
func (r *Ramp) Report(startID string) bool {
	r.missedReports = 0
	if startID == r.startID && startID != "" {
		return false
	}
	restarted := r.startID != ""
	r.startID = startID
	r.Reset()
	return restarted
}

// ReportMissing records that a load report could not be obtained.
func (r *Ramp) ReportMissing() {
	r.missedReports++
	if r.missedReports == r.opts.MissedReports {
		r.Reset()
	}
}

// Refused resets the ramp because the endpoint refused a request, or because a broken
// connection, another start ID or another address indicates another process.
func (r *Ramp) Refused() { r.Reset() }

// Completed records that a request granted in the given generation has completed.
// first is the time to its first token and expected the expected one, 0 if not known.
// The limit rises only after Class.Warm requests have completed and Class.Settle has
// passed since the first of them.
func (r *Ramp) Completed(now time.Time, generation uint64, first, expected time.Duration) {
	if generation != r.generation {
		return
	}
	if expected > 0 && first > r.maxFirst(expected) {
		r.Reset()
		return
	}
	if r.startID == "" || r.missedReports >= r.opts.MissedReports || !r.Cold() {
		return
	}
	if r.completedInTotal == 0 {
		r.firstCompletedAt = now
	}
	r.completedInTotal++
	if r.completedInTotal < r.class.Warm || now.Sub(r.firstCompletedAt) < r.class.Settle {
		return
	}
	r.completedAtLimit++
	if r.completedAtLimit < r.limit {
		return
	}
	r.completedAtLimit = 0
	r.limit = min(r.limit+r.opts.Step, r.class.Slots)
}

// Export returns the state for the next owner of the pool.
func (r *Ramp) Export(endpoint string) sr.WarmState {
	return sr.WarmState{Endpoint: endpoint, Start: r.startID, Limit: r.limit, Warm: !r.Cold()}
}

// Import takes over the state from the previous owner of the pool. A state without a
// start ID is ignored, and so is one with another start ID than the reported one.
func (r *Ramp) Import(w sr.WarmState) {
	if w.Start == "" || (r.startID != "" && r.startID != w.Start) {
		return
	}
	r.startID = w.Start
	r.completedAtLimit = 0
	r.limit = max(min(w.Limit, r.class.Slots), coldLimit(r.class))
	if w.Warm {
		r.limit = r.class.Slots
	}
}

// maxFirst returns the time to the first token beyond which the endpoint counts as
// cold.
func (r *Ramp) maxFirst(expected time.Duration) time.Duration {
	return expected*time.Duration(r.opts.FirstTokenFactor) + r.opts.FirstTokenSlack
}

// coldLimit returns the cold limit of a class. It is at least 1, since otherwise no
// request could complete and the limit would never rise.
func coldLimit(class sr.Class) int {
	return min(max(class.Cold, 1), class.Slots)
}
