package srmanifest

import (
	"context"
	"maps"
	"sync"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// ErrDigestConflict means that two different manifests have the same version number.
// The first one remains in force.
var ErrDigestConflict = errors.New("same version with another digest")

// Result is the result of an offer of a manifest.
type Result uint8

// Results of an offer.
const (
	// ResultAccepted: the manifest was accepted and is in force now.
	ResultAccepted Result = iota + 1
	// ResultSame: the manifest was in force already.
	ResultSame
	// ResultOlder: a newer manifest is in force.
	ResultOlder
	// ResultConflict: a different manifest with the same version is in force.
	ResultConflict
	// ResultInvalid: the manifest violates a rule.
	ResultInvalid
	// ResultNotFetched: another manifest is being fetched, or the fetch failed.
	ResultNotFetched
)

// Counts is the number of offers by result.
type Counts struct {
	Accepted  int64
	Same      int64
	Older     int64
	Conflicts int64
	Invalid   int64
}

// Store keeps the last accepted manifest. It is safe for concurrent use.
type Store struct {
	// offerMu is held while a manifest is parsed and accepted, fetchMu while one is
	// fetched from a peer.
	offerMu sync.Mutex
	fetchMu sync.Mutex

	mu       sync.RWMutex
	manifest sr.Manifest
	text     sr.ManifestText
	// parts are the parsed parts of the manifest by hash.
	parts  map[sr.Digest]*part
	counts Counts
	// rejected is the version of the last complete manifest that violated a rule,
	// problem the reason.
	rejected    sr.Version
	problem     error
	subscribers map[chan sr.Manifest]struct{}
}

// New returns a Store without a manifest.
func New() *Store {
	return &Store{subscribers: make(map[chan sr.Manifest]struct{})}
}

// Offer accepts a valid manifest of a greater version, as a whole or not at all. The
// caller must not modify the text afterwards. The error is nil for ResultAccepted,
// ResultSame and ResultOlder. Otherwise it wraps ErrDigestConflict or sr.ErrInvalid.
func (s *Store) Offer(t sr.ManifestText) (Result, error) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	root, err := ParseRoot(t.Root)
	if err != nil {
		return s.count(ResultInvalid), err
	}
	if result, err := s.Compare(root.Version); result != ResultAccepted {
		return s.count(result), err
	}
	m, parts, err := parse(t, s.parts)
	if err != nil {
		s.reject(root, t, err)
		return s.count(ResultInvalid), err
	}
	s.accept(m, sr.ManifestText{Root: t.Root, Parts: maps.Clone(t.Parts)}, parts)
	return s.count(ResultAccepted), nil
}

// Compare returns the result that an offer of a valid manifest of version v would
// have.
func (s *Store) Compare(v sr.Version) (Result, error) {
	current, ok := s.Version()
	switch {
	case !ok || v.Number > current.Number:
		return ResultAccepted, nil
	case v.Number < current.Number:
		return ResultOlder, nil
	case v.Digest == current.Digest:
		return ResultSame, nil
	}
	return ResultConflict, errors.Wrapf(ErrDigestConflict, "srmanifest: version %d is in force with digest %.12s, offered with digest %.12s",
		v.Number, current.Digest, v.Digest)
}

// Follow fetches the manifest of version v from a peer when it is newer than the one
// in force, and offers it.
func (s *Store) Follow(ctx context.Context, peer sr.Handler, v sr.Version) (Result, error) {
	if result, err := s.check(v); result != ResultAccepted {
		return result, err
	}
	if !s.fetchMu.TryLock() {
		return ResultNotFetched, nil
	}
	defer s.fetchMu.Unlock()
	t, err := peer.Manifest(ctx, v)
	if err != nil {
		return ResultNotFetched, errors.Wrapf(err, "srmanifest: fetch version %d from a peer", v.Number)
	}
	return s.Offer(t)
}

// check is like Compare, but returns ResultInvalid for the version that was rejected
// last, and counts conflicts.
func (s *Store) check(v sr.Version) (Result, error) {
	result, err := s.Compare(v)
	if result == ResultConflict {
		return s.count(result), err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if result == ResultAccepted && v == s.rejected {
		return ResultInvalid, s.problem
	}
	return result, err
}

// Current returns the manifest in force; ok is false before the first one.
func (s *Store) Current() (m sr.Manifest, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.manifest, s.manifest.Version.Number > 0
}

// Version returns the version in force; ok is false before the first one.
func (s *Store) Version() (v sr.Version, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.manifest.Version, s.manifest.Version.Number > 0
}

// Text returns the text of the manifest in force, for peers. The caller must not
// modify it.
func (s *Store) Text() sr.ManifestText {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.text
}

// Problem returns the reason why a complete manifest was last rejected, or nil when
// the manifest in force has the same or a greater version.
func (s *Store) Problem() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.rejected.Number <= s.manifest.Version.Number {
		return nil
	}
	return s.problem
}

// Counts returns the number of offers by result so far.
func (s *Store) Counts() Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts
}

// CaughtUp reports whether a manifest is in force and none of the peers has a newer
// one. A starting instance serves no requests before that.
func (s *Store) CaughtUp(peers []sr.Version) bool {
	current, ok := s.Version()
	for _, v := range peers {
		if v.Number > current.Number {
			return false
		}
	}
	return ok
}

// Subscribe returns a channel that holds the newest manifest accepted since the last
// receive, and a function that ends the subscription.
func (s *Store) Subscribe() (manifests <-chan sr.Manifest, cancel func()) {
	c := make(chan sr.Manifest, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[c] = struct{}{}
	if s.manifest.Version.Number > 0 {
		c <- s.manifest
	}
	return c, func() { s.unsubscribe(c) }
}

func (s *Store) unsubscribe(c chan sr.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, c)
}

// accept puts a manifest in force and replaces the one in each subscriber's channel.
func (s *Store) accept(m sr.Manifest, t sr.ManifestText, parts map[sr.Digest]*part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest = m
	s.text = t
	s.parts = parts
	for c := range s.subscribers {
		select {
		case <-c:
		default:
		}
		c <- m
	}
}

// reject records a manifest that violates a rule, so that it is not fetched and parsed
// again. It records nothing when parts are missing or do not match the root value,
// since a retry may succeed.
func (s *Store) reject(root Root, t sr.ManifestText, problem error) {
	for name, digest := range root.Parts {
		if Hash(t.Parts[name]) != digest {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = root.Version
	s.problem = problem
}

// count counts a result and returns it.
func (s *Store) count(r Result) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r {
	case ResultAccepted:
		s.counts.Accepted++
	case ResultSame:
		s.counts.Same++
	case ResultOlder:
		s.counts.Older++
	case ResultConflict:
		s.counts.Conflicts++
	case ResultInvalid:
		s.counts.Invalid++
	}
	return r
}
