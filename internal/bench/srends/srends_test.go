package srends_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sassafrasrail/sassafrasrail/internal/bench/srends"
)

func TestTable(t *testing.T) {
	f, err := os.Open("testdata/instances.log")
	assert.NilError(t, err)
	defer f.Close()
	table := srends.New(srends.Options{Before: time.Second, After: 4 * time.Second})
	assert.NilError(t, table.Read(f))
	var b bytes.Buffer
	assert.NilError(t, table.Write(&b))
	golden.Assert(t, b.String(), "table.golden")
}
