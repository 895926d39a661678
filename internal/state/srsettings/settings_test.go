package srsettings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// minimal contains the required settings only.
const minimal = `
[instance]
listen = 127.0.0.1:8001
operate = 127.0.0.1:8002
peer = 127.0.0.1:8003
domain = a

[platform]
address = 127.0.0.1:9000
`

func TestMinimalSettingsTakeTheDefaults(t *testing.T) {
	s, err := Parse("minimal.ini", []byte(minimal))
	assert.NilError(t, err)
	assert.Equal(t, s.Peer, "127.0.0.1:8003")
	assert.Equal(t, s.Root, "manifest")
	assert.Equal(t, s.Body, 1<<20)
	assert.Equal(t, s.Heartbeat, 250*time.Millisecond)
	assert.Equal(t, s.Lapse, 2*time.Second)
	assert.Equal(t, s.Level, LevelInfo)
	assert.Equal(t, len(s.Seeds), 0)
}

func TestEveryDefaultIsWithinItsBounds(t *testing.T) {
	var s Settings
	for _, k := range keys(&s) {
		assert.Assert(t, k.Default == "" || k.Value.Set(k.Default), "%s %s", k.Section, k.Name)
	}
}

func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	for _, name := range []string{"values", "structure", "rules", "syntax", "empty"} {
		t.Run(name, func(t *testing.T) {
			s, err := Load(filepath.Join("testdata", name+".ini"))
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			assert.DeepEqual(t, s, Settings{})
			golden.Assert(t, err.Error()+"\n", name+".golden")
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join("testdata", "none.ini"))
	assert.ErrorContains(t, err, "srsettings: open")
}

func TestSettingsPage(t *testing.T) {
	var s Settings
	page := "# Settings\n\n" +
		"One INI file configures one process: `sassafrasrail serve FILE`. It is validated\n" +
		"before use, and all problems are reported at once. Unknown sections and keys are\n" +
		"errors. Addresses are IP addresses with a port. A comment is a line that starts\n" +
		"with `#` or `;`, or follows a value after a space.\n" +
		srini.Markdown(keys(&s)) + "\n## Rules that span several keys\n\n" +
		"- lapse is at least 3 heartbeats\n" +
		"- lease is at most lapse and at least 2 heartbeats\n" +
		"- connect is at most lapse\n" +
		"- batch is at most tickets\n" +
		"- listen, operate, peer and the platform's address differ\n"
	golden.Assert(t, page, filepath.Join("..", "..", "..", "..", "docs", "SETTINGS.md"))
}

func TestExamples(t *testing.T) {
	for _, user := range []string{"rybomlyn", "dwarsliggers"} {
		paths, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", user, "instance*.ini"))
		assert.NilError(t, err)
		assert.Equal(t, len(paths), 7)
		peers := make(map[string]bool)
		for _, path := range paths {
			s, err := Load(path)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(s.Peer, "127.0.0.1:"))
			peers[s.Peer] = true
		}
		assert.Equal(t, len(peers), 7)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			assert.DeepEqual(t, s, Settings{})
			return
		}
		assert.Assert(t, srini.IsAddress(s.Peer) && srini.IsAddress(s.Platform) && srini.IsWord(s.Domain))
		assert.Assert(t, s.Lapse >= MinLapseHeartbeats*s.Heartbeat && s.Lease <= s.Lapse)
		assert.Assert(t, s.Body > 0 && s.Tickets >= s.Batch)
	})
}
