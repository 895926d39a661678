package srlog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *blocked) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestBlockedOutputNeverBlocks: the output stands still while far more lines are
// written than fit. What is kept are lines of failed requests as well.
func TestBlockedOutputNeverBlocks(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	l := srlog.New(out, srlog.Options{Name: "entry-1"})
	for i := range 20_000 {
		l.Served("ended", srlog.Request, fmt.Sprint("s", i))
	}
	l.Failed("refused", srlog.Request, "f1", srlog.Reason, "full")
	assert.Assert(t, l.Dropped() > 15_000)
	close(out.open)
	l.Close()
	var served, failed int
	for line := range strings.Lines(out.text()) {
		var m map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &m))
		assert.Equal(t, m["instance"], "entry-1")
		switch m["event"] {
		case "ended":
			served++
		case "refused":
			failed++
			assert.Equal(t, m["reason"], "full")
		}
	}
	assert.Equal(t, failed, 1)
	assert.Equal(t, served+int(l.Dropped()), 20_000)
}

func TestQuietLeavesOutServedRequests(t *testing.T) {
	var out bytes.Buffer
	l := srlog.New(&out, srlog.Options{Name: "entry-1", Quiet: true})
	l.Served("ended", srlog.Request, "s1")
	l.State("start")
	l.Close()
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
}
