package srload

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
)

// idlePerInstance is the maximum number of idle connections per instance.
const idlePerInstance = 64

// Runner puts a load on instances.
type Runner struct {
	cfg       Config
	transport srconn.Transport
	clients   map[string]*client
}

// New returns a Runner. With a nil dial function it dials with package net.
func New(cfg Config, dial srconn.DialFunc) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := srconn.NewTransport(srconn.Options{
		Dial:     dial,
		Timeouts: srconn.Timeouts{Idle: cfg.ClientTimeout},
	})
	t.MaxIdleConnsPerHost = idlePerInstance
	r := &Runner{cfg: cfg, transport: t, clients: make(map[string]*client)}
	for _, m := range cfg.Mixes {
		r.clients[m.Key] = &client{transport: t, instances: cfg.Instances, key: m.Key, batch: cfg.Batch}
	}
	return r, nil
}

// Run sends the scheduled requests and waits for the last answer. When ctx ends it
// returns a report on the requests sent until then.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	defer r.transport.CloseIdleConnections()
	c := newCollector(r.cfg)
	startedAt := time.Now()
	results := make(chan result, r.cfg.InFlight)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for res := range results {
			c.add(res)
		}
	}()
	skipped := r.schedule(ctx, startedAt, results)
	close(results)
	<-collected
	report := c.report(skipped, time.Since(startedAt))
	// The audit also runs after ctx has ended, so that a stopped run is audited.
	err := r.audit(context.WithoutCancel(ctx), c, &report)
	return report, err
}

// schedule starts each request at its scheduled time, and returns how many it skipped.
func (r *Runner) schedule(ctx context.Context, startedAt time.Time, results chan<- result) (skipped int) {
	plan := newPlanner(r.cfg)
	slots := make(chan struct{}, r.cfg.InFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, ok := plan.next()
		if !ok {
			return skipped
		}
		sleep(ctx, time.Until(startedAt.Add(a.At)))
		if ctx.Err() != nil {
			return skipped
		}
		select {
		case slots <- struct{}{}:
		default:
			skipped++
			continue
		}
		wg.Go(func() {
			results <- r.runRequest(ctx, r.clients[a.Mix.Key], a, startedAt.Add(a.At))
			<-slots
		})
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
