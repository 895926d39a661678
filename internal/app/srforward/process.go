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
	"golang.org/x/sys/unix"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srclock"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srseed"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// A connection without traffic is probed after keepIdle, and given up after
	// keepCount probes without an answer, keepEvery apart.
	keepIdle  = time.Second
	keepEvery = 500 * time.Millisecond
	keepCount = 3
	// unacked is how long sent bytes may stay unacknowledged.
	unacked = 2500 * time.Millisecond
	// registryDial bounds a connection to the registry.
	registryDial = 500 * time.Millisecond
	// headerTime bounds the arrival of a header whatever the configuration says.
	headerTime = 30 * time.Second
	// drainTick is the time between two looks at the requests under way.
	drainTick = 20 * time.Millisecond
	// sockets is the number of listeners, each of which may fail once.
	sockets = 4
	// reloadEvery is how often the settings are read again.
	reloadEvery = 2 * time.Second
)

// Options are what a process needs beside its settings.
type Options struct {
	Wire sr.Wire
	// Registry opens the client of the registry at an address.
	Registry func(address string, o srconn.Options) (sr.Registry, error)
	// Reload reads the settings again.
	Reload func() (srsite.Settings, error)
	Log    *srlog.Log
}

// Process is a forwarding instance with its sockets.
type Process struct {
	cfg      srsite.Settings
	opts     Options
	log      *srlog.Log
	instance *Instance
	peers    *srinstance.Peers
	rpc      *srinstance.Server
	clients  *clients
	servers  []*http.Server
	front    *http.Server
	listen   listeners
}

// listeners are the sockets of a process.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	peers   net.Listener
	operate net.Listener
}

// New opens the sockets and returns a Process that serves once Run is called.
func New(cfg srsite.Settings, o Options) (*Process, error) {
	dialer := newDialer()
	registry, err := o.Registry(cfg.Registry, srconn.Options{
		Dial:     dialer.DialContext,
		Timeouts: srconn.Timeouts{Dial: registryDial, Write: answerTime, Idle: listTime},
	})
	if err != nil {
		return nil, errors.Wrap(err, "srforward")
	}
	seed, incarnation, err := srseed.Draw()
	if err != nil {
		return nil, err
	}
	p := &Process{cfg: cfg, opts: o, log: o.Log, clients: newClients(o.Log)}
	p.peers = srinstance.New(dialer.DialContext, gossipTime)
	p.instance = NewInstance(Deps{
		Settings: cfg,
		Self:     cfg.ID(incarnation),
		Wire:     o.Wire,
		Registry: registry,
		Fleet:    p.peers,
		Upstream: srupstream.New(srupstream.Options{Dial: dialer.DialContext, Reply: o.Wire.Reply}),
		Clock:    srclock.Now,
		Seed:     seed,
		Log:      o.Log,
	})
	return p, p.open()
}

// newDialer returns a dialer whose connections notice a peer that fell silent.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if ctl != nil {
		return ctl
	}
	return err
}

// open opens all sockets, or none.
func (p *Process) open() error {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	var opened []net.Listener
	for _, socket := range []struct {
		address string
		into    *net.Listener
	}{
		{p.cfg.Clients, &p.listen.clients},
		{p.cfg.Ready, &p.listen.ready},
		{p.cfg.Peers, &p.listen.peers},
		{p.cfg.Operate, &p.listen.operate},
	} {
		ln, err := lc.Listen(context.Background(), "tcp", socket.address)
		if err != nil {
			for _, open := range opened {
				open.Close()
			}
			return errors.Wrap(err, "srforward")
		}
		*socket.into = ln
		opened = append(opened, ln)
	}
	return nil
}

// Run serves until a stop signal arrives or a listener fails.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, sockets)
	var wg sync.WaitGroup
	if err := p.serve(ctx, &wg, failed); err != nil {
		return err
	}
	wg.Go(func() { p.instance.sync(ctx) })
	wg.Go(func() { p.instance.gossip(ctx) })
	wg.Go(func() { p.instance.sweep(ctx) })
	wg.Go(func() { p.sweepClients(ctx) })
	p.log.State("start", srlog.Domain, p.cfg.Domain, srlog.Address, p.cfg.Clients, srlog.Peer, p.cfg.Peers)
	err := p.wait(ctx, signals, failed)
	cancel()
	p.close()
	wg.Wait()
	p.log.State("stop", srlog.Error, errorText(err))
	return err
}

// wait returns when the process is to end.
func (p *Process) wait(ctx context.Context, signals <-chan os.Signal, failed <-chan error) error {
	reload := time.NewTicker(reloadEvery)
	defer reload.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload.C:
			p.reload("")
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(s.String())
				continue
			}
			p.drain(ctx, s, signals)
			return nil
		}
	}
}

// reload reads the settings again. Only the seeds can change while a process
// runs; an unreadable file leaves them as they are.
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

// drain lets the balancer notice, ends unused connections, and waits for the
// requests that are under way, up to the grace time.
func (p *Process) drain(ctx context.Context, s os.Signal, signals <-chan os.Signal) {
	start := time.Now()
	p.log.State("draining", srlog.Signal, s.String())
	p.instance.draining.Store(true)
	p.instance.leave(ctx)
	end := start.Add(p.cfg.Grace - endMargin)
	leave := min(leaveFor, p.cfg.Grace/2)
	if !waitOr(ctx, time.Until(start.Add(leave)), signals) {
		return
	}
	p.instance.refusing.Store(true)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	// Shutdown closes the listener and idle connections. It also waits for
	// connections on which no request has come, so it is not waited for.
	go func() { _ = p.front.Shutdown(ctx) }()
	if n := p.emptied(ctx); n > 0 {
		p.log.State("drain-cut", srlog.Count, n, srlog.Total, time.Since(start))
	}
}

// emptied waits until no request is under way, and returns how many are when ctx
// ends before.
func (p *Process) emptied(ctx context.Context) int64 {
	for {
		n := p.instance.running.Load()
		if n == 0 || srtimer.Wait(ctx, drainTick) != nil {
			return n
		}
	}
}

// waitOr waits for d and reports whether no signal came.
func waitOr(ctx context.Context, d time.Duration, signals <-chan os.Signal) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case s := <-signals:
			if s != syscall.SIGHUP {
				return false
			}
		}
	}
}

func (p *Process) serve(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) error {
	rpc, err := srinstance.NewFleetServer(ctx, p.instance)
	if err != nil {
		return err
	}
	p.rpc = rpc
	p.front = newServer(p.handler())
	p.front.ConnState = p.clients.state
	ready, operate := newServer(p.instance.readiness()), newServer(p.instance.operate())
	p.servers = []*http.Server{p.front, ready, operate}
	wg.Go(func() { report(failed, p.front.Serve(p.clients.listen(p.listen.clients))) })
	wg.Go(func() { report(failed, ready.Serve(p.listen.ready)) })
	wg.Go(func() { report(failed, operate.Serve(p.listen.operate)) })
	wg.Go(func() { report(failed, rpc.Serve(p.listen.peers)) })
	return nil
}

// handler asks clients to leave once the process drains.
func (p *Process) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.instance.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		p.instance.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		// Broken connections are the clients' affair and counted elsewhere.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (p *Process) sweepClients(ctx context.Context) {
	for srtimer.Wait(ctx, sweepEvery) == nil {
		st := p.instance.view.State()
		if st.Routing == nil {
			continue
		}
		for range p.clients.sweep(time.Now(), st.Routing.Limits) {
			p.instance.figures.count("refused." + reasonHeaderSlow)
		}
	}
}

func (p *Process) close() {
	for _, s := range p.servers {
		s.Close()
	}
	p.listen.peers.Close()
	p.rpc.Close()
	p.peers.Close()
	p.instance.Upstream.Close()
}

func report(failed chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.Wrap(err, "srforward")
	}
}
