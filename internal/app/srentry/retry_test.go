package srentry

import (
	"context"
	"crypto/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrecord"
)

var (
	onePool = sr.PoolID{Target: "intake", Domain: "a"}
	oneSelf = sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 1}
)

// oneService is a fleet of one instance with one endpoint of a plain service.
type oneService struct {
	sr.Handler
	// answers are the owner's answers in order, lease for the rest.
	answers []sr.Refusal
	asks    int
	// refuses is how many calls the endpoint does not take.
	refuses int
	calls   int
}

func (o *oneService) Owner(sr.PoolID) (sr.InstanceID, bool) { return oneSelf, true }
func (o *oneService) News(string) []sr.PoolNews             { return []sr.PoolNews{{Pool: onePool, Slots: 1}} }
func (o *oneService) Fresh(context.Context) error           { return nil }

func (o *oneService) Admit(time.Time, sr.Workspace) (sr.Refusal, bool) { return sr.Refusal{}, true }
func (o *oneService) Leave(string)                                     {}
func (o *oneService) Retry(time.Time, sr.Workspace) (sr.Refusal, bool) { return sr.Refusal{}, true }

func (o *oneService) Pick(time.Time, sr.Ask, []sr.PoolNews) []sr.PoolID { return []sr.PoolID{onePool} }
func (o *oneService) Asked(time.Time, sr.Ask, sr.PoolID)                {}
func (o *oneService) Refused(time.Time, sr.PoolID)                      {}
func (o *oneService) Ended(time.Time, sr.PoolID, sr.Release)            {}

func (o *oneService) Peer(string) sr.Handler { return o }

// Acquire refuses an ask that avoids the only endpoint, as a pool does.
func (o *oneService) Acquire(_ context.Context, a sr.Ask) (sr.Grant, error) {
	o.asks++
	if o.asks <= len(o.answers) {
		return sr.Grant{Refusal: o.answers[o.asks-1]}, nil
	}
	if len(a.Avoid) > 0 {
		return sr.Grant{Refusal: sr.Refusal{Name: sr.RefusalEmpty, Reason: "none left"}}, nil
	}
	return sr.Grant{Lease: sr.Lease{ID: sr.LeaseID(o.asks), Pool: onePool, Owner: oneSelf, Endpoint: "s1", Address: "10.0.1.1:80", TTL: time.Second}}, nil
}

func (o *oneService) Release(context.Context, sr.Release) error { return nil }

func (o *oneService) Withdraw(context.Context, sr.PoolID, string) error { return nil }

func (o *oneService) Call(context.Context, string, sr.Call) (sr.Answer, error) {
	o.calls++
	if o.calls <= o.refuses {
		return sr.Answer{}, errors.Wrap(sr.ErrNotSent, "connection refused")
	}
	return sr.Answer{Code: 200, Body: "booked"}, nil
}

func (o *oneService) Probe(context.Context, string) (sr.Load, error) { return sr.Load{}, nil }

// book sends one booking and returns its status at the end.
func (o *oneService) book(t *testing.T) sr.Status {
	t.Helper()
	issuer, err := srticket.New(oneSelf, time.Hour, rand.Reader, time.Now())
	assert.NilError(t, err)
	m := sr.Manifest{
		Domains:   map[string]sr.Domain{"a": {Name: "a"}},
		Endpoints: map[string]sr.Endpoint{"s1": {Name: "s1", Address: "10.0.1.1:80", Domain: "a", Target: "intake", Kind: sr.KindCall}},
	}
	e := New(Deps{
		Self: oneSelf, Issuer: issuer, Manifest: func() (sr.Manifest, bool) { return m, true },
		Fleet: o, Admitter: o, Picker: o, Service: o, Peers: o,
		Record:  srrecord.New(100),
		Limits:  Limits{Requests: 10, Events: 10, Batch: 1, Retain: time.Minute},
		Metrics: metrics.NewRegistry(),
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

func TestOnlyEndpointIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &oneService{refuses: 1}
		status := o.book(t)
		assert.Equal(t, status.Outcome, sr.OutcomeComplete, status.Reason)
		assert.Equal(t, o.calls, 2)
	})
}

func TestPassingRefusalsAreNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &oneService{answers: []sr.Refusal{{Name: sr.RefusalNotOwner}, {Name: sr.RefusalWithdrawn}, {Name: sr.RefusalWaiting}}}
		status := o.book(t)
		assert.Equal(t, status.Outcome, sr.OutcomeComplete, status.Reason)
		assert.Equal(t, o.calls, 1)
	})
}

func TestFinalRefusalNeverSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &oneService{answers: []sr.Refusal{{Name: sr.RefusalOverloaded, Reason: "full", Retry: time.Second}}}
		status := o.book(t)
		assert.Equal(t, status.Outcome, sr.OutcomeNotRun)
		assert.Equal(t, status.Name, sr.RefusalOverloaded)
		assert.Equal(t, o.calls, 0)
	})
}
