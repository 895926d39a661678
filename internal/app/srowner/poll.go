package srowner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// pollLoads periodically reads the load reports of the pool's endpoints until the
// runner is stopped.
func (p *poolRunner) pollLoads() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(p.deps.PollInterval)
	defer ticker.Stop()
	lastEvents := make(map[string]uint64)
	for {
		p.pollOnce(ctx, lastEvents)
		select {
		case <-ticker.C:
		case <-p.done:
			return
		}
	}
}

// pollOnce reads the reports of all endpoints concurrently. lastEvents holds the
// sequence number of the last cache event of each endpoint.
func (p *poolRunner) pollOnce(ctx context.Context, lastEvents map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, p.deps.PollInterval)
	defer cancel()
	kind, endpoints := p.endpoints()
	loads := make([]*sr.Load, len(endpoints))
	var wg sync.WaitGroup
	for i, e := range endpoints {
		after := lastEvents[e.Name]
		wg.Go(func() { loads[i] = p.fetchLoad(ctx, kind, e, after) })
	}
	wg.Wait()
	for i, e := range endpoints {
		p.reportLoad(e.Name, loads[i], lastEvents)
	}
}

// fetchLoad reads one report; it returns nil if that fails. The time of the call is
// added to the report's age, which is then never understated.
func (p *poolRunner) fetchLoad(ctx context.Context, kind sr.Kind, e sr.PoolEndpoint, after uint64) *sr.Load {
	sent := time.Now()
	var l sr.Load
	var err error
	if kind == sr.KindModel {
		l, err = p.deps.Engine.Load(ctx, e.Address, after)
	} else {
		l, err = p.deps.Service.Probe(ctx, e.Address)
	}
	if errors.Is(err, sr.ErrMalformed) {
		count(p.deps.Metrics, "pool.reports.malformed", 1)
	}
	if err != nil {
		return nil
	}
	l.Age += time.Since(sent)
	return &l
}

func (p *poolRunner) reportLoad(endpoint string, l *sr.Load, lastEvents map[string]uint64) {
	if l == nil {
		count(p.deps.Metrics, "pool.reports.failed", 1)
		p.post(func(now time.Time) { p.pool.ReportFailed(now, endpoint) })
		return
	}
	if n := len(l.Events); n > 0 {
		lastEvents[endpoint] = l.Events[n-1].Seq
	}
	p.post(func(now time.Time) { p.pool.Report(now, endpoint, *l) })
}
