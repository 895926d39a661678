// Package srbaseline holds simple placers as baselines for srroute: round robin, least
// outstanding, two random choices, and a hash of the prompt's prefix.
//
// They use the manifest's rates without learning and ignore prefix caches.
//
// # Usage
//
//	p := srbaseline.NewLeastOutstanding(manifest.Classes, seed)
//	placement, ok := p.Place(now, ask, candidates)
package srbaseline
