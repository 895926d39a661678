package srengine

// counts is what the stand-in keeps for tests. It outlives the engine process.
type counts struct {
	limit       int
	prompts     map[uint64]int
	streams     map[string]int
	uncounted   int
	refused     int
	coldCrashes int
	peak        int
	prompted    int
	prefilled   int
	decoded     int
}

// Stats are totals over the life of the stand-in.
type Stats struct {
	// Taken counts the dispatches that the engine took.
	Taken int `json:"taken"`
	// Refused counts the dispatches that it did not take.
	Refused int `json:"refused"`
	// Falls counts how often it fell over in a cold start.
	Falls int `json:"falls"`
	// Peak is the most requests in the batch and the waiting list at once.
	Peak int `json:"peak"`
	// Prompted and Prefilled are prompt tokens received and processed; the
	// others came from the cache.
	Prompted  int `json:"prompted"`
	Prefilled int `json:"prefilled"`
	// Decoded counts generated tokens.
	Decoded int `json:"decoded"`
	// Uncounted is the number of dispatches beyond the bound on counted prompts.
	Uncounted int `json:"uncounted"`
}

func newCounts(limit int) counts {
	return counts{limit: limit, prompts: make(map[uint64]int), streams: make(map[string]int)}
}

func (c *counts) add(j *job) {
	if len(c.streams) >= c.limit || len(c.prompts) >= c.limit {
		c.uncounted++
		return
	}
	c.prompts[j.digest]++
	c.streams[j.d.Stream]++
}

func (c *counts) accepted() int {
	n := c.uncounted
	for _, runs := range c.streams {
		n += runs
	}
	return n
}

// Runs returns how many dispatches of prompt the engine took.
func (e *Engine) Runs(prompt string) int { return e.digestRuns(Digest(prompt)) }

func (e *Engine) digestRuns(digest uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.prompts[digest]
}

// StreamRuns returns how many dispatches of a stream the engine took.
func (e *Engine) StreamRuns(stream string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.streams[stream]
}

// Falls returns how often the engine fell over in a cold start.
func (e *Engine) ColdCrashes() int { return e.Stats().Falls }

// Stats returns totals over the life of the stand-in.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	return Stats{
		Taken:     c.accepted(),
		Refused:   c.refused,
		Falls:     c.coldCrashes,
		Peak:      c.peak,
		Prompted:  c.prompted,
		Prefilled: c.prefilled,
		Decoded:   c.decoded,
		Uncounted: c.uncounted,
	}
}
