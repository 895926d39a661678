package srforward

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srclock"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srseed"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// An idle connection is probed after keepAliveIdle, and closed after
	// keepAliveCount probes without an answer, sent at keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unackedTimeout is how long bytes sent to an endpoint, the registry or another instance may
	// stay unacknowledged. The kernel counts the time for which a peer does not read, too, so
	// clients, and endpoints with a long body, have writeTimeout.
	unackedTimeout = 2500 * time.Millisecond
	// registryDialTimeout bounds the opening of a connection to the registry.
	registryDialTimeout = 500 * time.Millisecond
	// headerTimeout bounds the reading of a header regardless of the configuration.
	headerTimeout = 30 * time.Second
	// listenerCount is the number of listeners, each of which may fail once.
	listenerCount = 4
	// reloadInterval is the interval at which the settings are read again.
	reloadInterval = 2 * time.Second
)

// Options configure a Process in addition to its settings.
type Options struct {
	Codec sr.HeaderCodec
	// Registry returns a client of the registry at an address.
	Registry func(address string, o srconn.Options) (sr.Registry, error)
	// Reload reads the settings again.
	Reload func() (srforwardsettings.Settings, error)
	// ReloadSignals asks for that at once, nil for never.
	ReloadSignals <-chan os.Signal
	Log           *srlog.Log
}

// Process is a forwarding instance with its listeners and servers.
type Process struct {
	cfg          srforwardsettings.Settings
	opts         Options
	log          *srlog.Log
	instance     *Instance
	peers        *srinstance.Fleet
	rpc          *srinstance.Server
	clients      *srdownstream.Conns
	reports      *clientReports
	servers      []*http.Server
	clientServer *http.Server
	listen       listeners
}

// listeners are the listening sockets of a process.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	peers   net.Listener
	operate net.Listener
}

// New opens the listeners and returns a Process that serves once Run is called.
func New(cfg srforwardsettings.Settings, o Options) (*Process, error) {
	dialer := newDialer()
	registry, err := o.Registry(cfg.Registry, srconn.Options{
		Dial:     dialer.DialContext,
		Timeouts: srconn.Timeouts{Dial: registryDialTimeout, Write: registryWriteTimeout, Idle: maxRegistryAnswer},
	})
	if err != nil {
		return nil, errors.Wrap(err, "srforward")
	}
	seed, incarnation, err := srseed.Draw()
	if err != nil {
		return nil, err
	}
	p := &Process{cfg: cfg, opts: o, log: o.Log}
	p.peers = srinstance.NewFleet(dialer.DialContext, gossipTimeout, srinstance.FleetLimits(cfg.Memory, p.reportLimit))
	p.instance = NewInstance(Deps{
		Settings: cfg,
		Self:     cfg.ID(incarnation),
		Codec:    o.Codec,
		Registry: registry,
		Fleet:    p.peers,
		Upstream: srupstream.New(srupstream.Options{
			Dial:            dialer.DialContext,
			Reply:           o.Codec.Reply,
			LongBodyTimeout: writeTimeout,
		}),
		Clock: srclock.Now,
		Seed:  seed,
		Log:   o.Log,
	})
	p.reports = &clientReports{n: p.instance}
	p.clients = srdownstream.New(srdownstream.Options{
		Grace:         cfg.ConfigTimeout,
		HeaderTimeout: headerTimeout,
		Closed:        p.reports.closed,
		HeaderSlow:    p.reports.headerSlow,
		BeginHeader:   p.instance.beginHeader,
		HeaderUnheld:  p.reports.headerUnheld,
		Memory:        p.instance.memory,
		MaxMemory:     int64(float64(cfg.Memory) * connMemoryRatio * (1 << 20)),
		Full:          p.reports.connectionRefused,
	})
	return p, p.openListeners()
}

// newDialer returns a dialer whose connections detect an unresponsive peer by TCP
// keep-alive probes and by a limit on unacknowledged data.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive(), Control: limitUnacked(unackedTimeout)}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// limitUnacked returns a function that sets the timeout for unacknowledged bytes of a socket.
func limitUnacked(d time.Duration) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return srconn.SetUnackedTimeout(c, d) }
}

// openListeners opens all listeners, or none.
func (p *Process) openListeners() error {
	var opened []net.Listener
	for _, socket := range []struct {
		address string
		timeout time.Duration
		target  *net.Listener
	}{
		{p.cfg.Clients, writeTimeout, &p.listen.clients},
		{p.cfg.Ready, unackedTimeout, &p.listen.ready},
		{p.cfg.Peers, unackedTimeout, &p.listen.peers},
		{p.cfg.Operate, unackedTimeout, &p.listen.operate},
	} {
		lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: limitUnacked(socket.timeout)}
		ln, err := lc.Listen(context.Background(), "tcp", socket.address)
		if err != nil {
			for _, open := range opened {
				open.Close()
			}
			return errors.Wrap(err, "srforward")
		}
		*socket.target = ln
		opened = append(opened, ln)
	}
	return nil
}

// Run serves until a stop signal arrives or a listener fails.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, listenerCount)
	var wg sync.WaitGroup
	if err := p.serve(ctx, &wg, failed); err != nil {
		return err
	}
	wg.Go(func() { p.instance.sync(ctx) })
	wg.Go(func() { p.instance.gossip(ctx) })
	wg.Go(func() { p.instance.fetch(ctx) })
	wg.Go(func() { p.instance.sweep(ctx) })
	wg.Go(func() { p.sweepClients(ctx) })
	p.log.State("start", srlog.Domain, p.cfg.Domain, srlog.Address, p.cfg.Clients, srlog.Peer, p.cfg.Peers)
	err := p.waitForStop(ctx, signals, failed)
	cancel()
	p.close()
	wg.Wait()
	p.log.State("stop", srlog.Error, errorText(err))
	return err
}

// waitForStop reloads the settings until the process has to stop, and returns once
// it has drained.
func (p *Process) waitForStop(ctx context.Context, signals <-chan os.Signal, failed <-chan error) error {
	reload := time.NewTicker(reloadInterval)
	defer reload.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload.C:
			p.reload("")
		case s := <-p.opts.ReloadSignals:
			p.reload(s.String())
		case s := <-signals:
			p.drain(ctx, s, signals)
			return nil
		}
	}
}

// reload reads the settings again. Only the seeds can change while a process
// runs; an unreadable file leaves them unchanged.
func (p *Process) reload(signal string) {
	cfg, err := p.opts.Reload()
	if err != nil {
		p.log.State("reload-failed", srlog.Signal, signal, srlog.Error, err.Error())
		return
	}
	if signal == "" && slices.Equal(cfg.Seeds, p.cfg.Seeds) {
		return
	}
	p.cfg = p.cfg.WithSeeds(cfg.Seeds)
	p.instance.members.setSeeds(cfg.Seeds)
	p.log.State("reload", srlog.Signal, signal, srlog.Count, len(cfg.Seeds))
}

// drain reports the instance as not ready while it still accepts requests for a
// short time, then closes idle connections and waits for the requests in flight,
// up to the grace time.
func (p *Process) drain(ctx context.Context, s os.Signal, signals <-chan os.Signal) {
	start := time.Now()
	p.log.State("draining", srlog.Signal, s.String())
	p.instance.draining.Store(true)
	p.clients.Stop()
	p.instance.announceLeaving(ctx)
	closeBy := start.Add(p.cfg.Grace - shutdownMargin)
	notice := min(drainNotice, p.cfg.Grace/2)
	if !waitUnlessStopped(ctx, time.Until(start.Add(notice)), signals) {
		return
	}
	p.instance.refusing.Store(true)
	ctx, cancel := context.WithDeadline(ctx, closeBy)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.instance.announceLeaving(ctx) })
	// Connections that wait to be accepted would be reset if the listener were closed now.
	// http.Server.Shutdown would close idle connections while requests arrive on them.
	if n := p.clients.WaitIdle(ctx); n > 0 {
		p.log.State("drain-cut", srlog.Count, n, srlog.Total, time.Since(start))
		p.instance.end()
	}
	p.listen.clients.Close()
	p.endConnections(closeBy)
}

// endConnections lets the requests that are still in flight write their final answers, and
// answers those that arrive meanwhile. It has more time before closeBy.
func (p *Process) endConnections(closeBy time.Time) {
	now := time.Now()
	until := now.Add(min(max(closeBy.Sub(now), endTimeout), maxEndTime))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	p.clients.EndAll(ctx)
}

// waitUnlessStopped waits for d. It returns false at once if ctx ends or an interrupt arrives:
// someone at a terminal repeats it to stop now. A repeated SIGTERM does not end the grace time,
// which its sender knows.
func waitUnlessStopped(ctx context.Context, d time.Duration, signals <-chan os.Signal) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case s := <-signals:
			if s == syscall.SIGINT {
				return false
			}
		}
	}
}

func (p *Process) serve(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) error {
	rpc, err := srinstance.NewFleetServer(ctx, guardedHandler{p.instance}, srinstance.FleetLimits(p.cfg.Memory, p.reportLimit))
	if err != nil {
		return err
	}
	p.rpc = rpc
	p.clientServer = newServer(p.handler())
	p.clients.Install(p.clientServer)
	ready, operate := newServer(p.instance.readyHandler()), newServer(p.instance.operatorHandler())
	ready.MaxHeaderBytes, operate.MaxHeaderBytes = maxOperatorHeader, maxOperatorHeader
	p.servers = []*http.Server{p.clientServer, ready, operate}
	wg.Go(func() { reportServeError(failed, p.clientServer.Serve(p.clients.Listener(p.listen.clients))) })
	wg.Go(func() { reportServeError(failed, ready.Serve(srconn.KeepAccepting(p.listen.ready))) })
	wg.Go(func() { reportServeError(failed, operate.Serve(srconn.KeepAccepting(p.listen.operate))) })
	wg.Go(func() { reportServeError(failed, rpc.Serve(p.listen.peers)) })
	return nil
}

// handler serves client requests.
func (p *Process) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer p.instance.recoverRequest(w, r)
		p.instance.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		// The server's own messages are about connections that clients broke; refused
		// and aborted requests are logged and counted by the handlers.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (p *Process) sweepClients(ctx context.Context) {
	for srtimer.Wait(ctx, sweepInterval) == nil {
		st := p.instance.view.State()
		if st.Routing == nil {
			continue
		}
		p.clients.Sweep(time.Now(), st.Routing.Limits)
		if idle := p.reports.idleClosed.Swap(0); idle > 0 {
			p.log.State("idle-closed", srlog.Count, idle, srlog.After, st.Routing.Limits.IdleTime, srlog.Version, st.Routing.Version)
		}
	}
}

func (p *Process) close() {
	p.instance.closing.Store(true)
	for _, s := range p.servers {
		s.Close()
	}
	p.listen.peers.Close()
	p.rpc.Close()
	p.peers.Close()
	p.instance.Upstream.Close()
}

func reportServeError(failed chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.Wrap(err, "srforward")
	}
}
