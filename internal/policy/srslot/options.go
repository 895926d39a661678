package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srwarm"
)

// Defaults of Options.
const (
	defaultGrantTTL          = time.Second
	defaultUnlistedTimeout   = 30 * time.Second
	defaultMaxNetDelay       = 250 * time.Millisecond
	defaultFirstReportWait   = 10 * time.Second
	defaultMinBreakerBackoff = 500 * time.Millisecond
	defaultMaxBreakerBackoff = 8 * time.Second
	defaultFloorInterval     = 500 * time.Millisecond
	defaultShedHold          = 2 * time.Second
	defaultScanInterval      = 25 * time.Millisecond
	defaultRevokeInterval    = time.Second
	defaultMaxQueueLen       = 1024
	defaultHardQueueFactor   = 8
	defaultMaxQueueTokens    = 4 << 20
	defaultMaxQueueAge       = time.Minute
	defaultTokensPerSlot     = 16 << 10
	defaultMinRetryDelay     = 200 * time.Millisecond
	defaultMaxRetryDelay     = 30 * time.Second
	defaultMaxIdleFlows      = 1024
	defaultMaxEndedAsks      = 1024
	defaultMaxOffers         = 16
)

// Options holds the limits and policy settings of a pool. Zero values take the
// defaults.
type Options struct {
	// GrantTTL is how long after the grant the request of a lease may be started.
	GrantTTL time.Duration
	// UnlistedTimeout is how long a holder may omit a lease from its lists, or
	// send no list, before load reports decide whether the lease is still in use.
	UnlistedTimeout time.Duration
	// MaxNetDelay is the longest time that a load report or a release takes to
	// arrive. Times derived from these messages are uncertain by this much.
	MaxNetDelay time.Duration
	// FirstReportWait is how long after a takeover without a handover nothing is
	// granted at an endpoint that has sent no load report. A negative value means no
	// wait.
	FirstReportWait time.Duration
	// MinBreakerBackoff and MaxBreakerBackoff bound the backoff of the circuit breaker:
	// the time until a request is let through to an endpoint that refused one and has
	// sent no load report since.
	MinBreakerBackoff time.Duration
	MaxBreakerBackoff time.Duration
	// FloorInterval is the shortest time between two announcements of the same floor.
	FloorInterval time.Duration
	// ShedHold is how long lower tiers are granted nothing after a tier was shed.
	ShedHold time.Duration
	// ScanInterval is the time between two scans of the waiting asks.
	ScanInterval time.Duration
	// RevokeInterval is the time after which a revoke is repeated.
	RevokeInterval time.Duration
	// MaxQueueLen, MaxQueueTokens and MaxQueueAge bound the number, the total work
	// and the age of the waiting asks. Asks beyond a bound are refused once their
	// tier may be shed.
	MaxQueueLen    int
	MaxQueueTokens int
	MaxQueueAge    time.Duration
	// HardQueueFactor is the multiple of MaxQueueLen above which asks are refused
	// even when the tier may not be shed yet, to bound memory.
	HardQueueFactor int
	// TokensPerSlot is the pending work that an endpoint accepts per slot.
	TokensPerSlot int
	// MinRetryDelay and MaxRetryDelay bound the delay after which refused callers may
	// retry: it is MinRetryDelay plus at most MaxRetryDelay.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// MaxIdleFlows is how many workspaces without a waiting ask are kept per tier.
	MaxIdleFlows int
	// MaxEndedAsks is how many ended asks are kept to recognise repeats.
	MaxEndedAsks int
	// MaxOffers is how many asks of a tier are offered to the placer per decision;
	// the placer may decline an offer to wait for a better endpoint.
	MaxOffers int
	// PreemptOff disables preemption: no lease is revoked.
	PreemptOff bool
	// FirstTokenTier is the lowest tier that may preempt lower ones because its
	// first token would be late; by default only the top tier may.
	FirstTokenTier sr.Tier
	// Headroom slots are kept free for tiers at or above HeadroomTier.
	Headroom     int
	HeadroomTier sr.Tier
	// Warm sets how the limits of cold endpoints rise.
	Warm srwarm.Options
	// Disabled disables single mechanisms, for benchmarks and tests only.
	Disabled Disabled
}

// Disabled selects mechanisms that a benchmark or a test disables to show their
// effect. Each field describes the behaviour when it is set.
type Disabled struct {
	// FairShare serves the asks of a tier in order of arrival.
	FairShare bool
	// Ramp grants a cold endpoint all slots of its class.
	Ramp bool
	// AbandonedLeases frees the leases of a lost holder at once.
	AbandonedLeases bool
	// AwaitReport grants before the first load report after a takeover.
	AwaitReport bool
	// Floor ignores floors and grants the tiers below them.
	Floor bool
	// Settling sheds a tier without waiting until its floor is settled and the
	// cancellable work below it has ended.
	Settling bool
	// AskDedup does not recognise repeats of granted asks.
	AskDedup bool
	// Confirm grants a warm endpoint all slots of its class without waiting for
	// confirmations.
	Confirm bool
}

func (o Options) withDefaults() Options {
	orDuration(&o.GrantTTL, defaultGrantTTL)
	orDuration(&o.UnlistedTimeout, defaultUnlistedTimeout)
	orDuration(&o.MaxNetDelay, defaultMaxNetDelay)
	orDuration(&o.FirstReportWait, defaultFirstReportWait)
	orDuration(&o.MinBreakerBackoff, defaultMinBreakerBackoff)
	orDuration(&o.MaxBreakerBackoff, defaultMaxBreakerBackoff)
	orDuration(&o.FloorInterval, defaultFloorInterval)
	orDuration(&o.ShedHold, defaultShedHold)
	orDuration(&o.ScanInterval, defaultScanInterval)
	orDuration(&o.RevokeInterval, defaultRevokeInterval)
	orDuration(&o.MaxQueueAge, defaultMaxQueueAge)
	orDuration(&o.MinRetryDelay, defaultMinRetryDelay)
	orDuration(&o.MaxRetryDelay, defaultMaxRetryDelay)
	orInt(&o.MaxQueueLen, defaultMaxQueueLen)
	orInt(&o.HardQueueFactor, defaultHardQueueFactor)
	orInt(&o.MaxQueueTokens, defaultMaxQueueTokens)
	orInt(&o.TokensPerSlot, defaultTokensPerSlot)
	orInt(&o.MaxIdleFlows, defaultMaxIdleFlows)
	orInt(&o.MaxEndedAsks, defaultMaxEndedAsks)
	orInt(&o.MaxOffers, defaultMaxOffers)
	if o.FirstTokenTier == 0 {
		o.FirstTokenTier = sr.TopTier
	}
	if o.HeadroomTier == 0 {
		o.HeadroomTier = sr.TopTier
	}
	return o
}

func orDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

func orInt(n *int, fallback int) {
	if *n <= 0 {
		*n = fallback
	}
}
