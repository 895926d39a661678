// Package srsite reads the settings of a forwarding instance from an INI file.
//
// # Usage
//
//	cfg, err := srsite.Load("forward.ini")
//	if err != nil {
//		return err // lists every problem with file, section and key
//	}
//	listen(cfg.Clients)
package srsite

import (
	"os"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// Settings are the settings of one forwarding instance, checked in full.
// Addresses are IP:port.
type Settings struct {
	Name   string
	Domain string
	// Clients is where clients connect, Ready where the balancer asks, Peers
	// where the other instances call, Operate where dump and metrics are served.
	Clients string
	Ready   string
	Peers   string
	Operate string
	// Seeds are the peer addresses of a few instances, possibly out of date.
	Seeds []string

	// Memory is in MB.
	Memory int

	// Registry is the address of the platform's store, Heartbeat the time between
	// two reports of an endpoint to it.
	Registry  string
	Heartbeat time.Duration

	// Revoke is the time after which a removed key must not be served, 0 when
	// keys are not bound to proofs.
	Revoke time.Duration
	// Config is the time in which a configuration has to be in force.
	Config time.Duration
	// Drain is the time after which a leaving endpoint must get nothing new.
	Drain time.Duration
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration

	Retry RetryLimit
	// Allowance is the window in which a workspace's allowance is counted, 0 when
	// none is stated.
	Allowance time.Duration
}

// RetryLimit bounds the sends beyond the first of each request, over all
// instances: Ratio times the requests of Window, plus Slack.
type RetryLimit struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Load reads and checks the settings at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "srsite")
	}
	return Parse(path, data)
}

// Parse checks the settings in data; name is the file's name in errors, which
// wrap sr.ErrInvalid.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	var ps srini.Problems
	srini.NewTable(name, keys(&s), &ps).Parse(data)
	if err := ps.Err("srsite"); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// WithSeeds returns a copy with other seeds.
func (s Settings) WithSeeds(seeds []string) Settings {
	s.Seeds = seeds
	return s
}

// Outage returns the time without an answer of the registry in which
// registrations may begin to lapse.
func (s Settings) Outage() time.Duration { return 2 * s.Heartbeat }

const (
	// askDrain and askRevoke are the parts of the bounds for leaving endpoints and
	// removed keys after which an instance without news asks the registry itself;
	// the rest is for the answer and for telling the others.
	askDrain  = 0.75
	askRevoke = 0.4
	// watchRevoke is the part of the bound for removed keys for which a question
	// may wait at the registry, since a proof is as old as its question.
	watchRevoke = 0.25
	// mostWatch bounds that wait. It is also the age up to which a connection that
	// fell silent goes unnoticed.
	mostWatch = 1200 * time.Millisecond
)

// AskAfter returns the age of a proof from which an instance that does not watch
// the registry asks it.
func (s Settings) AskAfter() time.Duration {
	after := part(s.Drain, askDrain)
	if s.Revoke > 0 {
		after = min(after, part(s.Revoke, askRevoke))
	}
	return after
}

// Watch returns how long a question for changes waits at the registry.
func (s Settings) Watch() time.Duration {
	if s.Revoke > 0 {
		return min(mostWatch, part(s.Revoke, watchRevoke))
	}
	return mostWatch
}

func part(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// ID returns the identity of a run of the process.
func (s Settings) ID(incarnation uint64) sr.InstanceID {
	return sr.InstanceID{Address: s.Peers, Incarnation: incarnation}
}
