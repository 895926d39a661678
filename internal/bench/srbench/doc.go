// Package srbench measures the scheduling policy in virtual time.
//
// A run drives the real pools, placers and pickers with small fakes of engines
// and entry instances through a seeded event queue. It starts no goroutine and
// reads no clock, so that a seed repeats a run exactly. Requests arrive in an
// open loop: their arrivals do not depend on the answers.
//
// The engine fake batches continuously: its prefill rate is shared among the
// prompts in progress, decoding slows with the batch, prefix blocks are cached
// until the least recently used one is evicted, and a cold engine falls over
// above what it bears. Load reports lag, and cache events come late and with
// gaps.
//
// # Usage
//
//	c, err := srbench.CaseByName("rybomlyn")
//	v, err := srbench.VariantByName("full")
//	result := srbench.Run(srbench.Plan{Case: c, Variant: v, Seed: 1, Load: 0.8})
//	srbench.WriteTable(w, []srbench.Result{result})
package srbench
