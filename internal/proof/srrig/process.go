package srrig

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srserve"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srcaller"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
)

// Process is one run of an entry instance, from its start to its end.
type Process struct {
	ID       sr.InstanceID
	Domain   string
	Instance *srserve.Instance
	Metrics  metrics.Registry

	rig    *Rig
	caller *srcaller.Caller
	ctx    context.Context
	cancel context.CancelFunc

	openExchanges atomic.Int64

	mu sync.Mutex
	// paused is nil, or a channel that Unpause closes.
	paused chan struct{}
	// writeHeld is set by PauseInWrite.
	writeHeld bool
}

func (r *Rig) newProcess(i int) (*Process, error) {
	p := &Process{
		ID:      sr.InstanceID{Address: Address(i), Incarnation: r.nextIncarnation()},
		Domain:  instanceDomains[i],
		Metrics: metrics.NewRegistry(),
		rig:     r,
	}
	p.ctx, p.cancel = context.WithCancel(r.ctx)
	cfg, err := settings(p.ID.Address, p.Domain)
	if err != nil {
		return nil, err
	}
	var seed [32]byte
	for n := range seed {
		seed[n] = byte(r.intN(256))
	}
	p.Instance, err = srserve.NewInstance(srserve.Deps{
		Settings: cfg,
		Self:     p.ID,
		Engine:   engine{p},
		Service:  service{p},
		Platform: platform{p},
		Peers:    peers{p},
		Random:   rand.NewChaCha8(seed),
		Seed:     uint64(r.intN(1 << 30)),
		Log:      logr.Discard(),
		Metrics:  p.Metrics,
	})
	if err != nil {
		return nil, errors.Wrap(err, "srrig")
	}
	p.caller = srcaller.New(p.Instance.Entry(), p.Instance.Current, srcaller.Options{})
	return p, nil
}

func settings(address, domain string) (srsettings.Settings, error) {
	return srsettings.Parse("rig.ini", []byte(`
[instance]
listen = 10.9.0.1:7100
operate = 10.9.0.1:7200
peer = `+address+`
domain = `+domain+`
[platform]
address = 10.9.0.9:80
[times]
ticket = 2m
retain = 30s
`))
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool { return p.ctx.Err() == nil }

// Kill ends the process. It sends nothing afterwards, but calls to other instances
// that are on their way still arrive.
func (p *Process) Kill() { p.cancel() }

// Pause stops all messages to and from the process until Unpause. Requests that it
// is about to write to an endpoint are not sent.
func (p *Process) Pause() { p.pause(false) }

// PauseInWrite is like Pause, but a request that the process is about to write to
// an endpoint is sent at Unpause. It simulates a process that is stopped between
// its last check and the write.
func (p *Process) PauseInWrite() { p.pause(true) }

func (p *Process) pause(writeHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
		p.writeHeld = writeHeld
	}
}

// Unpause ends a pause.
func (p *Process) Unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Shutdown drains the process, ends it, and records the shutdown. As in a real
// process, callers have callerCloseTimeout to receive their last bytes.
func (p *Process) Shutdown() {
	began := p.rig.Now()
	err := p.Instance.Drain(p.ctx)
	waiting, sent := p.Instance.RequestsInFlight()
	for limit := p.rig.Now() + callerCloseTimeout; p.openExchanges.Load() > 0 && p.rig.Now() < limit; {
		time.Sleep(minDelay)
	}
	p.rig.History.AddShutdown(srhistory.Shutdown{Instance: p.ID.Address, Began: began, Ended: p.rig.Now(), Left: waiting + sent, Err: err})
	p.Kill()
}

// Count returns the value of a counter in the process's metrics.
func (p *Process) Count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.Metrics).Count()
}

func (p *Process) run() { p.Instance.Run(p.ctx) }

// awaitRunning returns true as soon as the process is not paused, and false when it
// is dead.
func (p *Process) awaitRunning() bool {
	for {
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		if paused == nil {
			return p.Alive()
		}
		select {
		case <-paused:
		case <-p.ctx.Done():
			return false
		}
	}
}

// awaitWrite waits until the process is not paused. It returns false when a request
// to an endpoint must not be sent, because the process is dead or Pause dropped it.
func (p *Process) awaitWrite() bool {
	p.mu.Lock()
	lost := p.paused != nil && !p.writeHeld
	p.mu.Unlock()
	return p.awaitRunning() && !lost
}

// withProcess returns a context that ends with ctx or with the process, whichever
// is first.
func (p *Process) withProcess(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// sleepIfDead sleeps for deadProcessPause when the process is dead.
func (p *Process) sleepIfDead() {
	if !p.Alive() {
		time.Sleep(deadProcessPause)
	}
}
