package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/bench/srload"
)

func parse(t *testing.T, args ...string) cli {
	t.Helper()
	var c cli
	p, err := kong.New(&c)
	assert.NilError(t, err)
	_, err = p.Parse(args)
	assert.NilError(t, err)
	return c
}

func TestFlagsBecomeAConfig(t *testing.T) {
	c := parse(t, "--instance", "127.0.0.1:1", "--instance", "127.0.0.1:2", "--mix", "plant:k1:dawn:3", "--mix", "yard:k2:batch:0.5")
	cfg, err := c.config()
	assert.NilError(t, err)
	want := srload.DefaultConfig()
	want.Instances = []string{"127.0.0.1:1", "127.0.0.1:2"}
	want.Mixes = []srload.Mix{
		{Workspace: "plant", Key: "k1", Tier: "dawn", Weight: 3},
		{Workspace: "yard", Key: "k2", Tier: "batch", Weight: 0.5},
	}
	assert.DeepEqual(t, cfg, want)
}

// Addresses outside loopback, a mix with missing parts and one with a bad weight must
// be rejected as invalid input.
func TestBadInputIsRefused(t *testing.T) {
	for _, args := range [][]string{
		{"--instance", "10.0.0.1:1", "--mix", "plant:k1:dawn:3"},
		{"--instance", "127.0.0.1:1", "--mix", "plant:k1:dawn"},
		{"--instance", "127.0.0.1:1", "--mix", "plant:k1:dawn:much"},
	} {
		c := parse(t, args...)
		assert.Assert(t, errors.Is(c.run(t.Context()), sr.ErrInvalid), "%v", args)
	}
}
