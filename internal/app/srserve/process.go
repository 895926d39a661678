package srserve

import (
	"context"
	crand "crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srcaller"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srdownstream"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srendpoint"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/sroperator"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srplatform"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srservice"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srseed"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// readBodyTimeout bounds reading the body of a caller's request, writeTimeout
	// writing a part of the answer.
	readBodyTimeout = 30 * time.Second
	writeTimeout    = 30 * time.Second
	// closeTimeout bounds the orderly shutdown of the callers' server.
	closeTimeout = 5 * time.Second
	// endTimeout bounds the end of connections after that.
	endTimeout = time.Second
	// serverCount is the number of servers, each of which may fail once.
	serverCount = 3
)

// ErrCut means that a second signal or the drain timeout stopped the process before
// its requests had ended.
var ErrCut = errors.New("stopped before all requests had ended")

// Process is an entry instance with its sockets and clients.
type Process struct {
	cfg      srsettings.Settings
	log      logr.Logger
	instance *Instance
	peers    *srinstance.Peers
	rpc      *srinstance.Server
	callers  *http.Server
	conns    *srdownstream.Conns
	operator *http.Server
	listen   listeners
}

// listeners are the sockets of a process.
type listeners struct {
	callers  net.Listener
	operator net.Listener
	peers    net.Listener
}

// New opens the sockets and returns a Process that starts serving when Run is called.
func New(cfg srsettings.Settings, log logr.Logger) (*Process, error) {
	dialer := &net.Dialer{Timeout: cfg.Connect}
	platform, err := srplatform.New(srplatform.Options{Address: cfg.Platform, Conn: connOptions(dialer, cfg)})
	if err != nil {
		return nil, errors.Wrap(err, "srserve")
	}
	seed, incarnation, err := srseed.Draw()
	if err != nil {
		return nil, err
	}
	p := &Process{
		cfg:   cfg,
		log:   log,
		peers: srinstance.New(dialer.DialContext, cfg.Connect),
		conns: srdownstream.New(srdownstream.Options{HeaderTimeout: cfg.Header}),
	}
	p.instance, err = NewInstance(Deps{
		Settings: cfg,
		Self:     cfg.ID(incarnation),
		Engine:   srendpoint.New(srendpoint.Options{Conn: connOptions(dialer, cfg)}),
		Service:  srservice.New(srservice.Options{Conn: connOptions(dialer, cfg)}),
		Platform: platform,
		Peers:    p.peers,
		Random:   crand.Reader,
		Seed:     seed,
		Log:      log,
		Metrics:  metrics.NewRegistry(),
	})
	if err != nil {
		return nil, err
	}
	if p.listen, err = openListeners(cfg); err != nil {
		return nil, err
	}
	return p, nil
}

// Run serves until ctx ends, a signal arrives or a listener fails. The first signal
// drains the instance, the second one stops it immediately with ErrCut.
func (p *Process) Run(ctx context.Context, signals <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, serverCount)
	var wg sync.WaitGroup
	if err := p.startServers(ctx, &wg, failed); err != nil {
		return err
	}
	wg.Go(func() { p.instance.Run(ctx) })
	wg.Go(func() { p.sweepConns(ctx) })
	p.log.Info("serving", "callers", p.cfg.Listen, "operators", p.cfg.Operate, "instances", p.cfg.Peer, "domain", p.cfg.Domain)

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-signals:
		err = p.drain(ctx, signals)
	}
	p.close(err)
	cancel()
	wg.Wait()
	p.log.Info("stopped")
	return err
}

// drain waits until the requests have ended, a second signal arrives or the drain
// timeout passes.
func (p *Process) drain(ctx context.Context, signals <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Drain)
	defer cancel()
	p.conns.Stop()
	done := make(chan error, 1)
	go func() { done <- p.instance.Drain(ctx) }()
	var err error
	select {
	case err = <-done:
	case <-signals:
		err = ErrCut
	}
	if err == nil {
		return nil
	}
	waiting, sent := p.instance.RequestsInFlight()
	p.log.Info("requests cut", "waiting", waiting, "sent", sent)
	return errors.Wrapf(ErrCut, "srserve: %d waiting and %d sent requests were cut", waiting, sent)
}

func (p *Process) startServers(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) error {
	rpc, err := srinstance.NewServer(ctx, p.instance)
	if err != nil {
		return err
	}
	p.rpc = rpc
	p.callers = srcaller.NewServer(srcaller.New(p.instance.Entry(), p.instance.Current, srcaller.Options{
		Body:     int64(p.cfg.Body),
		ReadBody: readBodyTimeout,
		Write:    writeTimeout,
	}))
	p.conns.Install(p.callers)
	p.operator = sroperator.NewServer(sroperator.New(p.instance), p.cfg.Header, p.cfg.Idle)
	wg.Go(func() { reportServeError(failed, p.rpc.Serve(p.listen.peers)) })
	wg.Go(func() { reportServeError(failed, p.callers.Serve(p.conns.Listener(p.listen.callers))) })
	wg.Go(func() { reportServeError(failed, p.operator.Serve(srconn.KeepAccepting(p.listen.operator))) })
	return nil
}

// close closes the sockets. Unless the process failed, the callers' connections may
// first finish writing their answers.
func (p *Process) close(err error) {
	if err == nil {
		p.endConnections()
	}
	p.callers.Close()
	p.operator.Close()
	p.listen.peers.Close()
	p.rpc.Close()
	p.peers.Close()
}

// endConnections lets the callers finish reading their answers, and answers requests that
// arrive meanwhile.
func (p *Process) endConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.conns.WaitIdle(ctx)
	p.listen.callers.Close()
	ctx, cancel = context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	p.conns.EndAll(ctx)
}

// sweepConns closes connections of callers that have been idle for too long, until ctx ends.
func (p *Process) sweepConns(ctx context.Context) {
	for srtimer.Wait(ctx, sweepInterval) == nil {
		p.conns.Sweep(time.Now(), sr.ClientLimits{IdleTime: p.cfg.Idle})
	}
}

func reportServeError(failed chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.Wrap(err, "srserve")
	}
}

// openListeners opens the three sockets. If one fails, it closes the others.
func openListeners(cfg srsettings.Settings) (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", cfg.Listen); err != nil {
		return l, errors.Wrap(err, "srserve: [instance] listen")
	}
	if l.operator, err = net.Listen("tcp", cfg.Operate); err != nil {
		l.callers.Close()
		return l, errors.Wrap(err, "srserve: [instance] operate")
	}
	if l.peers, err = net.Listen("tcp", cfg.Peer); err != nil {
		l.callers.Close()
		l.operator.Close()
		return l, errors.Wrap(err, "srserve: [instance] peer")
	}
	return l, nil
}

func connOptions(dialer *net.Dialer, cfg srsettings.Settings) srconn.Options {
	timeouts := srconn.DefaultTimeouts()
	timeouts.Dial = cfg.Connect
	return srconn.Options{Dial: dialer.DialContext, Timeouts: timeouts}
}
