package main

import (
	"context"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func TestEachStandInServesUntilItsContextEnds(t *testing.T) {
	for _, args := range [][]string{
		{"engine", "--listen", "127.0.0.1:0", "--cold", "2"},
		{"service", "--listen", "127.0.0.1:0", "--once", "book"},
		{"platform", "--listen", "127.0.0.1:0", "--set", "manifest=main.go", "--instance", "127.0.0.1:1@brno-a"},
	} {
		var c cli
		p, err := kong.New(&c)
		assert.NilError(t, err)
		k, err := p.Parse(args)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		k.BindTo(ctx, (*context.Context)(nil))
		assert.NilError(t, k.Run(), "%v", args)
	}
}

func TestInstancesAreParsed(t *testing.T) {
	list, err := parseInstances([]string{"10.0.0.1:1@brno-a", "[::1]:2@brno-b"})
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []sr.Instance{{Address: "10.0.0.1:1", Domain: "brno-a"}, {Address: "[::1]:2", Domain: "brno-b"}})
	for _, bad := range []string{"", "10.0.0.1:1", "entry:1@a", "10.0.0.1@a"} {
		_, err := parseInstances([]string{bad})
		assert.Assert(t, errors.Is(err, sr.ErrInvalid), "%q", bad)
	}
}
