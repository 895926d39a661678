package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// NewID returns a request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is a request of a client.
type Request struct {
	ID, Method, Host, Path, Key, Usage, Parts, Body string
	Deadline                                        time.Duration
}

// Text returns the request as it is sent.
func (q Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.Key)
	}
	if q.Usage != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prompt-Prefix: %s\r\n", q.Usage, q.Parts)
	}
	if q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	return b.String() + "\r\n" + q.Body
}

// Answer is what a client got: the status, 0 for none, and the body as far as it arrived.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// String describes the answer.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, whole", a.Status, len(a.Body))
}

// errLate is the end of a client's time limit.
var errLate = errors.New("the client's time limit")

// Do sends a request on a new connection and reads its answer.
func Do(i *Instance, q Request) Answer {
	c, err := i.Dial()
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return On(c, bufio.NewReader(c), q)
}

// On sends a request on a connection and reads its answer.
func On(c net.Conn, in *bufio.Reader, q Request) Answer {
	_ = c.SetDeadline(time.Now().Add(q.Deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		return Answer{Err: err}
	}
	return Read(in, q.Method)
}

// Read reads an answer.
func Read(in *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: late(err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: late(err)}
}

func late(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errLate
	}
	return err
}
