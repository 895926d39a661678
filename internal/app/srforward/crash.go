package srforward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// soundAfter is the time after its first event from which a stream counts as sound.
	soundAfter = 300 * time.Millisecond
	// crashCollect is the time in which the broken connections to an endpoint are
	// collected before it is checked.
	crashCollect = 30 * time.Millisecond
	// maxBroken limits the requests that are collected of one endpoint.
	maxBroken = 64
	// maxLoggedParts limits the parts in a log line.
	maxLoggedParts = 8
)

// crashWatch collects the requests whose connections to an endpoint broke, and knows
// which parts of prompts are suspected of crashing endpoints.
type crashWatch struct {
	mu       sync.Mutex
	suspects *srsuspect.Suspects
	// broken holds these requests by endpoint, while they are being collected.
	broken map[srupstream.Peer][]brokenRequest
}

// brokenRequest is a request whose connection to an endpoint broke.
type brokenRequest struct {
	parts    []string
	identity string
}

func newCrashWatch(rank func(part string) int) *crashWatch {
	return &crashWatch{
		suspects: srsuspect.New(srsuspect.Options{Rank: rank}),
		broken:   make(map[srupstream.Peer][]brokenRequest),
	}
}

// add adds a request, and reports whether it is the first one of its endpoint.
func (w *crashWatch) add(peer srupstream.Peer, r brokenRequest) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list, ok := w.broken[peer]
	if len(list) < maxBroken {
		w.broken[peer] = append(list, r)
	}
	return !ok
}

// take removes and returns the requests of an endpoint.
func (w *crashWatch) take(peer srupstream.Peer) []brokenRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.broken[peer]
	delete(w.broken, peer)
	return list
}

// addCrash records a crash of an endpoint.
func (w *crashWatch) addCrash(now time.Time, c sr.Crash) []srsuspect.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.AddCrash(now, c)
}

// addSound records a sound answer to a request with shared parts.
func (w *crashWatch) addSound(now time.Time, parts []string) []srsuspect.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.AddSound(now, parts)
}

// check returns whether a request with shared parts is blocked, admit the same for one
// that is about to be sent.
func (w *crashWatch) check(now time.Time, parts []string) srsuspect.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.Check(now, parts)
}

func (w *crashWatch) admit(now time.Time, parts []string) srsuspect.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.Admit(now, parts)
}

// report returns what this instance reports to the others, receive applies a report.
func (w *crashWatch) report(now time.Time) sr.CrashReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.Report(now)
}

func (w *crashWatch) receive(now time.Time, r sr.CrashReport) []srsuspect.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.Receive(now, r)
}

func (w *crashWatch) sweep(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspects.Sweep(now)
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share,
// which are all but the last one.
func (q *request) sharedParts() []string {
	var out []string
	for i := range len(q.inbound.Parts) - 1 {
		out = append(out, q.inbound.Parts[i].ID)
	}
	return out
}

func formatParts(parts []string) string {
	return strings.Join(parts[:min(len(parts), maxLoggedParts)], ",")
}

// observeAttempt notes a sound answer, or a connection that broke before the answer had
// gone on, since the request may have crashed its endpoint.
func (q *request) observeAttempt(t attempt) {
	switch {
	case t.sound:
		q.logSuspects(q.crashes.addSound(time.Now(), q.sharedParts()), "")
	case !t.broken || t.stall.hasStalled() || q.ctx.Err() != nil:
		return
	case q.crashes.add(t.peer, brokenRequest{parts: q.sharedParts(), identity: q.identity}):
		go q.examineCrash(t.peer, time.Now())
	}
}

// examineCrash checks whether an endpoint whose connections broke has crashed.
func (n *Instance) examineCrash(peer srupstream.Peer, at time.Time) {
	_ = srtimer.Wait(context.Background(), crashCollect)
	crashed := n.Upstream.Refuses(context.Background(), peer)
	var parts [][]string
	var identities []string
	for _, r := range n.crashes.take(peer) {
		parts, identities = append(parts, r.parts), append(identities, r.identity)
	}
	now := time.Now()
	n.Log.State("connections-broken", srlog.Endpoint, peer.ID, srlog.Count, len(parts), srlog.Parts, formatParts(slices.Concat(parts...)),
		srlog.Identities, formatParts(identities), srlog.Outcome, choose(crashed, "crashed", "alive"), srlog.Age, now.Sub(at))
	if crashed {
		n.logSuspects(n.crashes.addCrash(now, sr.Crash{Endpoint: peer.ID, Born: peer.Born, Age: now.Sub(at), Requests: parts}), "")
	}
}

// logSuspects logs the parts that became suspected or were cleared. source is the
// address of the instance whose report changed them, "" for this one.
func (n *Instance) logSuspects(list []srsuspect.Change, source string) {
	for _, c := range list {
		if c.Suspected {
			n.stats.count("part.suspected")
		} else {
			n.stats.count("part.cleared")
		}
		n.Log.State(choose(c.Suspected, "part-suspected", "part-cleared"), srlog.Part, c.Part, srlog.Crashes, c.Crashes, srlog.Source, source)
	}
}

// blockedPart returns the refusal of a request with a suspected part, nil when it has none.
func (q *request) blockedPart(v srsuspect.Verdict) *refusal {
	if !v.Blocked {
		return nil
	}
	q.Log.Failed("part-blocked", srlog.Request, q.inbound.ID, srlog.Part, v.Part, srlog.Crashes, v.Crashes, srlog.Age, v.Age, srlog.Left, v.Left, srlog.Attempt, q.attempts)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonSuspectPart, retryAfter: v.Left}
}
