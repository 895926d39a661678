package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = parts }

// parts: one part of a prompt crashes each runner that begins to write an answer on it. It is not
// the last part, and stands behind more than 64 others.
func parts(b *bench) {
	const (
		runners = 6
		// count is the number of parts of a prompt, place that of the part that crashes runners.
		count = 80
		place = 70
		// down is how long a runner that crashed is down.
		down      = 2 * time.Second
		contact   = 3 * time.Second
		length    = 30 * time.Second
		every     = 200 * time.Millisecond
		oneDeadly = 5
	)
	s := b.store()
	s.put("op/config", config(1, []map[string]any{route("report", "streaming", "llm", map[string]any{
		"resumable": false, "sticky": true, "max_attempts": 1, "timeout_ms": 12000, "target_latency_ms": 500, "gap_aim_ms": 200,
	})}, nil))
	var mu sync.Mutex
	var crashes []time.Time
	late, lost, sound := 0, 0, 0
	for i := range runners {
		id := fmt.Sprintf("i-%d", i+1)
		var r *runner
		r = b.runner(s, id, "llm", func(c *call) bool {
			begin := "HTTP/1.1 200 OK\r\n" + c.signed() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
			if strings.Contains(c.Header.Get("X-Prompt-Prefix"), "dead0001") {
				now := time.Now()
				mu.Lock()
				crashes = append(crashes, now)
				n := len(crashes)
				if n > 5 && now.Sub(crashes[4]) > contact {
					late++
				}
				mu.Unlock()
				b.record("%s: %s has the part and crashes it (crash %d)", id, c.id, n)
				c.write("%s", begin)
				r.crash()
				go func() {
					time.Sleep(down)
					if err := r.restart(); err == nil {
						s.put("servers/"+id, r.entry("ready", 1))
					}
				}()
				return false
			}
			c.write("%s", begin)
			for n := 1; n <= 10; n++ {
				time.Sleep(40 * time.Millisecond)
				text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
				c.write("%x\r\n%s\r\n", len(text), text)
			}
			c.write("0\r\n\r\n")
			return true
		})
	}
	in := b.instance("front-1", s.address())
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		list := make([]string, count)
		for k := range list {
			list[k] = fmt.Sprintf("5c%06x:20", k)
		}
		deadly := b.trouble && i%oneDeadly == oneDeadly-1
		if deadly {
			list[place] = "dead0001:20"
		}
		list[count-1] = fmt.Sprintf("e4%06x:20", i)
		id := fmt.Sprintf("r%d", i)
		wg.Go(func() {
			a := post(in.clients, "POST", "/report/x", id, "", 12*time.Second, []byte("prompt of "+id), "X-Model: m", fmt.Sprintf("X-Token-Usage: %d,80", 20*count), "X-Prompt-Prefix: "+strings.Join(list, ","))
			switch {
			case deadly:
				b.record("client: %s with the part: %v", id, a)
			case a.status == 200 && a.complete:
				mu.Lock()
				sound++
				mu.Unlock()
			default:
				b.record("client: %s without the part: %v", id, a)
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.record("%d crashes; %d requests without the part served, %d not", len(crashes), sound, lost)
	if late > 3 {
		b.breach("%d requests with the part reached runners later than %v after the fifth crash; at most 3 may", late, contact)
	}
}
