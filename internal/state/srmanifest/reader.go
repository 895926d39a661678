package srmanifest

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// Default options of a Reader.
const (
	DefaultRoot     = "manifest"
	DefaultRetry    = 200 * time.Millisecond
	DefaultMaxRetry = 5 * time.Second
	DefaultHold     = 30 * time.Second
	DefaultSlow     = 6 * time.Second
	DefaultTimeout  = 5 * time.Second
)

// errStale means that a part does not match the root yet.
var errStale = errors.New("part does not match the root")

// ReaderOptions tunes a Reader; zero fields take the defaults.
type ReaderOptions struct {
	// Root is the key of the root value; parts are at Root/PART.
	Root string
	// Rand spreads retries; nil takes a random seed.
	Rand *rand.Rand
	// Retry is the first wait after a failure, MaxRetry the longest.
	Retry    time.Duration
	MaxRetry time.Duration
	// Hold is the longest single watch. After it the root is read afresh, so
	// that a service whose revisions went back is followed too.
	Hold time.Duration
	// Slow is the time between reads of an instance that holds no watch.
	Slow time.Duration
	// Timeout bounds a single read.
	Timeout time.Duration
	// Watches reports whether this instance holds the watch; nil means always.
	Watches func() bool
}

// ReaderState is the state of a Reader for people, ready for JSON.
type ReaderState struct {
	Watching bool
	// Calls counts the calls to the configuration service.
	Calls    int64
	Failures int64
	Revision uint64
	Problem  string
}

// Reader follows the configuration service and offers what it publishes to a
// Store.
type Reader struct {
	platform sr.Platform
	store    *Store
	opts     ReaderOptions

	// after is the revision of the last root that was dealt with.
	after uint64
	wait  time.Duration
	// fetched holds the parts read for a root that is not whole yet.
	fetched map[sr.Digest][]byte

	mu    sync.Mutex
	state ReaderState
}

// NewReader returns a Reader that has not started.
func NewReader(p sr.Platform, s *Store, opts ReaderOptions) *Reader {
	return &Reader{
		platform: p,
		store:    s,
		opts:     opts.withDefaults(),
		fetched:  make(map[sr.Digest][]byte),
	}
}

// Run follows the service until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = srtimer.Wait(ctx, r.step(ctx))
	}
}

// State returns the state for people.
func (r *Reader) State() ReaderState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// step deals with one value and returns how long to wait before the next.
func (r *Reader) step(ctx context.Context) time.Duration {
	watching := r.opts.Watches == nil || r.opts.Watches()
	v, changed, err := r.next(ctx, watching)
	if err == nil && changed {
		err = r.take(ctx, v.Data)
	}
	r.note(watching, v.Revision, err)
	if err != nil {
		r.after = 0
		return r.backoff()
	}
	r.wait = 0
	if changed {
		r.after = v.Revision
	}
	if !watching {
		return r.jitter(r.opts.Slow)
	}
	return 0
}

// next returns the root value; changed is false when it is the one before.
func (r *Reader) next(ctx context.Context, watching bool) (v sr.Value, changed bool, err error) {
	if !watching {
		v, err = r.read(ctx, r.opts.Root)
		return v, v.Revision != r.after, err
	}
	r.called()
	hold, cancel := context.WithTimeout(ctx, r.opts.Hold)
	defer cancel()
	v, err = r.platform.Watch(hold, r.opts.Root, r.after)
	if err != nil && hold.Err() != nil && ctx.Err() == nil {
		r.after = 0
		return v, false, nil
	}
	if err == nil && v.Revision <= r.after {
		return v, false, errors.Errorf("watch of %s above %d returned revision %d", r.opts.Root, r.after, v.Revision)
	}
	return v, true, err
}

// take offers the manifest of a root value. The error is worth a retry.
func (r *Reader) take(ctx context.Context, data []byte) error {
	root, err := ParseRoot(data)
	if err != nil {
		_, _ = r.store.Offer(sr.ManifestText{Root: data}) // counts it
		return nil
	}
	if result, _ := r.store.wanted(root.Version); result != ResultAccepted {
		return nil
	}
	t := sr.ManifestText{Root: data, Parts: make(map[string][]byte)}
	for _, name := range slices.Sorted(maps.Keys(root.Parts)) {
		part, err := r.part(ctx, name, root.Parts[name])
		if err != nil {
			return err
		}
		t.Parts[name] = part
	}
	clear(r.fetched)
	_, _ = r.store.Offer(t) // counts it and keeps the reason
	return nil
}

// part returns a part with the given hash, from the manifest in force when it
// did not change.
func (r *Reader) part(ctx context.Context, name string, digest sr.Digest) ([]byte, error) {
	if old, ok := r.store.Text().Parts[name]; ok && Hash(old) == digest {
		return old, nil
	}
	if data, ok := r.fetched[digest]; ok {
		return data, nil
	}
	v, err := r.read(ctx, r.opts.Root+"/"+name)
	if err != nil {
		return nil, err
	}
	if Hash(v.Data) != digest {
		return nil, errors.Wrapf(errStale, "srmanifest: part %s", name)
	}
	if len(r.fetched) >= MaxParts {
		clear(r.fetched)
	}
	r.fetched[digest] = v.Data
	return v.Data, nil
}

func (r *Reader) read(ctx context.Context, key string) (sr.Value, error) {
	r.called()
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	v, err := r.platform.Read(ctx, key)
	return v, errors.Wrapf(err, "srmanifest: read %s", key)
}

// backoff returns the next wait after a failure.
func (r *Reader) backoff() time.Duration {
	r.wait = min(max(2*r.wait, r.opts.Retry), r.opts.MaxRetry)
	return r.jitter(r.wait)
}

// jitter returns a duration between half and one and a half of d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.opts.Rand.Int64N(int64(d)))
}

func (r *Reader) called() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Calls++
}

func (r *Reader) note(watching bool, revision uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Watching = watching
	r.state.Problem = ""
	if err != nil {
		r.state.Failures++
		r.state.Problem = err.Error()
		return
	}
	r.state.Revision = max(r.state.Revision, revision)
}

func (o ReaderOptions) withDefaults() ReaderOptions {
	if o.Root == "" {
		o.Root = DefaultRoot
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.Retry = orDefault(o.Retry, DefaultRetry)
	o.MaxRetry = orDefault(o.MaxRetry, DefaultMaxRetry)
	o.Hold = orDefault(o.Hold, DefaultHold)
	o.Slow = orDefault(o.Slow, DefaultSlow)
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	return o
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}
