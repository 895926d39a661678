package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is a request that a runner has received, up to the end of its header.
type call struct {
	*http.Request
	conn *net.TCPConn
	id   string
	// n is the number of the request at the runner, from 1.
	n int
}

// runner is a stand-in for a runner. Its handler writes the bytes of an answer. A handler that
// returns false ends the connection.
type runner struct {
	id      string
	service string
	ln      *net.TCPListener
	born    int64
	slots   int
	// readBuffer is the size of the receive buffer of its connections, 0 for the usual one.
	readBuffer int
	// early is set if the handler runs before the body has been read.
	early  bool
	handle func(c *call) bool

	mu    sync.Mutex
	n     int
	conns map[net.Conn]bool
}

func newRunner(id, service string, handle func(c *call) bool) (*runner, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &runner{id: id, service: service, ln: ln, born: time.Now().UnixMilli(), slots: 16, handle: handle, conns: map[net.Conn]bool{}}, nil
}

func (r *runner) start() { go r.accept() }

func (r *runner) address() string { return r.ln.Addr().String() }

// entry is the registration in the store.
func (r *runner) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address(), "zone": "zone-a", "version": "1", "slots": r.slots,
		"state": state, "cold_left_ms": 0, "sequence": sequence, "born": r.born,
	}
}

func (r *runner) accept() {
	for {
		c, err := r.ln.AcceptTCP()
		if err != nil {
			return
		}
		if r.readBuffer > 0 {
			_ = c.SetReadBuffer(r.readBuffer)
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c *net.TCPConn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if !r.early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		r.mu.Lock()
		r.n++
		n := r.n
		r.mu.Unlock()
		x := &call{Request: req, conn: c, id: req.Header.Get("X-Request-Id"), n: n}
		if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
			_, _ = io.Copy(io.Discard, req.Body)
			x.write("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", x.id, r.id)
			continue
		}
		if !r.handle(x) {
			return
		}
		if r.early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	}
}

func (c *call) write(format string, args ...any) { _, _ = fmt.Fprintf(c.conn, format, args...) }

// signed returns the header lines that name the request and sign the answer.
func (c *call) signed() string {
	return "X-Request-Id: " + c.id + "\r\nX-Response-Signature: sig-" + c.id + "\r\n"
}

// reply writes a complete answer with a length.
func (c *call) reply(status int, body string, lines ...string) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\n" + c.signed()
	for _, l := range lines {
		head += l + "\r\n"
	}
	c.write("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return true
}

// reset ends the connection with a reset, as the kernel does for a process that is killed with
// unread bytes.
func (c *call) reset() bool {
	_ = c.conn.SetLinger(0)
	return false
}

// crash ends the listener and resets all connections.
func (r *runner) crash() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// restart starts the runner again at its address, as a new lifetime.
func (r *runner) restart() error {
	ln, err := net.ListenTCP("tcp", r.ln.Addr().(*net.TCPAddr))
	if err != nil {
		return err
	}
	r.ln, r.born = ln, time.Now().UnixMilli()
	go r.accept()
	return nil
}
