package srengine

// counts are the counters that tests read. They survive crashes and restarts of
// the simulated engine process.
type counts struct {
	// limit is the maximum number of entries in prompts and in streams.
	limit int
	// prompts and streams count accepted dispatches by prompt digest and by stream.
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

// Stats are totals since the stand-in was created.
type Stats struct {
	// Accepted counts the dispatches that the engine accepted.
	Accepted int `json:"taken"`
	// Refused counts the dispatches that it refused.
	Refused int `json:"refused"`
	// ColdCrashes counts its crashes from too many requests in a cold start.
	ColdCrashes int `json:"falls"`
	// Peak is the highest number of requests in the batch and the waiting list.
	Peak int `json:"peak"`
	// Prompted counts the prompt tokens of the requests that entered the batch,
	// and Prefilled those of them that were not in the cache.
	Prompted  int `json:"prompted"`
	Prefilled int `json:"prefilled"`
	// Decoded counts generated tokens.
	Decoded int `json:"decoded"`
	// Uncounted is the number of dispatches that were accepted but not counted by
	// prompt and stream, because Config.Counted was reached.
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

// Runs returns the number of dispatches of prompt that the engine accepted.
func (e *Engine) Runs(prompt string) int { return e.digestRuns(Digest(prompt)) }

func (e *Engine) digestRuns(digest uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.prompts[digest]
}

// StreamRuns returns the number of dispatches of a stream that the engine
// accepted.
func (e *Engine) StreamRuns(stream string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.streams[stream]
}

// ColdCrashes returns how often the engine crashed from too many requests in a
// cold start.
func (e *Engine) ColdCrashes() int { return e.Stats().ColdCrashes }

// Stats returns the totals since the stand-in was created.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	return Stats{
		Accepted:    c.accepted(),
		Refused:     c.refused,
		ColdCrashes: c.coldCrashes,
		Peak:        c.peak,
		Prompted:    c.prompted,
		Prefilled:   c.prefilled,
		Decoded:     c.decoded,
		Uncounted:   c.uncounted,
	}
}
