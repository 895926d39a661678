// Package srload puts an open-loop load on the caller interface and checks the
// answers. Arrivals follow a seeded schedule and never wait for earlier requests;
// times are measured from the scheduled arrival.
//
// # Usage
//
//	r, err := srload.New(cfg, nil)
//	report, err := r.Run(ctx)
//	report.WriteText(os.Stdout)
//
// Every prompt is used once, so that each answer can be compared with the one that
// the engine stand-in computes for its prompt. With Config.Engines and
// Config.Services, the number of times that each request ran is compared with its
// outcome. Only loopback addresses are accepted.
package srload

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// MaxCount is the maximum number of requests of one run.
	MaxCount = 1_000_000
	// MaxDuration is the maximum duration of the schedule of one run.
	MaxDuration = time.Hour
	// MaxRate is the maximum number of requests per second.
	MaxRate = 10_000
	// MaxBatch is the maximum number of tickets fetched by one request.
	MaxBatch = 100
	// MaxTokens is the maximum length of a prompt or an answer in tokens.
	MaxTokens = 32_768
)

// Mix is one kind of caller.
type Mix struct {
	Workspace string
	// Key is the workspace key that authorizes the requests.
	Key  string
	Tier string
	// Weight is the relative frequency of the mix among all requests.
	Weight float64
}

// Range is a range of lengths in tokens with a log-uniform distribution: each doubling
// is equally likely.
type Range struct{ Min, Max int }

// Config describes a load.
type Config struct {
	// Instances are the addresses of entry instances. Each request goes to a random one.
	Instances []string
	// Engines and Services are the addresses of the stand-ins that count the runs of
	// each request. Each list must name all stand-ins of its kind or none.
	Engines  []string
	Services []string

	Seed uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Count is the maximum number of requests.
	Count int
	// Duration ends the schedule even if fewer than Count requests have arrived.
	Duration time.Duration
	// ClientTimeout is how long a caller waits for a complete answer.
	ClientTimeout time.Duration
	// InFlight is the maximum number of requests in flight. Arrivals above it are skipped
	// and counted.
	InFlight int
	// Batch is the number of tickets fetched by one request.
	Batch int
	// Attempts is the maximum number of times that a request is submitted or resumed.
	Attempts int

	Mixes  []Mix
	Model  string
	Prompt Range
	Answer Range
	// SharedFraction is the fraction of a prompt that is a prefix shared by requests of
	// the workspace.
	SharedFraction float64
	// EarlyStop says that the engines end answers before the requested number of tokens.
	EarlyStop bool

	// CallFraction is the fraction of the requests that are calls of Service.
	CallFraction float64
	Service      string
	// Operation is an operation of Service that must not run twice.
	Operation string
}

// DefaultConfig returns the settings of a small load. Instances and Mixes are empty.
func DefaultConfig() Config {
	return Config{
		Seed:           1,
		Rate:           20,
		Count:          200,
		Duration:       time.Minute,
		ClientTimeout:  time.Minute,
		InFlight:       1000,
		Batch:          8,
		Attempts:       4,
		Model:          "model",
		Prompt:         Range{16, 1024},
		Answer:         Range{8, 128},
		SharedFraction: 0.5,
		Operation:      "book",
	}
}

// Validate returns ErrInvalid when a field is out of bounds.
func (c Config) Validate() error {
	if len(c.Instances) == 0 || len(c.Mixes) == 0 {
		return errors.Wrap(sr.ErrInvalid, "srload: the load needs at least one instance and one mix")
	}
	for _, list := range [][]string{c.Instances, c.Engines, c.Services} {
		if err := checkLoopback(list); err != nil {
			return err
		}
	}
	for _, m := range c.Mixes {
		if m.Workspace == "" || m.Key == "" || m.Tier == "" || !(m.Weight > 0) {
			return errors.Wrapf(sr.ErrInvalid, "srload: mix of workspace %q and tier %q is incomplete", m.Workspace, m.Tier)
		}
	}
	return c.checkBounds()
}

// checkBounds names the fields in its errors like the flags of command srload, which
// are "patience" for ClientTimeout, "shared" for SharedFraction and "calls" for
// CallFraction.
func (c Config) checkBounds() error {
	for _, b := range []struct {
		name string
		ok   bool
	}{
		{"rate", c.Rate > 0 && c.Rate <= MaxRate},
		{"count", c.Count > 0 && c.Count <= MaxCount},
		{"duration", c.Duration > 0 && c.Duration <= MaxDuration},
		{"patience", c.ClientTimeout > 0 && c.ClientTimeout <= MaxDuration},
		{"in flight", c.InFlight > 0},
		{"batch", c.Batch > 0 && c.Batch <= MaxBatch},
		{"attempts", c.Attempts > 0},
		{"model", c.Model != "" || c.CallFraction == 1},
		{"prompt", c.Prompt.ok()},
		{"answer", c.Answer.ok()},
		{"shared", c.SharedFraction >= 0 && c.SharedFraction <= 1},
		{"calls", c.CallFraction >= 0 && c.CallFraction <= 1},
		{"service", c.CallFraction == 0 || c.Service != "" && c.Operation != ""},
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
