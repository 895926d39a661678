package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a line that a runner writes for each request that reaches it.
type arrival struct {
	At      int64  `json:"at"`
	Runner  string `json:"runner"`
	Request string `json:"request"`
	Path    string `json:"path"`
	Tenant  string `json:"tenant"`
	What    string `json:"what"`
}

// runner is the stand-in of a runner. Each one is a process of its own.
type runner struct {
	id, address, service, zone, storeAddress string
	slots                                    int
	work                                     time.Duration
	heartbeat                                time.Duration
	refuseFor                                time.Duration
	retryAfter                               float64
	coldFor                                  time.Duration
	deadly                                   atomic.Bool
	failShare                                float64
	failStatus                               int
	runs                                     atomic.Int64
	started                                  time.Time

	mu       sync.Mutex
	free     chan struct{}
	leaving  atomic.Bool
	sequence int
}

func runRunner(args []string) error {
	r := &runner{started: time.Now()}
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&r.id, "id", "", "id")
	f.StringVar(&r.address, "address", "", "IP:PORT")
	f.StringVar(&r.service, "service", "", "service")
	f.StringVar(&r.zone, "zone", "", "zone")
	f.StringVar(&r.storeAddress, "store", "", "address of the store")
	f.IntVar(&r.slots, "slots", 6, "requests at once")
	f.DurationVar(&r.work, "work", 20*time.Millisecond, "time of a request")
	f.DurationVar(&r.heartbeat, "heartbeat", 1200*time.Millisecond, "time between two writes to the store")
	f.DurationVar(&r.refuseFor, "refuse-for", 0, "time from the start in which all requests are turned away")
	f.Float64Var(&r.retryAfter, "retry-after", 0, "seconds that a request which is turned away states")
	f.DurationVar(&r.coldFor, "cold-for", 0, "cold start")
	deadly := f.Bool("deadly", false, "a body that says so crashes the runner when it begins to run it")
	if err := f.Parse(args); err != nil {
		return err
	}
	r.deadly.Store(*deadly)
	r.free = make(chan struct{}, r.slots)
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	go r.register()
	mux := http.NewServeMux()
	mux.HandleFunc("/stand-in/leave", func(w http.ResponseWriter, _ *http.Request) {
		r.leaving.Store(true)
		_, _ = http.Post("http://"+r.storeAddress+"/stand-in/leave?id="+r.id, "", nil)
	})
	mux.HandleFunc("/stand-in/deadly", func(http.ResponseWriter, *http.Request) { r.deadly.Store(true) })
	mux.HandleFunc("/stand-in/fail", func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failShare, _ = strconv.ParseFloat(q.URL.Query().Get("share"), 64)
		r.failStatus, _ = strconv.Atoi(q.URL.Query().Get("status"))
	})
	mux.HandleFunc("/stand-in/refuse", func(w http.ResponseWriter, q *http.Request) {
		d, _ := time.ParseDuration(q.URL.Query().Get("for"))
		s, _ := strconv.ParseFloat(q.URL.Query().Get("retry_after"), 64)
		r.mu.Lock()
		r.refuseFor, r.retryAfter = time.Since(r.started)+d, s
		r.mu.Unlock()
	})
	mux.HandleFunc("/", r.serve)
	srv := &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	return srv.Serve(ln)
}

// register writes to the store every heartbeat, until the runner leaves.
func (r *runner) register() {
	for !r.leaving.Load() {
		r.sequence++
		left := max(r.coldFor-time.Since(r.started), 0)
		data, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
			"state": "ready", "cold_left_ms": left.Milliseconds(), "sequence": r.sequence, "born": r.started.UnixMilli(),
		})
		resp, err := http.Post("http://"+r.storeAddress+"/stand-in/beat?id="+r.id, "application/json", bytes.NewReader(data))
		if err == nil {
			resp.Body.Close()
		}
		time.Sleep(r.heartbeat)
	}
}

func (r *runner) log(q *http.Request, what string) {
	line, _ := json.Marshal(arrival{At: time.Now().UnixNano(), Runner: r.id, Request: q.Header.Get("X-Request-Id"), Path: q.URL.Path, Tenant: q.Header.Get("X-Tenant"), What: what})
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	h.Set("X-Instance-Id", r.id)
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if target := q.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		r.log(q, "421")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	refuseFor, retryAfter, failShare, failStatus := r.refuseFor, r.retryAfter, r.failShare, r.failStatus
	r.mu.Unlock()
	if time.Since(r.started) < refuseFor {
		r.log(q, "503")
		h.Set("X-Not-Executed", "1")
		if retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.free <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.free }()
	r.log(q, "runs")
	if r.deadly.Load() && string(body) == "a body that crashes" {
		os.Exit(3)
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	if strings.HasPrefix(q.URL.Path, "/write/") {
		r.stream(w, q)
		return
	}
	if n := float64(r.runs.Add(1)); int(n*failShare) > int((n-1)*failShare) {
		// The work has been done, and a later step has failed. The answer does not state that the
		// request was not run.
		r.log(q, "ran, answers "+strconv.Itoa(failStatus))
		answer := "a later step has failed"
		h.Set("X-Response-Signature", "failed."+q.Header.Get("X-Request-Id"))
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		w.WriteHeader(failStatus)
		_, _ = io.WriteString(w, answer)
		return
	}
	answer := fmt.Sprintf("%s ran %s", r.id, q.Header.Get("X-Request-Id"))
	h.Set("X-Response-Signature", "sound."+q.Header.Get("X-Request-Id"))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// stream answers with a few events.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "sound."+q.Header.Get("X-Request-Id"))
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= 4; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, q.Header.Get("X-Request-Id"))
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
