// Package srforwardsettings reads the settings of a forwarding instance from an INI file.
//
// # Usage
//
//	cfg, err := srforwardsettings.Load("forward.ini")
//	if err != nil {
//		return err // lists every problem with file, section and key
//	}
//	listen(cfg.Clients)
package srforwardsettings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// Settings are the validated settings of one forwarding instance. Addresses have the
// form IP:port.
type Settings struct {
	Name   string
	Domain string
	// Clients is the address for clients, Ready the one for the load balancer's
	// readiness checks, Peers the one for other instances, Operate the one of the dump
	// and the metrics.
	Clients string
	Ready   string
	Peers   string
	Operate string
	// Seeds are the peer addresses of some other instances. They may be out of date.
	Seeds []string

	// Memory is the memory limit of the process in MB.
	Memory int
	// Power is the share of a processor core that the process may use.
	Power float64

	// Registry is the address of the platform's registry, Heartbeat the time between two
	// renewals of an endpoint's registration there.
	Registry  string
	Heartbeat time.Duration

	// RevokeTimeout is the time after which a removed key must not be accepted, 0 to
	// accept keys regardless of the age of the configuration.
	RevokeTimeout time.Duration
	// ConfigTimeout is the time within which a new configuration has to be in force.
	ConfigTimeout time.Duration
	// Drain is the time after which a leaving endpoint must not receive new requests.
	Drain time.Duration
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration

	Retry RetryLimit
	// QuotaWindow is the window in which a workspace's quota is counted, 0 when unset.
	QuotaWindow time.Duration
}

// RetryLimit limits the attempts beyond the first of each request, over all
// instances, to Ratio times the number of requests in Window, plus Slack.
type RetryLimit struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Load reads and validates the settings at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "srforwardsettings")
	}
	return Parse(path, data)
}

// Parse validates the settings in data. name is the name of the file in errors, which
// wrap sr.ErrInvalid.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	var ps srini.Problems
	srini.NewTable(name, keys(&s), &ps).Parse(data)
	if err := ps.Err("srforwardsettings"); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// WithSeeds returns a copy with other seeds.
func (s Settings) WithSeeds(seeds []string) Settings {
	s.Seeds = seeds
	return s
}

// Outage returns the time without an answer of the registry after which registrations
// may have expired although their endpoints are alive: two missed heartbeats.
func (s Settings) Outage() time.Duration { return 2 * s.Heartbeat }

// Lapse returns the time after which the registration of an endpoint that is gone has
// expired at the registry, and this is known: three missed heartbeats and one more.
func (s Settings) Lapse() time.Duration { return 4 * s.Heartbeat }

const (
	// queryViewFraction and queryRevokeFraction are the fractions of ViewBound and of the
	// bound for removed keys after which an instance whose view was not
	// confirmed to be current reads the registry itself. The remainder of the bound
	// is for the answer and for notifying the other instances.
	queryViewFraction   = 0.75
	queryRevokeFraction = 0.4
	// watchRevokeFraction is the fraction of the bound for removed keys for which a
	// request for changes may wait at the registry. An answer confirms the view only
	// as of the time at which its request was sent.
	watchRevokeFraction = 0.25
	// maxWatch is the upper limit of that wait. It is also the time for which a broken
	// connection to the registry can remain undetected.
	maxWatch = 1200 * time.Millisecond
)

// ViewBound returns the shorter of the times within which a configuration and the state
// of an endpoint have to be in force; one that is 0 does not count.
func (s Settings) ViewBound() time.Duration {
	if s.Drain == 0 || s.ConfigTimeout == 0 {
		return max(s.Drain, s.ConfigTimeout)
	}
	return min(s.Drain, s.ConfigTimeout)
}

// QueryAfter returns the age of the view from which an instance that does not watch the
// registry reads it.
func (s Settings) QueryAfter() time.Duration {
	after := fraction(s.ViewBound(), queryViewFraction)
	if s.RevokeTimeout > 0 {
		after = min(after, fraction(s.RevokeTimeout, queryRevokeFraction))
	}
	return after
}

// WatchTimeout returns how long a request for changes waits at the registry.
func (s Settings) WatchTimeout() time.Duration {
	if s.RevokeTimeout > 0 {
		return min(maxWatch, fraction(s.RevokeTimeout, watchRevokeFraction))
	}
	return maxWatch
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// ID returns the instance ID of an incarnation of the process.
func (s Settings) ID(incarnation uint64) sr.InstanceID {
	return sr.InstanceID{Address: s.Peers, Incarnation: incarnation}
}
