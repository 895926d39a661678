package srmanifest

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// readBound is the maximum time in which a reader reads a change while the service
// is reachable.
const readBound = 18 * time.Second

// platform is a configuration service with faults that a test injects.
type platform struct {
	sr.Platform

	mu      sync.Mutex
	changed chan struct{}
	values  map[string]sr.Value
	down    bool
	calls   int64
}

func newPlatform() *platform {
	return &platform{changed: make(chan struct{}), values: make(map[string]sr.Value)}
}

// change makes a change and wakes the watches.
func (p *platform) change(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
	close(p.changed)
	p.changed = make(chan struct{})
}

// publish publishes the root value and the named parts.
func (p *platform) publish(revision uint64, t sr.ManifestText, parts ...string) {
	p.change(func() {
		for _, name := range parts {
			p.values["manifest/"+name] = sr.Value{Revision: revision, Data: t.Parts[name]}
		}
		p.values["manifest"] = sr.Value{Revision: revision, Data: t.Root}
	})
}

func (p *platform) get(key string) (sr.Value, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return sr.Value{}, p.changed, sr.ErrUnreachable
	}
	v, ok := p.values[key]
	if !ok {
		return v, p.changed, sr.ErrMissing
	}
	return v, p.changed, nil
}

func (p *platform) Read(_ context.Context, key string) (sr.Value, error) {
	p.count()
	v, _, err := p.get(key)
	return v, err
}

func (p *platform) Watch(ctx context.Context, key string, after uint64) (sr.Value, error) {
	p.count()
	for {
		v, changed, err := p.get(key)
		if err != nil || v.Revision > after {
			return v, err
		}
		select {
		case <-ctx.Done():
			return sr.Value{}, ctx.Err()
		case <-changed:
		}
	}
}

func (p *platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

func (p *platform) callCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// withReader calls fn with a running reader in virtual time.
func withReader(t *testing.T, opts ReaderOptions, fn func(p *platform, s *Store, r *Reader)) {
	synctest.Test(t, func(t *testing.T) {
		p, s := newPlatform(), New()
		opts.Rand = rand.New(rand.NewPCG(1, 2))
		r := NewReader(p, s, opts)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		fn(p, s, r)
		cancel()
		<-done
	})
}

func assertVersion(t *testing.T, s *Store, number uint64) {
	t.Helper()
	synctest.Wait()
	v, _ := s.Version()
	assert.Equal(t, v.Number, number)
}

func TestReaderFollowsChangesAtOnce(t *testing.T) {
	withReader(t, ReaderOptions{}, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		p.publish(2, text(2, ""), "fleet")
		assertVersion(t, s, 2)
		assert.Equal(t, r.State().Calls, p.callCount())
	})
}

func TestReaderReadsOnlyChangedParts(t *testing.T) {
	withReader(t, ReaderOptions{}, func(p *platform, s *Store, _ *Reader) {
		parts := map[string][]byte{"fleet": []byte(fleet), "more": []byte("[domain b]\nregion = r\n")}
		p.publish(1, Bundle(1, parts), "fleet", "more")
		time.Sleep(DefaultMaxRetry)
		assertVersion(t, s, 1)
		before := p.callCount()
		parts["more"] = []byte("[domain b]\nregion = r\nout = yes\n")
		p.publish(2, Bundle(2, parts), "more")
		assertVersion(t, s, 2)
		assert.Equal(t, p.callCount()-before, int64(2), "the part and the next watch")
	})
}

func TestReaderToleratesOutageAndStaleParts(t *testing.T) {
	withReader(t, ReaderOptions{}, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(DefaultMaxRetry)
		assertVersion(t, s, 1)

		p.change(func() { p.down = true })
		time.Sleep(10 * time.Minute)
		assertVersion(t, s, 1)
		assert.Assert(t, r.State().Problem != "")
		maxFailures := int64(10*time.Minute/(DefaultMaxRetry/2)) + 10
		assert.Assert(t, r.State().Failures < maxFailures, "%d", r.State().Failures)

		// The service recovers, with a root value that is newer than its part.
		p.publish(5, text(2, "leaving = yes\n"))
		p.change(func() { p.down = false })
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		p.publish(5, text(2, "leaving = yes\n"), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Equal(t, r.State().Problem, "")

		// The service returns an old version, then restarts with lower revisions.
		p.publish(6, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Assert(t, r.State().Problem == "")
		p.publish(1, text(3, ""), "fleet")
		time.Sleep(DefaultWatchTimeout + readBound)
		assertVersion(t, s, 3)
	})
}

func TestReaderRejectsInvalidAndConflictingManifests(t *testing.T) {
	withReader(t, ReaderOptions{}, func(p *platform, s *Store, _ *Reader) {
		p.publish(1, text(4, ""), "fleet")
		time.Sleep(DefaultMaxRetry)
		p.publish(2, text(5, "leaving = perhaps\n"), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 4)
		assert.ErrorIs(t, s.Problem(), sr.ErrInvalid)
		assert.Equal(t, s.Counts().Invalid, int64(1))
		p.publish(3, text(4, "leaving = yes\n"), "fleet")
		time.Sleep(time.Second)
		assertVersion(t, s, 4)
		assert.Equal(t, s.Counts().Conflicts, int64(1))
		p.publish(4, sr.ManifestText{Root: []byte("[")})
		time.Sleep(time.Second)
		assertVersion(t, s, 4)
		p.publish(5, text(6, ""), "fleet")
		time.Sleep(time.Second)
		assertVersion(t, s, 6)
		assert.NilError(t, s.Problem())
	})
}

func TestReaderWithoutAWatchPolls(t *testing.T) {
	opts := ReaderOptions{Watches: func() bool { return false }}
	withReader(t, opts, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		before := p.callCount()
		time.Sleep(10 * time.Minute)
		assert.Assert(t, p.callCount()-before <= int64(10*time.Minute/(DefaultPollInterval/2)))
		p.publish(2, text(2, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Assert(t, !r.State().Watching)
	})
}

// peer is a peer that returns a manifest text or an error.
type peer struct {
	sr.Handler

	text  sr.ManifestText
	err   error
	calls int
}

func (p *peer) Manifest(context.Context, sr.Version) (sr.ManifestText, error) {
	p.calls++
	return p.text, p.err
}

func TestFollowFetchesNewerManifestsOnly(t *testing.T) {
	s := New()
	version := func(t sr.ManifestText) sr.Version {
		root, _ := ParseRoot(t.Root)
		return root.Version
	}
	bad := text(9, "leaving = perhaps\n")
	for _, step := range []struct {
		peer   peer
		result Result
		err    error
		calls  int
	}{
		{peer{text: text(5, "")}, ResultAccepted, nil, 1},
		{peer{text: text(5, "")}, ResultSame, nil, 0},
		{peer{text: text(4, "")}, ResultOlder, nil, 0},
		{peer{text: text(5, "leaving = yes\n")}, ResultConflict, ErrDigestConflict, 0},
		{peer{text: text(6, ""), err: sr.ErrUnreachable}, ResultNotFetched, sr.ErrUnreachable, 1},
		{peer{text: bad}, ResultInvalid, sr.ErrInvalid, 1},
		{peer{text: bad}, ResultInvalid, sr.ErrInvalid, 0},
		{peer{text: text(10, "")}, ResultAccepted, nil, 1},
	} {
		result, err := s.Follow(t.Context(), &step.peer, version(step.peer.text))
		assert.Equal(t, result, step.result)
		assert.ErrorIs(t, err, step.err)
		assert.Equal(t, step.peer.calls, step.calls)
	}
}
