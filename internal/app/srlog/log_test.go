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

// blockedWriter is an output that blocks until open is closed.
type blockedWriter struct {
	open   chan struct{}
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// While the output blocks, far more lines are logged than fit. The callers must not
// block, and the line of a failed request must not be displaced by served ones.
func TestBlockedOutputNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
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

// Lines of different classes about one request were written in an order that did not show what
// happened first.
func TestLinesAreWrittenInTheOrderOfLogging(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	l := srlog.New(out, srlog.Options{Name: "entry-1"})
	var want []string
	for i := range 50 {
		id := fmt.Sprint(i)
		l.Served("sent", srlog.Request, id)
		l.Failed("broken-off", srlog.Request, id)
		l.State("endpoint", srlog.Endpoint, id)
		want = append(want, "sent", "broken-off", "endpoint")
	}
	close(out.open)
	l.Close()
	var got []string
	for text := range strings.Lines(out.text()) {
		var m map[string]any
		assert.NilError(t, json.Unmarshal([]byte(text), &m))
		got = append(got, m["event"].(string))
	}
	assert.DeepEqual(t, got, want)
}
