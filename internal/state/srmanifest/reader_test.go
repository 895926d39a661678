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

// readBound is the longest time in which a change reaches a reader that can
// read the service.
const readBound = 18 * time.Second

// platform is a configuration service whose faults a test sets.
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

func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// publish sets the parts named, and the root when there is one.
func (p *platform) publish(revision uint64, t sr.ManifestText, parts ...string) {
	p.set(func() {
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

func (p *platform) counted() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// follow runs a reader in virtual time.
func follow(t *testing.T, opts ReaderOptions, do func(p *platform, s *Store, r *Reader)) {
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
		do(p, s, r)
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
	follow(t, ReaderOptions{}, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		p.publish(2, text(2, ""), "fleet")
		assertVersion(t, s, 2)
		assert.Equal(t, r.State().Calls, p.counted())
	})
}

func TestReaderReadsOnlyChangedParts(t *testing.T) {
	follow(t, ReaderOptions{}, func(p *platform, s *Store, _ *Reader) {
		parts := map[string][]byte{"fleet": []byte(fleet), "more": []byte("[domain b]\nregion = r\n")}
		p.publish(1, Bundle(1, parts), "fleet", "more")
		time.Sleep(DefaultMaxRetry)
		assertVersion(t, s, 1)
		before := p.counted()
		parts["more"] = []byte("[domain b]\nregion = r\nout = yes\n")
		p.publish(2, Bundle(2, parts), "more")
		assertVersion(t, s, 2)
		assert.Equal(t, p.counted()-before, int64(2), "the part and the next watch")
	})
}

func TestReaderToleratesOutageAndStaleParts(t *testing.T) {
	follow(t, ReaderOptions{}, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(DefaultMaxRetry)
		assertVersion(t, s, 1)

		p.set(func() { p.down = true })
		time.Sleep(10 * time.Minute)
		assertVersion(t, s, 1)
		assert.Assert(t, r.State().Problem != "")
		most := int64(10*time.Minute/(DefaultMaxRetry/2)) + 10
		assert.Assert(t, r.State().Failures < most, "%d", r.State().Failures)

		// The service is back, with the root ahead of its part.
		p.publish(5, text(2, "leaving = yes\n"))
		p.set(func() { p.down = false })
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		p.publish(5, text(2, "leaving = yes\n"), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Equal(t, r.State().Problem, "")

		// An old version is served again, then the service starts over.
		p.publish(6, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Assert(t, r.State().Problem == "")
		p.publish(1, text(3, ""), "fleet")
		time.Sleep(DefaultHold + readBound)
		assertVersion(t, s, 3)
	})
}

func TestReaderKeepsInvalidAndConflictingManifestsOut(t *testing.T) {
	follow(t, ReaderOptions{}, func(p *platform, s *Store, _ *Reader) {
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

func TestReaderWithoutTheWatchReadsSlowly(t *testing.T) {
	opts := ReaderOptions{Watches: func() bool { return false }}
	follow(t, opts, func(p *platform, s *Store, r *Reader) {
		p.publish(1, text(1, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 1)
		before := p.counted()
		time.Sleep(10 * time.Minute)
		assert.Assert(t, p.counted()-before <= int64(10*time.Minute/(DefaultSlow/2)))
		p.publish(2, text(2, ""), "fleet")
		time.Sleep(readBound)
		assertVersion(t, s, 2)
		assert.Assert(t, !r.State().Watching)
	})
}

// peer hands out a manifest text.
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

func TestFollowFetchesWhatIsNewer(t *testing.T) {
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
		{peer{text: text(6, ""), err: sr.ErrUnreachable}, ResultBusy, sr.ErrUnreachable, 1},
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
