package srload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

// maxCountBytes is the maximum length of an answer that holds a count.
const maxCountBytes = 32

// audit compares the number of times that each request ran with its outcome. The
// stand-ins must not have restarted during the run, because they count in memory.
func (r *Runner) audit(ctx context.Context, c *collector, report *Report) error {
	for _, a := range c.audited {
		runs, ok, err := r.countRuns(ctx, a)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		report.Audited++
		if reason := contradiction(a.outcome, runs); reason != "" {
			c.recordFault(fmt.Sprintf("%s: %s", a.ticket, reason))
		}
	}
	report.FaultCount, report.Faults = c.faultCount, c.faults
	return nil
}

// countRuns returns how often a request ran; ok is false when no stand-in of its kind is
// configured, and for a call without a ticket, because services count by ticket.
func (r *Runner) countRuns(ctx context.Context, a auditedRequest) (n int, ok bool, err error) {
	addresses := r.cfg.Engines
	path := "/control/runs?digest=" + strconv.FormatUint(srengine.Digest(a.body), 16)
	if a.kind == sr.KindCall {
		addresses = r.cfg.Services
		path = "/control/count?id=" + url.QueryEscape(a.ticket)
	}
	if a.kind == sr.KindCall && a.ticket == "" {
		return 0, false, nil
	}
	for _, address := range addresses {
		runs, err := r.fetchCount(ctx, "http://"+address+path)
		if err != nil {
			return 0, false, err
		}
		n += runs
	}
	return n, len(addresses) > 0, nil
}

func (r *Runner) fetchCount(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "srload: audit")
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(err, "srload: audit")
	}
	defer srconn.CloseBody(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("srload: audit: %s answered status %d", url, resp.StatusCode)
	}
	var n int
	err = json.NewDecoder(io.LimitReader(resp.Body, maxCountBytes)).Decode(&n)
	return n, errors.Wrap(err, "srload: audit")
}

// contradiction describes a conflict between an outcome and a number of runs, or
// returns "" when there is none.
func contradiction(outcome sr.Outcome, runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs == 1 && outcome == sr.OutcomeNotRun:
		return "ran, and was answered as not run"
	case runs == 0 && outcome == sr.OutcomeComplete:
		return "did not run, and was answered as complete"
	}
	return ""
}
