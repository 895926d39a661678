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

// TestConnectionOfACalledOffSendIsKept: nothing was sent on it.
func TestConnectionOfACalledOffSendIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	p := srupstream.New(srupstream.Options{
		Dial:  (&net.Dialer{}).DialContext,
		Reply: func(int, http.Header) sr.Reply { return sr.Reply{} },
	})
	defer p.Close()
	changed := errors.New("changed")
	for range 3 {
		peer := srupstream.Peer{ID: "a", Address: ln.Addr().String()}
		_, err := p.Send(t.Context(), peer, srupstream.Request{Method: "GET", URI: "/"}, func() error { return changed })
		assert.ErrorIs(t, err, changed)
	}
	assert.Equal(t, p.Opened(), int64(1))
}
