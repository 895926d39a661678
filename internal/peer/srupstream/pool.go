// Package srupstream sends requests to endpoints over persistent HTTP/1.1 connections.
// It reports whether any byte of a request was sent, matches responses to requests by
// their ID, and never retries a request.
//
// # Usage
//
//	p := srupstream.New(srupstream.Options{Dial: dialer.DialContext, Reply: codec.Reply})
//	defer p.Close()
//	a, err := p.Send(ctx, srupstream.Peer{ID: id, Address: addr}, req, check)
//	if errors.Is(err, sr.ErrNotSent) { ... } // the endpoint has received nothing
//	defer a.Body.Close()
//
// A connection is reused only if the request was written in full, the response ended
// as its framing states, and no further data has arrived. On a reused connection only the
// ID shows that a response belongs to the request.
package srupstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxIdlePerPeer is the maximum number of idle connections to one endpoint. An
	// endpoint runs some tens of requests at a time, from all instances together.
	maxIdlePerPeer = 32
	// maxIdleTime is how long a connection may stay idle, unless the endpoint states a
	// shorter time.
	maxIdleTime = 4 * time.Second
	// longBody is the size in bytes up to which bodies fit into the buffer of an endpoint that
	// does not read.
	longBody = 8 << 10
	// dialTimeout limits the opening of a connection, which takes a few milliseconds
	// within a region.
	dialTimeout = 400 * time.Millisecond
)

// Peer identifies one incarnation of an endpoint. Another incarnation at the same
// address differs in ID or Born, so that it does not share connections with it.
type Peer struct {
	ID      string
	Address string
	Born    int64
}

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Pool.
type Options struct {
	Dial DialFunc
	// Reply extracts the routing data from the status and the header of a response.
	Reply func(status int, h http.Header) sr.Reply
	// LongBodyTimeout is how long sent bytes may stay unacknowledged from a long body on, which
	// an endpoint may leave unread until it has answered. 0 leaves what Dial has set.
	LongBodyTimeout time.Duration
}

// Pool holds the idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	idle   map[Peer][]*conn
	closed bool
	opened int64
}

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{opts: o, idle: make(map[Peer][]*conn)}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdleExcept closes the idle connections to all endpoints that are not in peers, and
// those that have been idle for too long.
func (p *Pool) CloseIdleExcept(peers map[Peer]bool, now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for peer, conns := range p.idle {
		var kept []*conn
		for _, c := range conns {
			if peers[peer] && now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Close closes the idle connections. Connections that become idle later are closed too.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleExcept(nil, time.Now())
}

// getConn returns the most recently used idle connection, or opens a connection. It does not
// return one whose last request had the same ID: its answer may arrive once more.
func (p *Pool) getConn(ctx context.Context, peer Peer, id string) (*conn, error) {
	for {
		c := p.popIdle(peer)
		if c == nil {
			return p.dial(ctx, peer)
		}
		sentBefore := c.lastID != "" && c.lastID == id
		if !sentBefore && time.Now().Before(c.reusableUntil) && c.openAndEmpty() {
			return c, nil
		}
		c.close()
	}
}

// popIdle removes and returns the most recently used idle connection, nil if there is
// none.
func (p *Pool) popIdle(peer Peer) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[peer]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[peer] = conns[:len(conns)-1]
	return c
}

// putIdle makes c available for reuse, or closes it when the pool is full or closed.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	full := p.closed || len(p.idle[c.peer]) >= maxIdlePerPeer
	if !full {
		p.idle[c.peer] = append(p.idle[c.peer], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, peer Peer) (*conn, error) {
	nc, err := p.open(ctx, peer.Address)
	if err != nil {
		return nil, fmt.Errorf("srupstream: connect to %s: %w: %w", peer.Address, err, sr.ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := newConn(nc, peer)
	// Set for the case that the send is cancelled before the first byte and the
	// connection returns to the pool unused.
	c.reusableUntil = time.Now().Add(maxIdleTime)
	return c, nil
}

// open opens a connection. If the process was suspended meanwhile, a timeout says nothing about the
// peer, and it tries once more.
func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	for again := true; ; again = false {
		start := time.Now()
		timed, cancel := context.WithTimeout(ctx, dialTimeout)
		nc, err := p.opts.Dial(timed, "tcp", address)
		expired := timed.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !again || !expired || !suspended(time.Since(start), dialTimeout) {
			return nc, err
		}
	}
}

// Refuses reports whether a peer refuses connections, as one that has crashed does. A
// connection that it accepts is kept for reuse. A peer that does not answer does not
// count as refusing.
func (p *Pool) Refuses(ctx context.Context, peer Peer) bool {
	c, err := p.dial(ctx, peer)
	if err == nil {
		p.putIdle(c)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
