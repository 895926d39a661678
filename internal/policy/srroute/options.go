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
	// Seed seeds the random choice among near ties.
	Seed uint64
	// Classes seed the rates, by class name.
	Classes map[string]sr.Class
	// Blocks bounds the number of prefix blocks whose places are known.
	Blocks int
	// Endpoints bounds the number of endpoints.
	Endpoints int
	// Workspaces bounds the number of workspaces with a length estimate.
	Workspaces int
	// Defer is the longest time an ask waits for a better cached endpoint.
	Defer time.Duration
	// NoAffinity ignores prefix caches.
	NoAffinity bool
	// NoRates keeps the manifest's rates.
	NoRates bool
	// NoLengths takes the most tokens a request may generate for its length.
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
