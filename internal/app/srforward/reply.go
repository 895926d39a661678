package srforward

import (
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// observeReply applies what an endpoint states about itself in the header of an answer.
// The other instances are not told: each of them learns from its own answers that an
// endpoint leaves, and most of these endpoints register it as well. A pause applies to this
// instance only.
func (q *request) observeReply(peer srupstream.Peer, a *srupstream.Answer) {
	if a.Reply.RetryAfter > 0 && !a.Reply.Misdirected {
		left := q.queues.get(q.service).pause(peer.ID, peer.Born, a.Reply.RetryAfter)
		q.stats.count("endpoint.paused")
		q.Log.Failed("endpoint-paused", srlog.Request, q.inbound.ID, srlog.Endpoint, peer.ID, srlog.Born, peer.Born, srlog.Service, q.service,
			srlog.Status, a.Status, srlog.After, a.Reply.RetryAfter, srlog.Left, left)
	}
	if a.Reply.Leaving && isFromPeer(a) && q.view.MarkLeaving(peer.ID, peer.Born, q.Clock()) {
		q.stats.count("endpoint.leaving")
		q.Log.State("endpoint-leaving", srlog.Request, q.inbound.ID, srlog.Endpoint, peer.ID, srlog.Born, peer.Born, srlog.Service, q.service,
			srlog.Status, a.Status, srlog.Revision, q.view.Position().Revision)
		q.configure()
	}
}

// isFromPeer reports whether the endpoint that the request was sent to wrote the answer, and
// not another one that now has its address.
func isFromPeer(a *srupstream.Answer) bool {
	return !a.Reply.Misdirected && (a.Reply.FromEndpoint || a.Reply.NotRun)
}
