package srconfig_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
)

func TestControls(t *testing.T) {
	s := srconfig.New(srconfig.Config{Rate: 100, Burst: 100})
	h := srconfig.Handler(s)
	for _, step := range []struct {
		request  string
		body     string
		code     int
		answer   string
		revision string
	}{
		{"PUT /control/values/manifest/tiers", "one", 204, "", "1"},
		{"PUT /control/values/manifest/tiers", "two", 204, "", "2"},
		{"GET /v1/values/manifest/tiers", "", 200, "two", "2"},
		{"GET /v1/values/manifest/tiers?after=1", "", 200, "two", "2"},
		{"GET /v1/values/manifest/tiers?after=2", "", 204, "", ""},
		{"GET /v1/values/other", "", 404, "srconfig: key \"other\": does not exist\n", ""},
		{"GET /v1/values/manifest/tiers?after=x", "", 400, "after is not a number\n", ""},
		{"POST /control/replay/manifest/tiers?revision=1", "", 204, "", "3"},
		{"GET /v1/values/manifest/tiers", "", 200, "one", "3"},
		{"POST /control/replay/manifest/tiers?revision=9", "", 404, "srconfig: key \"manifest/tiers\" revision 9: does not exist\n", ""},
		{"POST /control/stale?on=true", "", 204, "", ""},
		{"PUT /control/values/manifest/tiers", "four", 204, "", "4"},
		{"GET /v1/values/manifest/tiers", "", 200, "one", "3"},
		{"POST /control/stale?on=false", "", 204, "", ""},
		{"GET /v1/values/manifest/tiers", "", 200, "four", "4"},
		{"POST /control/stop?on=perhaps", "", 400, "on is neither true nor false\n", ""},
		{"PUT /control/instances", `[{"address":"10.0.0.1:1","domain":"a"}]`, 204, "", ""},
		{"PUT /control/instances", `[{"name":"a"}]`, 400, "json: unknown field \"name\"\n", ""},
		{"GET /v1/instances", "", 200, "[{\"address\":\"10.0.0.1:1\",\"domain\":\"a\"}]\n", ""},
		{"GET /control/calls", "", 200, "{\"reads\":7,\"watches\":0,\"instances\":1,\"limited\":0,\"failed\":0}\n", ""},
	} {
		method, path, _ := strings.Cut(step.request, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(step.body)))
		assert.Equal(t, w.Code, step.code, step.request)
		assert.Equal(t, w.Body.String(), step.answer, step.request)
		assert.Equal(t, w.Header().Get("Revision"), step.revision, step.request)
	}
}
