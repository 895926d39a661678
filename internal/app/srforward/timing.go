package srforward

import "time"

const (
	// lapseReturn is how long registrations that lapsed in an outage of the
	// registry take to be back; the platform states about two seconds.
	lapseReturn = 2 * time.Second
	// revokeMargin divides the bound for removed keys into the part that is kept
	// for the time between the check and the first byte to the endpoint.
	revokeMargin = 10
	// leastFresh is the least age at which an unknown name is not believed.
	leastFresh = time.Second

	// answerTime is the time that the registry has beyond the wait.
	answerTime = time.Second
	// listTime bounds a full listing.
	listTime = 3 * time.Second
	// failPause is the time between two questions after one has failed.
	failPause = 150 * time.Millisecond
	// syncPause is how often an instance that does not watch looks at its proof.
	syncPause = 100 * time.Millisecond
	// readers is how many instances watch the registry for all.
	readers = 2

	// gossipEvery is the least time between two exchanges with one peer, and
	// gossipPeer what each instance of the fleet adds to it, so that the work of
	// an instance does not grow with the fleet.
	gossipEvery = 200 * time.Millisecond
	gossipPeer  = 10 * time.Millisecond
	// gossipTick is the time between two looks at who is due.
	gossipTick = 50 * time.Millisecond
	// gossipTime bounds one exchange.
	gossipTime = 400 * time.Millisecond
	// seedEvery is the time between two tries to reach a seed.
	seedEvery = time.Second
	// alivePauses is how many pauses between exchanges a member may miss before
	// it is taken as silent, aliveFor the least such time.
	alivePauses = 3
	aliveFor    = time.Second
	// memberFor is the time for which a silent member counts towards the fleet.
	memberFor = 30 * time.Second
	// spreadFor is the time after a change for which instances tell each other
	// whom they know; every exchange repeats it, so a few would do.
	spreadFor = 10 * time.Second
	// presentFor is the time for which a silent member keeps its share of the
	// endpoints; a member that is replaced is back sooner.
	presentFor = 5 * time.Second
	// fleetUnknown is the fleet's size while no other instance was heard, so
	// that a part of a limit stays small at an instance that starts cut off.
	fleetUnknown = 8

	// sweepEvery is the time between two sweeps of what has expired.
	sweepEvery = 250 * time.Millisecond
	// bodyTime bounds the arrival of a body.
	bodyTime = 10 * time.Second
	// writeTime bounds one write to a client that does not read.
	writeTime = 10 * time.Second
	// leaveFor is the time after the stop signal for which new requests are
	// still taken, since the balancer needs two questions to notice.
	leaveFor = 2700 * time.Millisecond
	// endMargin is kept at the end of the grace time to close the process.
	endMargin = 500 * time.Millisecond
	// mostTries bounds the endpoints that one request is offered to, rejections
	// and failed connections included.
	mostTries = 4
	// tickEvery is the time between two looks at a queue that is not empty.
	tickEvery = 20 * time.Millisecond
)
