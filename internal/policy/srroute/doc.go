// Package srroute chooses where a request runs: the Picker chooses the pool at
// an entry instance, and the Placer chooses the endpoint at the pool's owner.
//
// The Placer scores each free endpoint by the expected time to the end of the
// answer: the prefill that is already queued there, the uncached part of the
// prompt and the expected output, each divided by a learned rate. Rates are
// learned per class and target as a function of the batch size, and corrected
// per endpoint by a bounded ratio that fades with time. The output length is a
// quantile per workspace. Which prefix blocks an endpoint caches is taken from
// the grants and corrected by cache events.
//
// The Picker orders pools by expected wait from their owners' news, the asks
// sent since that news, and a rendezvous hash of the prompt's prefix, so that
// entry instances agree on a pool without exchanging messages.
//
// Both are pure, seeded, bounded in memory, and used by one goroutine.
//
// # Usage
//
//	p := srroute.New(srroute.Options{Seed: seed, Classes: manifest.Classes})
//	placement, ok := p.Place(now, ask, candidates)
//	p.Granted(now, ask, placement.Endpoint)
//	p.Observe(now, ask, placement.Endpoint, class, release)
//
//	k := srroute.NewPicker(srroute.PickerOptions{Seed: seed})
//	pools := k.Pick(now, ask, news)
//	k.Asked(now, pools[0])
//	k.Ended(now, pools[0], release)
package srroute
