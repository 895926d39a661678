// Package srconfig is a stand-in for the platform: a configuration service whose
// values can be read and watched, and a list of entry instances that is updated
// with a delay. Operators and tests use the setters; the scheduler only reads.
//
// # Usage
//
//	s := srconfig.New(srconfig.DefaultConfig())
//	err := s.Set("manifest", data)
//	v, err := s.Watch(ctx, "manifest", 0)
//
// Store implements sr.Platform without a network; Handler serves it over HTTP.
package srconfig

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 1 << 20
	// MaxKeys is the maximum number of keys.
	MaxKeys = 1024
	// MaxInstances is the maximum number of published instances.
	MaxInstances = 4096
	// maxRevisions is the number of values kept per key, for stale reads and Replay.
	maxRevisions = 16
	// maxPendingLists is the number of instance lists kept until the lag has passed.
	maxPendingLists = 256
)

var _ sr.Platform = (*Store)(nil)

// Config describes the service.
type Config struct {
	// Rate is the maximum number of calls per second, for all readers together.
	Rate int
	// Burst is the size of the token bucket that enforces Rate.
	Burst int
	// Wait is the maximum duration of one call of a watch; a longer watch counts as
	// several calls.
	Wait time.Duration
	// Lag is the delay after which readers see a new list of instances.
	Lag time.Duration
}

// DefaultConfig returns the configuration that the stand-in uses by default.
func DefaultConfig() Config {
	return Config{Rate: 2000, Burst: 2000, Wait: 30 * time.Second, Lag: 3 * time.Second}
}

// Store is the configuration service. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	values   map[string][]sr.Value
	// staleRevision is the newest revision that readers see while isStale is set.
	staleRevision uint64
	isStale       bool
	stopped       bool
	// changed is closed, and replaced, when the values that readers see may differ.
	changed chan struct{}
	// lists are the list of instances that readers see and the pending ones, oldest
	// first.
	lists    []instanceList
	tokens   float64
	refilled time.Time
	calls    Calls
}

// instanceList is a list of instances and the time from which readers see it.
type instanceList struct {
	visibleFrom time.Time
	instances   []sr.Instance
}

// Calls counts the calls of readers. One wait of a watch is one call.
type Calls struct {
	Reads     int `json:"reads"`
	Watches   int `json:"watches"`
	Instances int `json:"instances"`
	Limited   int `json:"limited"`
	// Failed counts calls while the service was stopped.
	Failed int `json:"failed"`
}

// Total returns the number of calls of all kinds.
func (c Calls) Total() int { return c.Reads + c.Watches + c.Instances + c.Limited + c.Failed }

// New returns an empty service.
func New(cfg Config) *Store {
	cfg.Rate = max(cfg.Rate, 1)
	cfg.Burst = max(cfg.Burst, 1)
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultConfig().Wait
	}
	return &Store{
		cfg:      cfg,
		values:   make(map[string][]sr.Value),
		changed:  make(chan struct{}),
		tokens:   float64(cfg.Burst),
		refilled: time.Now(),
	}
}

// Read implements sr.Platform. It returns ErrLimited above the rate limit and
// ErrUnreachable while the service is stopped.
func (s *Store) Read(_ context.Context, key string) (sr.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(&s.calls.Reads); err != nil {
		return sr.Value{}, err
	}
	return s.visibleValue(key)
}

// Watch implements sr.Platform.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (sr.Value, error) {
	for {
		v, ok, err := s.Poll(ctx, key, after, s.cfg.Wait)
		if ok || err != nil {
			return v, err
		}
	}
}

// Poll waits up to wait, and at most Config.Wait, for a revision of key above
// after. It counts as one call.
func (s *Store) Poll(ctx context.Context, key string, after uint64, wait time.Duration) (v sr.Value, ok bool, err error) {
	timeout := time.NewTimer(min(wait, s.cfg.Wait))
	defer timeout.Stop()
	s.mu.Lock()
	err = s.admit(&s.calls.Watches)
	for err == nil {
		if v, err = s.visibleValue(key); err == nil && v.Revision > after {
			s.mu.Unlock()
			return v, true, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return sr.Value{}, false, errors.Wrap(ctx.Err(), "srconfig: watch")
		case <-timeout.C:
			return sr.Value{}, false, nil
		case <-changed:
		}
		s.mu.Lock()
		err = s.checkRunning()
	}
	s.mu.Unlock()
	return sr.Value{}, false, err
}

// Instances implements sr.Platform.
func (s *Store) Instances(context.Context) ([]sr.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(&s.calls.Instances); err != nil {
		return nil, err
	}
	s.dropReplaced()
	if len(s.lists) == 0 || s.lists[0].visibleFrom.After(time.Now()) {
		return nil, nil
	}
	return slices.Clone(s.lists[0].instances), nil
}

// Set publishes a value and returns its revision.
func (s *Store) Set(key string, data []byte) (uint64, error) {
	if key == "" {
		return 0, errors.Wrap(sr.ErrInvalid, "srconfig: empty key")
	}
	if len(data) > MaxValue {
		return 0, errors.Wrapf(sr.ErrInvalid, "srconfig: value of %d bytes, at most %d", len(data), MaxValue)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, data)
}

// Replay publishes the value of an earlier revision of key as a new revision.
func (s *Store) Replay(key string, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.values[key] {
		if v.Revision == revision {
			return s.set(key, v.Data)
		}
	}
	return 0, errors.Wrapf(sr.ErrMissing, "srconfig: key %q revision %d", key, revision)
}

// SetInstances replaces the list of instances. Readers see it after Config.Lag.
func (s *Store) SetInstances(instances []sr.Instance) error {
	if len(instances) > MaxInstances {
		return errors.Wrapf(sr.ErrInvalid, "srconfig: %d instances, at most %d", len(instances), MaxInstances)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReplaced()
	if len(s.lists) == maxPendingLists {
		return errors.Wrapf(sr.ErrLimited, "srconfig: %d lists wait to be published", maxPendingLists)
	}
	s.lists = append(s.lists, instanceList{visibleFrom: time.Now().Add(s.cfg.Lag), instances: slices.Clone(instances)})
	return nil
}

// SetStopped stops the service or starts it again. Stopping fails pending watches.
func (s *Store) SetStopped(stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = stopped
	s.notify()
}

// SetStale makes the service return the current values, however they change, until
// it is called with false.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStale = stale
	s.staleRevision = s.revision
	s.notify()
}

// SetStaleAt makes the service return the values as of a revision until SetStale
// is called.
func (s *Store) SetStaleAt(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStale = true
	s.staleRevision = revision
	s.notify()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) set(key string, data []byte) (uint64, error) {
	values, ok := s.values[key]
	if !ok && len(s.values) == MaxKeys {
		return 0, errors.Wrapf(sr.ErrLimited, "srconfig: %d keys", MaxKeys)
	}
	if len(values) == maxRevisions {
		values = values[1:]
	}
	s.revision++
	s.values[key] = append(values, sr.Value{Revision: s.revision, Data: bytes.Clone(data)})
	s.notify()
	return s.revision, nil
}

// visibleValue returns the value of key that readers see.
func (s *Store) visibleValue(key string) (sr.Value, error) {
	values := s.values[key]
	for i := len(values) - 1; i >= 0; i-- {
		if v := values[i]; !s.isStale || v.Revision <= s.staleRevision {
			v.Data = bytes.Clone(v.Data)
			return v, nil
		}
	}
	return sr.Value{}, errors.Wrapf(sr.ErrMissing, "srconfig: key %q", key)
}

// admit applies the rate limit and counts the call in counter, or fails it while
// the service is stopped.
func (s *Store) admit(counter *int) error {
	if err := s.checkRunning(); err != nil {
		s.calls.Failed++
		return err
	}
	now := time.Now()
	s.tokens += now.Sub(s.refilled).Seconds() * float64(s.cfg.Rate)
	s.tokens = min(s.tokens, float64(s.cfg.Burst))
	s.refilled = now
	if s.tokens < 1 {
		s.calls.Limited++
		return errors.Wrapf(sr.ErrLimited, "srconfig: more than %d calls a second", s.cfg.Rate)
	}
	s.tokens--
	*counter++
	return nil
}

func (s *Store) checkRunning() error {
	if s.stopped {
		return errors.Wrap(sr.ErrUnreachable, "srconfig: service is stopped")
	}
	return nil
}

// notify wakes the pending watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropReplaced drops the lists that a newer visible one has replaced, so that the
// first list is the current one once its time has come.
func (s *Store) dropReplaced() {
	now := time.Now()
	for len(s.lists) > 1 && !s.lists[1].visibleFrom.After(now) {
		s.lists = s.lists[1:]
	}
}
