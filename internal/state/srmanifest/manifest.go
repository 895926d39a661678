// Package srmanifest reads the operators' manifest, which consists of a root value
// with the version and the hash of each part, and of the parts. All are INI texts.
// It keeps the last accepted manifest, and fetches newer ones from the configuration
// service and from peers.
//
// # Usage
//
//	store := srmanifest.New()
//	result, err := store.Offer(text)
//	m, ok := store.Current()
//
//	reader := srmanifest.NewReader(platform, store, srmanifest.ReaderOptions{Root: "manifest"})
//	go reader.Run(ctx)
package srmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// RootName is the name of the root value in problem reports and in ReadDir.
const RootName = "root"

// Root is the parsed root value. The digest of its version covers the parts too,
// because the root value contains their hashes.
type Root struct {
	Version sr.Version
	// Parts maps the name of each part to its hash.
	Parts map[string]sr.Digest
}

// Parse parses and validates a manifest. The error wraps sr.ErrInvalid and lists
// every problem with part, section, key and the expected value.
func Parse(t sr.ManifestText) (sr.Manifest, error) {
	m, _, err := parse(t, nil)
	return m, err
}

// ParseRoot parses and validates a root value without its parts.
func ParseRoot(data []byte) (Root, error) {
	var ps srini.Problems
	r := parseRoot(data, &ps)
	if err := ps.Err("srmanifest"); err != nil {
		return Root{}, err
	}
	return r, nil
}

// Bundle returns a manifest text with a root for the given parts.
func Bundle(version uint64, parts map[string][]byte) sr.ManifestText {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\nversion = %d\n\n[%s]\n", kindManifest, version, kindParts)
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		fmt.Fprintf(&b, "%s = %s\n", name, Hash(parts[name]))
	}
	return sr.ManifestText{Root: []byte(b.String()), Parts: maps.Clone(parts)}
}

// Hash returns the SHA-256 hash of data in hexadecimal digits.
func Hash(data []byte) sr.Digest {
	sum := sha256.Sum256(data)
	return sr.Digest(hex.EncodeToString(sum[:]))
}

func parseRoot(data []byte, ps *srini.Problems) Root {
	r := Root{Parts: make(map[string]sr.Digest)}
	r.Version.Digest = Hash(data)
	seen := make(map[string]bool)
	for _, s := range srini.Read(RootName, data, ps) {
		if s.Name != "" || (s.Kind != kindManifest && s.Kind != kindParts) {
			ps.Addf(RootName, s.Head(), "", "one of the sections manifest, parts")
			continue
		}
		if seen[s.Kind] {
			ps.Addf(RootName, s.Head(), "", "the section at most once")
			continue
		}
		seen[s.Kind] = true
		if s.Kind == kindManifest {
			s.Fill(rootKeys(&r.Version.Number), ps)
			continue
		}
		r.fillParts(s, ps)
	}
	for _, kind := range []string{kindManifest, kindParts} {
		if !seen[kind] && len(ps.List) == 0 {
			ps.Addf(RootName, kind, "", "the section, found none")
		}
	}
	return r
}

// fillParts adds the parts listed in a section of the root value.
func (r Root) fillParts(s srini.Section, ps *srini.Problems) {
	if len(s.Keys) > MaxParts {
		ps.Addf(RootName, s.Head(), "", "at most %d parts, found %d", MaxParts, len(s.Keys))
		return
	}
	for _, e := range s.Keys {
		if !srini.IsWord(e.Name) || e.Name == RootName {
			ps.Addf(RootName, s.Head(), e.Name, "a part's name other than root, %s", srini.WordRule)
			continue
		}
		var digest string
		entry := srini.Section{File: s.File, Kind: s.Kind, Keys: []srini.Entry{e}}
		entry.Fill([]srini.Key{partKey(e.Name, &digest)}, ps)
		r.Parts[e.Name] = sr.Digest(digest)
	}
}
