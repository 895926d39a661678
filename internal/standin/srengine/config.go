package srengine

import "time"

// Config describes one engine.
type Config struct {
	// Run is a prefix of the start identifiers. It keeps those of different
	// processes distinct.
	Run string
	// Slots is the maximum number of requests in the running batch.
	Slots int
	// Queue is the maximum number of requests that wait for the batch; beyond it
	// the engine refuses requests.
	Queue int
	// Prefill is the rate of prompt processing in tokens per second, shared by the
	// batch.
	Prefill float64
	// Chunk is the maximum number of prompt tokens processed in one step.
	Chunk int
	// Step is the duration of a decode step with one request in the batch.
	Step time.Duration
	// Growth is the fraction of Step by which each further request in the batch
	// lengthens the step.
	Growth float64
	// Cache is the capacity of the prefix cache in blocks.
	Cache int

	// Cold is the number of concurrent requests above which a cold engine crashes,
	// 0 for no limit.
	Cold int
	// WarmRequests and WarmTime are the completed requests and the time since the
	// start that end a cold start; both are required.
	WarmRequests int
	WarmTime     time.Duration
	// Outage is how long the engine is down after a crash in a cold start.
	Outage time.Duration

	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// EventLag is the maximum delay of a cache event.
	EventLag time.Duration
	// EventLoss is the fraction of cache events that are never published.
	EventLoss float64
	// Events is the maximum number of cache events kept for readers.
	Events int

	// Retention is how long a stream can be resumed after its end.
	Retention time.Duration
	// Retained is the maximum number of ended streams kept.
	Retained int
	// MaxTokens is the maximum number of tokens that a request may ask for.
	MaxTokens int
	// EarlyStop makes answers end after Length tokens instead of all tokens
	// requested.
	EarlyStop bool
	// Counted is the maximum number of prompts, and of streams, whose runs are
	// counted.
	Counted int
}

// DefaultConfig returns the configuration of an engine without a cold start.
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

// WithCold returns a copy of c whose engine starts cold: it crashes when it has
// more than n requests, until it has completed the given number of requests and
// d has passed.
func (c Config) WithCold(n, requests int, d time.Duration) Config {
	c.Cold = n
	c.WarmRequests = requests
	c.WarmTime = d
	return c
}

// withMinimums raises the settings that must be positive to their minimum.
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
