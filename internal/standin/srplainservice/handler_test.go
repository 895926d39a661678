package srplainservice_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

func TestControls(t *testing.T) {
	h := srplainservice.Handler(srplainservice.New(srplainservice.Config{Once: []string{"book"}}))
	for _, step := range []struct {
		request string
		code    int
		answer  string
	}{
		{"POST /v1/book", 200, srplainservice.Reply("book", "t1", "lot 7")},
		{"POST /control/fault?kind=odd", 400, "srplainservice: fault \"odd\": invalid\n"},
		{"POST /control/fault?kind=slow", 204, ""},
		{"POST /v1/book", 200, srplainservice.Reply("book", "t1", "lot 7")},
		{"GET /control/count?id=t1", 200, "2\n"},
		{"GET /control/count?id=t2", 200, "0\n"},
		{"GET /control/stats", 200, "{\"total\":2,\"refused\":0,\"peak\":1,\"doubled\":1,\"uncounted\":0}\n"},
	} {
		method, path, _ := strings.Cut(step.request, " ")
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader("lot 7"))
		r.Header.Set("Request-Id", "t1")
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, step.code, step.request)
		assert.Equal(t, w.Body.String(), step.answer, step.request)
	}
}
