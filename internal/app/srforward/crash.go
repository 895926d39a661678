package srforward

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
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

// crashWatch collects the requests whose connections to an endpoint broke.
type crashWatch struct {
	mu sync.Mutex
	// broken holds the shared parts of these requests by endpoint, while they are being
	// collected.
	broken map[srupstream.Peer][][]string
}

func newCrashWatch() *crashWatch {
	return &crashWatch{broken: make(map[srupstream.Peer][][]string)}
}

// add adds a request, and reports whether it is the first one of its endpoint.
func (w *crashWatch) add(peer srupstream.Peer, parts []string) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list, ok := w.broken[peer]
	if len(list) < maxBroken {
		w.broken[peer] = append(list, parts)
	}
	return !ok
}

// take removes and returns the requests of an endpoint.
func (w *crashWatch) take(peer srupstream.Peer) [][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.broken[peer]
	delete(w.broken, peer)
	return list
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

// watchForCrash notes a connection that broke before the answer had gone on, since the
// request may have crashed its endpoint.
func (q *request) watchForCrash(t attempt) {
	if !t.broken || t.sound || t.stall.hasStalled() || q.ctx.Err() != nil {
		return
	}
	if q.crashes.add(t.peer, q.sharedParts()) {
		go q.examineCrash(t.peer, time.Now())
	}
}

// examineCrash checks whether an endpoint whose connections broke has crashed.
func (n *Instance) examineCrash(peer srupstream.Peer, at time.Time) {
	_ = srtimer.Wait(context.Background(), crashCollect)
	crashed := n.Upstream.Refuses(context.Background(), peer)
	requests := n.crashes.take(peer)
	var all []string
	for _, parts := range requests {
		all = append(all, parts...)
	}
	n.Log.State("connections-broken", srlog.Endpoint, peer.ID, srlog.Count, len(requests), srlog.Parts, formatParts(all),
		srlog.Outcome, choose(crashed, "crashed", "alive"), srlog.Age, time.Since(at))
}
