package srmanifest

import (
	"context"
	"maps"
	"sync"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// ErrDigestConflict means that one version number stands for two manifests;
// the first one stays in force.
var ErrDigestConflict = errors.New("same version with another digest")

// Result says what became of an offered manifest.
type Result uint8

// Results of an offer.
const (
	// ResultAccepted: it is in force now.
	ResultAccepted Result = iota + 1
	// ResultSame: it was in force already.
	ResultSame
	// ResultOlder: a newer one is in force.
	ResultOlder
	// ResultConflict: another one with the same version is in force.
	ResultConflict
	// ResultInvalid: it breaks a rule.
	ResultInvalid
	// ResultBusy: another one is being fetched.
	ResultBusy
)

// Counts tells how many offers had which result.
type Counts struct {
	Accepted  int64
	Same      int64
	Older     int64
	Conflicts int64
	Invalid   int64
}

// Store keeps the last accepted manifest. It is safe for concurrent use.
type Store struct {
	// offering lets one manifest be parsed at a time, following one be fetched
	// from a peer.
	offering  sync.Mutex
	following sync.Mutex

	mu       sync.RWMutex
	manifest sr.Manifest
	text     sr.ManifestText
	parts    map[sr.Digest]*part
	counts   Counts
	// rejected is the last complete manifest that broke a rule, problem why.
	rejected    sr.Version
	problem     error
	subscribers map[chan sr.Manifest]struct{}
}

// New returns a Store without a manifest.
func New() *Store {
	return &Store{subscribers: make(map[chan sr.Manifest]struct{})}
}

// Offer accepts a valid manifest of a greater version, whole or not at all.
// The text must not change afterwards. The error is nil for ResultAccepted,
// ResultSame and ResultOlder; it wraps ErrDigestConflict or sr.ErrInvalid else.
func (s *Store) Offer(t sr.ManifestText) (Result, error) {
	s.offering.Lock()
	defer s.offering.Unlock()
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

// Compare returns what would become of a valid manifest of version v.
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
	return ResultConflict, errors.Wrapf(ErrDigestConflict, "srmanifest: version %d, in force %.12s, offered %.12s",
		v.Number, current.Digest, v.Digest)
}

// Follow fetches the manifest from a peer that has version v when it is newer
// than the one in force, and offers it.
func (s *Store) Follow(ctx context.Context, peer sr.Handler, v sr.Version) (Result, error) {
	if result, err := s.wanted(v); result != ResultAccepted {
		return result, err
	}
	if !s.following.TryLock() {
		return ResultBusy, nil
	}
	defer s.following.Unlock()
	t, err := peer.Manifest(ctx, v)
	if err != nil {
		return ResultBusy, errors.Wrapf(err, "srmanifest: fetch version %d from a peer", v.Number)
	}
	return s.Offer(t)
}

// wanted is Compare without those that were rejected; conflicts are counted.
func (s *Store) wanted(v sr.Version) (Result, error) {
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

// Text returns the text of the manifest in force, for peers. It is read only.
func (s *Store) Text() sr.ManifestText {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.text
}

// Problem returns why the last complete manifest was kept out, nil when none
// was since the one in force.
func (s *Store) Problem() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.rejected.Number <= s.manifest.Version.Number {
		return nil
	}
	return s.problem
}

// Counts returns how many offers had which result so far.
func (s *Store) Counts() Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts
}

// CaughtUp reports whether a manifest is in force and none of the peers has a
// newer one. An instance that starts serves nothing before.
func (s *Store) CaughtUp(peers []sr.Version) bool {
	current, ok := s.Version()
	for _, v := range peers {
		if v.Number > current.Number {
			return false
		}
	}
	return ok
}

// Subscribe returns a channel that holds the newest manifest accepted since it
// was last read, and a function that ends the subscription.
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

// reject remembers a manifest that breaks a rule, unless parts were missing or
// did not match the root, which another try may mend.
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
