package main

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

func init() { cases["early"] = early }

// early: a runner answers before it has read a long body, without a length, and crashes in the
// middle of its answer: its connection is reset. The client must not get the part as a complete
// answer.
func early(b *bench) {
	const (
		requests = 12
		size     = 3000
		bodySize = 4_190_000
	)
	s := b.store()
	s.put("op/config", config(1, []map[string]any{route("lookup", "idempotent", "app", nil)}, nil))
	whole := bytes.Repeat([]byte("0123456789"), size/10)
	b.runner(s, "i-1", "app", func(c *call) bool {
		c.write("HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", c.signed())
		if b.trouble {
			_, _ = c.conn.Write(whole[:size/3])
			time.Sleep(100 * time.Millisecond)
			b.record("runner: %s: ran; sent %d of the %d bytes of its answer; its connection is reset", c.id, size/3, size)
			return c.reset()
		}
		_, _ = c.conn.Write(whole)
		_, _ = io.Copy(io.Discard, c.Body)
		b.record("runner: %s: ran; sent %d bytes, read the body and closed", c.id, size)
		return false
	}, func(r *runner) { r.early, r.readBuffer = true, 16<<10 })
	in := b.instance("front-1", s.address())
	body := bytes.Repeat([]byte("x"), bodySize)
	for i := range requests {
		id := fmt.Sprintf("r%d", i)
		b.record("client: %s: sends a body of %d bytes", id, bodySize)
		a := post(in.clients, "POST", "/lookup/x", id, "", 4*time.Second, body)
		b.record("client: %s: %v", id, a)
		if a.status == 200 && a.complete && !bytes.Equal(a.body, whole) {
			b.breach("%s: status 200 with the runner's signature %q, and %d of the %d bytes of its answer, which end as a complete answer does", id, a.header.Get("X-Response-Signature"), len(a.body), size)
		}
	}
}
