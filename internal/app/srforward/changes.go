package srforward

import (
	"sync/atomic"
	"time"
)

// changeMargin is added to the bound on configurations. For so long after a change, requests
// count as near it.
const changeMargin = time.Second

// changes knows when the configuration last changed here.
type changes struct {
	startedAt time.Time
	// last is the time of the last change since startedAt, 0 before the first.
	last atomic.Int64
}

func (c *changes) record(now time.Time) { c.last.Store(int64(now.Sub(c.startedAt))) }

// within reports whether the last change was less than d ago.
func (c *changes) within(now time.Time, d time.Duration) bool {
	last := time.Duration(c.last.Load())
	return last > 0 && now.Sub(c.startedAt) < last+d
}

// countEnd counts the end of a request, near a change of the configuration or at another time.
// cut is set if its client got no complete answer.
func (n *Instance) countEnd(cut bool) {
	period := choose(n.changes.within(time.Now(), n.Settings.ConfigTimeout+changeMargin), "changing", "settled")
	n.stats.count("requests." + period)
	if cut {
		n.stats.count("requests.cut." + period)
	}
}
