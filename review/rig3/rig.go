package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// rig is one small deployment.
type rig struct {
	dir     string
	tmp     string
	rec     *record
	recFile *os.File
	store   *store
	program string
	fronts  []*front
	runners map[string]*runnerProcess

	mu       sync.Mutex
	arrivals []arrival
	requests map[string]*request
	clients  sync.WaitGroup
}

type front struct {
	name, clients, ready, peers, operate, settings string
	cmd                                            *exec.Cmd
	done                                           chan struct{}
	transport                                      *http.Transport
}

type runnerProcess struct {
	id   string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// request is a request of a client, with what it got.
type request struct {
	id, front, what string
	sent, ended     time.Time
	status          int
	err             string
	body            string
	signed          bool
}

func newRig(dir string) (*rig, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, tmp: tmp, recFile: f, rec: &record{start: time.Now(), out: f}, runners: map[string]*runnerProcess{}, requests: map[string]*request{}}
	r.program, err = filepath.Abs("target/sassafrasrail")
	if err == nil {
		_, err = os.Stat(r.program)
	}
	if err != nil {
		return nil, fmt.Errorf("the program of the deploy file has not been built: %w", err)
	}
	r.store, err = newStore(r.rec, heartbeat)
	return r, err
}

// close ends all processes.
func (r *rig) close() {
	for _, p := range r.runners {
		p.kill()
	}
	for _, f := range r.fronts {
		f.kill()
	}
	if r.store != nil {
		r.store.close()
	}
	_ = os.RemoveAll(r.tmp)
	_ = r.recFile.Close()
}

func freePorts(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, ln := range open {
			ln.Close()
		}
	}()
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, ln)
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// startFronts starts n machines of the system, one in each zone in turn.
func (r *rig) startFronts(n int, zones []string) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, ports[4*i+2])
	}
	for i := range n {
		f := &front{
			name: fmt.Sprintf("front-%d", i+1), clients: ports[4*i], ready: ports[4*i+1], peers: ports[4*i+2], operate: ports[4*i+3],
			settings: filepath.Join(r.tmp, fmt.Sprintf("front-%d.ini", i+1)), transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		}
		text := fmt.Sprintf(`[instance]
name = %s
domain = %s
clients = %s
ready = %s
peers = %s
operate = %s
seeds = %s

[machine]
memory = 284
power = 0.4

[registry]
address = %s
heartbeat = 1200ms

[bounds]
revoke = 5000ms
config = 2000ms
drain = 2000ms
grace = 8s

[retry]
ratio = 0.2
window = 10s
slack = 54

[allowance]
window = 8s
`, f.name, zones[i%len(zones)], f.clients, f.ready, f.peers, f.operate, strings.Join(seeds, ","), r.store.address())
		if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startFront(f); err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	return nil
}

// startFront starts the program as the deploy file does.
func (r *rig) startFront(f *front) error {
	f.cmd = exec.Command(r.program, "forward")
	f.cmd.Env = append(os.Environ(), "SASSAFRASRAIL_NODE_FILE="+f.settings)
	log, err := os.OpenFile(filepath.Join(r.tmp, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	log.Close()
	r.rec.add(f.name, "started")
	done := make(chan struct{})
	f.done = done
	cmd := f.cmd
	go func() {
		err := cmd.Wait()
		r.rec.add(f.name, "process ended: %v", err)
		close(done)
	}()
	return nil
}

func (f *front) kill() {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Kill()
		<-f.done
	}
	f.transport.CloseIdleConnections()
}

// awaitReady waits until all machines say that they are ready.
func (r *rig) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, f := range r.fronts {
		for {
			resp, err := http.Get("http://" + f.ready + "/-/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not get ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startRunner starts a runner as a process.
func (r *rig) startRunner(id string, args ...string) error {
	p := &runnerProcess{id: id, args: args, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], append([]string{"runner", "-id", id, "-store", r.store.address()}, args...)...)
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.runners[id] = p
	r.mu.Unlock()
	r.rec.add(id, "runner started: %s", strings.Join(args, " "))
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var a arrival
			if json.Unmarshal(lines.Bytes(), &a) == nil {
				r.mu.Lock()
				r.arrivals = append(r.arrivals, a)
				r.mu.Unlock()
			}
		}
		_, _ = io.Copy(io.Discard, out)
		err := p.cmd.Wait()
		r.rec.add(id, "runner ended: %v", err)
	}()
	return nil
}

func (p *runnerProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request of a client and notes what it gets.
func (r *rig) call(f *front, method, path, body string, header map[string]string, timeout time.Duration) *request {
	q := &request{id: newID(), front: f.name, what: method + " " + path, sent: time.Now()}
	r.mu.Lock()
	r.requests[q.id] = q
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.clients+path, in)
	if err != nil {
		return q
	}
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := f.transport.RoundTrip(req)
	var status int
	var text, fault string
	signed := false
	if err != nil {
		fault = err.Error()
	} else {
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			fault = err.Error()
		}
		status, text, signed = resp.StatusCode, string(data), resp.Header.Get("X-Response-Signature") != ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q.ended, q.status, q.body, q.err, q.signed = time.Now(), status, text, fault, signed
	return q
}

// load sends requests at a steady rate to each machine until stop is closed.
func (r *rig) load(stop <-chan struct{}, perSecond int, method, path string, body func() string, header func() map[string]string, timeout time.Duration) {
	for _, f := range r.fronts {
		r.clients.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			var all sync.WaitGroup
			defer all.Wait()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					text, extra := "", map[string]string(nil)
					if body != nil {
						text = body()
					}
					if header != nil {
						extra = header()
					}
					all.Go(func() { r.call(f, method, path, text, extra, timeout) })
				}
			}
		})
	}
}

// writeRecord writes all requests and arrivals.
func (r *rig) writeRecord() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		front := "?"
		if q, ok := r.requests[a.Request]; ok {
			front = q.front
		}
		r.rec.at(time.Unix(0, a.At), a.Runner, "request %s from %s: %s", a.Request, front, a.What)
	}
	for _, q := range r.requests {
		r.rec.at(q.sent, q.front, "client sent %s %s: status %d after %d ms %s", q.id, q.what, q.status, q.ended.Sub(q.sent).Milliseconds(), q.err)
	}
}

// order gives a stand-in of a runner an order of the case.
func (r *rig) order(address, call string) error {
	resp, err := http.Get("http://" + address + call)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
