package srforward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

// A request may still be opening its connection when another one learns that the endpoint
// wants no more requests. It must not be sent.
func TestPlacedRequestIsNotSentToAnUnwillingEndpoint(t *testing.T) {
	peer := srupstream.Peer{ID: "e-1"}
	for name, tc := range map[string]struct {
		answer srupstream.Answer
		peer   srupstream.Peer
		sent   bool
	}{
		"pause":                        {srupstream.Answer{Status: http.StatusServiceUnavailable, Reply: sr.Reply{RetryAfter: time.Second}}, peer, false},
		"leaving":                      {srupstream.Answer{Reply: sr.Reply{FromEndpoint: true, Leaving: true}}, peer, false},
		"leaving, from elsewhere":      {srupstream.Answer{Reply: sr.Reply{Leaving: true}}, peer, true},
		"other endpoint":               {srupstream.Answer{Reply: sr.Reply{NotRun: true, Misdirected: true, Leaving: true, RetryAfter: time.Second}}, peer, true},
		"other incarnation":            {srupstream.Answer{Reply: sr.Reply{FromEndpoint: true, Leaving: true, RetryAfter: time.Second}}, srupstream.Peer{ID: "e-1", Born: 7}, true},
		"other endpoint at an address": {srupstream.Answer{Reply: sr.Reply{FromEndpoint: true, Leaving: true, RetryAfter: time.Second}}, srupstream.Peer{ID: "e-2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 2, srforwardsettings.Settings{Memory: 184, Heartbeat: 1200 * time.Millisecond, ConfigTimeout: 3 * time.Second, Drain: 3 * time.Second})
				f.put(testRouting(1, 49))
				f.put(testEndpoint("e-1", sr.EndpointReady))
				f.run(t)
				time.Sleep(5 * time.Second)
				for _, n := range f.instances {
					q := &request{Instance: n, service: "s"}
					assert.NilError(t, q.checkUsable(peer)())
					q.observeReply(tc.peer, &tc.answer)
					err := q.checkUsable(peer)()
					assert.Equal(t, err == nil, tc.sent, "%v", err)
					assert.Assert(t, tc.sent || errors.Is(err, errUnusable))
				}
			})
		})
	}
}
