package srengine

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var _ sr.Engine = (*Fleet)(nil)

// Fleet maps addresses to engines. It implements sr.Engine without a network.
type Fleet struct {
	mu      sync.Mutex
	engines map[string]*Engine
	cut     map[string]bool
}

// NewFleet returns a fleet of the given engines, keyed by address.
func NewFleet(engines map[string]*Engine) *Fleet {
	f := &Fleet{engines: make(map[string]*Engine), cut: make(map[string]bool)}
	for address, e := range engines {
		f.engines[address] = e
	}
	return f
}

// Add makes an engine reachable at an address.
func (f *Fleet) Add(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// Engine returns the engine at an address, nil when there is none.
func (f *Fleet) Engine(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// Cut closes the connections to an address and refuses new ones until Reconnect.
func (f *Fleet) Cut(address string) {
	f.mu.Lock()
	f.cut[address] = true
	e := f.engines[address]
	f.mu.Unlock()
	if e != nil {
		e.Disconnect()
	}
}

// Reconnect makes an address reachable again after Cut.
func (f *Fleet) Reconnect(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cut, address)
}

// Dispatch implements sr.Engine.
func (f *Fleet) Dispatch(ctx context.Context, address string, d sr.Dispatch) (sr.Stream, error) {
	e, err := f.lookup(address, sr.ErrNotSent)
	if err != nil {
		return nil, err
	}
	return e.Dispatch(ctx, d)
}

// Resume implements sr.Engine.
func (f *Fleet) Resume(ctx context.Context, address, stream string, after int) (sr.Stream, error) {
	e, err := f.lookup(address, sr.ErrUnreachable)
	if err != nil {
		return nil, err
	}
	return e.Resume(ctx, stream, after)
}

// Cancel implements sr.Engine.
func (f *Fleet) Cancel(ctx context.Context, address, stream string) error {
	e, err := f.lookup(address, sr.ErrUnreachable)
	if err != nil {
		return err
	}
	return e.Cancel(ctx, stream)
}

// Load implements sr.Engine.
func (f *Fleet) Load(ctx context.Context, address string, after uint64) (sr.Load, error) {
	e, err := f.lookup(address, sr.ErrUnreachable)
	if err != nil {
		return sr.Load{}, err
	}
	return e.Load(ctx, after)
}

// Runs returns the number of dispatches of prompt that all engines accepted.
func (f *Fleet) Runs(prompt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += e.Runs(prompt)
	}
	return n
}

// lookup returns the engine at an address, and an error that wraps failure when
// it cannot be reached.
func (f *Fleet) lookup(address string, failure error) (*Engine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok || f.cut[address] {
		return nil, errors.Wrapf(failure, "srengine: %s cannot be reached", address)
	}
	return e, nil
}
