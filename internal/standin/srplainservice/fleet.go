package srplainservice

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var _ sr.Service = (*Fleet)(nil)

// Fleet maps addresses to services. It implements sr.Service without a network.
type Fleet struct {
	mu       sync.Mutex
	services map[string]*Service
	cut      map[string]bool
}

// NewFleet returns a fleet of the given services, keyed by address.
func NewFleet(services map[string]*Service) *Fleet {
	f := &Fleet{services: make(map[string]*Service), cut: make(map[string]bool)}
	for address, s := range services {
		f.services[address] = s
	}
	return f
}

// Add makes a service reachable at an address.
func (f *Fleet) Add(address string, s *Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[address] = s
}

// Service returns the service at an address, nil when there is none.
func (f *Fleet) Service(address string) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[address]
}

// Cut refuses connections to an address until Reconnect. Running calls continue.
func (f *Fleet) Cut(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[address] = true
}

// Reconnect makes an address reachable again after Cut.
func (f *Fleet) Reconnect(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cut, address)
}

// Call implements sr.Service.
func (f *Fleet) Call(ctx context.Context, address string, c sr.Call) (sr.Answer, error) {
	s, err := f.lookup(address, sr.ErrNotSent)
	if err != nil {
		return sr.Answer{}, err
	}
	return s.Call(ctx, c)
}

// Probe implements sr.Service.
func (f *Fleet) Probe(ctx context.Context, address string) (sr.Load, error) {
	s, err := f.lookup(address, sr.ErrUnreachable)
	if err != nil {
		return sr.Load{}, err
	}
	return s.Load(ctx)
}

// Runs returns how many calls with id have run at all services.
func (f *Fleet) Runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.services {
		n += s.Runs(id)
	}
	return n
}

// lookup returns the service at an address, and an error that wraps failure when
// it cannot be reached.
func (f *Fleet) lookup(address string, failure error) (*Service, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[address]
	if !ok || f.cut[address] {
		return nil, errors.Wrapf(failure, "srplainservice: %s cannot be reached", address)
	}
	return s, nil
}
