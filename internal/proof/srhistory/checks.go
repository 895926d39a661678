package srhistory

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

const (
	// TakeOutBound is how long after a take-out order requests may still arrive.
	TakeOutBound = 3 * time.Second
	// ManifestBound is how long after its publication a manifest may take until it
	// is in force at every instance.
	ManifestBound = 5 * time.Second
)

// errorNameExpired is the error name of a refusal because the answer is no longer
// retained.
const errorNameExpired = "expired"

// Checker checks one rule and returns the first violation.
type Checker func(Events) error

// AtMostOnce checks that no request that may not be repeated was accepted twice.
func AtMostOnce(e Events) error {
	repeatable := make(map[string]bool)
	for _, r := range e.Requests {
		repeatable[r.Body] = r.Repeatable
	}
	first := make(map[string]Arrival)
	for _, a := range e.Arrivals {
		if !a.Accepted {
			continue
		}
		f, again := first[a.Body]
		if again && !repeatable[a.Body] {
			return errors.Errorf("%q was accepted at %s at %v and at %s at %v", a.Body, f.Endpoint, f.At, a.Endpoint, a.At)
		}
		first[a.Body] = a
	}
	return nil
}

// RefusedNeverRan checks that no request that was refused as "not run" was accepted
// by an endpoint, before or after the refusal.
func RefusedNeverRan(e Events) error {
	accepted := make(map[string]Arrival)
	for _, a := range e.Arrivals {
		if a.Accepted {
			accepted[a.Body] = a
		}
	}
	bodies := bodiesByTicket(e)
	for _, a := range e.Answers {
		if a.Outcome != sr.OutcomeNotRun {
			continue
		}
		if at, ran := accepted[bodies[a.Ticket]]; ran {
			return errors.Errorf("%q was reported as not run (%s) at %v and accepted at %s at %v", at.Body, a.Name, a.Ended, at.Endpoint, at.At)
		}
	}
	return nil
}

// CompleteAnswers checks that the events of every answer belong to its request and
// arrived in order without gaps, and that answers with the outcome "complete" are
// complete.
func CompleteAnswers(e Events) error {
	requests := make(map[string]Request)
	for _, r := range e.Requests {
		requests[r.Ticket] = r
	}
	for _, a := range e.Answers {
		r, ok := requests[a.Ticket]
		if !ok {
			return errors.Errorf("answer for the unknown ticket %s", a.Ticket)
		}
		if err := checkAnswer(r, a); err != nil {
			return errors.WithMessagef(err, "%q via %s", r.Body, a.Via)
		}
	}
	return nil
}

func checkAnswer(r Request, a Answer) error {
	if a.Name == errorNameExpired {
		return nil
	}
	if r.Kind == sr.KindCall {
		want := srplainservice.Reply(r.Operation, r.Ticket, r.Body)
		if a.Outcome == sr.OutcomeComplete && a.Body != want {
			return errors.Errorf("answer is %q, expected %q", a.Body, want)
		}
		return nil
	}
	// The answer starts with a receipt event and finishes with an end event, so
	// event 2 holds the first token.
	want := srengine.Answer(r.Body, r.Tokens)
	last := a.After
	for _, event := range a.Events {
		if event.Seq != last+1 {
			return errors.Errorf("event %d follows event %d", event.Seq, last)
		}
		last = event.Seq
		if event.Type == sr.EventText && (event.Seq-2 >= len(want) || event.Text != want[event.Seq-2]) {
			return errors.Errorf("event %d is not the request's own token", event.Seq)
		}
	}
	if complete := len(want) + 2; a.Outcome == sr.OutcomeComplete && last != complete {
		return errors.Errorf("complete with %d of %d events", last, complete)
	}
	return nil
}

// ShedInTierOrder returns a checker that no request of a lower tier was accepted
// for a target in the window before one of a higher tier was refused for lack of
// capacity.
//
// A tier is shed only after each live instance has known the floor for the whole
// propagation bound. A lease that was granted before can still be used for the
// lease time, so the window is the propagation bound minus the lease time.
func ShedInTierOrder(window time.Duration) Checker {
	return func(e Events) error {
		requests := make(map[string]Request)
		bodies := make(map[string]Request)
		for _, r := range e.Requests {
			requests[r.Ticket] = r
			bodies[r.Body] = r
		}
		for _, a := range e.Answers {
			if !wasShed(a) {
				continue
			}
			high := requests[a.Ticket]
			for _, low := range e.Arrivals {
				r := bodies[low.Body]
				if r.Target == high.Target && high.Tier.Outranks(r.Tier) && low.Accepted && low.At > a.Ended-window && low.At < a.Ended {
					return errors.Errorf("%q of tier %d was shed (%s) at %v, %q of tier %d was accepted at %v", high.Body, high.Tier, a.Reason, a.Ended, r.Body, r.Tier, low.At)
				}
			}
		}
		return nil
	}
}

func wasShed(a Answer) bool { return a.Outcome == sr.OutcomeNotRun && a.Name == "overloaded" }

// NoColdCrash checks that no endpoint crashed from too many requests in a cold
// start.
func NoColdCrash(e Events) error {
	for _, c := range e.ColdCrashes {
		if c.Count > 0 {
			return errors.Errorf("cold endpoint %s crashed %d times", c.Endpoint, c.Count)
		}
	}
	return nil
}

// NothingAfterTakeOut checks that no request arrived at a domain or endpoint that
// operators had taken out more than TakeOutBound before. Requests from instances
// that could not receive the order are allowed.
func NothingAfterTakeOut(e Events) error {
	for i, o := range e.Orders {
		if !o.Out {
			continue
		}
		until := revertedAt(e.Orders[i+1:], o)
		for _, a := range e.Arrivals {
			if a.Domain != o.Domain && a.Endpoint != o.Endpoint {
				continue
			}
			if a.At <= o.At+TakeOutBound || a.At >= until || isolatedSince(e.Isolations, a, o) {
				continue
			}
			return errors.Errorf("%s%s was taken out at %v, %q from %s arrived at %s at %v", o.Domain, o.Endpoint, o.At, a.Body, a.Issuer, a.Endpoint, a.At)
		}
	}
	return nil
}

// revertedAt returns when a later order reverted or replaced o, or the maximum time.
func revertedAt(later []Order, o Order) time.Duration {
	for _, l := range later {
		if l.Domain == o.Domain && l.Endpoint == o.Endpoint {
			return l.At
		}
	}
	return 1<<63 - 1
}

// isolatedSince reports whether the issuer was isolated from at most TakeOutBound
// after the order until at most TakeOutBound before the arrival.
func isolatedSince(isolations []Isolation, a Arrival, o Order) bool {
	for _, i := range isolations {
		if i.Instance == a.Issuer && i.From <= o.At+TakeOutBound && a.At <= i.To+TakeOutBound {
			return true
		}
	}
	return false
}

// ManifestInForce checks that each published manifest, or a newer one, is in force
// within ManifestBound at every running instance that was not isolated.
func ManifestInForce(e Events) error {
	for _, p := range e.Published {
		for _, s := range e.ManifestSamples {
			if s.At <= p.At+ManifestBound || s.Version.Number >= p.Version.Number {
				continue
			}
			if !isolatedAt(e.Isolations, s) {
				return errors.Errorf("version %d was published at %v, %s still had %d at %v", p.Version.Number, p.At, s.Instance.Address, s.Version.Number, s.At)
			}
		}
	}
	return nil
}

// isolatedAt reports whether the instance was isolated when the sample was taken, or
// at most ManifestBound before.
func isolatedAt(isolations []Isolation, s ManifestSample) bool {
	for _, i := range isolations {
		if i.Instance == s.Instance.Address && i.From <= s.At && s.At <= i.To+ManifestBound {
			return true
		}
	}
	return false
}

// ManifestMonotonic checks that no process returns to an older manifest, and that
// no version number is used for two contents.
func ManifestMonotonic(e Events) error {
	last := make(map[sr.InstanceID]sr.Version)
	digests := make(map[uint64]sr.Digest)
	for _, s := range e.ManifestSamples {
		if s.Version.Number < last[s.Instance].Number {
			return errors.Errorf("%s went from version %d to %d at %v", s.Instance.Address, last[s.Instance].Number, s.Version.Number, s.At)
		}
		last[s.Instance] = s.Version
		known, ok := digests[s.Version.Number]
		if ok && known != s.Version.Digest {
			return errors.Errorf("version %d has two contents, at %s at %v", s.Version.Number, s.Instance.Address, s.At)
		}
		digests[s.Version.Number] = s.Version.Digest
	}
	return nil
}

// GracefulShutdowns checks that shutdowns succeeded, left no accepted request
// unfinished and cut no answer short.
func GracefulShutdowns(e Events) error {
	for _, s := range e.Shutdowns {
		if s.Err != nil {
			return errors.Errorf("the shutdown of %s failed: %v", s.Instance, s.Err)
		}
		if s.Left > 0 {
			return errors.Errorf("the shutdown of %s left %d requests unfinished", s.Instance, s.Left)
		}
		for _, a := range e.Answers {
			if a.Via == s.Instance && a.Began < s.Ended && a.Ended >= s.Ended && wasCut(a) {
				return errors.Errorf("%s was cut short at %v, when %s shut down", a.Ticket, a.Ended, s.Instance)
			}
		}
	}
	return nil
}

// NoneCutShort checks that no answer was interrupted, was cut short or has an
// unknown outcome.
func NoneCutShort(e Events) error {
	for _, a := range e.Answers {
		if wasCut(a) || a.Outcome == sr.OutcomeUnknown {
			return errors.Errorf("%s via %s ended %q at %v: %s", a.Ticket, a.Via, a.Outcome, a.Ended, a.Reason)
		}
	}
	return nil
}

func wasCut(a Answer) bool { return a.ConnectionLost() || a.Outcome == sr.OutcomeCutShort }

// AllAnswered checks that every request has an answer with an outcome other than
// "unknown".
func AllAnswered(e Events) error {
	known := make(map[string]bool)
	for _, a := range e.Answers {
		known[a.Ticket] = known[a.Ticket] || !a.ConnectionLost() && a.Outcome != sr.OutcomeUnknown
	}
	var missing []string
	for _, r := range e.Requests {
		if !known[r.Ticket] {
			missing = append(missing, fmt.Sprintf("%q", r.Body))
		}
	}
	if len(missing) > 0 {
		return errors.Errorf("no outcome for %s", strings.Join(missing, ", "))
	}
	return nil
}

func bodiesByTicket(e Events) map[string]string {
	bodies := make(map[string]string)
	for _, r := range e.Requests {
		bodies[r.Ticket] = r.Body
	}
	return bodies
}
