// Package srupstream sends requests to endpoints over kept HTTP/1.1 connections.
// It knows whether any byte of a request left this process, which answer belongs
// to which request, and it never repeats a request by itself.
//
// # Usage
//
//	p := srupstream.New(srupstream.Options{Dial: dialer.DialContext, Reply: codec.Reply})
//	defer p.Close()
//	a, err := p.Send(ctx, srupstream.Peer{ID: id, Address: addr}, req, check)
//	if errors.Is(err, sr.ErrNotSent) { ... } // the endpoint has seen nothing
//	defer a.Body.Close()
//
// A connection is used again only after an answer that ended where its framing
// says, when nothing else has arrived on it and the request was written in full.
package srupstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxIdle is the most kept connections to one endpoint; an endpoint runs
	// some tens of requests at once, shared by all instances.
	maxIdle = 32
	// keepIdle is how long a connection is kept when the endpoint states nothing.
	keepIdle = 4 * time.Second
	// dialTimeout bounds the opening of a connection. Within a region it takes
	// a few milliseconds.
	dialTimeout = 400 * time.Millisecond
)

// Peer is an endpoint as connections know it. Another incarnation at the same
// address has another ID or Born, so connections are not shared with it.
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
	// Reply reads the header of an answer.
	Reply func(status int, h http.Header) sr.Reply
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
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

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Keep closes the idle connections to all endpoints but those given, and those
// that have been idle for too long.
func (p *Pool) Keep(peers map[Peer]bool, now time.Time) {
	var drop []*conn
	p.mu.Lock()
	for peer, conns := range p.idle {
		var keep []*conn
		for _, c := range conns {
			if peers[peer] && now.Before(c.until) {
				keep = append(keep, c)
			} else {
				drop = append(drop, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// Close closes the idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Keep(nil, time.Now())
}

// take returns a kept connection, the one used last first, or opens one.
func (p *Pool) take(ctx context.Context, peer Peer) (*conn, error) {
	for {
		c := p.pop(peer)
		if c == nil {
			return p.dial(ctx, peer)
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(peer Peer) *conn {
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

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	full := p.closed || len(p.idle[c.peer]) >= maxIdle
	if !full {
		p.idle[c.peer] = append(p.idle[c.peer], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, peer Peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.opts.Dial(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, errors.Wrapf(sr.ErrNotSent, "srupstream: connect to %s: %v", peer.Address, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := newConn(nc, peer)
	// A send that is called off leaves it unused.
	c.until = time.Now().Add(keepIdle)
	return c, nil
}
