package srforward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// A request that arrives on a kept connection while its idle time ends must either not be
// read, or be answered.
func TestIdleConnectionIsNotClosedUnderARequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := newClients(nil)
	var handled, answered atomic.Int64
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusOK)
	}))
	server.ConnState = c.connState
	go func() { _ = server.Serve(c.wrap(ln)) }()
	defer server.Close()

	stop := make(chan struct{})
	var sweeps, senders sync.WaitGroup
	sweeps.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				c.sweep(time.Now().Add(time.Hour), sr.ClientLimits{IdleTime: time.Second})
			}
		}
	})
	const clients, connections = 4, 300
	for range clients {
		senders.Go(func() {
			for range connections {
				sendUntilClosed(t, ln.Addr().String(), &answered)
			}
		})
	}
	senders.Wait()
	close(stop)
	sweeps.Wait()
	assert.Equal(t, handled.Load(), answered.Load())
}

// sendUntilClosed sends requests on one connection until it ends, and counts the answers.
func sendUntilClosed(t *testing.T, address string, answered *atomic.Int64) {
	conn, err := net.Dial("tcp", address)
	assert.Check(t, err)
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		resp.Body.Close()
		answered.Add(1)
	}
}
