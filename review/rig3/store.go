package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the stand-in of the platform's metadata store. It answers the reading calls of
// PROTOCOL.md; the calls under /stand-in/ are those by which runners write.
type store struct {
	rec       *record
	heartbeat time.Duration
	ln        net.Listener
	srv       *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	// beats holds the time of the last write of each runner, by key.
	beats map[string]time.Time
	// away holds the runners that are cut from the store, left those that have left.
	away, left map[string]bool
	stop       chan struct{}
}

func newStore(rec *record, heartbeat time.Duration) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, heartbeat: heartbeat, ln: ln, changed: make(chan struct{}), revision: 100, items: map[string]item{}, beats: map[string]time.Time{}, away: map[string]bool{}, left: map[string]bool{}, stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-range", s.serveRange)
	mux.HandleFunc("/-/kv-watch", s.serveWatch)
	mux.HandleFunc("/-/kv-key", s.serveKey)
	mux.HandleFunc("/stand-in/beat", s.serveBeat)
	mux.HandleFunc("/stand-in/leave", s.serveLeave)
	s.srv = &http.Server{Handler: mux}
	go s.srv.Serve(ln)
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) close() {
	close(s.stop)
	s.srv.Close()
}

// put writes an entry.
func (s *store) put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, data)
}

func (s *store) putLocked(key string, data []byte) {
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.append(it)
	s.rec.add("store", "put %s revision %d %s", key, s.revision, string(data[:min(len(data), 260)]))
}

// cut cuts a runner from the store, or ends that.
func (s *store) cut(id string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[id] = away
}

func (s *store) removeLocked(key, why string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
	s.rec.add("store", "remove %s revision %d (%s)", key, s.revision, why)
}

func (s *store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of runners after three intervals of silence.
func (s *store) expire() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		for key, last := range s.beats {
			if time.Since(last) > 3*s.heartbeat {
				delete(s.beats, key)
				s.removeLocked(key, "three intervals of silence")
			}
		}
		s.mu.Unlock()
	}
}

// serveBeat takes the record of a runner. The entry changes when more than its sequence does.
func (s *store) serveBeat(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.URL.Query().Get("id")
	key := "servers/" + id
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[id] {
		// What a runner writes does not arrive, and it gets no answer.
		panic(http.ErrAbortHandler)
	}
	if s.left[id] {
		// It was on its way when the runner left.
		return
	}
	s.beats[key] = time.Now()
	if old, ok := s.items[key]; ok {
		var before map[string]any
		value, _ := base64.StdEncoding.DecodeString(old.Value)
		if json.Unmarshal(value, &before) == nil && sameButSequence(before, fields) {
			return
		}
	}
	s.putLocked(key, data)
}

func sameButSequence(a, b map[string]any) bool {
	strip := func(m map[string]any) string {
		c := map[string]any{}
		for k, v := range m {
			if k != "sequence" {
				c[k] = v
			}
		}
		text, _ := json.Marshal(c)
		return string(text)
	}
	return strip(a) == strip(b)
}

// serveLeave removes the entry of a runner that leaves.
func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	key := "servers/" + id
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[id] = true
	delete(s.beats, key)
	s.removeLocked(key, "the runner has left")
}

func (s *store) answer(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answer(w, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	out := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		out = append(out, s.items[key])
	}
	asOf := s.revision
	s.mu.Unlock()
	s.answer(w, map[string]any{"items": out, "more_pages": more, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.answer(w, map[string]any{"events": out, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, map[string]any{"events": out, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) add(who, format string, args ...any) { r.at(time.Now(), who, format, args...) }

func (r *record) at(t time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-10s %s\n", t.Sub(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}
