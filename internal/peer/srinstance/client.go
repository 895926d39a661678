// Package srinstance carries the calls between instances over net/rpc: those of
// sr.Handler between entry instances, and those of sr.FleetHandler between forwarding
// instances. Each instance keeps one connection to each peer that it calls.
//
// # Usage
//
//	server, err := srinstance.NewServer(ctx, handler)
//	go server.Serve(listener)
//
//	peers := srinstance.New(dial, time.Second)
//	defer peers.Close()
//	reply, err := peers.Peer("10.0.0.2:7300").Heartbeat(ctx, h)
//
// A call returns an error that wraps sr.ErrUnreachable when the peer did not
// answer. The peer may or may not have executed the call; if the error also wraps
// sr.ErrNotSent, it has not.
package srinstance

import (
	"context"
	stderrors "errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srgob"
)

// DialFunc opens a connection to a peer; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// defaultCallTimeout is the timeout of calls whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// idleTimeout is how long after its last use CloseIdleExcept keeps a connection open.
const idleTimeout = time.Minute

const heartbeatMethod = "Heartbeat"

// immediateMethods lists the methods that the peer answers without waiting. When such
// a call times out, its connection is treated as broken and closed.
var immediateMethods = []string{heartbeatMethod, gossipMethod, exchangeMethod, pullMethod, entriesMethod, routingPartMethod}

// errNotConnected means that no part of the call was sent to the peer.
var errNotConnected = stderrors.Join(sr.ErrUnreachable, sr.ErrNotSent)

// Peers holds the clients of all peers, by address. It is safe for concurrent use.
type Peers struct {
	dial           DialFunc
	connectTimeout time.Duration
	limits         Limits
	pool           *srgob.Pool

	mu      sync.Mutex
	clients map[string]*client
	closed  bool
}

// New returns a Peers that opens connections with dial, each within connectTimeout.
func New(dial DialFunc, connectTimeout time.Duration) *Peers {
	return newPeers(dial, connectTimeout, EntryLimits())
}

func newPeers(dial DialFunc, connectTimeout time.Duration, l Limits) *Peers {
	return &Peers{dial: dial, connectTimeout: connectTimeout, limits: l, pool: srgob.NewPool(l.Memory, l.TypeMemory), clients: make(map[string]*client)}
}

// Peer returns a client of the entry instance at address.
func (p *Peers) Peer(address string) sr.Handler { return p.client(address) }

func (p *Peers) client(address string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = &client{address: address, peers: p, closed: p.closed}
		p.clients[address] = c
	}
	c.recordUse(0)
	return c
}

// CloseIdleExcept closes and removes the clients of all addresses that are not in
// addresses, except those used within the last minute.
func (p *Peers) CloseIdleExcept(addresses []string) {
	keep := make(map[string]struct{}, len(addresses))
	for _, a := range addresses {
		keep[a] = struct{}{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		if _, ok := keep[a]; !ok && c.idle(time.Now()) {
			c.close()
			delete(p.clients, a)
		}
	}
}

// Close closes every connection. Later calls fail.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.close()
	}
}

// client makes the calls to one peer over one connection.
type client struct {
	address string
	peers   *Peers

	mu      sync.Mutex
	conn    *rpc.Client
	opening *opening
	closed  bool
	// calls is the number of calls in flight; used is the time of the last use. See
	// recordUse.
	calls int
	used  time.Time
}

// opening is a connection attempt that concurrent calls share. conn and err are
// set before done is closed.
type opening struct {
	done chan struct{}
	conn *rpc.Client
	err  error
}

func (c *client) Heartbeat(ctx context.Context, h sr.Heartbeat) (sr.Heartbeat, error) {
	return call[sr.Heartbeat, sr.Heartbeat](ctx, c, heartbeatMethod, h)
}

func (c *client) Acquire(ctx context.Context, a sr.Ask) (sr.Grant, error) {
	return call[sr.Ask, sr.Grant](ctx, c, "Acquire", a)
}

func (c *client) Withdraw(ctx context.Context, pool sr.PoolID, ask string) error {
	_, err := call[WithdrawArgs, None](ctx, c, "Withdraw", WithdrawArgs{Pool: pool, Ask: ask})
	return err
}

func (c *client) Release(ctx context.Context, r sr.Release) error {
	_, err := call[sr.Release, None](ctx, c, "Release", r)
	return err
}

func (c *client) Revoke(ctx context.Context, r sr.Revoke) error {
	_, err := call[sr.Revoke, None](ctx, c, "Revoke", r)
	return err
}

func (c *client) Yield(ctx context.Context, y sr.Yield) (sr.Handover, error) {
	return call[sr.Yield, sr.Handover](ctx, c, "Yield", y)
}

func (c *client) Submit(ctx context.Context, s sr.Submission) (sr.Status, error) {
	return call[sr.Submission, sr.Status](ctx, c, "Submit", s)
}

func (c *client) Poll(ctx context.Context, p sr.Poll) (sr.Events, error) {
	return call[sr.Poll, sr.Events](ctx, c, "Poll", p)
}

func (c *client) Explain(ctx context.Context, ticket string) (sr.Explanation, error) {
	return call[string, sr.Explanation](ctx, c, "Explain", ticket)
}

func (c *client) Manifest(ctx context.Context, v sr.Version) (sr.ManifestText, error) {
	return call[sr.Version, sr.ManifestText](ctx, c, "Manifest", v)
}

// connection returns the open connection. If there is none, it starts to open one
// or joins the attempt in progress, and waits for it until ctx ends.
func (c *client) connection(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.WithMessage(errNotConnected, "srinstance: client is closed")
	}
	if c.conn != nil {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	if c.opening == nil {
		c.opening = &opening{done: make(chan struct{})}
		go c.open(c.opening)
	}
	o := c.opening
	c.mu.Unlock()
	select {
	case <-o.done:
		return o.conn, o.err
	case <-ctx.Done():
		return nil, errors.WithMessagef(errNotConnected, "srinstance: connect to %s: %v", c.address, ctx.Err())
	}
}

// open opens a connection for all calls that wait for o. It has its own timeout, so
// that the end of one call's context does not fail the others.
func (c *client) open(o *opening) {
	defer close(o.done)
	ctx, cancel := context.WithTimeout(context.Background(), c.peers.connectTimeout)
	defer cancel()
	conn, err := c.peers.dial(ctx, "tcp", c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opening = nil
	switch {
	case err != nil:
		o.err = errors.WithMessagef(errNotConnected, "srinstance: connect to %s: %v", c.address, err)
	case c.closed:
		conn.Close()
		o.err = errors.WithMessage(errNotConnected, "srinstance: client is closed")
	default:
		c.conn = rpc.NewClient(newClientConn(conn, c.peers))
		o.conn = c.conn
	}
}

// recordUse adds delta to the number of calls in flight and updates the time of the
// last use: 1 when a call starts, -1 when it ends, 0 when the client is handed out.
func (c *client) recordUse(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += delta
	c.used = time.Now()
}

// idle reports whether no call is in flight and the last use is at least idleTimeout
// ago.
func (c *client) idle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls == 0 && now.Sub(c.used) >= idleTimeout
}

// discard closes a failed connection; the next call opens a new one.
func (c *client) discard(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	conn.Close()
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// call calls a method of the peer and returns its reply. Without a deadline in ctx
// it times out after defaultCallTimeout.
func call[A, R any](ctx context.Context, c *client, method string, value A) (R, error) {
	var zero R
	c.recordUse(1)
	defer c.recordUse(-1)
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connection(ctx)
	if err != nil {
		return zero, err
	}
	deadline, _ := ctx.Deadline()
	args := Args[A]{Wait: time.Until(deadline), Value: value}
	var reply Reply[R]
	done := conn.Go(serviceName+"."+method, args, &reply, make(chan *rpc.Call, 1)).Done
	result, ok := await(ctx, done)
	switch {
	case !ok:
		if slices.Contains(immediateMethods, method) {
			c.discard(conn)
		}
		return zero, errors.WithMessagef(sr.ErrUnreachable, "srinstance: %s at %s: %v", method, c.address, ctx.Err())
	case result.Error != nil:
		c.discard(conn)
		return zero, errors.WithMessagef(sr.ErrUnreachable, "srinstance: %s at %s: %v", method, c.address, result.Error)
	}
	return reply.Value, reply.Fault.Err()
}

// await returns the result of a call. ok is false if ctx ended before there was one; a late
// caller still gets a result that has arrived.
func await(ctx context.Context, done <-chan *rpc.Call) (result *rpc.Call, ok bool) {
	select {
	case result = <-done:
		return result, true
	case <-ctx.Done():
	}
	select {
	case result = <-done:
		return result, true
	default:
		return nil, false
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}
