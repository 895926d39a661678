package srforward

import (
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
)

// observeReply applies what an endpoint states about itself in the header of an answer.
// The other instances are not told: each of them learns it from its own answers, and most
// endpoints that leave register it as well.
func (q *request) observeReply(peer srupstream.Peer, a *srupstream.Answer) {
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
