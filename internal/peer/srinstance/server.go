package srinstance

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srgob"
)

// serviceName is the net/rpc service name of the registered methods.
const serviceName = "Instance"

// maxCallDuration is the maximum timeout of one call, whatever its caller requests.
const maxCallDuration = 30 * time.Second

// Args wraps the argument of a call. Wait is the time left until the caller's
// deadline; it is relative, so that the clocks of the instances need not agree.
type Args[T any] struct {
	Wait  time.Duration
	Value T
}

// Reply wraps the result of a call and its error.
type Reply[T any] struct {
	Fault Fault
	Value T
	// sent is called when the reply has been sent, or cannot be. It may be nil.
	sent func()
}

func (r *Reply[T]) release() {
	if r.sent != nil {
		r.sent()
	}
}

// None is the result of calls that return only an error.
type None struct{}

// WithdrawArgs identifies the ask to withdraw.
type WithdrawArgs struct {
	Pool sr.PoolID
	Ask  string
}

// Server answers the calls of other instances.
type Server struct {
	rpc    *rpc.Server
	limits Limits
	pool   *srgob.Pool

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a Server that passes calls to h. The end of ctx cancels them.
func NewServer(ctx context.Context, h sr.Handler) (*Server, error) {
	return newServer(&methods{ctx: ctx, handler: h}, EntryLimits())
}

// newServer returns a Server that exposes the methods of a value over net/rpc.
func newServer(methods any, l Limits) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), limits: l, pool: srgob.NewPool(l.Memory, l.TypeMemory), conns: make(map[*serverConn]struct{})}
	if err := s.rpc.RegisterName(serviceName, methods); err != nil {
		return nil, errors.Wrap(err, "srinstance: register")
	}
	return s, nil
}

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	ln = srconn.KeepAccepting(ln)
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "srinstance: accept")
		}
		tracked := s.newConn(conn)
		switch s.track(tracked) {
		case errServerClosed:
			tracked.Close()
			return nil
		case errTooManyConns:
			s.report(tracked, errTooManyConns)
			tracked.Close()
		default:
			go s.serveConn(tracked)
		}
	}
}

// Close closes every connection and waits for the goroutines that serve them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) newConn(conn net.Conn) *serverConn {
	o := s.limits.options(s.pool, conn, s.limits.Call)
	o.Idle = idleServerTimeout
	return &serverConn{Conn: conn, reader: srgob.NewReader(conn, o), acceptedAt: time.Now()}
}

var (
	errServerClosed = errors.New("srinstance: server is closed")
	errTooManyConns = errors.New("srinstance: too many connections")
)

// track registers conn for Close. It returns errServerClosed, or errTooManyConns when all of the
// maximum number of connections have had calls. One that has had none makes room.
func (s *Server) track(conn *serverConn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errServerClosed
	}
	if len(s.conns) >= s.limits.Conns {
		unused := s.oldestUnused()
		if unused == nil {
			return errTooManyConns
		}
		unused.Close()
		delete(s.conns, unused)
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return nil
}

// oldestUnused returns the oldest connection without an answered call, or nil. The caller must
// hold s.mu.
func (s *Server) oldestUnused() *serverConn {
	var out *serverConn
	for c := range s.conns {
		if !c.answered.Load() && (out == nil || c.acceptedAt.Before(out.acceptedAt)) {
			out = c
		}
	}
	return out
}

func (s *Server) report(conn net.Conn, err error) {
	if s.limits.Report != nil {
		s.limits.Report(conn.RemoteAddr().String(), err)
	}
}

func (s *Server) serveConn(conn *serverConn) {
	defer s.wg.Done()
	s.rpc.ServeCodec(newServerCodec(conn, s.limits.Calls))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// methods adapts an sr.Handler to the method signature of net/rpc.
type methods struct {
	ctx     context.Context
	handler sr.Handler
}

// Heartbeat answers a heartbeat.
func (m *methods) Heartbeat(args Args[sr.Heartbeat], reply *Reply[sr.Heartbeat]) error {
	return serveCall(m.ctx, args, reply, m.handler.Heartbeat)
}

// Acquire answers an issuer's ask for a slot.
func (m *methods) Acquire(args Args[sr.Ask], reply *Reply[sr.Grant]) error {
	return serveCall(m.ctx, args, reply, m.handler.Acquire)
}

// Withdraw removes a queued ask, or frees the lease that it was granted.
func (m *methods) Withdraw(args Args[WithdrawArgs], reply *Reply[None]) error {
	return serveCall(m.ctx, args, reply, func(ctx context.Context, a WithdrawArgs) (None, error) {
		return None{}, m.handler.Withdraw(ctx, a.Pool, a.Ask)
	})
}

// Release ends a lease of a pool that this instance owns, or reports its progress.
func (m *methods) Release(args Args[sr.Release], reply *Reply[None]) error {
	return serveCall(m.ctx, args, reply, func(ctx context.Context, r sr.Release) (None, error) {
		return None{}, m.handler.Release(ctx, r)
	})
}

// Revoke cancels a running request in favour of a higher tier.
func (m *methods) Revoke(args Args[sr.Revoke], reply *Reply[None]) error {
	return serveCall(m.ctx, args, reply, func(ctx context.Context, r sr.Revoke) (None, error) {
		return None{}, m.handler.Revoke(ctx, r)
	})
}

// Yield hands over a pool that this instance has claimed, or refuses to.
func (m *methods) Yield(args Args[sr.Yield], reply *Reply[sr.Handover]) error {
	return serveCall(m.ctx, args, reply, m.handler.Yield)
}

// Submit starts a request that another instance relayed.
func (m *methods) Submit(args Args[sr.Submission], reply *Reply[sr.Status]) error {
	return serveCall(m.ctx, args, reply, m.handler.Submit)
}

// Poll returns events of a request.
func (m *methods) Poll(args Args[sr.Poll], reply *Reply[sr.Events]) error {
	return serveCall(m.ctx, args, reply, m.handler.Poll)
}

// Explain returns the recorded decisions about a request.
func (m *methods) Explain(args Args[string], reply *Reply[sr.Explanation]) error {
	return serveCall(m.ctx, args, reply, m.handler.Explain)
}

// Manifest returns the text of a manifest version.
func (m *methods) Manifest(args Args[sr.Version], reply *Reply[sr.ManifestText]) error {
	return serveCall(m.ctx, args, reply, m.handler.Manifest)
}

// serveCall runs f with the caller's timeout, at most maxCallDuration, and stores its
// result and error in reply.
func serveCall[A, R any](ctx context.Context, args Args[A], reply *Reply[R], f func(context.Context, A) (R, error)) error {
	wait := min(max(args.Wait, 0), maxCallDuration)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	value, err := f(ctx, args.Value)
	reply.Value = value
	reply.Fault = newFault(err)
	return nil
}
