package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["overlap"] = overlap }

// overlap: a sound runner falls silent for a second or so in the middle of a resumable stream, and
// goes on. The runner that is asked to go on meanwhile begins, and falls silent for a second, too.
// Both must not work on the request for longer than 400 ms.
func overlap(b *bench) {
	const (
		events = 12
		// quiet is for how long the first runner sends nothing, pause the second one.
		quiet = 2000 * time.Millisecond
		pause = 1000 * time.Millisecond
	)
	s := b.store()
	s.put("op/config", config(1, []map[string]any{route("report", "streaming", "llm", map[string]any{
		"resumable": true, "sticky": true, "max_attempts": 2, "timeout_ms": 15000, "target_latency_ms": 500, "gap_aim_ms": 200, "priority": 0,
	})}, nil))
	type span struct{ from, to time.Time }
	var mu sync.Mutex
	spans := map[string]map[string]*span{}
	note := func(id, runner string) {
		mu.Lock()
		defer mu.Unlock()
		if spans[id] == nil {
			spans[id] = map[string]*span{}
		}
		now := time.Now()
		if p := spans[id][runner]; p != nil {
			p.to = now
		} else {
			spans[id][runner] = &span{now, now}
		}
	}
	handle := func(runner string) func(c *call) bool {
		return func(c *call) bool {
			resume := 0
			_, _ = fmt.Sscan(c.Header.Get("Last-Event-Id"), &resume)
			gone := make(chan struct{})
			go func() {
				one := make([]byte, 1)
				_, _ = c.conn.Read(one)
				close(gone)
			}()
			b.record("%s: %s begins after event %d", runner, c.id, resume)
			c.write("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", c.signed())
			for n := resume + 1; n <= events; n++ {
				wait := 20 * time.Millisecond
				if b.trouble && resume == 0 && n == 4 {
					wait = quiet
				}
				if b.trouble && resume > 0 && n == resume+1 {
					wait = pause
				}
				for end := time.Now().Add(wait); time.Now().Before(end); {
					note(c.id, runner)
					select {
					case <-gone:
						b.record("%s: %s ends before event %d: the connection is closed", runner, c.id, n)
						return false
					case <-time.After(10 * time.Millisecond):
					}
				}
				note(c.id, runner)
				text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
				c.write("%x\r\n%s\r\n", len(text), text)
			}
			c.write("0\r\n\r\n")
			b.record("%s: %s ends after event %d", runner, c.id, events)
			return false
		}
	}
	b.runner(s, "i-1", "llm", handle("i-1"))
	b.runner(s, "i-2", "llm", handle("i-2"))
	in := b.instance("front-1", s.address())
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		a := post(in.clients, "POST", "/report/x", id, "", 15*time.Second, []byte("prompt"), "X-Model: m", "X-Token-Usage: 1460,80", "X-Prompt-Prefix: 5c1e07a2:800,e440"+fmt.Sprint(i)+":660")
		b.record("client: %s: %v", id, a)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		x, y := spans[id]["i-1"], spans[id]["i-2"]
		mu.Unlock()
		if x == nil || y == nil {
			continue
		}
		from, to := x.from, x.to
		if y.from.After(from) {
			from = y.from
		}
		if y.to.Before(to) {
			to = y.to
		}
		both := to.Sub(from)
		b.record("%s: both runners worked on it for %d ms", id, both.Milliseconds())
		if both > 400*time.Millisecond {
			b.breach("%s: the runner before still worked on it %d ms after the next one had begun", id, both.Milliseconds())
		}
	}
}
