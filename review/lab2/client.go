package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw.
type answer struct {
	status int
	header http.Header
	body   []byte
	// complete is set if the answer ended as its framing states.
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	end := "complete"
	if !a.complete {
		end = fmt.Sprintf("broken off: %v", a.err)
	}
	return fmt.Sprintf("status %d, body of %d bytes, %s, after %d ms", a.status, len(a.body), end, a.took.Milliseconds())
}

// post sends a request on a new connection and reads its answer.
func post(address, method, path, id, key string, timeout time.Duration, body []byte, lines ...string) answer {
	start := time.Now()
	a := answer{}
	defer func() { a.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(timeout + time.Second))
	return exchange(c, bufio.NewReader(c), method, path, id, key, timeout, body, lines...)
}

// exchange sends a request on a connection and reads its answer.
func exchange(c net.Conn, r *bufio.Reader, method, path, id, key string, timeout time.Duration, body []byte, lines ...string) (a answer) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, timeout.Milliseconds())
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if len(lines) > 0 {
		head += strings.Join(lines, "\r\n") + "\r\n"
	}
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		a.err = err
		return a
	}
	if len(body) > 0 {
		if _, err := c.Write(body); err != nil {
			a.err = err
			return a
		}
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a
}
