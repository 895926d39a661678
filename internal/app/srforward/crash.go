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
	// crashWait limits the wait for the check of an endpoint. It leaves time to connect
	// after crashCollect, which takes a few milliseconds within a region.
	crashWait = 2 * crashCollect
	// maxBroken limits the requests that are collected of one endpoint.
	maxBroken = 64
	// maxLoggedParts limits the parts in a log line.
	maxLoggedParts = 8
)

// crashWatch collects the requests whose connections to an endpoint broke, and knows
// which requests are suspected of crashing endpoints.
type crashWatch struct {
	mu       sync.Mutex
	suspects *srsuspect.Suspects
	// broken holds these requests by endpoint, until it has been checked.
	broken map[srupstream.Peer]*brokenConns
}

// brokenConns is the requests whose connections to an endpoint broke.
type brokenConns struct {
	requests []brokenRequest
	// checked is closed when it is known whether the endpoint has crashed.
	checked chan struct{}
}

// brokenRequest is one of them, with the time since it was sent.
type brokenRequest struct {
	parts             []string
	variant, identity string
	ran               time.Duration
}

// suspectable returns the IDs by which the request may be suspected.
func (r brokenRequest) suspectable() []string {
	return append(slices.Clone(r.parts), r.variant, r.identity)
}

func newCrashWatch(rank func(part string) int) *crashWatch {
	return &crashWatch{
		suspects: srsuspect.New(srsuspect.Options{Rank: rank}),
		broken:   make(map[srupstream.Peer]*brokenConns),
	}
}

// add adds a request, and reports whether it is the first one of its endpoint. The channel
// is closed when the endpoint has been checked.
func (w *crashWatch) add(peer srupstream.Peer, r brokenRequest) (checked <-chan struct{}, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, ok := w.broken[peer]
	if !ok {
		b = &brokenConns{checked: make(chan struct{})}
		w.broken[peer] = b
	}
	if len(b.requests) < maxBroken {
		b.requests = append(b.requests, r)
	}
	return b.checked, !ok
}

// take removes and returns the requests of an endpoint.
func (w *crashWatch) take(peer srupstream.Peer) *brokenConns {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.broken[peer]
	delete(w.broken, peer)
	return b
}

// isInvolved reports whether a known crash ended a request with this identity.
func (w *crashWatch) isInvolved(identity string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.IsInvolved(identity)
}

// addCrash records a crash of an endpoint.
func (w *crashWatch) addCrash(now time.Time, c sr.Crash) []srsuspect.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.AddCrash(now, c)
}

// addSound records a sound answer to a request with these shared parts, variant and identity.
func (w *crashWatch) addSound(now time.Time, parts []string) []srsuspect.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.AddSound(now, parts)
}

// check returns whether a request with these shared parts, variant and identity is blocked, admit
// the same for one that is about to be sent.
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

// sharedParts returns the IDs, as srsuspect knows them, of the parts of the prompt that other
// requests may share, which are all but the last one.
func (q *request) sharedParts() []string {
	if len(q.inbound.Parts) == 0 {
		return nil
	}
	shared := q.inbound.Parts[:len(q.inbound.Parts)-1]
	out := make([]string, 0, len(shared)+2)
	for _, p := range shared {
		out = append(out, srsuspect.Part(p.ID))
	}
	return out
}

// suspectable returns the IDs by which the request may be suspected: its shared parts, its variant
// and its identity.
func (q *request) suspectable() []string { return append(q.sharedParts(), q.variant, q.identity) }

func formatParts(parts []string) string {
	return strings.Join(parts[:min(len(parts), maxLoggedParts)], ",")
}

// observeAttempt notes a sound answer, or a connection that broke before the answer had
// gone on, since the request may have crashed its endpoint.
func (q *request) observeAttempt(t attempt) {
	q.countBreak(t.err)
	if t.sound {
		q.logSuspects(q.crashes.addSound(time.Now(), q.suspectable()), "")
		return
	}
	if !t.broken || t.takeover.ended || q.ctx.Err() != nil {
		return
	}
	checked := q.observeBreak(t.peer, t.sent)
	q.breaks++
	if q.breaks > 1 || q.crashes.isInvolved(q.identity) {
		q.checked = checked
	}
}

// observeBreak lets an endpoint be checked whose connection broke. The request was sent to it at
// a time. The channel is closed when the endpoint has been checked.
func (q *request) observeBreak(peer srupstream.Peer, sent time.Time) (checked <-chan struct{}) {
	now := time.Now()
	checked, first := q.crashes.add(peer, brokenRequest{parts: q.sharedParts(), variant: q.variant, identity: q.identity, ran: now.Sub(sent)})
	if first {
		go q.examineCrash(peer, now)
	}
	return checked
}

// awaitCheck lets a request that may have crashed several endpoints wait, before its next
// attempt, until the last one has been checked: it may be suspected then.
func (q *request) awaitCheck() {
	if q.checked == nil {
		return
	}
	select {
	case <-q.checked:
	case <-q.ctx.Done():
	case <-time.After(crashWait):
	}
	q.checked = nil
}

// examineCrash checks whether an endpoint whose connections broke has crashed.
func (n *Instance) examineCrash(peer srupstream.Peer, at time.Time) {
	_ = srtimer.Wait(context.Background(), crashCollect)
	crashed := n.Upstream.Refuses(context.Background(), peer)
	b := n.crashes.take(peer)
	defer close(b.checked)
	now := time.Now()
	c := sr.Crash{Endpoint: peer.ID, Born: peer.Born, Age: now.Sub(at)}
	var parts, variants, identities []string
	for _, r := range b.requests {
		c.Requests, c.Ran = append(c.Requests, r.suspectable()), append(c.Ran, r.ran)
		parts, variants, identities = append(parts, r.parts...), append(variants, r.variant), append(identities, r.identity)
	}
	n.Log.State("connections-broken", srlog.Endpoint, peer.ID, srlog.Count, len(b.requests), srlog.Parts, formatParts(parts),
		srlog.Identities, formatParts(identities), srlog.Variants, formatParts(variants), srlog.Outcome, choose(crashed, "crashed", "alive"), srlog.Age, now.Sub(at))
	if crashed {
		n.logSuspects(n.crashes.addCrash(now, c), "")
	}
}

// logSuspects logs the parts and identities that became suspected or were cleared. source
// is the address of the instance whose report changed them, "" for this one.
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

// blockedPart returns the refusal of a request that has a suspected part, variant or identity,
// nil when it has none.
func (q *request) blockedPart(v srsuspect.Verdict) *refusal {
	if !v.Blocked {
		return nil
	}
	q.Log.Failed("part-blocked", srlog.Request, q.inbound.ID, srlog.Part, v.Part, srlog.Crashes, v.Crashes, srlog.Age, v.Age, srlog.Left, v.Left, srlog.Attempt, q.attempts)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonSuspectPart, retryAfter: v.Left}
}
