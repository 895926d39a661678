package srengine

import (
	"math/rand/v2"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// samplesPerLag is the number of load samples taken per LoadLag.
const samplesPerLag = 16

// sample is the load between a point in time and the next sample.
type sample struct {
	at      time.Time
	running int
	waiting int
	cached  int
}

// event is a cache event with the time at which it is published.
type event struct {
	sr.CacheEvent
	visible time.Time
}

// report holds the load samples and cache events that one engine process
// publishes, with a delay.
type report struct {
	cfg     Config
	rng     *rand.Rand
	samples []sample
	// lastReported is the point in time of the load returned last.
	lastReported time.Time
	events       []event
	seq          uint64
}

func newReport(cfg Config, rng *rand.Rand) *report {
	return &report{cfg: cfg, rng: rng}
}

// record adds a sample of the current load. Within a sixteenth of LoadLag of the
// last sample it replaces that one, so that the newest sample is always current.
func (r *report) record(s sample) {
	if n := len(r.samples); n > 0 && s.at.Sub(r.samples[n-1].at) < r.cfg.LoadLag/samplesPerLag {
		s.at = r.samples[n-1].at
		r.samples[n-1] = s
		return
	}
	r.samples = append(r.samples, s)
	r.prune(s.at.Add(-r.cfg.LoadLag))
}

// prune drops samples that are too old for any report.
func (r *report) prune(oldest time.Time) {
	for len(r.samples) > 1 && !r.samples[1].at.After(oldest) {
		r.samples = r.samples[1:]
	}
}

// recordEvent records a cache event for publication, or drops it at random with
// probability EventLoss. Events become visible in the order of their sequence
// numbers, because readers ask for those above the last one they know.
func (r *report) recordEvent(block uint64, added bool) {
	r.seq++
	if r.rng.Float64() < r.cfg.EventLoss {
		return
	}
	visible := time.Now().Add(r.randomLag(r.cfg.EventLag))
	if n := len(r.events); n > 0 && r.events[n-1].visible.After(visible) {
		visible = r.events[n-1].visible
	}
	if len(r.events) == r.cfg.Events {
		r.events = r.events[1:]
	}
	r.events = append(r.events, event{sr.CacheEvent{Seq: r.seq, Block: block, Added: added}, visible})
}

// load returns the load at a random time within the last LoadLag, but never
// before the time that an earlier call returned.
func (r *report) load(now time.Time, after uint64) sr.Load {
	at := now.Add(-r.randomLag(r.cfg.LoadLag))
	if at.Before(r.lastReported) {
		at = r.lastReported
	}
	if first := r.samples[0].at; at.Before(first) {
		at = first
	}
	r.lastReported = at
	s := r.sampleAt(at)
	return sr.Load{
		Age:     now.Sub(at),
		Running: s.running,
		Waiting: s.waiting,
		Cached:  s.cached,
		Events:  r.visibleEvents(now, after),
	}
}

func (r *report) sampleAt(at time.Time) sample {
	s := r.samples[0]
	for _, next := range r.samples[1:] {
		if next.at.After(at) {
			break
		}
		s = next
	}
	return s
}

func (r *report) visibleEvents(now time.Time, after uint64) []sr.CacheEvent {
	var events []sr.CacheEvent
	for _, ev := range r.events {
		if ev.visible.After(now) {
			break
		}
		if ev.Seq > after {
			events = append(events, ev.CacheEvent)
		}
	}
	return events
}

func (r *report) randomLag(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(limit) + 1))
}
