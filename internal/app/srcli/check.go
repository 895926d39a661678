package srcli

import (
	"fmt"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
)

type checkCommand struct {
	Settings string `help:"INI file with the settings of a process." type:"path"`
	Manifest string `help:"Directory that holds root.ini and the parts of a manifest." type:"path"`
}

// Run checks the given settings, the given manifest or both, and prints a line for
// each that is valid.
func (c checkCommand) Run(o *output) error {
	if c.Settings == "" && c.Manifest == "" {
		return errors.Wrap(sr.ErrInvalid, "srcli: check needs --settings or --manifest")
	}
	if err := c.checkSettings(o); err != nil {
		return err
	}
	return c.checkManifest(o)
}

func (c checkCommand) checkSettings(o *output) error {
	if c.Settings == "" {
		return nil
	}
	cfg, err := srsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.out, "settings: valid, instance %s in failure domain %s\n", cfg.Peer, cfg.Domain)
	return err
}

func (c checkCommand) checkManifest(o *output) error {
	if c.Manifest == "" {
		return nil
	}
	text, err := srmanifest.ReadDir(c.Manifest)
	if err != nil {
		return err
	}
	m, err := srmanifest.Parse(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.out, "manifest: valid, version %d, %d tiers, %d workspaces, %d failure domains, %d endpoints\n",
		m.Version.Number, len(m.Tiers), len(m.Workspaces), len(m.Domains), len(m.Endpoints))
	return err
}
