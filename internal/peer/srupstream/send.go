package srupstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// maxStrays is the most answers to other requests that are skipped before
	// the one that is waited for.
	maxStrays = 2
	// maxStray is the greatest size of such an answer in bytes.
	maxStray = 1 << 20
)

// Request is what is sent to an endpoint.
type Request struct {
	// ID is the id that the answer is to name.
	ID     string
	Method string
	// URI is the target as the client wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
}

// Answer is the answer of an endpoint. Its Body must be closed; closing it
// before its end breaks the request off at the endpoint.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 when unknown.
	Length int64
	Reply  sr.Reply
	Body   io.ReadCloser
}

// Send sends r to a peer and returns the header of its answer. before is called
// right before the first byte; its error ends the send. ErrNotSent means that no
// byte left this process, any other error that the request may run.
func (p *Pool) Send(ctx context.Context, peer Peer, r Request, before func() error) (*Answer, error) {
	c, err := p.take(ctx, peer)
	if err != nil {
		return nil, err
	}
	if err := before(); err != nil {
		p.put(c)
		return nil, err
	}
	x := &exchange{pool: p, conn: c, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, c.close)
	x.start(r)
	resp, reply, err := x.receive(r, p.opts.Reply)
	if err != nil {
		x.abort()
		if x.unsent() {
			return nil, errors.Wrapf(sr.ErrNotSent, "srupstream: %s: %v", peer.Address, err)
		}
		return nil, errors.Wrapf(sr.ErrConnectionLost, "srupstream: %s: %v", peer.Address, err)
	}
	x.resp = resp
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reply: reply, Body: x}, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	resp *http.Response

	// written is closed when the writing of the request has ended; sent and
	// failed are set before.
	written chan struct{}
	sent    int
	failed  error
	// strayed is set when an answer to another request arrived.
	strayed bool
	once    sync.Once
}

// start writes the request. It does not wait, since an endpoint may answer
// before it has read a long body.
func (x *exchange) start(r Request) {
	head := r.head()
	go func() {
		defer close(x.written)
		x.sent, x.failed = x.conn.Write(head)
		if x.failed == nil && len(r.Body) > 0 {
			var n int
			n, x.failed = x.conn.Write(r.Body)
			x.sent += n
		}
	}()
}

// head returns the first line and the header of the request.
func (r Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if r.HasBody {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads headers until one belongs to the request.
func (x *exchange) receive(r Request, read func(int, http.Header) sr.Reply) (*http.Response, sr.Reply, error) {
	for range maxStrays + 1 {
		resp, err := x.conn.readHeader(r.Method)
		if err != nil {
			return nil, sr.Reply{}, err
		}
		reply := read(resp.StatusCode, resp.Header)
		if reply.Request == "" || reply.Request == r.ID {
			return resp, reply, nil
		}
		x.strayed = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
		if err != nil || n == maxStray || resp.Close {
			return nil, sr.Reply{}, errors.Errorf("answer to %s instead", reply.Request)
		}
	}
	return nil, sr.Reply{}, errors.New("too many answers to other requests")
}

// unsent reports whether no byte was written. It is called after abort.
func (x *exchange) unsent() bool {
	<-x.written
	return x.failed != nil && x.sent == 0
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.close()
	})
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if err == io.EOF {
		x.finish()
	}
	return n, err
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.abort()
	return nil
}

// finish keeps the connection after a whole answer, if it is sound.
func (x *exchange) finish() {
	x.once.Do(func() {
		stopped := x.stop()
		if !stopped || !x.sound() {
			x.conn.close()
			return
		}
		x.conn.until = time.Now().Add(keepFor(x.resp.Header))
		x.pool.put(x.conn)
	})
}

func (x *exchange) sound() bool {
	select {
	case <-x.written:
	default:
		return false
	}
	framed := x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
	return x.failed == nil && !x.strayed && !x.resp.Close && framed && x.conn.quiet()
}
