package srmanifest

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

const fleet = `
[tier top]
rank = 1
first = 490ms
gap = 35ms
budget = 10s

[domain a]
region = north

[class big]
prefill = 1000
decode = 30
slots = 4

[endpoint e1]
address = 127.0.0.1:9001
domain = a
class = big
model = m
`

func text(version uint64, extra string) sr.ManifestText {
	return Bundle(version, map[string][]byte{"fleet": []byte(fleet + extra)})
}

func TestParse(t *testing.T) {
	m, err := Parse(text(7, ""))
	assert.NilError(t, err)
	assert.Equal(t, m.Version.Number, uint64(7))
	assert.Equal(t, m.Tiers["top"].First, 490*time.Millisecond)
	assert.DeepEqual(t, m.Classes["big"], sr.Class{Name: "big", Prefill: 1000, Decode: 30, Slots: 4, Cold: 1})
	assert.DeepEqual(t, m.Endpoints["e1"], sr.Endpoint{
		Name: "e1", Address: "127.0.0.1:9001", Domain: "a", Class: "big", Target: "m", Kind: sr.KindModel,
	})
}

func TestDigestCoversTheParts(t *testing.T) {
	one, err := Parse(text(7, ""))
	assert.NilError(t, err)
	other, err := Parse(text(7, "leaving = yes\n"))
	assert.NilError(t, err)
	assert.Assert(t, one.Version.Digest != other.Version.Digest)
}

func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	for _, name := range []string{"values", "references", "doubles", "ranks"} {
		t.Run(name, func(t *testing.T) {
			parts, err := ReadDir(filepath.Join("testdata", name))
			assert.Assert(t, errors.Is(err, sr.ErrMissing))
			_, err = Parse(Bundle(1, parts.Parts))
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			golden.Assert(t, err.Error()+"\n", name+".golden")
		})
	}
}

func TestRootProblems(t *testing.T) {
	good := text(3, "")
	for name, change := range map[string]func(*sr.ManifestText){
		"missing":  func(t *sr.ManifestText) { t.Parts = nil },
		"unlisted": func(t *sr.ManifestText) { t.Parts["other"] = []byte("[domain z]\nregion = r\n") },
		"digest":   func(t *sr.ManifestText) { t.Parts["fleet"] = append(t.Parts["fleet"], '\n') },
		"version":  func(t *sr.ManifestText) { t.Root = bytes.Replace(t.Root, []byte("= 3"), []byte("= 0"), 1) },
		"unknown":  func(t *sr.ManifestText) { t.Root = append(t.Root, "[more]\nx = 1\n"...) },
		"large":    func(t *sr.ManifestText) { *t = text(3, strings.Repeat("#\n", srini.MaxSize/2)) },
		"none":     func(t *sr.ManifestText) { *t = Bundle(3, nil) },
		"hash":     func(t *sr.ManifestText) { t.Root = []byte("[manifest]\nversion = 3\n[parts]\nfleet = 12\n") },
		"part":     func(t *sr.ManifestText) { *t = Bundle(3, map[string][]byte{"a/b": []byte(fleet)}) },
		"tiers":    func(t *sr.ManifestText) { *t = Bundle(3, map[string][]byte{"x": []byte("[domain a]\nregion = r\n")}) },
	} {
		t.Run(name, func(t *testing.T) {
			changed := sr.ManifestText{Root: bytes.Clone(good.Root), Parts: maps.Clone(good.Parts)}
			change(&changed)
			_, err := Parse(changed)
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			golden.Assert(t, err.Error()+"\n", "root-"+name+".golden")
		})
	}
}

func TestExamples(t *testing.T) {
	for user, want := range map[string]struct{ domains, models, services, workspaces int }{
		"rybomlyn":     {domains: 4, models: 12, services: 4, workspaces: 5},
		"dwarsliggers": {domains: 3, models: 18, services: 3, workspaces: 5},
	} {
		text, err := ReadDir(filepath.Join("..", "..", "..", "examples", user, "manifest"))
		assert.NilError(t, err)
		m, err := Parse(text)
		assert.NilError(t, err)
		assert.DeepEqual(t, text.Root, Bundle(1, text.Parts).Root)
		assert.Equal(t, len(m.Domains), want.domains)
		assert.Equal(t, len(m.Workspaces), want.workspaces)
		models := 0
		for _, e := range m.Endpoints {
			if e.Kind == sr.KindModel {
				models++
			}
		}
		assert.Equal(t, models, want.models)
		assert.Equal(t, len(m.Endpoints)-models, want.services)
	}
}

func TestManifestPage(t *testing.T) {
	golden.Assert(t, page(), filepath.Join("..", "..", "..", "..", "docs", "MANIFEST.md"))
}

func TestEveryDefaultIsWithinItsBounds(t *testing.T) {
	for _, k := range allKeys() {
		assert.Assert(t, k.Default == "" || k.Value.Set(k.Default), "%s %s", k.Section, k.Name)
	}
}

// TestAnyValidManifestSurvivesBundle checks that a bundle of any valid parts is a valid
// manifest, and that it is invalid when any part is missing.
func TestAnyValidManifestSurvivesBundle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "endpoints")
		parts := map[string][]byte{"base": []byte(fleet)}
		for i := range n {
			part := fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, "part"))
			parts[part] = fmt.Appendf(parts[part], "[endpoint x%d]\naddress = 127.0.0.1:%d\ndomain = a\nclass = big\nmodel = m\n", i, 100+i)
		}
		m, err := Parse(Bundle(2, parts))
		assert.NilError(t, err)
		assert.Equal(t, len(m.Endpoints), n+1)
		missing := rapid.SampledFrom(slices.Sorted(maps.Keys(parts))).Draw(t, "missing")
		bad := Bundle(2, parts)
		delete(bad.Parts, missing)
		_, err = Parse(bad)
		assert.Assert(t, errors.Is(err, sr.ErrInvalid))
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(fleet))
	f.Add([]byte("[workspace w]\ntier = top\nkeys = 12\nshare = NaN\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(Bundle(1, map[string][]byte{"p": data}))
		if err != nil {
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			return
		}
		for _, e := range m.Endpoints {
			_, domain := m.Domains[e.Domain]
			class, ok := m.Classes[e.Class]
			assert.Assert(t, domain && ok && srini.IsAddress(e.Address) && e.Target != "")
			assert.Assert(t, class.Cold >= 1 && class.Cold <= class.Slots)
		}
		for _, w := range m.Workspaces {
			_, ok := m.Tiers[w.Tier]
			assert.Assert(t, ok && w.Share > 0 && w.Rate >= 0)
		}
		assert.Equal(t, int(m.LowestTier()), len(m.Tiers))
	})
}

func FuzzParseRoot(f *testing.F) {
	f.Add(text(1, "").Root)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseRoot(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			return
		}
		assert.Assert(t, r.Version.Number > 0 && len(r.Parts) <= MaxParts)
		for name, digest := range r.Parts {
			assert.Assert(t, srini.IsWord(name) && len(digest) == 64)
		}
	})
}
