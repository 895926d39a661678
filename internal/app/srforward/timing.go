package srforward

import "time"

const (
	// registrationRecovery is how long endpoints take to register again after their
	// registrations lapsed in an outage of the registry. The platform states about two
	// seconds.
	registrationRecovery = 2 * time.Second
	// revokeMarginDivisor sets the margin for the time between the check of a key and
	// the first byte to the endpoint: the longest time for which a removed key may be
	// accepted, divided by it.
	revokeMarginDivisor = 10
	// minStaleAge is the least age of the view from which the refusal of an unknown
	// route or key asks the client to retry, since a newer configuration may have it.
	minStaleAge = time.Second

	// registryWriteTimeout bounds one write to the registry.
	registryWriteTimeout = time.Second
	// maxRegistryAnswer bounds the answer to a registry query, beyond the time it waits
	// for changes. An answer that makes no progress is given up sooner.
	maxRegistryAnswer = 5 * time.Second
	// registryRetryDelay is the time before the next query after one has failed.
	registryRetryDelay = 150 * time.Millisecond
	// syncInterval is how often an instance that does not watch the registry checks
	// the age of its view.
	syncInterval = 100 * time.Millisecond
	// registryWatchers is how many instances watch the registry for the fleet.
	registryWatchers = 2

	// gossipInterval is the least interval between two exchanges with one member.
	// In a large fleet the interval is gossipIntervalPerMember for each instance, so
	// that the work of an instance does not grow with the fleet.
	gossipInterval          = 200 * time.Millisecond
	gossipIntervalPerMember = 10 * time.Millisecond
	// maxDirectFleet is the number of instances up to which each exchanges with each other one.
	// In a larger fleet an exchange with each would cost more than the records of srgossip.
	maxDirectFleet = 16
	// maxLoadFleet is the number of instances up to which records contain the load. In a larger
	// one the coordinators of groups know it, and it would be most of the bytes.
	maxLoadFleet = 128
	// probeInterval is the interval at which an instance of a large fleet tries one of the silent
	// members, so that the parts of a fleet find each other after a cut.
	probeInterval = time.Second
	// gossipTick is the interval at which due exchanges are started.
	gossipTick = 50 * time.Millisecond
	// gossipTimeout bounds one exchange.
	gossipTimeout = 400 * time.Millisecond
	// transferTimeout bounds one call for registry entries, of which a part of a
	// configuration is the longest.
	transferTimeout = time.Second
	// The time before the next pull of registry entries, after the instances that have
	// them were busy or did not answer, doubles from minTransferRetryDelay to
	// maxTransferRetryDelay.
	minTransferRetryDelay = 50 * time.Millisecond
	maxTransferRetryDelay = 400 * time.Millisecond
	// maxTransferSources is the number of instances that one pull tries.
	maxTransferSources = 4
	// maxTransfers is the number of instances to which an instance transfers a
	// configuration at once. With few, each transfer ends soon, and those that have it
	// pass it on.
	maxTransfers = 2
	// maxTransferRestarts is how often the transfer of a configuration begins again with a newer
	// one. Operators change it every few seconds at most, and a transfer takes less than one.
	maxTransferRestarts = 4
	// transferIdle is the time without a request after which a transfer no longer
	// counts. The request for a part that is on its way has not timed out before.
	transferIdle = transferTimeout
	// routingPartBytes is the size of a part of a configuration. A larger configuration
	// is transferred apart from the other entries.
	routingPartBytes = 16 << 10
	// joinTimeout bounds the time for which an instance that starts waits for the others, which
	// may know what the registry lost. It is three exchanges: with one that has joined, with
	// another one that names it, and a margin. In a large fleet the interval is longer, and each
	// instance is named by more of them.
	joinTimeout = 3 * gossipInterval
	// joinTick is the interval at which a request checks whether the instance has joined.
	joinTick = 10 * time.Millisecond
	// A member is silent after maxMissedExchanges intervals without contact, and
	// not before minSilenceTimeout.
	maxMissedExchanges = 3
	minSilenceTimeout  = time.Second
	// memberRetention is the time for which a silent member counts towards the
	// size of the fleet.
	memberRetention = 30 * time.Second
	// memberListSpread is the time after a member joined for which instances pass
	// on the members that they know. Every exchange repeats the list, so a few
	// exchanges would do.
	memberListSpread = 10 * time.Second
	// memberListSettle is the time after the first contact with another instance in which
	// the list of members may be far from complete. In a fleet of 71 that starts together all
	// know each other after half a second.
	memberListSettle = 500 * time.Millisecond
	// shareRetention is the time for which a silent member keeps its share of the
	// endpoints. A member that is restarted is back sooner.
	shareRetention = 5 * time.Second
	// assumedFleet is the assumed size of the fleet before the first contact with
	// another instance. It keeps the share of a limit small at an instance that
	// starts without contact to the others.
	assumedFleet = 8

	// sweepInterval is the interval at which expired state is removed.
	sweepInterval = 250 * time.Millisecond
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a client that does not read.
	writeTimeout = 10 * time.Second
	// drainNotice is the time after the stop signal for which new requests are
	// still accepted, since the balancer needs two health checks to notice.
	drainNotice = 2700 * time.Millisecond
	// shutdownMargin is the part of the grace time kept for closing the process.
	shutdownMargin = 500 * time.Millisecond
	// endTimeout is the time that requests have at the end of the grace time to write their
	// final answers. It is within shutdownMargin. Earlier, clients have maxEndTime to close
	// their connections, which ones that linger need half of.
	endTimeout = 200 * time.Millisecond
	maxEndTime = time.Second
	// maxAttempts limits the attempts of one request, rejections and failed
	// connections included.
	maxAttempts = 4
	// staleViewDelay is the time between two attempts to go on with a stream while the view is
	// too old to decide.
	staleViewDelay = 100 * time.Millisecond
	// grantTimeout is the time after which a slot that a coordinator has granted is not used. A
	// process that was suspended may have lost it.
	grantTimeout = time.Second
	// maxTick is the longest time between two updates of a queue that is not empty.
	maxTick = 20 * time.Millisecond
)
