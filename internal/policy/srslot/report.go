package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Report takes a load report. One taken before the last one is ignored.
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
			p.cleared(e.restarted(p.span(e.reportedAt)))
		}
	}
	e.reported = true
	e.reportedAt = taken
	e.breaker.reported(taken)
	e.doubt(now, now.Add(-p.opts.Unlisted))
	e.confirmBy(p.span(taken), p.opts.NetDelay)
	p.dirty = true
	p.cleared(e.sight(p.span(taken), max(l.Running, 0)+max(l.Waiting, 0)))
	p.placer.Report(now, endpoint, l)
	p.forgetGone()
}

// span returns when figures were taken that seem to be of a time.
func (p *Pool) span(taken time.Time) span {
	return span{from: taken.Add(-p.opts.NetDelay), to: taken}
}

// ReportFailed says that no load report could be had.
func (p *Pool) ReportFailed(_ time.Time, endpoint string) {
	e := p.endpoints[endpoint]
	if e == nil {
		return
	}
	e.ramp.ReportMissing()
	p.dirty = true
}
