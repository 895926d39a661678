// Package lab has stand-ins of the platform and starts instances of the project as processes.
package lab

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an entry of the store, or the removal of one.
type Item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     int    `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's store.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	// history holds all changes in order.
	history []Item
	// forgotten is the revision up to which the history is not available.
	forgotten uint64
	era       uint64
	down      bool
	changed   chan struct{}
}

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{revision: 10, forgotten: 10, era: 1, changed: make(chan struct{})}
	ln := Listen()
	s.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// Listen listens on a free port of loopback.
func Listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	return ln
}

// Put writes a value in JSON and returns its revision, which confirms it.
func (s *Store) Put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	Must(err)
	return s.change(Item{Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

// Remove removes a key.
func (s *Store) Remove(key string) uint64 { return s.change(Item{Key: key, Tombstone: true}) }

func (s *Store) change(it Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.CreateRev = s.revision, s.revision
	s.history = append(s.history, it)
	s.wake()
	return s.revision
}

// wake ends the waits of watches. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown sets whether the store answers each call with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Copy is a copy of the store.
type Copy struct {
	revision uint64
	history  []Item
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, slices.Clone(s.history)}
}

// Restore brings the store back from a copy, as in a drill, in a new era. again holds what its
// writers write again before the first answer.
func (s *Store) Restore(c Copy, again map[string]any) {
	s.mu.Lock()
	s.revision, s.forgotten, s.history = c.revision, c.revision, slices.Clone(c.history)
	s.era++
	s.down = false
	s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(again)) {
		s.Put(key, again[key])
	}
}

// items returns the last item of each key. The caller holds s.mu.
func (s *Store) items() map[string]Item {
	out := make(map[string]Item)
	for _, it := range s.history {
		if it.Tombstone {
			delete(out, it.Key)
		} else {
			out[it.Key] = it
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/kv-range":
		if s.refuses(w) {
			return
		}
		out := []Item{}
		all := s.items()
		for _, key := range slices.Sorted(maps.Keys(all)) {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				out = append(out, all[key])
			}
		}
		s.answer(w, map[string]any{"items": out, "as_of": s.revision, "more_pages": false})
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) refuses(w http.ResponseWriter) bool {
	if s.down {
		w.Header().Set("Store-Era", fmt.Sprint(s.era))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func (s *Store) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Store-Era", fmt.Sprint(s.era))
	_ = json.NewEncoder(w).Encode(v)
}

// watch answers a watch. It holds s.mu except while it waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.refuses(w) {
			return
		}
		if after < s.forgotten || after > s.revision {
			w.Header().Set("Store-Era", fmt.Sprint(s.era))
			w.WriteHeader(http.StatusGone)
			return
		}
		out := []Item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				out = append(out, it)
			}
		}
		changed, over := s.changed, false
		if len(out) == 0 && wait > 0 {
			s.mu.Unlock()
			select {
			case <-changed:
			case <-until:
				over = true
			case <-r.Context().Done():
				over = true
			}
			s.mu.Lock()
			if !over {
				continue
			}
		}
		s.answer(w, map[string]any{"events": out, "as_of": s.revision})
		return
	}
}
