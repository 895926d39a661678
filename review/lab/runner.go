package lab

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Handler runs a request that a runner has received.
type Handler func(w http.ResponseWriter, r *http.Request)

// Runner is a stand-in of a runner. A crash resets its connections and closes its port.
type Runner struct {
	ID, Service, Zone, Address string
	Slots                      int
	Handle                     Handler

	store *Store
	mu    sync.Mutex
	born  int64
	ln    net.Listener
	conns map[net.Conn]struct{}
}

// NewRunner starts a runner and registers it.
func NewRunner(s *Store, id, service, zone string, slots int, h Handler) *Runner {
	r := &Runner{ID: id, Service: service, Zone: zone, Slots: slots, Handle: h, store: s}
	r.ln = Listen()
	r.Address = r.ln.Addr().String()
	r.start()
	r.Register("ready")
	return r
}

// Register writes the entry of the runner.
func (r *Runner) Register(state string) {
	r.store.Put("servers/"+r.ID, map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": 1, "slots": r.Slots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": r.born,
	})
}

func (r *Runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now().UnixMilli()
	r.conns = make(map[net.Conn]struct{})
	go r.accept(r.ln)
}

func (r *Runner) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.serve(c)
	}
}

// Crash resets all connections and closes the port, and starts the runner again after down, as a
// new lifetime under the same id.
func (r *Runner) Crash(down time.Duration) {
	r.mu.Lock()
	conns, ln := r.conns, r.ln
	r.conns = make(map[net.Conn]struct{})
	r.mu.Unlock()
	_ = ln.Close()
	for c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(down, func() {
		ln, err := net.Listen("tcp", r.Address)
		for i := 0; err != nil && i < 50; i++ {
			time.Sleep(20 * time.Millisecond)
			ln, err = net.Listen("tcp", r.Address)
		}
		if err != nil {
			return
		}
		r.mu.Lock()
		r.ln = ln
		r.mu.Unlock()
		r.start()
		r.Register("ready")
	})
}

// answer is an answer that a runner writes itself. Its Write sends chunks.
type answer struct {
	c      net.Conn
	header http.Header
	begun  bool
	status int
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) { a.status = status }

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if a.status == 0 {
		a.status = http.StatusOK
	}
	head := "HTTP/1.1 " + itoa(a.status) + " " + http.StatusText(a.status) + "\r\n"
	for name, values := range a.header {
		for _, v := range values {
			head += name + ": " + v + "\r\n"
		}
	}
	_, _ = io.WriteString(a.c, head+"Transfer-Encoding: chunked\r\n\r\n")
}

func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	if len(p) == 0 {
		return 0, nil
	}
	_, err := io.WriteString(a.c, hex(len(p))+"\r\n"+string(p)+"\r\n")
	return len(p), err
}

// serve reads requests from a connection, one at a time. The end of the connection ends the
// context of the request.
func (r *Runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(newReader(body))
		ctx, cancel := context.WithCancel(context.Background())
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if _, err := in.Peek(1); err != nil {
				select {
				case <-stop:
				default:
					cancel()
				}
			}
		}()
		a := &answer{c: c, header: http.Header{}}
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != r.ID {
			a.header.Set("X-Instance-Id", r.ID)
			a.header.Set("X-Not-Executed", "1")
			a.status = http.StatusMisdirectedRequest
		} else {
			a.header.Set("X-Request-Id", req.Header.Get("X-Request-Id"))
			a.header.Set("X-Response-Signature", "sig."+r.ID)
			r.Handle(a, req.WithContext(ctx))
		}
		a.begin()
		_, _ = io.WriteString(c, "0\r\n\r\n")
		close(stop)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		cancel()
		_ = c.SetReadDeadline(time.Time{})
		if in.Buffered() == 0 {
			in.Reset(c)
		}
	}
}
