package srowner

import (
	"context"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// pollLoads reads the load reports of the pool's endpoints until the duty is
// stopped.
func (d *duty) pollLoads() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(d.deps.Poll)
	defer ticker.Stop()
	seen := make(map[string]uint64)
	for {
		d.pollOnce(ctx, seen)
		select {
		case <-ticker.C:
		case <-d.done:
			return
		}
	}
}

// pollOnce reads every endpoint's report side by side. seen holds the last
// cache event of each endpoint.
func (d *duty) pollOnce(ctx context.Context, seen map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, d.deps.Poll)
	defer cancel()
	kind, endpoints := d.endpoints()
	loads := make([]*sr.Load, len(endpoints))
	var wg sync.WaitGroup
	for i, e := range endpoints {
		after := seen[e.Name]
		wg.Go(func() { loads[i] = d.load(ctx, kind, e, after) })
	}
	wg.Wait()
	for i, e := range endpoints {
		d.report(e.Name, loads[i], seen)
	}
}

// load returns nil when no report could be had. The age of the report is
// counted from before it was asked for.
func (d *duty) load(ctx context.Context, kind sr.Kind, e sr.PoolEndpoint, after uint64) *sr.Load {
	sent := time.Now()
	var l sr.Load
	var err error
	if kind == sr.KindModel {
		l, err = d.deps.Engine.Load(ctx, e.Address, after)
	} else {
		l, err = d.deps.Service.Probe(ctx, e.Address)
	}
	if err != nil {
		return nil
	}
	l.Age += time.Since(sent)
	return &l
}

func (d *duty) report(endpoint string, l *sr.Load, seen map[string]uint64) {
	if l == nil {
		count(d.deps.Metrics, "pool.reports.failed", 1)
		d.post(func(now time.Time) { d.pool.ReportFailed(now, endpoint) })
		return
	}
	if n := len(l.Events); n > 0 {
		seen[endpoint] = l.Events[n-1].Seq
	}
	d.post(func(now time.Time) { d.pool.Report(now, endpoint, *l) })
}
