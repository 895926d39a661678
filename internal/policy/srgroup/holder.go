package srgroup

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

const (
	// waitInterval is the interval of the reports while an ask waits. An ask whose coordinator
	// has failed is decided elsewhere after it.
	waitInterval = 100 * time.Millisecond
	// startInterval is the interval of the reports of starts.
	startInterval = 100 * time.Millisecond
	// holdInterval is the interval of the reports while a slot is held.
	holdInterval = 500 * time.Millisecond
	// The least interval of reports that return slots is a share of the time for which the
	// endpoints have a request, from minReleaseInterval to maxReleaseInterval: a slot may be idle
	// for that share, and a busy holder returns several at once.
	releaseShare       = 0.02
	minReleaseInterval = 5 * time.Millisecond
	maxReleaseInterval = 20 * time.Millisecond
	// ranWeight is the weight of a new sample in the moving average of that time.
	ranWeight = 0.1
	// silentDelay is the time for which a coordinator that did not answer is not asked. Each
	// holder adds up to silentSpread, so that they do not come back to a slow one together.
	silentDelay  = 500 * time.Millisecond
	silentSpread = 500 * time.Millisecond
	// maxResults bounds the results that wait for a report.
	maxResults = 1024
)

// Holder is the side of one instance towards the coordinator of one group. It is not safe for
// concurrent use.
type Holder struct {
	group string
	self  sr.InstanceID
	// sequence is that of the last report.
	sequence uint64
	// fresh are the asks that no report has stated, waiting those that one has.
	fresh   []sr.SlotAsk
	waiting map[uint64]struct{}
	// held are the endpoints of the slots, by ask.
	held     map[uint64]string
	started  []sr.SlotStart
	released []sr.SlotRelease
	silent   []string
	// reported and reportedStarts are the results and starts of the report that is under way.
	reported       []sr.SlotRelease
	reportedStarts []sr.SlotStart
	// withdrawn is set when the coordinator has to be told of an ask that waits no more.
	withdrawn bool
	// reporting is set while a report is under way, reportedAt is when it was sent.
	reporting  bool
	reportedAt time.Time
	// silentUntil is until when the coordinator is not asked.
	silentUntil time.Time
	// ran is the moving average of the time for which endpoints have a request.
	ran   time.Duration
	free  int
	queue int
}

// NewHolder returns a Holder without asks and slots. Its reports have sequences after last, so
// that a coordinator which knows a former Holder of the instance accepts them.
func NewHolder(group string, self sr.InstanceID, last uint64) *Holder {
	return &Holder{group: group, self: self, sequence: last, waiting: make(map[uint64]struct{}), held: make(map[uint64]string)}
}

// Usable reports whether the coordinator may be asked.
func (h *Holder) Usable(now time.Time) bool { return !now.Before(h.silentUntil) }

// Room returns the number of free slots that the coordinator has stated less its waiting asks.
func (h *Holder) Room() int { return h.free - h.queue }

// Stated returns the free slots and the waiting asks that the coordinator has stated last.
func (h *Holder) Stated() (free, waiting int) { return h.free, h.queue }

// Ask queues an ask for the next report.
func (h *Holder) Ask(now time.Time, id uint64, a srdispatch.Ask) {
	h.fresh = append(h.fresh, NewAsk(now, id, a))
}

// Withdraw removes an ask. A slot that is granted to it later is returned.
func (h *Holder) Withdraw(id uint64) {
	if _, waits := h.waiting[id]; waits {
		delete(h.waiting, id)
		h.withdrawn = true
	}
	h.fresh = slices.DeleteFunc(h.fresh, func(a sr.SlotAsk) bool { return a.ID == id })
}

// Started records that an endpoint has started an answer.
func (h *Holder) Started(s sr.SlotStart) {
	if len(h.started) < maxResults {
		h.started = append(h.started, s)
	}
}

// Silent records that an endpoint has sent nothing to a request for too long.
func (h *Holder) Silent(endpoint string) {
	if len(h.silent) < maxResults {
		h.silent = append(h.silent, endpoint)
	}
}

// Release returns a slot of an endpoint. It returns false if none is held: requests that were
// sent there without a slot need no report.
func (h *Holder) Release(endpoint string, r srdispatch.Result) bool {
	for ask, id := range h.held {
		if id == endpoint {
			delete(h.held, ask)
			h.giveBack(ask, r)
			if r.Ran > 0 {
				h.ran += time.Duration(ranWeight * float64(r.Ran-h.ran))
			}
			return true
		}
	}
	return false
}

// giveBack reports a result. One that finds no room is lost; the coordinator notices by the
// list of held slots.
func (h *Holder) giveBack(ask uint64, r srdispatch.Result) {
	if len(h.released) < maxResults {
		h.released = append(h.released, sr.SlotRelease{Ask: ask, Result: NewResult(r)})
	}
}

// Held returns the asks whose slots are held, by endpoint.
func (h *Holder) Held() map[string]int {
	out := make(map[string]int, len(h.held))
	for _, endpoint := range h.held {
		out[endpoint]++
	}
	return out
}

// releaseInterval returns the least interval of reports that return slots.
func (h *Holder) releaseInterval() time.Duration {
	return min(max(time.Duration(releaseShare*float64(h.ran)), minReleaseInterval), maxReleaseInterval)
}

// Due returns when the next report is due, and false when none is.
func (h *Holder) Due() (time.Time, bool) {
	switch {
	case h.reporting:
		return time.Time{}, false
	case len(h.fresh) > 0:
		return h.silentUntil, true
	case len(h.released)+len(h.silent) > 0, h.withdrawn:
		return later(h.reportedAt.Add(h.releaseInterval()), h.silentUntil), true
	case len(h.started) > 0:
		return later(h.reportedAt.Add(startInterval), h.silentUntil), true
	case len(h.waiting) > 0:
		return later(h.reportedAt.Add(waitInterval), h.silentUntil), true
	case len(h.held) > 0:
		return later(h.reportedAt.Add(holdInterval), h.silentUntil), true
	}
	return time.Time{}, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Next returns the report to send now, and false when none is due. own are the requests in
// flight at the endpoints of the group, with and without a slot.
func (h *Holder) Next(now time.Time, own map[string]int) (sr.SlotReport, bool) {
	due, ok := h.Due()
	if !ok || now.Before(due) {
		return sr.SlotReport{}, false
	}
	h.sequence++
	h.reporting, h.reportedAt = true, now
	r := sr.SlotReport{
		From: h.self, Group: h.group, Sequence: h.sequence,
		Asks: h.fresh, Started: h.started, Released: h.released, Silent: h.silent,
		Waiting: slices.Sorted(maps.Keys(h.waiting)), Held: maps.Clone(h.held), Own: h.without(own),
	}
	for _, a := range h.fresh {
		h.waiting[a.ID] = struct{}{}
	}
	h.reported, h.reportedStarts = h.released, h.started
	h.fresh, h.started, h.released, h.silent, h.withdrawn = nil, nil, nil, nil, false
	return r, true
}

// without returns the requests in flight that have no slot.
func (h *Holder) without(own map[string]int) map[string]int {
	out := make(map[string]int)
	held := h.Held()
	for id, n := range own {
		if n > held[id] {
			out[id] = n - held[id]
		}
	}
	return out
}

// Reply applies the answer to a report. It returns the decisions on asks that wait.
func (h *Holder) Reply(now time.Time, r sr.SlotReply) []srdispatch.Decision {
	h.reporting, h.reported, h.reportedStarts = false, nil, nil
	h.free, h.queue = r.Free, r.Waiting
	return h.Deliver(now, r.Decisions)
}

// Deliver applies decisions of the coordinator, and returns those on asks that wait. A slot for
// an ask that does not wait is returned. After a pause of the process nothing is applied, since
// the coordinator may have dropped the slots; the next report brings what still holds.
func (h *Holder) Deliver(now time.Time, list []sr.SlotDecision) []srdispatch.Decision {
	if now.Sub(h.reportedAt) > deliveryTimeout {
		return nil
	}
	var out []srdispatch.Decision
	for _, d := range list {
		_, waits := h.waiting[d.Ask]
		_, held := h.held[d.Ask]
		switch {
		case held:
			continue
		case !waits:
			if d.Granted {
				h.giveBack(d.Ask, srdispatch.Result{Unsent: true})
			}
			continue
		}
		delete(h.waiting, d.Ask)
		if d.Granted {
			h.held[d.Ask] = d.Endpoint
		}
		out = append(out, Decision(d))
	}
	return out
}

// Fail records that a report was not answered. It returns the asks that have to be decided
// elsewhere. Results and starts are reported again, since the report may not have arrived.
func (h *Holder) Fail(now time.Time) []uint64 {
	h.reporting = false
	h.released, h.reported = again(h.reported, h.released), nil
	h.started, h.reportedStarts = again(h.reportedStarts, h.started), nil
	h.silentUntil = now.Add(silentDelay + time.Duration(xxhash.Sum64String(h.self.Address+"/"+h.group)%uint64(silentSpread)))
	h.free, h.queue = 0, 0
	out := slices.Sorted(maps.Keys(h.waiting))
	for _, a := range h.fresh {
		out = append(out, a.ID)
	}
	h.fresh = nil
	clear(h.waiting)
	return out
}

// again returns what is reported again and what is new, at most maxResults.
func again[T any](reported, fresh []T) []T {
	all := append(reported, fresh...)
	return all[:min(len(all), maxResults)]
}
