package srmanifest

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// workspacesPerPart keeps a part below a megabyte, the largest size of a part.
const workspacesPerPart = 5000

// workspaces returns parts that hold n workspaces.
func workspaces(n int) map[string][]byte {
	parts := map[string][]byte{"fleet": []byte(fleet)}
	for first := 0; first < n; first += workspacesPerPart {
		var b strings.Builder
		for i := first; i < min(n, first+workspacesPerPart); i++ {
			name := fmt.Sprintf("workspace-%d", i)
			fmt.Fprintf(&b, "[workspace %s]\ntier = top\nkeys = %s\nrate = 5\nburst = 10\n\n", name, Hash([]byte(name)))
		}
		parts[fmt.Sprintf("workspaces%02d", first/workspacesPerPart)] = []byte(b.String())
	}
	return parts
}

// BenchmarkOffer offers versions that differ from the previous one in one part.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{5, 5000, 46000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New()
			parts := workspaces(n)
			version := uint64(1)
			_, err := s.Offer(Bundle(version, parts))
			assert.NilError(b, err)
			b.ReportAllocs()
			base := parts["workspaces00"]
			for b.Loop() {
				version++
				parts["workspaces00"] = fmt.Appendf(slices.Clip(base), "# %d\n", version)
				result, err := s.Offer(Bundle(version, parts))
				assert.NilError(b, err)
				assert.Equal(b, result, ResultAccepted)
			}
		})
	}
}
