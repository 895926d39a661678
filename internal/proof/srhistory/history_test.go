package srhistory

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srdesk"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

const second = time.Second

var (
	question = Request{Ticket: "t1", Kind: sr.KindModel, Tier: 1, Target: "m", Body: "q", Tokens: 2}
	draft    = Request{Ticket: "t2", Kind: sr.KindModel, Tier: 2, Target: "m", Body: "d", Tokens: 2}
	booking  = Request{Ticket: "t3", Kind: sr.KindCall, Operation: "book", Body: "b"}
)

func arrival(at time.Duration, r Request) Arrival {
	return Arrival{At: at, Endpoint: "e1", Domain: "brno-a", Issuer: "i1", Body: r.Body, Taken: true}
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
			"once", Once,
			Events{Arrivals: []Arrival{arrival(1, question), arrival(2, draft), {Body: "q"}}},
			Events{Arrivals: []Arrival{arrival(1, question), arrival(2, question)}},
			"was taken at e1",
		},
		{
			"not run", NotRun,
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(1, draft)}, Answers: []Answer{refused(question)}},
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(9*second, question)}, Answers: []Answer{refused(question)}},
			"was called not run",
		},
		{
			"whole", Whole,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 4), Outcome: sr.OutcomeComplete}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 3), Outcome: sr.OutcomeComplete}}},
			"complete with 3 of 4 events",
		},
		{
			"own", Whole,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: events(question, 3)}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: swapped}}},
			"not the request's own token",
		},
		{
			"gap", Whole,
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", After: 3, Events: events(question, 4)[3:]}}},
			Events{Requests: []Request{question}, Answers: []Answer{{Ticket: "t1", Events: gap}}},
			"event 4 follows event 2",
		},
		{
			"reply", Whole,
			Events{Requests: []Request{booking}, Answers: []Answer{{Ticket: "t3", Outcome: sr.OutcomeComplete, Body: srdesk.Reply("book", "t3", "b")}}},
			Events{Requests: []Request{booking}, Answers: []Answer{{Ticket: "t3", Outcome: sr.OutcomeComplete, Body: srdesk.Reply("book", "t9", "b")}}},
			"answer is",
		},
		{
			"shed", Shed(second),
			Events{Requests: []Request{question, draft}, Arrivals: []Arrival{arrival(4*second, draft), arrival(5*second, draft)}, Answers: []Answer{refused(question)}},
			Events{Requests: []Request{question, draft}, Arrivals: []Arrival{arrival(4500*time.Millisecond, draft)}, Answers: []Answer{refused(question)}},
			"was shed",
		},
		{
			"cold", Cold,
			Events{Falls: []Fall{{Endpoint: "e1"}}},
			Events{Falls: []Fall{{Endpoint: "e1", Times: 1}}},
			"fell over 1 times",
		},
		{
			"out", Out,
			Events{Orders: []Order{{At: second, Domain: "brno-a", Out: true}, {At: 9 * second, Domain: "brno-a"}}, Arrivals: []Arrival{arrival(4*second, question), arrival(9*second, question)}},
			Events{Orders: []Order{{At: second, Domain: "brno-a", Out: true}, {At: 9 * second, Domain: "brno-a"}}, Arrivals: []Arrival{arrival(8*second, question)}},
			"was taken out",
		},
		{
			"dark", Out,
			Events{Darks: []Dark{{Instance: "i1", To: 8 * second}}, Orders: []Order{{At: second, Endpoint: "e1", Out: true}}, Arrivals: []Arrival{arrival(8*second, question)}},
			Events{Darks: []Dark{{Instance: "i2", To: 8 * second}}, Orders: []Order{{At: second, Endpoint: "e1", Out: true}}, Arrivals: []Arrival{arrival(8*second, question)}},
			"was taken out",
		},
		{
			"in force", InForce,
			Events{Published: []Published{{At: second, Version: v2}}, Forces: []Force{{6 * second, id, v1}, {7 * second, id, v2}}},
			Events{Published: []Published{{At: second, Version: v2}}, Forces: []Force{{7 * second, id, v1}}},
			"still had 1",
		},
		{
			"back", NeverBack,
			Events{Forces: []Force{{1, id, v1}, {2, id, v2}}},
			Events{Forces: []Force{{1, id, v2}, {2, id, v1}}},
			"went from version 2 to 1",
		},
		{
			"two contents", NeverBack,
			Events{Forces: []Force{{1, id, v1}, {2, sr.InstanceID{Address: "i2"}, v1}}},
			Events{Forces: []Force{{1, id, v1}, {2, sr.InstanceID{Address: "i2"}, sr.Version{Number: 1, Digest: "c"}}}},
			"two contents",
		},
		{
			"graceful", Graceful,
			Events{Shutdowns: []Shutdown{{Instance: "i1", Ended: 5 * second}}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Ended: 5 * second}}, Answers: []Answer{answer(question, sr.OutcomeNone)}},
			"broke off",
		},
		{
			"shutdown", Graceful,
			Events{},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Err: errors.New("late")}}},
			"failed: late",
		},
		{
			"left", Graceful,
			Events{Shutdowns: []Shutdown{{Instance: "i1"}}},
			Events{Shutdowns: []Shutdown{{Instance: "i1", Left: 2}}},
			"left 2 requests",
		},
		{
			"answered", Answered,
			Events{Requests: []Request{question}, Answers: []Answer{answer(question, sr.OutcomeNone), refused(question)}},
			Events{Requests: []Request{question}, Answers: []Answer{answer(question, sr.OutcomeUnknown)}},
			"no outcome",
		},
		{
			"uncut", Uncut,
			Events{Answers: []Answer{answer(question, sr.OutcomeComplete), refused(draft)}},
			Events{Answers: []Answer{answer(question, sr.OutcomeUnknown)}},
			"ended \"unknown\"",
		},
		{
			"register", Register,
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(2*second, question)}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			Events{Requests: []Request{question}, Arrivals: []Arrival{arrival(6*second, question)}, Answers: []Answer{answer(question, sr.OutcomeComplete)}},
			"not linearizable",
		},
		{
			"register twice", Register,
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

func TestHistoryKeepsWhatIsAdded(t *testing.T) {
	h := New()
	h.AddRequest(question)
	taken := h.AddArrival(arrival(1, question))
	h.AddArrival(arrival(2, question))
	assert.ErrorContains(t, h.Check(Cold, Once), "was taken at")
	taken(false)
	assert.NilError(t, h.Check(Once))
}
