package srcli

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

// TestExplainTakesATicketThatBeginsWithADash guards against reading a ticket as a
// flag: base64url has "-", and about one ticket in 64 begins with it.
func TestExplainTakesATicketThatBeginsWithADash(t *testing.T) {
	self := sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 0xf8 << 56}
	issuer, err := srticket.New(self, time.Minute, strings.NewReader(strings.Repeat("k", 64)), time.Now())
	assert.NilError(t, err)
	ticket := issuer.Issue(time.Now(), "plant")
	assert.Assert(t, strings.HasPrefix(ticket, "-"), ticket)
	var out, errs bytes.Buffer
	to := fakeInstance(t, http.StatusOK, `{"ticket": "T", "instance": "I", "summary": "S", "steps": []}`)
	for _, args := range [][]string{
		{"explain", "--operate", to, ticket},
		{"explain", ticket, "--operate", to},
		{"explain", "--operate", to, "--json", "--", ticket},
	} {
		got := Run(args, &out, &errs)
		assert.Equal(t, got, ExitDone, errs.String())
	}
}
