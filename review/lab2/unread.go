package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unread"] = unread }

// unread: an instance gets SIGTERM while a runner answers, which began to before it had read a long
// body, and reads on after its answer. The answer must not be cut. Without trouble the runner reads
// the body first.
func unread(b *bench) {
	const (
		events = 110
		gap    = 100 * time.Millisecond
		// termAfter is when SIGTERM comes, after the requests have been sent.
		termAfter = 6 * time.Second
		grace     = 8 * time.Second
	)
	s := b.store()
	s.put("op/config", config(1, []map[string]any{route("answer", "streaming", "llm", map[string]any{
		"resumable": false, "sticky": true, "max_attempts": 1, "timeout_ms": 15000, "target_latency_ms": 250, "gap_aim_ms": 200,
	})}, nil))
	b.runner(s, "i-1", "llm", func(c *call) bool {
		c.write("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.signed())
		for n := 1; n <= events; n++ {
			time.Sleep(gap)
			text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
			if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				b.record("runner: %s: after event %d: %v", c.id, n, err)
				return false
			}
		}
		c.write("0\r\n\r\n")
		rest, err := io.Copy(io.Discard, c.Body)
		b.record("runner: %s: sent the whole answer, then read %d bytes of the body", c.id, rest)
		return err == nil
	}, func(r *runner) { r.early, r.readBuffer = b.trouble, 16<<10 })
	in := b.instance("front-1", s.address())
	body := bytes.Repeat([]byte("x"), 4_190_000)
	var mu sync.Mutex
	var sigterm time.Time
	var wg sync.WaitGroup
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		wg.Go(func() {
			a := post(in.clients, "POST", "/answer/x", id, "", 15*time.Second, body, "X-Model: m", "X-Token-Usage: 1460,700", fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:800,e44%d:660", i))
			mu.Lock()
			defer mu.Unlock()
			after := time.Since(sigterm)
			b.record("client: %s: %v, %d ms after SIGTERM", id, a, after.Milliseconds())
			// In the last sixth of the grace time an answer may be cut.
			if !a.complete && after < grace-grace/6 {
				b.breach("%s: the answer ended incomplete %d ms after SIGTERM and %d ms after the request was sent, while the runner was at work", id, after.Milliseconds(), a.took.Milliseconds())
			}
		})
	}
	time.Sleep(termAfter)
	mu.Lock()
	sigterm = time.Now()
	mu.Unlock()
	b.record("SIGTERM")
	in.signal(syscall.SIGTERM)
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
}
