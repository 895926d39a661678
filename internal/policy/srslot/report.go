package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Report handles a load report. A report taken before the last one is ignored.
func (p *Pool) Report(now time.Time, endpoint string, l sr.Load) {
	e := p.endpoints[endpoint]
	if e == nil {
		return
	}
	taken := now.Add(-max(l.Age, 0))
	if e.reported && taken.Before(e.reportedAt) {
		return
	}
	if e.ramp.Report(l.Start) {
		p.placer.Forget(endpoint)
		if e.reported {
			p.forgetCleared(e.applyRestart(p.reportInterval(e.reportedAt)))
		}
	}
	e.reported = true
	e.reportedAt = taken
	e.breaker.recordReport(taken)
	e.abandonUnlisted(now, now.Add(-p.opts.UnlistedTimeout))
	e.confirmFromReport(p.reportInterval(taken), p.opts.MaxNetDelay)
	p.dirty = true
	p.forgetCleared(e.observe(p.reportInterval(taken), max(l.Running, 0)+max(l.Waiting, 0)))
	p.placer.Report(now, endpoint, l)
	p.removeGoneEndpoints()
}

// reportInterval returns the interval in which the figures of a report may have been
// taken: the age in the report does not include the time on the network.
func (p *Pool) reportInterval(taken time.Time) interval {
	return interval{from: taken.Add(-p.opts.MaxNetDelay), to: taken}
}

// ReportFailed handles a failure to get a load report from an endpoint.
func (p *Pool) ReportFailed(_ time.Time, endpoint string) {
	e := p.endpoints[endpoint]
	if e == nil {
		return
	}
	e.ramp.ReportMissing()
	p.dirty = true
}
