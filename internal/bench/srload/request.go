package srload

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
)

const (
	// reasonClientTimeout is the reason of a request whose answer was not complete
	// within Config.ClientTimeout.
	reasonClientTimeout = "given up"
	reasonBroken        = "connection broken"
	// maxReasonBytes is the length to which a reason is cut.
	maxReasonBytes = 200
	// retryDelay is the time between two attempts.
	retryDelay = 50 * time.Millisecond
)

// numbers matches the numbers in a reason, such as times and addresses. They are
// replaced, so that requests with the same reason are counted together.
var numbers = regexp.MustCompile(`\d[\w.:]*`)

// result is the result of one request as the caller saw it.
type result struct {
	Arrival
	ticket  string
	outcome sr.Outcome
	reason  string
	// mismatch describes how the answer differs from the expected one. It is empty when
	// they agree.
	mismatch   string
	firstToken time.Duration
	tokenGaps  []time.Duration
	attempts   int
}

// requestRun is the state of one request while it is sent and its answer is read.
type requestRun struct {
	cfg         Config
	client      *client
	scheduledAt time.Time
	result      *result
	lastSeq     int
	// receipt identifies the answer when it is resumed.
	receipt  string
	answer   strings.Builder
	lastText time.Time
}

// runRequest submits a model request or a call and returns its result. It retries
// after broken connections.
func (r *Runner) runRequest(ctx context.Context, c *client, a Arrival, scheduledAt time.Time) result {
	res := result{Arrival: a}
	ctx, cancel := context.WithDeadline(ctx, scheduledAt.Add(r.cfg.ClientTimeout))
	defer cancel()
	var err error
	if res.ticket, err = c.ticket(ctx, a.Instance, r.cfg.Attempts); err != nil {
		// Nothing was submitted without a ticket, so the request has not run.
		res.outcome, res.reason = sr.OutcomeNotRun, "no ticket"
		return res
	}
	run := &requestRun{cfg: r.cfg, client: c, scheduledAt: scheduledAt, result: &res}
	if a.Kind == sr.KindCall {
		run.runCall(ctx)
	} else {
		run.runModelRequest(ctx)
	}
	return res
}

// runModelRequest submits the request, and resumes its answer when the connection
// breaks.
func (run *requestRun) runModelRequest(ctx context.Context) {
	for try := range run.cfg.Attempts {
		run.result.attempts++
		resp, err := run.open(ctx, run.result.Instance+try)
		if err == nil {
			err = run.read(resp)
		}
		if run.finishOrWait(ctx, err) {
			return
		}
	}
	run.finish(sr.OutcomeUnknown, reasonBroken)
}

// finishOrWait sets the outcome when err is final, and reports whether the request has
// an outcome. Otherwise it waits for the next attempt. err is nil when the answer was
// read to its end.
func (run *requestRun) finishOrWait(ctx context.Context, err error) bool {
	var refusal *refusalError
	switch {
	case run.result.outcome != sr.OutcomeNone:
	case errors.As(err, &refusal) && parseOutcome(refusal.Outcome) == sr.OutcomeComplete:
		// The request ran to completion, but this caller did not receive the answer.
		run.finish(sr.OutcomeCutShort, refusal.Error())
	case errors.As(err, &refusal):
		run.finish(parseOutcome(refusal.Outcome), refusal.Error())
	case ctx.Err() != nil:
		run.finish(sr.OutcomeUnknown, reasonClientTimeout)
	default:
		sleep(ctx, retryDelay)
		return false
	}
	return true
}

// open submits the request, or resumes its answer when events have been received.
func (run *requestRun) open(ctx context.Context, index int) (*http.Response, error) {
	if run.lastSeq > 0 {
		return run.client.resume(ctx, index, run.result.ticket, run.receipt, run.lastSeq)
	}
	return run.client.generate(ctx, index, run.result.ticket, run.cfg.Model, run.result.Arrival, time.Until(run.scheduledAt.Add(run.cfg.ClientTimeout)))
}

// read handles events until the answer or the connection ends.
func (run *requestRun) read(resp *http.Response) error {
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	for run.result.outcome == sr.OutcomeNone {
		ev, err := events.next()
		if err != nil {
			return err
		}
		run.handleEvent(ev)
	}
	return nil
}

func (run *requestRun) handleEvent(ev sr.Event) {
	if ev.Seq != run.lastSeq+1 {
		run.recordMismatch("event " + itoa(ev.Seq) + " came after event " + itoa(run.lastSeq))
	}
	run.lastSeq = ev.Seq
	switch ev.Type {
	case sr.EventReceipt:
		run.receipt = ev.Receipt
	case sr.EventText:
		run.appendText(ev.Text)
	case sr.EventEnd:
		run.finish(parseOutcome(string(ev.Outcome)), ev.Reason)
		run.verifyAnswer(ev.Tokens)
	}
}

func (run *requestRun) appendText(text string) {
	now := time.Now()
	if run.lastText.IsZero() {
		run.result.firstToken = now.Sub(run.scheduledAt)
	} else {
		run.result.tokenGaps = append(run.result.tokenGaps, now.Sub(run.lastText))
	}
	run.lastText = now
	run.answer.WriteString(text)
}

// verifyAnswer compares the answer with that of the engine stand-in.
func (run *requestRun) verifyAnswer(tokens int) {
	length := run.result.Tokens
	if run.cfg.EarlyStop {
		length = srengine.Length(run.result.Body, length)
	}
	want := strings.Join(srengine.Answer(run.result.Body, length), "")
	got := run.answer.String()
	switch {
	case run.result.outcome == sr.OutcomeComplete && got != want:
		run.recordMismatch("complete answer differs from the expected one")
	case run.result.outcome == sr.OutcomeComplete && tokens != length:
		run.recordMismatch("end names " + itoa(tokens) + " tokens of " + itoa(length))
	case !strings.HasPrefix(want, got):
		run.recordMismatch("part of an answer is not part of the expected one")
	}
}

// runCall calls the plain service. The ticket makes a retry safe.
func (run *requestRun) runCall(ctx context.Context) {
	for try := range run.cfg.Attempts {
		run.result.attempts++
		answer, err := run.client.call(ctx, run.result.Instance+try, run.result.ticket, run.cfg.Service, run.cfg.Operation, run.result.Body,
			time.Until(run.scheduledAt.Add(run.cfg.ClientTimeout)))
		if err == nil {
			run.finishCall(answer)
		}
		if run.finishOrWait(ctx, err) {
			return
		}
	}
	run.finish(sr.OutcomeUnknown, reasonBroken)
}

func (run *requestRun) finishCall(answer callResult) {
	run.result.firstToken = time.Since(run.scheduledAt)
	run.finish(parseOutcome(string(answer.Outcome)), answer.Reason)
	want := srplainservice.Reply(run.cfg.Operation, run.result.ticket, run.result.Body)
	if run.result.outcome == sr.OutcomeComplete && answer.Status == http.StatusOK && answer.Body != want {
		run.recordMismatch("answer of the service differs from the expected one")
	}
}

func (run *requestRun) finish(outcome sr.Outcome, reason string) {
	run.result.outcome = outcome
	reason = numbers.ReplaceAllString(reason, "#")
	run.result.reason = reason[:min(len(reason), maxReasonBytes)]
}

// recordMismatch keeps the first difference from the expected answer.
func (run *requestRun) recordMismatch(reason string) {
	if run.result.mismatch == "" {
		run.result.mismatch = reason
	}
}

// parseOutcome returns the outcome with the given name, or unknown for any other text.
func parseOutcome(outcome string) sr.Outcome {
	switch o := sr.Outcome(outcome); o {
	case sr.OutcomeComplete, sr.OutcomeCutShort, sr.OutcomeNotRun:
		return o
	}
	return sr.OutcomeUnknown
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
