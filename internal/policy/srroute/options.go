package srroute

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Default bounds of a Placer.
const (
	DefaultBlocks     = 1 << 16
	DefaultEndpoints  = 1 << 14
	DefaultWorkspaces = 1 << 13
	DefaultDefer      = 250 * time.Millisecond
)

// Options configures a Placer. Zero values take the defaults.
type Options struct {
	// Seed seeds the random choice between near ties.
	Seed uint64
	// Classes holds the initial rates, by class name.
	Classes map[string]sr.Class
	// Blocks bounds the number of prefix blocks whose endpoints are tracked.
	Blocks int
	// Endpoints bounds the number of tracked endpoints.
	Endpoints int
	// Workspaces bounds the number of length histograms, one per workspace and target.
	Workspaces int
	// Defer is the longest time for which an ask is kept waiting for a better endpoint.
	Defer time.Duration
	// NoAffinity ignores prefix caches.
	NoAffinity bool
	// NoRates uses the manifest's rates instead of learned ones.
	NoRates bool
	// NoLengths uses a request's token limit as its expected output length.
	NoLengths bool
}

func (o Options) withDefaults() Options {
	if o.Blocks <= 0 {
		o.Blocks = DefaultBlocks
	}
	if o.Endpoints <= 0 {
		o.Endpoints = DefaultEndpoints
	}
	if o.Workspaces <= 0 {
		o.Workspaces = DefaultWorkspaces
	}
	if o.Defer <= 0 {
		o.Defer = DefaultDefer
	}
	return o
}
