package srload

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srdesk"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

const (
	// reasonGivenUp is the reason of a request that the caller gave up.
	reasonGivenUp = "given up"
	reasonBroken  = "connection broken"
	// maxReason is the greatest length of a reason in bytes.
	maxReason = 200
	// pauseAttempt is the time between two attempts.
	pauseAttempt = 50 * time.Millisecond
)

// figures are the words of a reason that differ from request to request.
var figures = regexp.MustCompile(`\d[\w.:]*`)

// result is what a caller saw of one request.
type result struct {
	Arrival
	ticket  string
	outcome sr.Outcome
	reason  string
	// wrong says why the answer is not the answer to this request.
	wrong string
	first time.Duration
	gaps  []time.Duration
	tries int
}

// asker carries out one model request.
type asker struct {
	cfg    Config
	c      *client
	began  time.Time
	r      *result
	events int
	// receipt resumes the answer.
	receipt string
	answer  strings.Builder
	last    time.Time
}

// ask submits a model request and follows its answer over broken connections.
func (r *Runner) ask(ctx context.Context, c *client, a Arrival, began time.Time) result {
	res := result{Arrival: a}
	ctx, cancel := context.WithDeadline(ctx, began.Add(r.cfg.Patience))
	defer cancel()
	var err error
	if res.ticket, err = c.ticket(ctx, a.Instance, r.cfg.Attempts); err != nil {
		// Without a ticket nothing was submitted.
		res.outcome, res.reason = sr.OutcomeNotRun, "no ticket"
		return res
	}
	k := &asker{cfg: r.cfg, c: c, began: began, r: &res}
	if a.Kind == sr.KindCall {
		k.callService(ctx)
	} else {
		k.follow(ctx)
	}
	return res
}

// follow submits the request, and resumes it when its connection breaks.
func (k *asker) follow(ctx context.Context) {
	for try := range k.cfg.Attempts {
		k.r.tries++
		resp, err := k.open(ctx, k.r.Instance+try)
		if err == nil {
			err = k.read(resp)
		}
		if k.ended(ctx, err) {
			return
		}
	}
	k.end(sr.OutcomeUnknown, reasonBroken)
}

// ended reports whether err leaves nothing to try; it is nil for a read answer.
func (k *asker) ended(ctx context.Context, err error) bool {
	var no *refused
	switch {
	case k.r.outcome != sr.OutcomeNone:
	case errors.As(err, &no) && known(no.Outcome) == sr.OutcomeComplete:
		// The request ran to its end, and this caller has not got the answer.
		k.end(sr.OutcomeCutShort, no.Error())
	case errors.As(err, &no):
		k.end(known(no.Outcome), no.Error())
	case ctx.Err() != nil:
		k.end(sr.OutcomeUnknown, reasonGivenUp)
	default:
		pause(ctx, pauseAttempt)
		return false
	}
	return true
}

func (k *asker) open(ctx context.Context, at int) (*http.Response, error) {
	if k.events > 0 {
		return k.c.resume(ctx, at, k.r.ticket, k.receipt, k.events)
	}
	return k.c.generate(ctx, at, k.r.ticket, k.cfg.Model, k.r.Arrival, time.Until(k.began.Add(k.cfg.Patience)))
}

// read takes events until the end of the answer or of the connection.
func (k *asker) read(resp *http.Response) error {
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	for k.r.outcome == sr.OutcomeNone {
		ev, err := events.next()
		if err != nil {
			return err
		}
		k.take(ev)
	}
	return nil
}

func (k *asker) take(ev sr.Event) {
	if ev.Seq != k.events+1 {
		k.fault("event " + itoa(ev.Seq) + " came after event " + itoa(k.events))
	}
	k.events = ev.Seq
	switch ev.Type {
	case sr.EventReceipt:
		k.receipt = ev.Receipt
	case sr.EventText:
		k.text(ev.Text)
	case sr.EventEnd:
		k.end(known(string(ev.Outcome)), ev.Reason)
		k.check(ev.Tokens)
	}
}

func (k *asker) text(text string) {
	now := time.Now()
	if k.last.IsZero() {
		k.r.first = now.Sub(k.began)
	} else {
		k.r.gaps = append(k.r.gaps, now.Sub(k.last))
	}
	k.last = now
	k.answer.WriteString(text)
}

// check compares the answer with the one that the engine stand-in gives.
func (k *asker) check(tokens int) {
	length := k.r.Tokens
	if k.cfg.EarlyStop {
		length = srengine.Length(k.r.Body, length)
	}
	want := strings.Join(srengine.Answer(k.r.Body, length), "")
	got := k.answer.String()
	switch {
	case k.r.outcome == sr.OutcomeComplete && got != want:
		k.fault("complete answer differs from the expected one")
	case k.r.outcome == sr.OutcomeComplete && tokens != length:
		k.fault("end names " + itoa(tokens) + " tokens of " + itoa(length))
	case !strings.HasPrefix(want, got):
		k.fault("part of an answer is not part of the expected one")
	}
}

// callService calls the plain service; the ticket makes a second try safe.
func (k *asker) callService(ctx context.Context) {
	for try := range k.cfg.Attempts {
		k.r.tries++
		answer, err := k.c.call(ctx, k.r.Instance+try, k.r.ticket, k.cfg.Service, k.cfg.Operation, k.r.Body,
			time.Until(k.began.Add(k.cfg.Patience)))
		if err == nil {
			k.callEnd(answer)
		}
		if k.ended(ctx, err) {
			return
		}
	}
	k.end(sr.OutcomeUnknown, reasonBroken)
}

func (k *asker) callEnd(answer callResult) {
	k.r.first = time.Since(k.began)
	k.end(known(string(answer.Outcome)), answer.Reason)
	want := srdesk.Reply(k.cfg.Operation, k.r.ticket, k.r.Body)
	if k.r.outcome == sr.OutcomeComplete && answer.Status == http.StatusOK && answer.Body != want {
		k.fault("answer of the service differs from the expected one")
	}
}

func (k *asker) end(outcome sr.Outcome, reason string) {
	k.r.outcome = outcome
	reason = figures.ReplaceAllString(reason, "#")
	k.r.reason = reason[:min(len(reason), maxReason)]
}

// fault notes the first thing that is wrong with the answer.
func (k *asker) fault(why string) {
	if k.r.wrong == "" {
		k.r.wrong = why
	}
}

// known returns an outcome of the interface, unknown for any other text.
func known(outcome string) sr.Outcome {
	switch o := sr.Outcome(outcome); o {
	case sr.OutcomeComplete, sr.OutcomeCutShort, sr.OutcomeNotRun:
		return o
	}
	return sr.OutcomeUnknown
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
