package srcaller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srcaller"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

const (
	plantKey   = "plant-key"
	archiveKey = "archive-key"
	bodyLimit  = 512
)

// entry answers every submission with a fixed result and counts those to be run.
type entry struct {
	started int
	err     error
	events  []sr.Event
	status  sr.Status
}

func (e *entry) Tickets(workspace string, n int) ([]string, error) {
	if n < 1 || n > 4 {
		return nil, errors.Wrapf(sr.ErrInvalid, "count is %d, expected 1 to 4", n)
	}
	return slices.Repeat([]string{"ticket-of-" + workspace}, n), nil
}

func (e *entry) Lifetime() time.Duration { return time.Minute }

// SubmitAnywhere counts a submission to be run and records a refusal, as an issuer does.
func (e *entry) SubmitAnywhere(_ context.Context, s sr.Submission) (sr.Status, error) {
	if s.Refusal.Name == "" {
		e.started++
		return sr.Status{}, e.err
	}
	e.status = sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeNotRun, Name: s.Refusal.Name, Reason: s.Refusal.Reason}
	return e.status, e.err
}

func (e *entry) Follow(string, string, string, int) sr.Follower { return e }

func (e *entry) Next(context.Context) ([]sr.Event, sr.Status, error) { return e.events, e.status, nil }

func (e *entry) Close() {}

func (e *entry) Status(context.Context, string, string) (sr.Status, error) { return e.status, e.err }

func manifest() (sr.Manifest, bool) {
	return sr.Manifest{
		Version: sr.Version{Number: 1},
		Tiers: map[string]sr.TierSpec{
			"urgent": {Name: "urgent", Rank: 1, Budget: time.Minute},
			"batch":  {Name: "batch", Rank: 2, Budget: time.Hour},
		},
		Workspaces: map[string]sr.Workspace{
			"plant":   {Name: "plant", Tier: "urgent", Keys: []string{hash(plantKey)}},
			"archive": {Name: "archive", Tier: "batch", Keys: []string{hash(archiveKey)}, Ticketed: true},
		},
		Domains: map[string]sr.Domain{"a": {Name: "a"}},
		Endpoints: map[string]sr.Endpoint{
			"r1": {Name: "r1", Domain: "a", Kind: sr.KindModel, Target: "m"},
			"s1": {Name: "s1", Domain: "a", Kind: sr.KindCall, Target: "intake"},
		},
		Services: map[string]sr.ServiceSpec{"intake": {Name: "intake"}},
	}, true
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// post is a POST request of a test.
type post struct {
	path   string
	key    string
	ticket string
	body   string
}

// send sends p and returns the response as text: status, selected headers and body.
func send(t *testing.T, e *entry, p post) string {
	t.Helper()
	c := srcaller.New(e, manifest, srcaller.Options{Body: bodyLimit, ReadBody: time.Second, Write: time.Second})
	server := httptest.NewServer(c.Handler())
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+p.path, strings.NewReader(p.body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		req.Header.Set("Authorization", "Bearer "+p.key)
	}
	if p.ticket != "" {
		req.Header.Set("Ticket", p.ticket)
	}
	res, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", res.StatusCode)
	for _, name := range []string{"Content-Type", "Retry-After", "Ticket"} {
		if v := res.Header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&b, "%s\n", strings.TrimSpace(string(body)))
	return b.String()
}

const (
	generate = "/v1/generate"
	question = `{"model":"m","prompt":"q","tokens":4}`
)

func TestRefusedInput(t *testing.T) {
	tests := map[string]post{
		"no key":              {path: generate, ticket: "t", body: question},
		"unknown key":         {path: generate, key: "x", ticket: "t", body: question},
		"no ticket":           {path: generate, key: plantKey, body: question},
		"no ticket for call":  {path: "/v1/services/intake/book", key: archiveKey, body: `{"body":"lot"}`},
		"unknown model":       {path: generate, key: plantKey, ticket: "t", body: `{"model":"x","prompt":"q"}`},
		"service as model":    {path: generate, key: plantKey, ticket: "t", body: `{"model":"intake","prompt":"q"}`},
		"unknown service":     {path: "/v1/services/x/book", key: plantKey, ticket: "t", body: `{}`},
		"empty prompt":        {path: generate, key: plantKey, ticket: "t", body: `{"model":"m","prompt":""}`},
		"no prompt":           {path: generate, key: plantKey, ticket: "t", body: `{"model":"m"}`},
		"too many tokens":     {path: generate, key: plantKey, ticket: "t", body: `{"model":"m","prompt":"q","tokens":99999}`},
		"negative tokens":     {path: generate, key: plantKey, ticket: "t", body: `{"model":"m","prompt":"q","tokens":-1}`},
		"tier above its own":  {path: generate, key: archiveKey, ticket: "t", body: `{"model":"m","prompt":"q","tier":"urgent"}`},
		"unknown tier":        {path: generate, key: plantKey, ticket: "t", body: `{"model":"m","prompt":"q","tier":"x"}`},
		"negative deadline":   {path: generate, key: plantKey, ticket: "t", body: `{"model":"m","prompt":"q","deadline":-5}`},
		"broken JSON":         {path: generate, key: plantKey, ticket: "t", body: `{"model":`},
		"body too large":      {path: generate, key: plantKey, ticket: "t", body: `{"prompt":"` + strings.Repeat("x", bodyLimit) + `"}`},
		"long operation name": {path: "/v1/services/intake/" + strings.Repeat("x", 200), key: plantKey, ticket: "t", body: `{}`},
		"too many tickets":    {path: "/v1/tickets", key: plantKey, body: `{"count":5}`},
		"negative after":      {path: "/v1/requests/t/events", key: plantKey, body: `{"after":-1}`},
	}
	var all strings.Builder
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		e := &entry{}
		fmt.Fprintf(&all, "== %s\n%s", name, send(t, e, tests[name]))
		assert.Equal(t, e.started, 0, "%s was accepted", name)
	}
	golden.Assert(t, all.String(), "refused-input.golden")
}

func TestRefusedByEntry(t *testing.T) {
	tests := map[string]*entry{
		"conflict":      {err: sr.ErrConflict},
		"expired":       {err: sr.ErrExpired},
		"forged":        {err: sr.ErrInvalid},
		"issuer gone":   {err: sr.ErrIssuerGone},
		"not issuer":    {err: sr.ErrNotIssuer},
		"issuer silent": {err: sr.ErrUnreachable},
		"shutting down": {err: sr.ErrDraining},
		"table full":    {err: sr.ErrOverloaded},
		"over its rate": {status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeNotRun, Name: sradmit.NameRate, Reason: "rate", Retry: 1500 * time.Millisecond}},
		"no capacity":   {status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeNotRun, Name: sr.RefusalLate, Reason: "late", Retry: 3 * time.Second}},
		"lost":          {status: sr.Status{State: sr.StateUnknown, Outcome: sr.OutcomeUnknown, Name: "unknown-outcome", Reason: "gone"}},
		"cut at once":   {status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeCutShort, Name: "cut", Reason: "broke"}},
		"answer gone":   {status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeComplete}},
	}
	var all strings.Builder
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		answer := send(t, tests[name], post{path: generate, key: plantKey, ticket: "t", body: question})
		fmt.Fprintf(&all, "== %s\n%s", name, answer)
	}
	golden.Assert(t, all.String(), "refused-by-entry.golden")
}

// A request that this instance's manifest refuses may already run under its ticket at
// an issuer with another manifest; the answer must not state that it has not run.
func TestRefusalByTheManifestDoesNotClaimNotRunForAUsedTicket(t *testing.T) {
	e := &entry{err: sr.ErrConflict}
	answer := send(t, e, post{path: generate, key: plantKey, ticket: "t", body: `{"model":"x","prompt":"q"}`})
	assert.Assert(t, !strings.Contains(answer, string(sr.OutcomeNotRun)), "the ticket is in use: %s", answer)
}

// Only the ticket's issuer may state that the request of a given ticket has not run.
func TestGivenTicketIsNotRunOnlyByItsIssuer(t *testing.T) {
	body := question
	tests := map[string]struct {
		entry *entry
		post  post
	}{
		"key removed":                {&entry{}, post{path: generate, key: "removed", ticket: "t", body: body}},
		"key removed, resume":        {&entry{}, post{path: "/v1/requests/t/events", key: "removed", body: `{}`}},
		"key removed, call":          {&entry{}, post{path: "/v1/services/intake/book", key: "removed", ticket: "t", body: `{}`}},
		"another workspace's ticket": {&entry{err: sr.ErrInvalid}, post{path: generate, key: plantKey, ticket: "t", body: body}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer := send(t, tt.entry, tt.post)
			assert.Assert(t, !strings.Contains(answer, string(sr.OutcomeNotRun)), "%s", answer)
		})
	}
}

func TestAnswerIsStreamed(t *testing.T) {
	e := &entry{
		events: []sr.Event{
			{Seq: 1, Type: sr.EventReceipt, Ticket: "t", Receipt: "r", Endpoint: "r1"},
			{Seq: 2, Type: sr.EventText, Ticket: "t", Text: "line one\nline two"},
			{Seq: 3, Type: sr.EventEnd, Ticket: "t", Outcome: sr.OutcomeComplete, Tokens: 1},
		},
		status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeComplete, Events: 3},
	}
	answer := send(t, e, post{path: generate, key: archiveKey, body: question})
	golden.Assert(t, answer, "stream.golden")
}

func TestCallIsAnswered(t *testing.T) {
	e := &entry{status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeCutShort, Reason: "broke", Endpoint: "s1"}}
	answer := send(t, e, post{path: "/v1/services/intake/book", key: plantKey, ticket: "t", body: `{"body":"lot"}`})
	golden.Assert(t, answer, "call.golden")
}

// The status of a service is a field of the answer. As the status of the answer to the caller it would
// promise that the call has not run.
func TestStatusOfAServiceIsNotThatOfTheAnswer(t *testing.T) {
	for _, code := range []int{429, 503, 408, 421} {
		e := &entry{status: sr.Status{State: sr.StateEnded, Outcome: sr.OutcomeComplete, Endpoint: "s1", Code: code, Body: "sorry"}}
		answer := send(t, e, post{path: "/v1/services/intake/book", key: plantKey, ticket: "t", body: `{"body":"lot"}`})
		assert.Assert(t, strings.HasPrefix(answer, "200\n"), answer)
		assert.Assert(t, strings.Contains(answer, fmt.Sprintf(`"outcome":"complete","status":%d`, code)), answer)
	}
}

// Bodies that do not end use up the memory for bodies. Further requests are refused as not run until it
// is free again.
func TestBodiesWithoutEndAreBounded(t *testing.T) {
	const connections = 64
	server := httptest.NewServer(srcaller.New(&entry{events: []sr.Event{{Seq: 1, Type: sr.EventEnd}}}, manifest, srcaller.Options{Body: bodyLimit, ReadBody: 5 * time.Second, Write: time.Second}).Handler())
	defer server.Close()
	var conns []net.Conn
	answers := make(chan string, connections)
	for range connections {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, conn)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", generate, bodyLimit, strings.Repeat(" ", bodyLimit-1))
		assert.NilError(t, err)
		go func() {
			text, _ := io.ReadAll(io.LimitReader(conn, 1<<10))
			answers <- string(text)
		}()
	}
	for range connections / 4 {
		answer := <-answers
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 503 ") && strings.Contains(answer, `"outcome":"not-run"`), answer)
	}
	for _, conn := range conns {
		conn.Close()
	}
	for range connections - connections/4 {
		<-answers
	}
	for range 100 {
		resp, err := http.Post(server.URL+generate, "application/json", strings.NewReader(question))
		assert.NilError(t, err)
		resp.Body.Close()
		if resp.StatusCode == http.StatusUnauthorized {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the memory for bodies was not released")
}
