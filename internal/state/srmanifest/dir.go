package srmanifest

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// extension is the file name extension of a manifest's files.
const extension = ".ini"

// ReadDir reads a manifest from a directory: root.ini holds the root value,
// each other file NAME.ini the part NAME. Without root.ini it returns the parts
// and ErrMissing.
func ReadDir(dir string) (sr.ManifestText, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return sr.ManifestText{}, errors.Wrap(err, "srmanifest")
	}
	t := sr.ManifestText{Parts: make(map[string][]byte)}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return sr.ManifestText{}, errors.Wrap(err, "srmanifest")
		}
		name := strings.TrimSuffix(filepath.Base(path), extension)
		if name == RootName {
			t.Root = data
			continue
		}
		t.Parts[name] = data
	}
	if t.Root == nil {
		return t, errors.Wrapf(sr.ErrMissing, "srmanifest: %s", filepath.Join(dir, RootName+extension))
	}
	return t, nil
}
