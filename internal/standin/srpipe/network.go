// Package srpipe is an in-memory network whose connections can be used in the
// virtual time of testing/synctest, unlike those of the operating system.
//
// # Usage
//
//	n := srpipe.New()
//	l, err := n.Listen("10.0.0.1:80")
//	c, err := n.DialContext(ctx, "tcp", "10.0.0.1:80")
package srpipe

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects dialers and listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: make(map[string]*listener)} }

// Listen opens a listener at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, errors.Errorf("srpipe: address %s is in use", address)
	}
	l := &listener{n: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to the listener at an address. It returns when the listener
// has accepted the connection.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("srpipe: no listener at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Errorf("srpipe: listener at %s is closed", address)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "srpipe: dial")
	}
}

// addr is an address in a Network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

type listener struct {
	n       *Network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
