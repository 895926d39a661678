// Package srbaseline holds simple placers to compare srroute with: round robin,
// least outstanding, two random choices, and a hash of the prompt's prefix.
//
// They keep the manifest's rates and know nothing about caches.
//
// # Usage
//
//	p := srbaseline.NewLeastOutstanding(manifest.Classes, seed)
//	placement, ok := p.Place(now, ask, candidates)
package srbaseline
