package srcli

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
)

// rootMode is the file mode of root.ini.
const rootMode = 0o644

type bundleCommand struct {
	Manifest string `required:"" help:"Directory that holds the parts of a manifest." type:"path"`
	Number   uint64 `required:"" help:"Version of the manifest. It must be greater than the version in force."`
}

// Run checks the parts of a manifest and writes root.ini next to them.
func (c bundleCommand) Run(o *output) error {
	parts, err := readParts(c.Manifest)
	if err != nil {
		return err
	}
	text := srmanifest.Bundle(c.Number, parts)
	if _, err := srmanifest.Parse(text); err != nil {
		return err
	}
	path := filepath.Join(c.Manifest, srmanifest.RootName+".ini")
	if err := os.WriteFile(path, text.Root, rootMode); err != nil {
		return errors.Wrap(err, "srcli")
	}
	_, err = fmt.Fprintf(o.out, "%s: version %d, %d parts\n", path, c.Number, len(parts))
	return err
}

// readParts reads the parts of a manifest, whose root.ini may not exist yet.
func readParts(dir string) (map[string][]byte, error) {
	text, err := srmanifest.ReadDir(dir)
	if err != nil && !errors.Is(err, sr.ErrMissing) {
		return nil, err
	}
	if len(text.Parts) == 0 {
		return nil, errors.Wrapf(sr.ErrMissing, "srcli: no parts in %s", dir)
	}
	return text.Parts, nil
}
