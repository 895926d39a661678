package srentry

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

var (
	testPool = sr.PoolID{Target: "intake", Domain: "a"}
	testSelf = sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 1}
)

// fakeFleet fakes a fleet of one instance with one endpoint of a plain service.
type fakeFleet struct {
	sr.Handler
	// askRefusals are the owner's refusals of the first asks. Later asks get a lease.
	askRefusals []sr.Refusal
	asks        int
	// callRefusals is the number of first calls that fail with ErrNotSent.
	callRefusals int
	calls        int
	// callErr is the error of each call, nil for an answer.
	callErr error
	// callCode is the status of an answer, 200 if it is 0.
	callCode int
	// metrics are those of the entry.
	metrics metrics.Registry
}

func (f *fakeFleet) Owner(sr.PoolID) (sr.InstanceID, bool) { return testSelf, true }
func (f *fakeFleet) PoolSummaries(string) []sr.PoolSummary {
	return []sr.PoolSummary{{Pool: testPool, Slots: 1}}
}
func (f *fakeFleet) AwaitFreshView(context.Context) error { return nil }

func (f *fakeFleet) Admit(time.Time, sr.Workspace) (sr.Refusal, bool)      { return sr.Refusal{}, true }
func (f *fakeFleet) Dequeue(string)                                        {}
func (f *fakeFleet) AdmitRetry(time.Time, sr.Workspace) (sr.Refusal, bool) { return sr.Refusal{}, true }

func (f *fakeFleet) Pick(time.Time, sr.Ask, []sr.PoolSummary) []sr.PoolID {
	return []sr.PoolID{testPool}
}
func (f *fakeFleet) Asked(time.Time, sr.Ask, sr.PoolID)     {}
func (f *fakeFleet) Refused(time.Time, sr.PoolID)           {}
func (f *fakeFleet) Ended(time.Time, sr.PoolID, sr.Release) {}

func (f *fakeFleet) Peer(string) sr.Handler { return f }

// Acquire refuses an ask that avoids the only endpoint, as a real pool does.
func (f *fakeFleet) Acquire(_ context.Context, a sr.Ask) (sr.Grant, error) {
	f.asks++
	if f.asks <= len(f.askRefusals) {
		return sr.Grant{Refusal: f.askRefusals[f.asks-1]}, nil
	}
	if len(a.Avoid) > 0 {
		return sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalEmpty, Reason: "none left"}}, nil
	}
	return sr.Grant{Lease: sr.Lease{ID: sr.LeaseID(f.asks), Pool: testPool, Owner: testSelf, Endpoint: "s1", Address: "10.0.1.1:80", TTL: time.Second}}, nil
}

func (f *fakeFleet) Release(context.Context, sr.Release) error { return nil }

func (f *fakeFleet) Withdraw(context.Context, sr.PoolID, string) error { return nil }

func (f *fakeFleet) Call(context.Context, string, sr.Call) (sr.Answer, error) {
	f.calls++
	if f.calls <= f.callRefusals {
		return sr.Answer{}, errors.Wrap(sr.ErrNotSent, "connection refused")
	}
	if f.callErr != nil {
		return sr.Answer{}, f.callErr
	}
	return sr.Answer{Code: cmp.Or(f.callCode, 200), Body: "booked"}, nil
}

func (f *fakeFleet) Probe(context.Context, string) (sr.Load, error) { return sr.Load{}, nil }

// submitBooking submits one booking and returns its final status.
func (f *fakeFleet) submitBooking(t *testing.T) sr.Status {
	t.Helper()
	issuer, err := srticket.New(testSelf, time.Hour, rand.Reader, time.Now())
	assert.NilError(t, err)
	m := sr.Manifest{
		Domains:   map[string]sr.Domain{"a": {Name: "a"}},
		Endpoints: map[string]sr.Endpoint{"s1": {Name: "s1", Address: "10.0.1.1:80", Domain: "a", Target: "intake", Kind: sr.KindCall}},
	}
	f.metrics = metrics.NewRegistry()
	e := New(Deps{
		Self: testSelf, Issuer: issuer, Manifest: func() (sr.Manifest, bool) { return m, true },
		Fleet: f, Admitter: f, Picker: f, Service: f, Peers: f,
		Record:  srtrace.New(100),
		Limits:  Limits{Requests: 10, Events: 10, Batch: 1, Retain: time.Minute},
		Metrics: f.metrics,
	})
	tickets, err := e.Tickets("plant", 1)
	assert.NilError(t, err)
	req := sr.Request{Kind: sr.KindCall, Workspace: "plant", Target: "intake", Operation: "book", Tier: 1, Budget: time.Minute}
	_, err = e.Submit(t.Context(), sr.Submission{Ticket: tickets[0], Request: req})
	assert.NilError(t, err)
	assert.NilError(t, e.Wait(t.Context()))
	status, err := e.Status(t.Context(), tickets[0], "plant")
	assert.NilError(t, err)
	return status
}

// An endpoint that did not take a request is avoided in the next attempt. If it
// is the only one, it must be tried again instead of refusing the request.
func TestOnlyEndpointIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{callRefusals: 1}
		status := f.submitBooking(t)
		assert.Equal(t, status.Outcome, sr.OutcomeComplete, status.Reason)
		assert.Equal(t, f.calls, 2)
	})
}

func TestTransientRefusalsAreNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{askRefusals: []sr.Refusal{{Name: sr.RefusalNotOwner}, {Name: sr.RefusalWithdrawn}, {Name: sr.RefusalWaiting}}}
		status := f.submitBooking(t)
		assert.Equal(t, status.Outcome, sr.OutcomeComplete, status.Reason)
		assert.Equal(t, f.calls, 1)
	})
}

func TestFinalRefusalNeverSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{askRefusals: []sr.Refusal{{Name: sr.RefusalOverloaded, Reason: "full", Retry: time.Second}}}
		status := f.submitBooking(t)
		assert.Equal(t, status.Outcome, sr.OutcomeNotRun)
		assert.Equal(t, status.Name, sr.RefusalOverloaded)
		assert.Equal(t, f.calls, 0)
	})
}

// A service that answers with a status of a refusal has run the call, unless its body states that it
// has not, which is ErrNotTaken. The call is complete with that status, and is not repeated.
func TestCallIsCompleteWhateverItsStatus(t *testing.T) {
	for _, code := range []int{429, 503, 408, 421} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{callCode: code}
			status := f.submitBooking(t)
			assert.Equal(t, status.Outcome, sr.OutcomeComplete)
			assert.Equal(t, status.Code, code)
			assert.Equal(t, f.calls, 1)
		})
	}
}

// A call that gets a malformed answer may have run, so it is not repeated.
func TestMalformedAnswerIsCutShortAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{callErr: fmt.Errorf("%w: %w", sr.ErrMalformed, sr.ErrConnectionLost)}
		status := f.submitBooking(t)
		assert.Equal(t, status.Outcome, sr.OutcomeCutShort)
		assert.Equal(t, f.calls, 1)
		for _, name := range []string{"answers.malformed", "calls.broken"} {
			assert.Equal(t, metrics.GetOrRegisterCounter(name, f.metrics).Count(), int64(1), name)
		}
	})
}
