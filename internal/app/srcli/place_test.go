package srcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srforward"
)

var placeArgs = []string{"place", "--host", "api.example", "--path", "/v1/chat", "--workspace", "plant"}

// TestPlaceIsATable prints the answers that the tests of the instance have.
func TestPlaceIsATable(t *testing.T) {
	for _, name := range []string{"placed", "waits", "paused", "draining", "quota", "no-key"} {
		answer, err := os.ReadFile("../srforward/testdata/place-" + name + ".golden")
		assert.NilError(t, err)
		var out, errs bytes.Buffer
		args := append(placeArgs, "--operate", fakeInstance(t, http.StatusOK, string(answer)))
		assert.Equal(t, Run(args, &out, &errs), ExitDone, errs.String())
		golden.Assert(t, out.String(), "place-"+name+".golden")
		out.Reset()
		assert.Equal(t, Run(append(args, "--json"), &out, &errs), ExitDone, errs.String())
		assert.Equal(t, out.String(), string(answer)+"\n")
	}
}

// TestPlaceInAGroupIsATable prints the answer of an instance that coordinates one of two groups.
func TestPlaceInAGroupIsATable(t *testing.T) {
	own := srforward.PlaceDecision{Outcome: "refused", Reason: "full", Queue: 40, Running: 168, Wait: "900ms", RetryAfter: "1.2s"}
	for i := range 21 {
		own.Candidates = append(own.Candidates, srforward.PlaceCandidate{
			Endpoint: fmt.Sprintf("e-%d", i), Domain: "a", Own: 8, Others: i % 2, Slots: 8, Limit: 8, Share: -1, Slowness: 1, Start: "120ms", Run: "2s", Cost: 1.1, InTime: i > 0, Obstacle: "full",
		})
	}
	own.Candidates[1].EjectedFor, own.Candidates[1].Obstacle = "300ms", "ejected"
	answer, err := json.Marshal(srforward.PlaceAnswer{
		Instance: srforward.PlaceInstance{Name: "front-a-1", Domain: "a", Joined: true, Superseded: true, Version: 7, Revision: 41},
		Route:    srforward.PlaceRoute{Name: "chat", Prefix: "/v1/chat", Target: "1s", Timeout: "10s"},
		Services: []srforward.PlaceService{{
			Service: "s", Decides: "coordinator", Own: srforward.PlaceDecision{Outcome: "refused", Reason: "empty", RetryAfter: "1s"},
			Groups: []srforward.PlaceGroup{
				{Name: "s/0", Coordinator: "10.0.0.1:7300", Asked: true, Endpoints: 21, Queue: 40, Decision: &own},
				{Name: "s/1", Coordinator: "10.0.0.2:7300", Endpoints: 20},
			},
		}},
	})
	assert.NilError(t, err)
	var out, errs bytes.Buffer
	args := append(placeArgs, "--operate", fakeInstance(t, http.StatusOK, string(answer)))
	assert.Equal(t, Run(args, &out, &errs), ExitDone, errs.String())
	golden.Assert(t, out.String(), "place-group.golden")
}

// TestPlaceFails: the reason is stated, and a script can tell by the exit code.
func TestPlaceFails(t *testing.T) {
	for _, c := range []struct {
		status     int
		text, want string
		exit       int
	}{
		{http.StatusNotFound, "place: no workspace of that name\n", "sassafrasrail: srcli: no workspace of that name: invalid\n", ExitInvalid},
		{http.StatusBadRequest, "place: prompt is not a number of tokens\n", "sassafrasrail: srcli: prompt is not a number of tokens: invalid\n", ExitInvalid},
		{http.StatusServiceUnavailable, "place: the instance has no configuration yet\n", "sassafrasrail: srcli: the instance has no configuration yet\n", ExitFailed},
		{http.StatusNotFound, "404 page not found\n", "sassafrasrail: srcli: the instance does not know the command, which is for forwarding instances (sassafrasrail forward): invalid\n", ExitInvalid},
		{http.StatusOK, "nonsense", "sassafrasrail: srcli: decode the answer of the instance: invalid character 'o' in literal null (expecting 'u')\n", ExitFailed},
	} {
		var out, errs bytes.Buffer
		args := append(placeArgs, "--operate", fakeInstance(t, c.status, c.text))
		assert.Check(t, Run(args, &out, &errs) == c.exit, c.text)
		assert.Check(t, errs.String() == c.want, errs.String())
		assert.Check(t, out.Len() == 0, out.String())
	}
}
