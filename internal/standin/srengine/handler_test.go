package srengine_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

func TestControls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig().WithCold(1, 0, time.Second))
		h := srengine.Handler(e)
		const body = `{"stream":"s1","workspace":"mill","model":"m","prompt":"p","tokens":%d}`
		time.Sleep(time.Second)
		for _, step := range []struct {
			request string
			tokens  int
			code    int
			answer  string
		}{
			{"POST /v1/generate", 0, 400, "srengine: stream \"s1\" with 0 tokens: invalid\n"},
			{"POST /v1/generate", 1, 200, "{\"seq\":1,\"text\":\"" + srengine.Answer("p", 1)[0] + "\"}\n{\"seq\":2,\"end\":true}\n"},
			{"POST /v1/generate", 1, 409, "srengine: stream s1 is in use\n"},
			{"GET /v1/streams/s1?after=1", 0, 200, "{\"seq\":2,\"end\":true}\n"},
			{"GET /v1/streams/s2", 0, 404, "srengine: stream s2 behind 0: endpoint does not know the stream\n"},
			{"DELETE /v1/streams/s2", 0, 204, ""},
			{"GET /control/runs?stream=s1", 0, 200, "2\n"},
			{fmt.Sprintf("GET /control/runs?digest=%x", srengine.Digest("p")), 0, 200, "2\n"},
			{"GET /control/runs?digest=none", 0, 400, "digest is not a hexadecimal number\n"},
			{"POST /control/speed?factor=0", 0, 400, "srengine: speed 0: invalid\n"},
			{"POST /control/speed?factor=0.5", 0, 204, ""},
			{"POST /control/cold", 0, 204, ""},
		} {
			method, path, _ := strings.Cut(step.request, " ")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(fmt.Sprintf(body, step.tokens))))
			assert.Equal(t, w.Code, step.code, step.request)
			assert.Equal(t, w.Body.String(), step.answer, step.request)
		}
		assert.Assert(t, e.Cold())
	})
}

func TestSpeedAppliesFromTheNextStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(testConfig())
		assert.NilError(t, e.SetSpeed(0.5))
		began := time.Now()
		s, err := e.Dispatch(t.Context(), dispatch("a", "salt", 11))
		assert.NilError(t, err)
		_, _, err = collect(s)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), 2*(time.Millisecond+10*10*time.Millisecond))
	})
}
