package srengine

import "time"

// Config describes one engine.
type Config struct {
	// Run is put before each start identifier, to tell processes apart.
	Run string
	// Slots is the most requests in the running batch.
	Slots int
	// Queue is the most requests that wait for the batch; above it the engine
	// answers that it did not take a request.
	Queue int
	// Prefill is the rate of prompt processing in tokens a second, shared by the batch.
	Prefill float64
	// Chunk is the most prompt tokens processed in one step.
	Chunk int
	// Step is the time of a decode step with one request in the batch.
	Step time.Duration
	// Growth is the part of Step that each further request adds.
	Growth float64
	// Cache is the number of prefix blocks that fit.
	Cache int

	// Cold is how many requests a cold engine bears at once, 0 for no limit.
	Cold int
	// WarmRequests and WarmTime end the cold start, once both have passed.
	WarmRequests int
	WarmTime     time.Duration
	// Outage is how long the engine is gone after it has fallen over.
	Outage time.Duration

	// LoadLag is the greatest age of a load report.
	LoadLag time.Duration
	// EventLag is the greatest delay of a cache event.
	EventLag time.Duration
	// EventLoss is the part of the cache events that is never published.
	EventLoss float64
	// Events is the most cache events kept for readers.
	Events int

	// Retention is how long an ended stream can be resumed.
	Retention time.Duration
	// Retained is the most ended streams kept.
	Retained int
	// MaxTokens is the most tokens that a request may ask for.
	MaxTokens int
	// EarlyStop makes answers end at Length in place of the tokens asked for.
	EarlyStop bool
	// Counted is the most prompts and streams whose runs are counted.
	Counted int
}

// DefaultConfig returns an engine of ordinary speed that is warm from the start.
func DefaultConfig() Config {
	return Config{
		Slots:     16,
		Queue:     32,
		Prefill:   8000,
		Chunk:     512,
		Step:      20 * time.Millisecond,
		Growth:    0.03,
		Cache:     4096,
		LoadLag:   time.Second,
		EventLag:  2 * time.Second,
		EventLoss: 0.05,
		Events:    4096,
		Retention: 30 * time.Second,
		Retained:  1024,
		MaxTokens: 8192,
		Counted:   1 << 20,
	}
}

// WithCold returns a copy that starts cold and bears n requests at once until
// it has completed requests of them and d has passed.
func (c Config) WithCold(n, requests int, d time.Duration) Config {
	c.Cold = n
	c.WarmRequests = requests
	c.WarmTime = d
	return c
}

// withFloors raises the bounds that must not be zero.
func (c Config) withMinimums() Config {
	c.Slots = max(c.Slots, 1)
	c.Chunk = max(c.Chunk, 1)
	c.Step = max(c.Step, time.Microsecond)
	c.Events = max(c.Events, 1)
	c.Counted = max(c.Counted, 1)
	c.MaxTokens = max(c.MaxTokens, 1)
	if c.Prefill <= 0 {
		c.Prefill = 1
	}
	return c
}
