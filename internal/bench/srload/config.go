// Package srload puts an open-loop load on the caller interface and judges the
// answers: arrivals follow a seeded schedule and never wait for earlier ones,
// and times count from the scheduled arrival.
//
// # Usage
//
//	r, err := srload.New(cfg, nil)
//	report, err := r.Run(ctx)
//	report.WriteText(os.Stdout)
//
// Every prompt is used once, so an answer is checked against the engine
// stand-in's Answer, and with Config.Engines and Config.Services the number of
// runs of each request against its outcome. Only loopback addresses are
// accepted.
package srload

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// MaxCount is the most requests of one run.
	MaxCount = 1_000_000
	// MaxDuration is the longest schedule of one run.
	MaxDuration = time.Hour
	// MaxRate is the most requests a second.
	MaxRate = 10_000
	// MaxBatch is the most tickets fetched at once.
	MaxBatch = 100
	// MaxTokens is the greatest length of a prompt or an answer in tokens.
	MaxTokens = 32_768
)

// Mix is one kind of caller.
type Mix struct {
	Workspace string
	// Key is what the workspace presents.
	Key  string
	Tier string
	// Weight is the part of the model requests that come from here.
	Weight float64
}

// Range is a range of lengths in tokens, drawn so that each doubling is equally likely.
type Range struct{ Min, Max int }

// Config describes a load.
type Config struct {
	// Instances are entry instances; each request goes to one at random.
	Instances []string
	// Engines and Services are the stand-ins to ask for runs, all or none.
	Engines  []string
	Services []string

	Seed  uint64
	Rate  float64
	Count int
	// Duration ends the schedule, however many requests are left.
	Duration time.Duration
	// Patience is how long a caller waits for a whole answer.
	Patience time.Duration
	// InFlight is the most requests at once; above it arrivals are skipped and counted.
	InFlight int
	// Batch is how many tickets are fetched at once.
	Batch int
	// Attempts is how often a request is submitted or resumed after a broken connection.
	Attempts int

	Mixes  []Mix
	Model  string
	Prompt Range
	Answer Range
	// Shared is the part of a prompt that requests of a workspace have in common.
	Shared float64
	// EarlyStop says that the engines stop early.
	EarlyStop bool

	// Calls is the part of the requests that are calls of Service.
	Calls   float64
	Service string
	// Operation is one that may not be called twice.
	Operation string
}

// DefaultConfig returns a small load without instances and mixes.
func DefaultConfig() Config {
	return Config{
		Seed:      1,
		Rate:      20,
		Count:     200,
		Duration:  time.Minute,
		Patience:  time.Minute,
		InFlight:  1000,
		Batch:     8,
		Attempts:  4,
		Model:     "model",
		Prompt:    Range{16, 1024},
		Answer:    Range{8, 128},
		Shared:    0.5,
		Operation: "book",
	}
}

// Validate returns ErrInvalid when a field is out of bounds.
func (c Config) Validate() error {
	if len(c.Instances) == 0 || len(c.Mixes) == 0 {
		return errors.Wrap(sr.ErrInvalid, "srload: instances and mixes must be given")
	}
	for _, list := range [][]string{c.Instances, c.Engines, c.Services} {
		if err := checkLoopback(list); err != nil {
			return err
		}
	}
	for _, m := range c.Mixes {
		if m.Workspace == "" || m.Key == "" || m.Tier == "" || !(m.Weight > 0) {
			return errors.Wrapf(sr.ErrInvalid, "srload: mix of workspace %q and tier %q", m.Workspace, m.Tier)
		}
	}
	return c.checkBounds()
}

func (c Config) checkBounds() error {
	for _, b := range []struct {
		name string
		ok   bool
	}{
		{"rate", c.Rate > 0 && c.Rate <= MaxRate},
		{"count", c.Count > 0 && c.Count <= MaxCount},
		{"duration", c.Duration > 0 && c.Duration <= MaxDuration},
		{"patience", c.Patience > 0 && c.Patience <= MaxDuration},
		{"in flight", c.InFlight > 0},
		{"batch", c.Batch > 0 && c.Batch <= MaxBatch},
		{"attempts", c.Attempts > 0},
		{"model", c.Model != "" || c.Calls == 1},
		{"prompt", c.Prompt.ok()},
		{"answer", c.Answer.ok()},
		{"shared", c.Shared >= 0 && c.Shared <= 1},
		{"calls", c.Calls >= 0 && c.Calls <= 1},
		{"service", c.Calls == 0 || c.Service != "" && c.Operation != ""},
	} {
		if !b.ok {
			return errors.Wrapf(sr.ErrInvalid, "srload: %s is out of bounds", b.name)
		}
	}
	return nil
}

func (r Range) ok() bool { return r.Min > 0 && r.Min <= r.Max && r.Max <= MaxTokens }

func checkLoopback(addresses []string) error {
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil || !a.Addr().IsLoopback() {
			return errors.Wrapf(sr.ErrInvalid, "srload: %q is not a loopback address with a port", address)
		}
	}
	return nil
}
