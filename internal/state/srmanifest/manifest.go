// Package srmanifest reads the operators' manifest: a root value with the
// version and the hash of each part, and the parts as INI texts. It keeps the
// last accepted one and follows the configuration service and the peers.
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

// RootName stands for the root value in problems.
const RootName = "root"

// Root is the parsed root value. Its digest covers the parts, since it holds
// their hashes.
type Root struct {
	Version sr.Version
	// Parts holds the hash of each part.
	Parts map[string]sr.Digest
}

// Parse checks a manifest in full. The error wraps sr.ErrInvalid and lists
// every problem with part, section, key and what was expected.
func Parse(t sr.ManifestText) (sr.Manifest, error) {
	m, _, err := parse(t, nil)
	return m, err
}

// ParseRoot checks a root value by itself.
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
			ps.Addf(RootName, s.Head(), "", "the section once")
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
			ps.Addf(RootName, kind, "", "the section, found nothing")
		}
	}
	return r
}

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
		one := srini.Section{File: s.File, Kind: s.Kind, Keys: []srini.Entry{e}}
		one.Fill([]srini.Key{partKey(e.Name, &digest)}, ps)
		r.Parts[e.Name] = sr.Digest(digest)
	}
}
