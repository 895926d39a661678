package srprefix_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srprefix"
)

func TestTokensRoundsUp(t *testing.T) {
	for _, tc := range []struct {
		prompt string
		want   int
	}{{"", 0}, {"a", 1}, {"abcd", 1}, {"abcde", 2}} {
		assert.Equal(t, srprefix.Tokens(tc.prompt), tc.want, "prompt %q", tc.prompt)
	}
}

func TestBlocksAgreeExactlyOnTheCommonPrefix(t *testing.T) {
	const block = srprefix.BlockTokens * srprefix.TokenBytes
	rapid.Check(t, func(t *rapid.T) {
		text := func(name string) string {
			n := rapid.IntRange(0, 5*block).Draw(t, name+" length")
			return strings.Repeat(rapid.StringMatching(`[a-z]`).Draw(t, name), n)
		}
		prefix := text("prefix")
		a, b := prefix+"1"+text("a"), prefix+"2"+text("b")
		x, y := srprefix.Blocks("w", a), srprefix.Blocks("w", b)
		assert.Equal(t, len(x), len(a)/block)
		common := len(prefix) / block
		for i := range min(len(x), len(y)) {
			assert.Equal(t, x[i] == y[i], i < common, "block %d", i)
		}
	})
}

func TestBlocksOfWorkspacesDiffer(t *testing.T) {
	prompt := strings.Repeat("offcuts ", 64)
	x, y := srprefix.Blocks("mill", prompt), srprefix.Blocks("yard", prompt)
	assert.Equal(t, len(x), 2)
	assert.Assert(t, x[0] != y[0] && x[1] != y[1])
}
