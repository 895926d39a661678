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
	DefaultRoot         = "manifest"
	DefaultRetry        = 200 * time.Millisecond
	DefaultMaxRetry     = 5 * time.Second
	DefaultWatchTimeout = 30 * time.Second
	DefaultPollInterval = 6 * time.Second
	DefaultTimeout      = 5 * time.Second
)

// errStale means that a part does not have the hash in the root value. The parts
// may have been written later than the root value.
var errStale = errors.New("part does not match the root")

// ReaderOptions tunes a Reader; zero fields take the defaults.
type ReaderOptions struct {
	// Root is the key of the root value. The keys of the parts are Root/PART.
	Root string
	// Rand is the source of the jitter, randomly seeded when nil.
	Rand *rand.Rand
	// Retry is the first backoff after a failure, MaxRetry the longest.
	Retry    time.Duration
	MaxRetry time.Duration
	// WatchTimeout is the timeout of a single watch. After it the root value is read again
	// from any revision, so that changes are found even when the service's revisions
	// have been reset to lower numbers.
	WatchTimeout time.Duration
	// PollInterval is the time between two reads of an instance that does not watch,
	// without jitter.
	PollInterval time.Duration
	// Timeout is the timeout of a single read.
	Timeout time.Duration
	// Watches reports whether this instance watches the root value instead of
	// polling it; nil means always.
	Watches func() bool
}

// ReaderState is the state of a Reader for operators, ready for JSON.
type ReaderState struct {
	Watching bool
	// Calls counts the calls to the configuration service.
	Calls    int64
	Failures int64
	// Revision is the highest revision of the root value that was processed.
	Revision uint64
	// Problem is the error of the last step, "" when there was none.
	Problem string
}

// Reader reads the manifests that the configuration service publishes and offers
// them to a Store.
type Reader struct {
	platform sr.Platform
	store    *Store
	opts     ReaderOptions

	// after is the revision of the last root value that was processed, 0 to process
	// the current one.
	after uint64
	// backoff is the last backoff without jitter, 0 after a success.
	backoff time.Duration
	// fetched holds the parts that were read for a root value of which other parts
	// are missing.
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

// Run reads from the service until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = srtimer.Wait(ctx, r.step(ctx))
	}
}

// State returns the state for operators.
func (r *Reader) State() ReaderState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// step reads and processes one root value, and returns how long to wait before the
// next step.
func (r *Reader) step(ctx context.Context) time.Duration {
	watching := r.opts.Watches == nil || r.opts.Watches()
	v, changed, err := r.next(ctx, watching)
	if err == nil && changed {
		err = r.process(ctx, v.Data)
	}
	r.recordStep(watching, v.Revision, err)
	if err != nil {
		r.after = 0
		return r.nextBackoff()
	}
	r.backoff = 0
	if changed {
		r.after = v.Revision
	}
	if !watching {
		return r.jitter(r.opts.PollInterval)
	}
	return 0
}

// next returns the root value. changed is false when it was processed before.
func (r *Reader) next(ctx context.Context, watching bool) (v sr.Value, changed bool, err error) {
	if !watching {
		v, err = r.read(ctx, r.opts.Root)
		return v, v.Revision != r.after, err
	}
	r.countCall()
	watchCtx, cancel := context.WithTimeout(ctx, r.opts.WatchTimeout)
	defer cancel()
	v, err = r.platform.Watch(watchCtx, r.opts.Root, r.after)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		r.after = 0
		return v, false, nil
	}
	if err == nil && v.Revision <= r.after {
		return v, false, errors.Errorf("watch of %s above %d returned revision %d", r.opts.Root, r.after, v.Revision)
	}
	return v, true, err
}

// process fetches the parts of a root value and offers the manifest to the store. It
// returns an error when the step should be retried.
func (r *Reader) process(ctx context.Context, data []byte) error {
	root, err := ParseRoot(data)
	if err != nil {
		_, _ = r.store.Offer(sr.ManifestText{Root: data}) // counts the invalid root value
		return nil
	}
	if result, _ := r.store.check(root.Version); result != ResultAccepted {
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
	_, _ = r.store.Offer(t) // counts the result and keeps the problem
	return nil
}

// part returns a part with the given hash. It reads the part from the service only
// when neither the manifest in force nor r.fetched holds it.
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
	r.countCall()
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	v, err := r.platform.Read(ctx, key)
	return v, errors.Wrapf(err, "srmanifest: read %s", key)
}

// nextBackoff doubles the backoff and returns it with jitter.
func (r *Reader) nextBackoff() time.Duration {
	r.backoff = min(max(2*r.backoff, r.opts.Retry), r.opts.MaxRetry)
	return r.jitter(r.backoff)
}

// jitter returns a random duration between half of d and one and a half times d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.opts.Rand.Int64N(int64(d)))
}

// countCall counts a call to the configuration service.
func (r *Reader) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Calls++
}

// recordStep updates the state for operators.
func (r *Reader) recordStep(watching bool, revision uint64, err error) {
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
	o.WatchTimeout = orDefault(o.WatchTimeout, DefaultWatchTimeout)
	o.PollInterval = orDefault(o.PollInterval, DefaultPollInterval)
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	return o
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}
