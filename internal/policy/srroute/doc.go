// Package srroute chooses where a request runs: the Picker chooses the pool at an entry
// instance, and the Placer chooses the endpoint at the pool's owner.
//
// The Placer scores each free endpoint by the expected time to the end of the answer,
// with extra weight on the time to the first token. The time consists of the prefill work
// already queued there, the uncached part of the prompt and the expected output, each
// divided by a learned rate. Rates are learned per class and target as a function of the
// batch size, and corrected per endpoint by a bounded ratio that decays with time. The
// output length is a quantile per workspace. The prefix blocks that an endpoint caches
// are inferred from the grants and corrected by cache events.
//
// The Picker orders pools by the expected wait, computed from the owners' summaries and
// the asks sent since then, and by a rendezvous hash of the prompt's prefix, so that
// entry instances agree on a pool without exchanging messages.
//
// Both do no input or output, are seeded and bounded in memory, and are not safe for
// concurrent use.
//
// # Usage
//
//	p := srroute.New(srroute.Options{Seed: seed, Classes: manifest.Classes})
//	placement, ok := p.Place(now, ask, candidates)
//	p.Granted(now, ask, placement.Endpoint)
//	p.Observe(now, ask, placement.Endpoint, class, release)
//
//	k := srroute.NewPicker(srroute.PickerOptions{Seed: seed})
//	pools := k.Pick(now, ask, summaries)
//	k.Asked(now, ask, pools[0])
//	k.Ended(now, pools[0], release)
package srroute
