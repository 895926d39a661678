package srcli

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
)

// fakeInstance starts a server that issues tickets and gives the same answer to every
// other request. It returns its address.
func fakeInstance(t *testing.T, code int, answer string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/tickets" {
			fmt.Fprint(w, `{"tickets": ["T1"]}`)
			return
		}
		w.WriteHeader(code)
		fmt.Fprint(w, answer)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// A script must be able to tell from the exit code whether a call may have run, so that
// it does not repeat one that may not run twice.
func TestExitCodeTellsWhetherACallMayHaveRun(t *testing.T) {
	cases := []struct {
		code   int
		answer string
		want   int
	}{
		{http.StatusOK, `{"outcome": "complete"}`, ExitDone},
		{http.StatusServiceUnavailable, `{"name": "overloaded", "outcome": "not-run"}`, ExitFailed},
		{http.StatusBadRequest, `{"name": "invalid", "outcome": "not-run"}`, ExitFailed},
		{http.StatusOK, `{"outcome": "cut-short"}`, ExitMayRun},
		{http.StatusGatewayTimeout, `{"name": "unknown-outcome", "outcome": "unknown"}`, ExitMayRun},
		{http.StatusConflict, `{"name": "conflict", "outcome": "unknown"}`, ExitMayRun},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		to := fakeInstance(t, c.code, c.answer)
		got := Run([]string{"call", "--to", to, "--key", "k", "--service", "s", "--operation", "o", "body"}, &out, &errs)
		assert.Check(t, got == c.want, "%s: exit code %d, %s%s", c.answer, got, out.String(), errs.String())
	}
}

func TestMalformedTicketIsInvalidInput(t *testing.T) {
	for _, ticket := range []string{"nonsense", "!!"} {
		var out, errs bytes.Buffer
		to := fakeInstance(t, http.StatusNotFound, `{"name": "missing", "reason": "none"}`)
		got := Run([]string{"explain", "--operate", to, ticket}, &out, &errs)
		assert.Check(t, got == ExitInvalid, "%s: exit code %d, %s", ticket, got, errs.String())
	}
}

func TestLevelErrorWritesOnlyErrors(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&output{err: &out}, srsettings.Settings{Level: srsettings.LevelError})
	l.Info("a change")
	assert.Equal(t, out.String(), "")
	l.Error(errors.New("reason"), "a fault")
	assert.Check(t, strings.Contains(out.String(), "a fault"), out.String())
}
