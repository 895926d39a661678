// Package srbench measures the scheduling policy by simulation in virtual time.
//
// A run drives the production pools, placers and pickers with simulated engines
// and entry instances from a seeded event queue. A picker orders the pools for a
// request at an entry instance; a placer chooses an endpoint within a pool. A run
// starts no goroutine and reads no clock, so two runs with the same seed give the
// same result. The load is open-loop: arrivals do not depend on the answers.
//
// A simulated engine uses continuous batching: prompts in progress share its
// prefill rate, decoding slows down as the batch fills, prefix blocks are cached
// with LRU eviction, and a cold engine crashes when it receives more requests
// than it can run. Load reports are delayed, and cache events arrive late and
// with gaps.
//
// # Usage
//
//	c, err := srbench.CaseByName("rybomlyn")
//	v, err := srbench.VariantByName("full")
//	result := srbench.Run(srbench.Plan{Case: c, Variant: v, Seed: 1, Load: 0.8})
//	srbench.WriteTable(w, []srbench.Result{result})
package srbench
