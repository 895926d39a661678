package srsuspect_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newSuspects(rank int) *srsuspect.Suspects {
	return srsuspect.New(srsuspect.Options{Rank: func(string) int { return rank }})
}

// crashes adds n crashes at which a request with the parts was, a second apart.
func crashes(s *srsuspect.Suspects, from time.Duration, n int, parts ...string) (last []srsuspect.Change) {
	for i := range n {
		d := from + time.Duration(i)*time.Second
		last = s.AddCrash(at(d), sr.Crash{Endpoint: fmt.Sprint("e", d), Requests: [][]string{parts}})
	}
	return last
}

func TestPartIsSuspectedAtTheThirdCrash(t *testing.T) {
	s := newSuspects(0)
	assert.Equal(t, len(crashes(s, 0, 2, "a")), 0)
	assert.Assert(t, !s.Check(at(3*time.Second), []string{"a"}).Blocked)
	assert.DeepEqual(t, crashes(s, 2*time.Second, 1, "a"), []srsuspect.Change{{Part: "a", Suspected: true, Crashes: 3}})
	v := s.Check(at(3*time.Second), []string{"b", "a"})
	assert.Assert(t, v.Blocked)
	assert.Equal(t, v.Part, "a")
	assert.Equal(t, v.Age, time.Second)
	assert.Assert(t, !s.Check(at(3*time.Second), []string{"b"}).Blocked)
}

func TestSoundAnswerBetweenCrashesPreventsASuspicion(t *testing.T) {
	s := newSuspects(0)
	crashes(s, 0, 2, "a")
	s.AddSound(at(1500*time.Millisecond), []string{"a"})
	assert.Equal(t, len(crashes(s, 2*time.Second, 2, "a")), 0)
}

// A suspicion must end, first with a single request at one instance, and with its sound
// answer at all of them.
func TestSuspicionEndsWithASoundTrial(t *testing.T) {
	first, second := newSuspects(0), newSuspects(1)
	crashes(first, 0, 3, "a")
	second.Receive(at(3*time.Second), first.Report(at(3*time.Second)))
	a := []string{"a"}
	assert.Assert(t, second.Check(at(3*time.Second), a).Blocked)
	trial := 2*time.Second + time.Minute
	assert.Assert(t, first.Check(at(trial-time.Second), a).Blocked)
	assert.Assert(t, !first.Admit(at(trial), a).Blocked)
	assert.Assert(t, first.Check(at(trial+time.Second), a).Blocked)
	assert.Assert(t, second.Check(at(trial+time.Second), a).Blocked)
	cleared := first.AddSound(at(trial+time.Second), a)
	assert.DeepEqual(t, cleared, []srsuspect.Change{{Part: "a"}})
	second.Receive(at(trial+2*time.Second), first.Report(at(trial+2*time.Second)))
	for _, s := range []*srsuspect.Suspects{first, second} {
		assert.Assert(t, !s.Check(at(trial+2*time.Second), a).Blocked)
	}
}

// A trial that crashes its endpoint must start the suspicion again, for longer.
func TestFailedTrialExtendsTheSuspicion(t *testing.T) {
	s := newSuspects(0)
	crashes(s, 0, 3, "a")
	trial := 2*time.Second + time.Minute
	assert.Assert(t, !s.Admit(at(trial), []string{"a"}).Blocked)
	crashes(s, trial+time.Second, 1, "a")
	assert.Assert(t, s.Check(at(trial+time.Second+100*time.Second), []string{"a"}).Blocked)
	assert.Assert(t, !s.Check(at(trial+time.Second+2*time.Minute), []string{"a"}).Blocked)
}

// An instance that starts knows nothing of the crashes, and must learn of the suspicion.
func TestNewInstanceLearnsOfASuspicion(t *testing.T) {
	old, fresh := newSuspects(0), newSuspects(1)
	crashes(old, 0, 3, "a")
	fresh.Receive(at(30*time.Second), old.Report(at(30*time.Second)))
	v := fresh.Check(at(30*time.Second), []string{"a"})
	assert.Assert(t, v.Blocked)
	assert.Equal(t, v.Age, 28*time.Second)
}

// Instances repeat a suspicion to each other. Its age must not shrink by the delay of the
// messages, or it would never end.
func TestRepeatedReportsDoNotExtendASuspicion(t *testing.T) {
	first, second := newSuspects(0), newSuspects(1)
	crashes(first, 0, 3, "a")
	const delay = 400 * time.Millisecond
	for d := 2 * time.Second; d < time.Minute; d += 2 * delay {
		second.Receive(at(d+delay), first.Report(at(d)))
		first.Receive(at(d+2*delay), second.Report(at(d+delay)))
	}
	assert.Assert(t, !first.Check(at(2*time.Second+time.Minute), []string{"a"}).Blocked)
}

// What is known must stay bounded, and be forgotten.
func TestKnowledgeIsBoundedAndForgotten(t *testing.T) {
	s := newSuspects(0)
	for i := range 10_000 {
		now := at(time.Duration(i) * time.Millisecond)
		s.AddCrash(now, sr.Crash{Endpoint: fmt.Sprint("e", i), Requests: [][]string{{fmt.Sprint("a", i/20), fmt.Sprint("b", i)}}})
		s.AddSound(now, []string{fmt.Sprint("c", i)})
	}
	r := s.Report(at(10 * time.Second))
	assert.Assert(t, len(r.Crashes) <= 32 && len(r.Sound) <= 32 && len(r.Suspects) <= 64, "%d %d %d", len(r.Crashes), len(r.Sound), len(r.Suspects))
	assert.Assert(t, s.Size() <= 10_000, "%d", s.Size())
	s.Sweep(at(24 * time.Hour))
	assert.Equal(t, s.Size(), 0)
}

// quickCrashes adds three crashes 5 ms apart, each of requests that had run for some time.
func quickCrashes(s *srsuspect.Suspects, ran time.Duration, parts ...string) (last []srsuspect.Change) {
	for i := range 3 {
		d := time.Duration(i) * 5 * time.Millisecond
		last = s.AddCrash(at(d), sr.Crash{Endpoint: fmt.Sprint("e", d), Requests: [][]string{parts}, Ran: []time.Duration{ran}})
	}
	return last
}

// The attempts of a request follow each other quickly. Endpoints that fail together do so
// as well, but the requests were at them before.
func TestAttemptsInQuickSuccessionAreSeparateCrashes(t *testing.T) {
	id := srsuspect.Identity(1)
	want := []srsuspect.Change{{Part: id, Suspected: true, Crashes: 3}}
	assert.DeepEqual(t, quickCrashes(newSuspects(0), time.Millisecond, "a", id), want)
	assert.Equal(t, len(quickCrashes(newSuspects(0), 100*time.Millisecond, "a", id)), 0)
	assert.Equal(t, len(quickCrashes(newSuspects(0), time.Millisecond, "a")), 0)
}

// One request at all crashes explains them better than a part that others may share.
func TestRequestIsSuspectedBeforeItsParts(t *testing.T) {
	s := newSuspects(0)
	id := srsuspect.Identity(1)
	crashes(s, 0, 4, "a", id)
	assert.Assert(t, s.Check(at(5*time.Second), []string{"a", id}).Blocked)
	assert.Assert(t, !s.Check(at(5*time.Second), []string{"a", srsuspect.Identity(2)}).Blocked)
}

// request returns the IDs of a request with parts, in a form.
func request(form, id uint64, parts ...string) []string {
	return append(parts, srsuspect.Identity(1000+form), srsuspect.Identity(id))
}

// addCrash adds a crash of an endpoint of its own at a time, with one request.
func addCrash(s *srsuspect.Suspects, d time.Duration, ids []string) []srsuspect.Change {
	return s.AddCrash(at(d), sr.Crash{Endpoint: fmt.Sprint("e", d), Requests: [][]string{ids}})
}

// A request that came again with another last part of its prompt, or in any other form, was never
// suspected.
func TestRequestIsSuspectedInAnyForm(t *testing.T) {
	s := newSuspects(0)
	for i := range 3 {
		s.AddSound(at(time.Duration(i)*time.Second+time.Millisecond), request(99, 9, "a"))
		addCrash(s, time.Duration(i)*time.Second+500*time.Millisecond, request(uint64(i), 1, "a", fmt.Sprint("own", i)))
	}
	now := at(3 * time.Second)
	assert.Assert(t, s.Check(now, request(7, 1, "a", "own7")).Blocked)
	assert.Assert(t, s.Check(now, request(7, 1)).Blocked)
	assert.Assert(t, !s.Check(now, request(7, 2, "a")).Blocked)
}

// Where requests of all prompts have one path, workspace and body, a part that crashes endpoints must
// not stop those without it.
func TestPartIsToldFromTheRequestThatHasIt(t *testing.T) {
	s := newSuspects(0)
	for i := range 3 {
		addCrash(s, time.Duration(i)*time.Second, request(uint64(i), 1, "a", "bad"))
	}
	now := at(3 * time.Second)
	assert.Assert(t, s.Check(now, request(7, 1, "a", "bad")).Blocked)
	assert.Assert(t, !s.Admit(now, request(8, 1, "a", "good")).Blocked)
	s.AddSound(at(4*time.Second), request(8, 1, "a", "good"))
	now = at(5 * time.Second)
	assert.Equal(t, s.Check(now, request(9, 1, "a", "bad")).Part, "bad")
	assert.Equal(t, s.Check(now, request(9, 2, "bad")).Part, "bad")
	assert.Assert(t, !s.Check(now, request(9, 1, "a", "good")).Blocked)
}

// The crashes of one request in quick succession are several of its identity, but one of a part. The part
// is suspected as soon as a sound answer shows that the identity is not the cause.
func TestPartIsSuspectedInPlaceOfTheRequestThatHasIt(t *testing.T) {
	s := newSuspects(0)
	quickCrashes(s, time.Millisecond, request(0, 1, "a", "bad")...)
	now := at(time.Second)
	assert.Assert(t, s.Check(now, request(7, 1, "a", "bad")).Blocked == false, "another form may be sound")
	addCrash(s, 2*time.Second, request(7, 1, "a", "bad"))
	assert.Assert(t, s.Check(at(3*time.Second), request(8, 1, "a", "bad")).Blocked)
	s.AddSound(at(4*time.Second), request(9, 1, "a", "good"))
	for d := 5 * time.Second; d < time.Minute; d += 10 * time.Second {
		assert.Equal(t, s.Check(at(d), request(10, 2, "a", "bad")).Part, "bad")
		assert.Assert(t, !s.Check(at(d), request(10, 1, "a", "good")).Blocked)
	}
}

// Of requests with one path, workspace and body only those in one form crash endpoints.
func TestFormIsToldFromTheRequestThatHasIt(t *testing.T) {
	s := newSuspects(0)
	for i := range 3 {
		addCrash(s, time.Duration(i)*time.Second, request(0, 1))
	}
	now := at(3 * time.Second)
	assert.Assert(t, s.Check(now, request(0, 1)).Blocked)
	assert.Assert(t, !s.Check(now, request(1, 1)).Blocked)
	s.AddSound(at(4*time.Second), request(1, 1))
	now = at(5 * time.Second)
	assert.Assert(t, s.Check(now, request(0, 1)).Blocked)
	assert.Assert(t, !s.Check(now, request(2, 1)).Blocked)
}

// A request that has lost what may have been the cause, and crashes its endpoint again, is stopped
// in every form, and so is one that loses one part after the other.
func TestRequestIsLetThroughWithoutARivalOnlyUntilItCrashes(t *testing.T) {
	s := newSuspects(0)
	for i := range 3 {
		addCrash(s, time.Duration(i)*time.Second, request(0, 1, "a", "b", "c", "d"))
	}
	assert.Assert(t, !s.Check(at(3*time.Second), request(1, 1, "a", "b", "c", "d")).Blocked)
	addCrash(s, 4*time.Second, request(1, 1, "a", "b", "c", "d"))
	assert.Assert(t, s.Check(at(5*time.Second), request(2, 1, "a", "b", "c", "d")).Blocked)
	assert.Assert(t, !s.Check(at(5*time.Second), request(2, 1, "a", "b", "c")).Blocked)
	addCrash(s, 6*time.Second, request(2, 1, "a", "b", "c"))
	addCrash(s, 6500*time.Millisecond, request(3, 1, "a", "b"))
	for parts := range 4 {
		own := []string{"a", "b", "c", "d"}[:parts]
		assert.Assert(t, s.Check(at(7*time.Second), request(4, 1, own...)).Blocked, "%v", own)
		assert.Assert(t, !s.Check(at(7*time.Second), request(4, 2, own...)).Blocked, "%v", own)
	}
	// A suspicion lasts a minute from the last crash.
	assert.Assert(t, s.Check(at(66*time.Second), request(4, 1)).Blocked)
	assert.Assert(t, !s.Check(at(67*time.Second), request(4, 1)).Blocked)
}

// Instances of an earlier version know neither identities nor for how long a request ran.
func TestReportsOfDifferentVersionsAreUnderstood(t *testing.T) {
	type crash struct {
		Endpoint string
		Born     int64
		Age      time.Duration
		Requests [][]string
	}
	type report struct{ Crashes []crash }
	s := newSuspects(0)
	quickCrashes(s, time.Millisecond, "a", srsuspect.Identity(1))
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(s.Report(at(time.Second))))
	var old report
	assert.NilError(t, gob.NewDecoder(&b).Decode(&old))
	assert.Equal(t, len(old.Crashes), 3)
	assert.NilError(t, gob.NewEncoder(&b).Encode(report{Crashes: []crash{{Endpoint: "e", Requests: [][]string{{"a"}}}}}))
	var r sr.CrashReport
	assert.NilError(t, gob.NewDecoder(&b).Decode(&r))
	assert.Equal(t, len(s.Receive(at(2*time.Second), r)), 0)
	assert.Assert(t, !s.Check(at(2*time.Second), []string{"a"}).Blocked)
}
