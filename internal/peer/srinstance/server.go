package srinstance

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// serviceName is the name of the service in net/rpc.
const serviceName = "Instance"

// maxServerWait bounds the time that one call may take at the server.
const maxServerWait = 30 * time.Second

// Args wraps the arguments of a call with the time that its caller waits.
type Args[T any] struct {
	Wait  time.Duration
	Value T
}

// Reply wraps the answer of a call with its fault.
type Reply[T any] struct {
	Fault Fault
	Value T
}

// None is the answer of calls that return only an error.
type None struct{}

// WithdrawArgs names a waiting ask.
type WithdrawArgs struct {
	Pool sr.PoolID
	Ask  string
}

// Server answers the calls of other instances.
type Server struct {
	rpc *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a Server that passes calls on to h.
func NewServer(ctx context.Context, h sr.Handler) (*Server, error) {
	return newServer(&methods{ctx: ctx, handler: h})
}

// newServer returns a Server of the calls that methods has.
func newServer(methods any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName(serviceName, methods); err != nil {
		return nil, errors.Wrap(err, "srinstance: register")
	}
	return s, nil
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "srinstance: accept")
		}
		if !s.track(conn) {
			conn.Close()
			return nil
		}
		go s.serveConn(conn)
	}
}

// Close ends every connection and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// methods are the calls in the shape that net/rpc asks for.
type methods struct {
	ctx     context.Context
	handler sr.Handler
}

// Heartbeat answers a heartbeat.
func (m *methods) Heartbeat(args Args[sr.Heartbeat], reply *Reply[sr.Heartbeat]) error {
	return answer(m.ctx, args, reply, m.handler.Heartbeat)
}

// Acquire answers an ask.
func (m *methods) Acquire(args Args[sr.Ask], reply *Reply[sr.Grant]) error {
	return answer(m.ctx, args, reply, m.handler.Acquire)
}

// Withdraw drops an ask.
func (m *methods) Withdraw(args Args[WithdrawArgs], reply *Reply[None]) error {
	return answer(m.ctx, args, reply, func(ctx context.Context, a WithdrawArgs) (None, error) {
		return None{}, m.handler.Withdraw(ctx, a.Pool, a.Ask)
	})
}

// Release ends a lease.
func (m *methods) Release(args Args[sr.Release], reply *Reply[None]) error {
	return answer(m.ctx, args, reply, func(ctx context.Context, r sr.Release) (None, error) {
		return None{}, m.handler.Release(ctx, r)
	})
}

// Revoke cuts a running request.
func (m *methods) Revoke(args Args[sr.Revoke], reply *Reply[None]) error {
	return answer(m.ctx, args, reply, func(ctx context.Context, r sr.Revoke) (None, error) {
		return None{}, m.handler.Revoke(ctx, r)
	})
}

// Yield hands a pool over.
func (m *methods) Yield(args Args[sr.Yield], reply *Reply[sr.Handover]) error {
	return answer(m.ctx, args, reply, m.handler.Yield)
}

// Submit starts a relayed request.
func (m *methods) Submit(args Args[sr.Submission], reply *Reply[sr.Status]) error {
	return answer(m.ctx, args, reply, m.handler.Submit)
}

// Poll returns events of a request.
func (m *methods) Poll(args Args[sr.Poll], reply *Reply[sr.Events]) error {
	return answer(m.ctx, args, reply, m.handler.Poll)
}

// Explain returns the decisions of a request.
func (m *methods) Explain(args Args[string], reply *Reply[sr.Explanation]) error {
	return answer(m.ctx, args, reply, m.handler.Explain)
}

// Manifest returns the text of a manifest.
func (m *methods) Manifest(args Args[sr.Version], reply *Reply[sr.ManifestText]) error {
	return answer(m.ctx, args, reply, m.handler.Manifest)
}

func answer[A, R any](ctx context.Context, args Args[A], reply *Reply[R], f func(context.Context, A) (R, error)) error {
	wait := min(max(args.Wait, 0), maxServerWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	value, err := f(ctx, args.Value)
	reply.Value = value
	reply.Fault = newFault(err)
	return nil
}
