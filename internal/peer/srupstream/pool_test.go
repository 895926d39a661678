package srupstream_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// A connection on which nothing was sent, because the send was cancelled before the first
// byte, returns to the pool and is reused.
func TestConnectionOfACancelledSendIsReused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	p := srupstream.New(srupstream.Options{
		Dial:  (&net.Dialer{}).DialContext,
		Reply: func(int, http.Header) sr.Reply { return sr.Reply{} },
	})
	defer p.Close()
	errCancelled := errors.New("cancelled")
	for range 3 {
		peer := srupstream.Peer{ID: "a", Address: ln.Addr().String()}
		_, err := p.Send(t.Context(), peer, srupstream.Request{Method: "GET", URI: "/"}, func() error { return errCancelled })
		assert.ErrorIs(t, err, errCancelled)
	}
	assert.Equal(t, p.Opened(), int64(1))
}

func TestCrashedPeerRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := srupstream.New(srupstream.Options{Dial: new(net.Dialer).DialContext})
	defer p.Close()
	peer := srupstream.Peer{ID: "e", Address: l.Addr().String()}
	assert.Assert(t, !p.Refuses(t.Context(), peer))
	l.Close()
	assert.Assert(t, p.Refuses(t.Context(), peer))
	_, err = p.Send(t.Context(), srupstream.Peer{ID: "f", Address: peer.Address}, srupstream.Request{}, func() error { return nil })
	assert.Assert(t, errors.Is(err, sr.ErrNotSent))
}
