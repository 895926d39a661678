package srforward

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/platform"
)

// The view knows that an endpoint leaves, has gone or is evacuated before the queue does, which
// takes a while in a large fleet. The request goes to another one.
func TestEndpointThatIsNoLongerUsableIsAvoided(t *testing.T) {
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
	}))
	defer sound.Close()
	endpoint := func(id string, state sr.EndpointState, sequence uint64) sr.RegistryEntry {
		e := registration(id, state, 0, sequence)
		e.Endpoint.Address = strings.TrimPrefix(sound.URL, "http://")
		return e
	}
	for name, change := range map[string]sr.RegistryEntry{
		"leaves":       endpoint("e-1", sr.EndpointLeaving, 2),
		"has gone":     gone("e-1"),
		"is evacuated": evacuation("e-1"),
	} {
		t.Run(name, func(t *testing.T) {
			n := newLoneInstance()
			n.Codec = platform.Headers{}
			n.Upstream = srupstream.New(srupstream.Options{Dial: new(net.Dialer).DialContext, Reply: n.Codec.Reply})
			n.joined.Store(true)
			n.limits.retry.Window = time.Minute
			route := sr.Route{Host: "127.0.0.1", Prefix: "/", Services: []sr.WeightedService{{Service: "s"}}, Timeout: 5 * time.Second, Target: time.Second}
			entries := []sr.RegistryEntry{
				{Kind: sr.EntryRouting, Routing: &sr.Routing{Version: 1, Routes: []sr.Route{route}}},
				endpoint("e-1", sr.EndpointReady, 1), endpoint("e-2", sr.EndpointReady, 1),
			}
			for i, list := range [][]sr.RegistryEntry{entries, {change}} {
				for k := range list {
					list[k].Revision = uint64(i + 1)
				}
				n.view.Apply(n.Clock(), n.Clock(), sr.Changes{Facts: list, AsOf: uint64(i + 1), Whole: i == 0})
			}
			assert.Assert(t, !n.view.State().Usable("e-1", n.Clock()))
			n.queues.configure(map[string][]srdispatch.Endpoint{"s": {{ID: "e-1", Slots: 8, Share: 8}, {ID: "e-2", Slots: 8, Share: 8}}})
			server := httptest.NewServer(n)
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			req.Header.Set("X-Request-Id", "r1")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}

// A panic during an attempt must not keep the slot of the endpoint: the process goes on.
func TestPanicReleasesItsSlot(t *testing.T) {
	n := newLoneInstance()
	n.view = nil
	n.limits.retry.Window = time.Minute
	n.queues.configure(map[string][]srdispatch.Endpoint{"s": {{ID: "e-1", Slots: 8, Share: 8}}})
	now := time.Now()
	q := &request{Instance: n, ctx: t.Context(), service: "s", start: now, deadline: now.Add(time.Minute), route: sr.Route{Target: time.Minute}}
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		q.run()
	}()
	running, _ := n.queues.load()
	assert.Equal(t, running["e-1"], 0)
}

// TestWeightsHaveOneUnit: a workspace whose allowance is in tokens gets no more than one whose
// allowance is as many requests of usual size.
func TestWeightsHaveOneUnit(t *testing.T) {
	byRequests := &request{workspace: sr.RoutedWorkspace{Name: "a", Allowance: sr.Quota{Rate: 20}}}
	byTokens := &request{workspace: sr.RoutedWorkspace{Name: "b", Allowance: sr.Quota{Rate: 20_000, Tokens: true}}}
	unlimited := &request{workspace: sr.RoutedWorkspace{Name: "c"}}
	assert.Equal(t, byRequests.ask().Weight, byTokens.ask().Weight)
	assert.Equal(t, unlimited.ask().Weight, 0.0)
}
