package srinstance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	testConnectTimeout = time.Second
	testDelay          = 100 * time.Millisecond
)

func TestCallsToADeadPeerShareOneDialAndKeepTheirOwnDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		peer := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}, testConnectTimeout).Peer("10.0.0.2:7300")
		start := time.Now()
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), testDelay)
				defer cancel()
				_, err := peer.Heartbeat(ctx, sr.Heartbeat{})
				assert.Check(t, errors.Is(err, sr.ErrUnreachable) && errors.Is(err, sr.ErrNotSent), "got %v", err)
				assert.Check(t, time.Since(start) == testDelay, "answered after %v", time.Since(start))
			})
		}
		wg.Wait()
		assert.Equal(t, dials.Load(), int32(1))
		// Virtual time stops when this function returns, so the dial must time out first.
		time.Sleep(testConnectTimeout)
	})
}

func TestConnectionThatOpensAfterCloseIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientConn, serverConn := net.Pipe()
		peers := New(func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(testDelay)
			return clientConn, nil
		}, testConnectTimeout)
		peer := peers.Peer("10.0.0.2:7300")
		time.AfterFunc(testDelay/2, peers.Close)
		_, err := peer.Heartbeat(t.Context(), sr.Heartbeat{})
		assert.Check(t, errors.Is(err, sr.ErrNotSent), "got %v", err)
		_, err = serverConn.Read(make([]byte, 1))
		assert.Check(t, err != nil, "the connection is still open")
	})
}

func TestCloseIdleExceptClosesOnlyIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := New(func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}, testConnectTimeout)
		for _, address := range []string{"10.0.0.2:7300", "10.0.0.3:7300"} {
			_, err := peers.Peer(address).Heartbeat(t.Context(), sr.Heartbeat{})
			assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
		}
		peers.CloseIdleExcept([]string{"10.0.0.2:7300"})
		assert.Equal(t, len(peers.clients), 2)
		time.Sleep(idleTimeout)
		peers.CloseIdleExcept([]string{"10.0.0.2:7300"})
		assert.Equal(t, len(peers.clients), 1)
		assert.Check(t, peers.clients["10.0.0.2:7300"] != nil)
	})
}
