// Package srsettings reads the settings of an entry instance from an INI file. Those
// of a forwarding instance are in package srforwardsettings.
//
// # Usage
//
//	cfg, err := srsettings.Load("instance.ini")
//	if err != nil {
//		return err // lists every problem with file, section and key
//	}
//	listen(cfg.Listen)
package srsettings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// Settings are the validated settings of one entry instance. They do not change while the
// process runs. Addresses have the form IP:port.
type Settings struct {
	// Listen is the address for callers, Operate the one for operators, Peer the one
	// for other instances.
	Listen  string
	Operate string
	Peer    string
	// Domain is the failure domain of the process.
	Domain string

	// Platform is the address of the configuration service, Root the key of the
	// manifest's root value, Readers the number of instances of a region that watch
	// it.
	Platform string
	Root     string
	Readers  int
	// Seeds are instances to contact until the platform's instance list is
	// received.
	Seeds []string

	// Body is the largest request body in bytes. The other limits are counts; see
	// keys for their descriptions.
	Body    int
	Tickets int
	Records int
	Batch   int
	Events  int

	// The descriptions of the times are in keys too.
	Heartbeat time.Duration
	Lapse     time.Duration
	Lease     time.Duration
	Ticket    time.Duration
	Drain     time.Duration
	Retain    time.Duration
	Poll      time.Duration
	Connect   time.Duration
	Header    time.Duration
	Idle      time.Duration

	// Level is LevelError, LevelInfo or LevelDebug.
	Level string
}

// Log levels.
const (
	LevelError = "error"
	LevelInfo  = "info"
	LevelDebug = "debug"
)

// Load reads and validates the settings at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "srsettings")
	}
	return Parse(path, data)
}

// Parse validates the settings in data. name is the name of the file in errors, which
// wrap sr.ErrInvalid.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	var ps srini.Problems
	if srini.NewTable(name, keys(&s), &ps).Parse(data) {
		s.check(name, &ps)
	}
	if err := ps.Err("srsettings"); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// WithDomain returns a copy with another failure domain.
func (s Settings) WithDomain(domain string) Settings {
	s.Domain = domain
	return s
}

// ID returns the instance ID of an incarnation of the process.
func (s Settings) ID(incarnation uint64) sr.InstanceID {
	return sr.InstanceID{Address: s.Peer, Incarnation: incarnation}
}
