package srupstream

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// maxMismatched is the maximum number of responses to other requests that are
	// skipped before the expected one.
	maxMismatched = 2
	// maxMismatchedBytes is the maximum size of the body of such a response.
	maxMismatchedBytes = 1 << 20
)

// ErrReset means that the connection of an answer was reset before the end of the answer, or given
// up by the kernel.
var ErrReset = errors.New("connection was reset")

// Request is an HTTP request to an endpoint.
type Request struct {
	// ID is the request ID that the response names.
	ID     string
	Method string
	// URI is the request target exactly as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// Silence is called while the peer sends nothing, nil for never.
	Silence *Silence
	// Held reserves the memory for the header of the answer, nil for none. It is used by the
	// goroutine that calls Send and reads the answer.
	Held *srmemory.Reservation
}

// Answer is the response of an endpoint. Its Body must be closed; closing it before its
// end closes the connection, which aborts the request at the endpoint.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing tells how the end of the body is marked.
	Framing Framing
	// Reply is the routing data that Options.Reply extracted.
	Reply sr.Reply
	Body  io.ReadCloser
}

// Send sends r to a peer and returns its response once the header has arrived.
// beforeWrite is called right before the first byte is written; if it returns an error,
// nothing is sent and Send returns that error. ErrNotSent means that no byte was sent,
// ErrConnectionLost that the request may run. An error of srmemory as well means that the
// header of the answer cannot be held. The end of ctx closes the connection.
func (p *Pool) Send(ctx context.Context, peer Peer, r Request, beforeWrite func() error) (*Answer, error) {
	c, err := p.getConn(ctx, peer, r.ID)
	if err != nil {
		return nil, err
	}
	if err := beforeWrite(); err != nil {
		p.putIdle(c)
		return nil, err
	}
	x := &exchange{pool: p, conn: c, reused: c.lastID != "", writeDone: make(chan struct{})}
	c.lastID, c.silence = r.ID, r.Silence
	x.stop = context.AfterFunc(ctx, c.close)
	if len(r.Body) > longBody {
		c.allowUnread(p.opts.LongBodyTimeout)
	}
	x.startWrite(r)
	resp, reply, err := x.receive(r, p.opts.Reply)
	if err != nil {
		err = x.resetCause(err)
		x.abort()
		if x.nothingSent() {
			return nil, errors.Wrapf(sr.ErrNotSent, "srupstream: %s: %v", peer.Address, err)
		}
		return nil, fmt.Errorf("srupstream: %s: %w: %w", peer.Address, err, sr.ErrConnectionLost)
	}
	x.resp = resp
	c.endsAnswer = framingOf(resp) == FramingClose
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp), Reply: reply, Body: x}, nil
}

// exchange is one request and its response on a connection. It implements the body of
// the Answer.
type exchange struct {
	pool *Pool
	conn *conn
	// stop keeps the end of the context from closing conn. It returns false when the
	// context has already ended.
	stop func() bool
	resp *http.Response
	// reused is set when the connection has carried an earlier request.
	reused bool

	// writeDone is closed when the write of the request has ended; bytesWritten and
	// writeErr are set before.
	writeDone    chan struct{}
	bytesWritten int
	writeErr     error
	// mismatched is set when a response that does not belong to the request arrived.
	mismatched bool
	// endOnce ensures that the connection is closed or returned to the pool only once.
	endOnce sync.Once
}

// startWrite writes the request in the background, since an endpoint may respond
// before it has read a long body.
func (x *exchange) startWrite(r Request) {
	head := r.head()
	go func() {
		defer close(x.writeDone)
		x.bytesWritten, x.writeErr = x.conn.Write(head)
		if x.writeErr == nil && len(r.Body) > 0 {
			var n int
			n, x.writeErr = x.conn.Write(r.Body)
			x.bytesWritten += n
		}
	}()
}

// head returns the request line and the header.
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

// receive reads responses until one belongs to the request. A response without a request
// ID does if it is the first one of the connection. A later one may be a copy of an earlier
// response.
func (x *exchange) receive(r Request, readReply func(int, http.Header) sr.Reply) (*http.Response, sr.Reply, error) {
	for range maxMismatched + 1 {
		resp, err := x.conn.readHeader(r.Method, r.Held)
		if err != nil {
			x.conn.header.Release()
			return nil, sr.Reply{}, err
		}
		reply := readReply(resp.StatusCode, resp.Header)
		first := !x.reused && !x.mismatched
		if reply.Request == r.ID || reply.Request == "" && first {
			return resp, reply, nil
		}
		x.mismatched = true
		x.conn.header.Release()
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || resp.Close || srconn.CheckTrailer(resp) != nil {
			return nil, sr.Reply{}, errors.Errorf("received a response that names request %q instead", reply.Request)
		}
	}
	return nil, sr.Reply{}, errors.New("too many responses to other requests")
}

// nothingSent reports whether no byte of the request was written. It must be called
// after abort, which ends a blocked write.
func (x *exchange) nothingSent() bool {
	<-x.writeDone
	return x.writeErr != nil && x.bytesWritten == 0
}

// abort closes the connection.
func (x *exchange) abort() {
	x.endOnce.Do(func() {
		x.stop()
		x.conn.close()
	})
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if err != io.EOF {
		return n, x.resetCause(x.conn.cause(err))
	}
	if err := x.checkEnd(); err != nil {
		x.abort()
		return n, err
	}
	x.finish()
	return n, io.EOF
}

// checkEnd returns an error if the answer has ended and is not sound all the same.
func (x *exchange) checkEnd() error {
	if framingOf(x.resp) != FramingClose {
		return srconn.CheckTrailer(x.resp)
	}
	return x.writeBroke()
}

// resetCause returns why an answer broke off: err, or that the write has met a reset.
func (x *exchange) resetCause(err error) error {
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return cmp.Or(x.writeBroke(), err)
}

// writeBroke ends the write of the request. It returns ErrReset with the error of the connection
// that the write met, nil for none. The kernel reports a reset once only: the read after a write
// that met it ends as if the peer had closed its side. A reset after such a close gives the write
// EPIPE instead, and the answer before it is whole.
func (x *exchange) writeBroke() error {
	// Ends a write that is blocked since the peer does not read. If it cannot be set, the
	// connection has been closed.
	_ = x.conn.SetWriteDeadline(past)
	<-x.writeDone
	if x.writeErr == nil || errors.Is(x.writeErr, os.ErrDeadlineExceeded) || errors.Is(x.writeErr, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("%w while the request was being written: %w", ErrReset, x.writeErr)
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.abort()
	return nil
}

// finish returns the connection to the pool after a complete response, or closes it if
// it cannot be reused.
func (x *exchange) finish() {
	x.endOnce.Do(func() {
		stopped := x.stop()
		if !stopped || !x.reusable() {
			x.conn.close()
			return
		}
		x.conn.silence, x.conn.header = nil, srmemory.Header{}
		x.conn.reusableUntil = time.Now().Add(idleTime(x.resp.Header))
		x.pool.putIdle(x.conn)
	})
}

// reusable reports whether the connection may carry another request.
func (x *exchange) reusable() bool {
	select {
	case <-x.writeDone:
	default:
		return false
	}
	if x.conn.clearSilenceDeadline() != nil {
		return false
	}
	return x.writeErr == nil && !x.mismatched && !x.resp.Close && framingOf(x.resp) != FramingClose && x.conn.openAndEmpty()
}
