package srhistory

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

const second = time.Second

var (
	question = Request{Ticket: "t1", Kind: sr.KindModel, Tier: 1, Target: "m", Body: "q", Tokens: 2}
	draft    = Request{Ticket: "t2", Kind: sr.KindModel, Tier: 2, Target: "m", Body: "d", Tokens: 2}
	booking  = Request{Ticket: "t3", Kind: sr.KindCall, Operation: "book", Body: "b"}
)

func arrival(at time.Duration, r Request) Arrival {
	return Arrival{At: at, Endpoint: "e1", Domain: "brno-a", Issuer: "i1", Body: r.Body, Accepted: true}
}

func events(r Request, n int) []sr.Event {
	list := []sr.Event{{Seq: 1, Type: sr.EventReceipt}}
	for i, text := range srengine.Answer(r.Body, r.Tokens) {
		list = append(list, sr.Event{Seq: i + 2, Type: sr.EventText, Text: text})
	}
	return append(list, sr.Event{Seq: r.Tokens + 2, Type: sr.EventEnd})[:n]
}

func answer(r Request, o sr.Outcome) Answer {
	return Answer{Ticket: r.Ticket, Via: "i1", Began: second, Ended: 5 * second, Outcome: o}
}

func refused(r Request) Answer {
	a := answer(r, sr.OutcomeNotRun)
	a.Name = "overloaded"
	return a
}

func TestCheckersFailOnBadHistories(t *testing.T) {
	swapped := events(question, 4)
	swapped[1].Text = srengine.Answer(draft.Body, 2)[0]
	gap := append(events(question, 2), events(question, 4)[3])
	id := sr.InstanceID{Address: "i1", Incarnation: 1}
	v1, v2 := sr.Version{Number: 1, Digest: "a"}, sr.Version{Number: 2, Digest: "b"}
	for _, tc := range []struct {
		name  string
		check Checker
		good  Events
		bad   Events
		want  string
	}{
		{
			"once", AtMostOnce,
			Events{Arrivals: []Arrival{arrival(1, question), arrival(2, draft), {Body: "q"}}},
			Events{Arrivals: []Arrival{arrival(1, question), arrival(2, question)}},
			"was accepted at e1",
		},
		{
			"not run", RefusedNeverRan,
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(1, draft)}, Answers: []Answer{refused(question)}},
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(9*second, question)}, Answers: []Answer{refused(question)}},
			"was reported as not run",
		},
		{
			"whole", CompleteAnswers,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 4), Outcome: sr.OutcomeComplete}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 3), Outcome: sr.OutcomeComplete}}},
			"complete with 3 of 4 events",
		},
		{
			"token of another request", CompleteAnswers,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 3)}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: swapped}}},
			"not the request's own token",
		},
		{
			"gap", CompleteAnswers,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", After: 3, Events: events(question, 4)[3:]}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: gap}}},
			"event 4 follows event 2",
		},
		{
			"reply", CompleteAnswers,
			Events{Requests: []Request{booking}, Answers: []Answer{{Ticket: "t3", Outcome: sr.OutcomeComplete, Body: srplainservice.Reply("book", "t3", "b")}}},
			Events{Requests: []Request{booking}, Answers: []Answer{{Ticket: "t3", Outcome: sr.OutcomeComplete, Body: srplainservice.Reply("book", "t9", "b")}}},
			"answer is",
		},
		{
			"shed", ShedInTierOrder(second),
			Events{Requests: []Request{question, draft}, Arrivals: []Arrival{arrival(4*second, draft), arrival(5*second, draft)}, Answers: []Answer{refused(question)}},
			Events{Requests: []Request{question, draft}, Arrivals: []Arrival{arrival(4500*time.Millisecond, draft)}, Answers: []Answer{refused(question)}},
			"was shed",
		},
		{
			"cold", NoColdCrash,
			Events{ColdCrashes: []ColdCrashCount{{Endpoint: "e1"}}},
			Events{ColdCrashes: []ColdCrashCount{{Endpoint: "e1", Count: 1}}},
			"crashed 1 times",
		},
		{
			"out", NothingAfterTakeOut,
			Events{Orders: []Order{{At: second, Domain: "brno-a", Out: true}, {At: 9 * second, Domain: "brno-a"}}, Arrivals: []Arrival{arrival(4*second, question), arrival(9*second, question)}},
			Events{Orders: []Order{{At: second, Domain: "brno-a", Out: true}, {At: 9 * second, Domain: "brno-a"}}, Arrivals: []Arrival{arrival(8*second, question)}},
			"was taken out",
		},
		{
			"isolated", NothingAfterTakeOut,
			Events{Isolations: []Isolation{{Instance: "i1", To: 8 * second}}, Orders: []Order{{At: second, Endpoint: "e1", Out: true}}, Arrivals: []Arrival{arrival(8*second, question)}},
			Events{Isolations: []Isolation{{Instance: "i2", To: 8 * second}}, Orders: []Order{{At: second, Endpoint: "e1", Out: true}}, Arrivals: []Arrival{arrival(8*second, question)}},
			"was taken out",
		},
		{
			"in force", ManifestInForce,
			Events{Published: []Published{{At: second, Version: v2}}, ManifestSamples: []ManifestSample{{6 * second, id, v1}, {7 * second, id, v2}}},
			Events{Published: []Published{{At: second, Version: v2}}, ManifestSamples: []ManifestSample{{7 * second, id, v1}}},
			"still had 1",
		},
		{
			"older version", ManifestMonotonic,
			Events{ManifestSamples: []ManifestSample{{1, id, v1}, {2, id, v2}}},
			Events{ManifestSamples: []ManifestSample{{1, id, v2}, {2, id, v1}}},
			"went from version 2 to 1",
		},
		{
			"two contents", ManifestMonotonic,
			Events{ManifestSamples: []ManifestSample{{1, id, v1}, {2, sr.InstanceID{Address: "i2"}, v1}}},
			Events{ManifestSamples: []ManifestSample{{1, id, v1}, {2, sr.InstanceID{Address: "i2"}, sr.Version{Number: 1, Digest: "c"}}}},
			"two contents",
		},
		{
			"graceful", GracefulShutdowns,
			Events{Shutdowns: []Shutdown{{Instance: "i1", Ended: 5 * second}}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Ended: 5 * second}}, Answers: []Answer{answer(question, sr.OutcomeNone)}},
			"was cut short",
		},
		{
			"shutdown", GracefulShutdowns,
			Events{},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Err: errors.New("late")}}},
			"failed: late",
		},
		{
			"left", GracefulShutdowns,
			Events{Shutdowns: []Shutdown{{Instance: "i1"}}},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Left: 2}}},
			"left 2 requests",
		},
		{
			"answered", AllAnswered,
			Events{Requests: []Request{question}, Answers: []Answer{answer(question, sr.OutcomeNone), refused(question)}},
			Events{Requests: []Request{question}, Answers: []Answer{answer(question, sr.OutcomeUnknown)}},
			"no outcome",
		},
		{
			"none cut short", NoneCutShort,
			Events{Answers: []Answer{answer(question, sr.OutcomeComplete), refused(draft)}},
			Events{Answers: []Answer{answer(question, sr.OutcomeUnknown)}},
			"ended \"unknown\"",
		},
		{
			"complete before the arrival", Linearizable,
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(2*second, question)}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(6*second, question)}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			"not linearizable",
		},
		{
			"two arrivals", Linearizable,
			Events{Requests: []Request{question}, Answers: []Answer{refused(question), refused(question)}},
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(2*second, question), arrival(3*second, question)}},
			"not linearizable",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.NilError(t, tc.check(tc.good))
			assert.ErrorContains(t, tc.check(tc.bad), tc.want)
		})
	}
}

func TestHistoryRecordsWhatIsAdded(t *testing.T) {
	h := New()
	h.AddRequest(question)
	setAccepted := h.AddArrival(arrival(1, question))
	h.AddArrival(arrival(2, question))
	assert.ErrorContains(t, h.Check(NoColdCrash, AtMostOnce), "was accepted at")
	setAccepted(false)
	assert.NilError(t, h.Check(AtMostOnce))
}
