package srforward

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

const placeKey = "key-that-nobody-may-see"

// askPlace asks the operator interface, and returns the status and the text of the answer.
func askPlace(n *Instance, q PlaceQuestion) (int, string) {
	w := httptest.NewRecorder()
	n.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, PlacePath+"?"+q.Values().Encode(), http.NoBody))
	return w.Code, w.Body.String()
}

func mustPlace(t *testing.T, n *Instance, q PlaceQuestion) (a PlaceAnswer) {
	t.Helper()
	code, text := askPlace(n, q)
	assert.Equal(t, code, http.StatusOK, text)
	assert.NilError(t, json.Unmarshal([]byte(text), &a))
	return a
}

// newPlaceInstance returns an instance with a route to two services, the first of which has two
// endpoints and the second none. It must be called in a bubble of synctest.
func newPlaceInstance(t *testing.T) *Instance {
	n := newTestFleet(t, 1, srforwardsettings.Settings{Name: "front-a-1", Memory: 184}).other()
	n.joined.Store(true)
	entries := []sr.RegistryEntry{{Kind: sr.EntryRouting, Routing: &sr.Routing{
		Version: 7, Keyed: true,
		Routes: []sr.Route{
			{Name: "chat", Host: "api.example", Prefix: "/v1/chat", Kind: sr.RouteStream, Rank: 1, Target: time.Second, Timeout: 10 * time.Second, Services: []sr.WeightedService{{Service: "s", Weight: 3}, {Service: "spare", Weight: 1}}},
			{Name: "open", Host: "api.example", Prefix: "/open", Public: true, Target: time.Second, Timeout: time.Minute, Services: []sr.WeightedService{{Service: "s"}}},
		},
		Workspaces: map[string]sr.RoutedWorkspace{
			"plant":   {Name: "plant", Keys: []string{placeKey}, HasRank: true, Allowance: sr.Quota{Rate: 100, Burst: 400, Tokens: true}},
			"records": {Name: "records", Keys: []string{"other-" + placeKey}},
		},
	}}}
	for i := range entries {
		entries[i].Revision = 41
	}
	n.view.Apply(n.Clock(), n.Clock(), sr.Changes{Facts: entries, AsOf: 41, Whole: true})
	n.limits.configure(time.Now(), n.view.State().Routing)
	n.queues.configure(map[string][]srdispatch.Endpoint{"s": {{ID: "e-1", Domain: "d0", Slots: 2, Share: 2}, {ID: "e-2", Domain: "d1", Slots: 2, Share: 2, ColdRate: 0.5}}})
	time.Sleep(120 * time.Millisecond)
	return n
}

var chat = PlaceQuestion{Host: "api.example:443", Path: "/v1/chat/completions", Workspace: "plant", Prompt: 100}

// TestPlace covers the answers to operators, which are golden files.
func TestPlace(t *testing.T) {
	fill := func(n *Instance, count int) {
		for range count {
			n.queues.get("s").update(func(now time.Time) []srdispatch.Decision {
				return n.queues.get("s").dispatcher.Add(now, srdispatch.Ask{ID: 1, Target: now.Add(time.Second), Deadline: now.Add(time.Minute), Prompt: 100})
			})
		}
	}
	for name, c := range map[string]struct {
		prepare  func(n *Instance)
		question PlaceQuestion
	}{
		"placed":   {func(*Instance) {}, chat},
		"waits":    {func(n *Instance) { fill(n, 4) }, chat},
		"paused":   {func(n *Instance) { n.queues.get("s").pause("e-1", 0, time.Minute) }, PlaceQuestion{Host: "api.example", Path: "/open/x"}},
		"draining": {func(n *Instance) { n.draining.Store(true); n.refusing.Store(true) }, chat},
		"quota":    {func(*Instance) {}, PlaceQuestion{Host: "api.example", Path: "/v1/chat", Service: "s", Workspace: "plant", Prompt: 100, Output: 800}},
		"no-key":   {func(*Instance) {}, PlaceQuestion{Host: "api.example", Path: "/v1/chat", Service: "s"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPlaceInstance(t)
				c.prepare(n)
				before, err := json.Marshal(n.dump())
				assert.NilError(t, err)
				code, text := askPlace(n, c.question)
				assert.Equal(t, code, http.StatusOK, text)
				assert.Assert(t, !strings.Contains(text, placeKey))
				golden.Assert(t, text, "place-"+name+".golden")
				_, again := askPlace(n, c.question)
				assert.Equal(t, again, text)
				after, err := json.Marshal(n.dump())
				assert.NilError(t, err)
				assert.Equal(t, string(after), string(before))
			})
		})
	}
}

// TestPlaceOfWhatDoesNotExist: a question that has no answer gets one line.
func TestPlaceOfWhatDoesNotExist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPlaceInstance(t)
		for want, change := range map[string]func(q *PlaceQuestion){
			`404 place: no route for host "b.example" and path "/v1/chat/completions"`: func(q *PlaceQuestion) { q.Host = "b.example" },
			`404 place: no route for host "api.example:443" and path "/v2"`:            func(q *PlaceQuestion) { q.Path = "/v2" },
			"404 place: no workspace of that name":                                     func(q *PlaceQuestion) { q.Workspace = placeKey },
			`404 place: route chat has no service "x"`:                                 func(q *PlaceQuestion) { q.Service = "x" },
			"400 place: prompt is not a number of tokens":                              func(q *PlaceQuestion) { q.Prompt = -1 },
		} {
			q := chat
			change(&q)
			code, text := askPlace(n, q)
			assert.Equal(t, fmt.Sprint(code, " ", text), want+"\n")
		}
		time.Sleep(time.Minute)
		_, text := askPlace(n, PlaceQuestion{Host: "b.example", Path: "/"})
		assert.Equal(t, text, `place: no route for host "b.example" and path "/"; the configuration was confirmed 1m0.12s ago, and a newer one may have it`+"\n")
		empty := newTestFleet(t, 1, srforwardsettings.Settings{}).other()
		code, text := askPlace(empty, chat)
		assert.Equal(t, code, http.StatusServiceUnavailable)
		assert.Equal(t, text, "place: the instance has no configuration yet\n")
	})
}

// TestPlaceInAGroup: the answer names the coordinator, which has a decision of its own.
func TestPlaceInAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, coordinator := newGroupedFleet(t)
		e := testRouting(2, 3)
		e.Routing.Routes[0].Services = []sr.WeightedService{{Service: "s"}}
		e.Routing.Routes[0].Target, e.Routing.Routes[0].Timeout = time.Second, time.Minute
		f.put(e)
		time.Sleep(3 * time.Second)
		q := PlaceQuestion{Host: "a.example", Path: e.Routing.Routes[0].Prefix}
		n := f.other(coordinator)
		d, _ := acquire(t, n, testAsk(time.Second))
		assert.Assert(t, d.Granted)
		time.Sleep(time.Second)

		got := mustPlace(t, n, q).Services[0]
		assert.Equal(t, got.Decides, decidesCoordinator)
		assert.DeepEqual(t, got.Groups, []PlaceGroup{{Name: testGroup, Coordinator: coordinator, Asked: true, Endpoints: 2, Free: 15}})
		own := mustPlace(t, f.instance(coordinator), q).Services[0].Groups[0].Decision
		assert.Assert(t, own != nil && own.Outcome == "placed" && own.Endpoint != d.Endpoint, "%+v", own)
		free, held := f.instance(coordinator).inFlight(n)
		assert.Assert(t, free == 15 && held == 1, "%d free, %d held", free, held)

		f.setCut(coordinator, true)
		time.Sleep(700 * time.Millisecond)
		got = mustPlace(t, n, q).Services[0]
		assert.Equal(t, got.Decides, decidesAlone)
		assert.Equal(t, got.Groups[0].Asked, false)
	})
}
