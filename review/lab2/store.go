package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It follows PROTOCOL.md, "The platform's
// metadata store": one revision counter, range queries, watches, linearizable answers.
type store struct {
	ln  net.Listener
	srv *http.Server

	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]map[string]any
	changed  chan struct{}
	// down is set while the store answers nothing.
	down bool
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, era: 1, revision: 1, items: map[string]map[string]any{}, changed: make(chan struct{})}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) close() { _ = s.srv.Close() }

// put writes a value, and returns once the store has accepted it.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(key, func(revision uint64) map[string]any {
		created := revision
		if old, ok := s.items[key]; ok && old["tombstone"] == nil {
			created = old["create_rev"].(uint64)
		}
		return map[string]any{"key": key, "value": data, "revision": revision, "create_rev": created, "lease": 0}
	})
}

// remove removes a key.
func (s *store) remove(key string) {
	s.change(key, func(revision uint64) map[string]any {
		return map[string]any{"key": key, "revision": revision, "tombstone": true}
	})
}

func (s *store) change(key string, item func(revision uint64) map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the items of a prefix with a later revision, in the order of their revisions.
func (s *store) list(prefix string, after uint64, removed bool) []map[string]any {
	out := []map[string]any{}
	for key, it := range s.items {
		gone := it["tombstone"] != nil
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && it["revision"].(uint64) > after && (removed || !gone) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i]["revision"].(uint64) < out[j]["revision"].(uint64) })
	return out
}

// setDown makes the store answer 503 to all calls, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.mu.Lock()
		out := map[string]any{"items": s.list(q.Get("prefix"), 0, false), "more_pages": false, "as_of": s.revision}
		s.answer(w, out)
	case "/-/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		if !ok || it["tombstone"] != nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.answer(w, it)
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list, changed := s.list(q.Get("prefix"), after, true), s.changed
		if len(list) > 0 {
			s.answer(w, map[string]any{"events": list, "as_of": s.revision})
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			s.mu.Lock()
			s.answer(w, map[string]any{"events": list, "as_of": s.revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes an answer of the current state, and releases the lock that the caller holds.
func (s *store) answer(w http.ResponseWriter, v any) {
	era := s.era
	data, err := json.Marshal(v)
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Store-Era", fmt.Sprint(era))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
