package srrig

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
)

const (
	// callTimeout bounds a call between instances without a deadline.
	callTimeout = 2 * time.Second
	// connectTimeout is how long a connection attempt takes to fail when messages
	// to the address are cut.
	connectTimeout = time.Second
	// deadProcessPause is the pause of each call of a dead process, whose goroutines
	// would otherwise retry without any time passing.
	deadProcessPause = 500 * time.Millisecond
	// watchWait is the duration of one call of a watch.
	watchWait = 2 * time.Second
)

// errRefused means that no process runs at the address of a peer.
var errRefused = stderrors.Join(sr.ErrUnreachable, sr.ErrNotSent)

var (
	_ sr.Peers    = peers{}
	_ sr.Handler  = handler{}
	_ sr.Engine   = engine{}
	_ sr.Service  = service{}
	_ sr.Platform = platform{}
)

// peers connects one process to the other instances through the network.
type peers struct{ p *Process }

// Peer returns a handler that calls the process that runs at an address when the
// message arrives.
func (ps peers) Peer(address string) sr.Handler { return handler{ps.p, address} }

// handler calls a peer on behalf of process p.
type handler struct {
	p  *Process
	to string
}

type reply[T any] struct {
	value T
	err   error
}

// call runs a call to a peer over the network. When ctx ends the call fails, but
// its message may still be delivered.
func call[T any](ctx context.Context, h handler, f func(context.Context, sr.Handler) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan reply[T], 1)
	go deliver(h, replies, f)
	var r reply[T]
	select {
	case r = <-replies:
	case <-ctx.Done():
		r.err = errors.Wrapf(sr.ErrUnreachable, "srrig: %s", h.to)
	case <-h.p.ctx.Done():
		r.err = errors.Wrap(sr.ErrUnreachable, "srrig: process is dead")
	}
	h.p.awaitRunning()
	h.p.sleepIfDead()
	return r.value, r.err
}

// deliver transmits one message to its receiver and the answer back. It sends no
// reply when either is lost.
func deliver[T any](h handler, replies chan<- reply[T], f func(context.Context, sr.Handler) (T, error)) {
	r := h.p.rig
	if !h.p.awaitRunning() || !r.transmit(h.p.ID.Address, h.to) {
		return
	}
	receiver := r.ProcessAt(h.to)
	if receiver == nil || !receiver.Alive() {
		replies <- reply[T]{err: errRefused}
		return
	}
	if !receiver.awaitRunning() {
		return
	}
	value, err := f(receiver.ctx, receiver.Instance)
	if !receiver.awaitRunning() || !r.transmit(h.to, h.p.ID.Address) {
		return
	}
	replies <- reply[T]{value, err}
}

// void is the result of the calls that return only an error.
type void struct{}

func (h handler) Heartbeat(ctx context.Context, hb sr.Heartbeat) (sr.Heartbeat, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Heartbeat, error) { return to.Heartbeat(ctx, hb) })
}

func (h handler) Acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Grant, error) { return to.Acquire(ctx, a) })
}

func (h handler) Withdraw(ctx context.Context, pool sr.PoolID, ask string) error {
	_, err := call(ctx, h, func(ctx context.Context, to sr.Handler) (void, error) { return void{}, to.Withdraw(ctx, pool, ask) })
	return err
}

func (h handler) Release(ctx context.Context, rel sr.Release) error {
	_, err := call(ctx, h, func(ctx context.Context, to sr.Handler) (void, error) { return void{}, to.Release(ctx, rel) })
	return err
}

func (h handler) Revoke(ctx context.Context, rev sr.Revoke) error {
	_, err := call(ctx, h, func(ctx context.Context, to sr.Handler) (void, error) { return void{}, to.Revoke(ctx, rev) })
	return err
}

func (h handler) Yield(ctx context.Context, y sr.Yield) (sr.Handover, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Handover, error) { return to.Yield(ctx, y) })
}

func (h handler) Submit(ctx context.Context, s sr.Submission) (sr.Status, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Status, error) { return to.Submit(ctx, s) })
}

func (h handler) Poll(ctx context.Context, p sr.Poll) (sr.Events, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Events, error) { return to.Poll(ctx, p) })
}

func (h handler) Explain(ctx context.Context, ticket string) (sr.Explanation, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.Explanation, error) { return to.Explain(ctx, ticket) })
}

func (h handler) Manifest(ctx context.Context, v sr.Version) (sr.ManifestText, error) {
	return call(ctx, h, func(ctx context.Context, to sr.Handler) (sr.ManifestText, error) { return to.Manifest(ctx, v) })
}

// engine connects one process to the model engines through the network.
type engine struct{ p *Process }

// Dispatch implements sr.Engine. It injects faults and records the arrival.
func (e engine) Dispatch(ctx context.Context, address string, d sr.Dispatch) (sr.Stream, error) {
	r := e.p.rig
	fault := r.faultFor(d.Prompt)
	if err := e.p.connectForRequest(address, fault); err != nil {
		return nil, err
	}
	if fault == FaultResetBeforeRead {
		return nil, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	if fault == FaultDeliveredLate {
		go func() {
			time.Sleep(lateDelay)
			_, _ = e.recordAndDispatch(r.ctx, address, d)
		}()
		return nil, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	s, err := e.recordAndDispatch(ctx, address, d)
	if !e.p.awaitRunning() {
		return nil, errors.Wrap(sr.ErrConnectionLost, "srrig: process is dead")
	}
	if err != nil {
		return nil, err
	}
	if fault == FaultResetAfterAccept {
		s.Close()
		return nil, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	return &stream{Stream: s, p: e.p, fault: fault}, nil
}

// recordAndDispatch records the arrival, dispatches the request, and marks the
// arrival as not accepted when the engine refuses it.
func (e engine) recordAndDispatch(ctx context.Context, address string, d sr.Dispatch) (sr.Stream, error) {
	r := e.p.rig
	endpoint := r.endpoint(address)
	setAccepted := r.History.AddArrival(srhistory.Arrival{
		At: r.Now(), Endpoint: endpoint.Name, Domain: endpoint.Domain, Issuer: e.p.ID.Address,
		Stream: d.Stream, Workspace: d.Workspace, Body: d.Prompt, Accepted: true,
	})
	s, err := r.Engines.Dispatch(ctx, address, d)
	setAccepted(!errors.Is(err, sr.ErrNotSent) && !errors.Is(err, sr.ErrNotTaken))
	return s, err
}

// Resume implements sr.Engine.
func (e engine) Resume(ctx context.Context, address, name string, after int) (sr.Stream, error) {
	if err := e.p.connect(address); err != nil {
		return nil, err
	}
	s, err := e.p.rig.Engines.Resume(ctx, address, name, after)
	if !e.p.awaitRunning() {
		return nil, errors.Wrap(sr.ErrUnreachable, "srrig: process is dead")
	}
	if err != nil {
		return nil, err
	}
	return &stream{Stream: s, p: e.p}, nil
}

// Cancel implements sr.Engine.
func (e engine) Cancel(ctx context.Context, address, name string) error {
	if err := e.p.connect(address); err != nil {
		return err
	}
	return e.p.rig.Engines.Cancel(ctx, address, name)
}

// Load implements sr.Engine.
func (e engine) Load(ctx context.Context, address string, after uint64) (sr.Load, error) {
	if err := e.p.connect(address); err != nil {
		return sr.Load{}, err
	}
	l, err := e.p.rig.Engines.Load(ctx, address, after)
	e.p.awaitRunning()
	return l, err
}

// service connects one process to the plain services through the network.
type service struct{ p *Process }

// Call implements sr.Service. It injects faults and records the arrival.
func (s service) Call(ctx context.Context, address string, c sr.Call) (sr.Answer, error) {
	r := s.p.rig
	fault := r.faultFor(c.Body)
	if err := s.p.connectForRequest(address, fault); err != nil {
		return sr.Answer{}, err
	}
	if fault == FaultResetBeforeRead {
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	if fault == FaultDeliveredLate {
		go func() {
			time.Sleep(lateDelay)
			_, _ = s.recordAndCall(r.ctx, address, c)
		}()
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	answer, err := s.recordAndCall(ctx, address, c)
	if !s.p.awaitRunning() || fault == FaultResetAfterAccept {
		return sr.Answer{}, errors.Wrap(sr.ErrConnectionLost, "srrig: connection reset")
	}
	return answer, err
}

// recordAndCall records the arrival, runs the call, and marks the arrival as not
// accepted when the service refuses it.
func (s service) recordAndCall(ctx context.Context, address string, c sr.Call) (sr.Answer, error) {
	r := s.p.rig
	endpoint := r.endpoint(address)
	setAccepted := r.History.AddArrival(srhistory.Arrival{
		At: r.Now(), Endpoint: endpoint.Name, Domain: endpoint.Domain, Issuer: s.p.ID.Address,
		ID: c.ID, Workspace: c.Workspace, Body: c.Body, Accepted: true,
	})
	answer, err := r.Services.Call(ctx, address, c)
	setAccepted(!errors.Is(err, sr.ErrNotSent) && !errors.Is(err, sr.ErrNotTaken))
	return answer, err
}

// Probe implements sr.Service.
func (s service) Probe(ctx context.Context, address string) (sr.Load, error) {
	if err := s.p.connect(address); err != nil {
		return sr.Load{}, err
	}
	l, err := s.p.rig.Services.Probe(ctx, address)
	s.p.awaitRunning()
	return l, err
}

// connectForRequest connects to an endpoint for a dispatch or call. It returns
// ErrNotSent when the request cannot have reached the endpoint.
func (p *Process) connectForRequest(address string, fault Fault) error {
	if !p.awaitWrite() {
		p.sleepIfDead()
		return errors.Wrap(sr.ErrNotSent, "srrig: no connection")
	}
	if !p.rig.transmit(p.ID.Address, address) {
		time.Sleep(connectTimeout)
		return errors.Wrapf(sr.ErrNotSent, "srrig: %s cannot be reached", address)
	}
	if fault == FaultRefused {
		return errors.Wrapf(sr.ErrNotSent, "srrig: %s refuses the connection", address)
	}
	if !p.Alive() {
		return errors.Wrap(sr.ErrConnectionLost, "srrig: process is dead")
	}
	return nil
}

// connect connects to an endpoint or the platform for any other exchange.
func (p *Process) connect(address string) error {
	if !p.awaitRunning() {
		p.sleepIfDead()
		return errors.Wrap(sr.ErrUnreachable, "srrig: process is dead")
	}
	if !p.rig.transmit(p.ID.Address, address) {
		time.Sleep(connectTimeout)
		return errors.Wrapf(sr.ErrUnreachable, "srrig: %s", address)
	}
	return nil
}

// platform connects one process to the platform through the network.
type platform struct{ p *Process }

// Read implements sr.Platform.
func (pl platform) Read(ctx context.Context, key string) (sr.Value, error) {
	if err := pl.p.connect(PlatformAddress); err != nil {
		return sr.Value{}, err
	}
	return pl.p.rig.Platform.Read(ctx, key)
}

// Watch implements sr.Platform. It polls until there is a newer revision.
func (pl platform) Watch(ctx context.Context, key string, after uint64) (sr.Value, error) {
	for {
		if err := pl.p.connect(PlatformAddress); err != nil {
			return sr.Value{}, err
		}
		v, ok, err := pl.p.rig.Platform.Poll(ctx, key, after, watchWait)
		// This connect delays the answer, or loses it when the platform has been cut
		// off meanwhile.
		if answerErr := pl.p.connect(PlatformAddress); answerErr != nil {
			return sr.Value{}, answerErr
		}
		if ok || err != nil {
			return v, err
		}
	}
}

// Instances implements sr.Platform.
func (pl platform) Instances(ctx context.Context) ([]sr.Instance, error) {
	if err := pl.p.connect(PlatformAddress); err != nil {
		return nil, err
	}
	return pl.p.rig.Platform.Instances(ctx)
}
