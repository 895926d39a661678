package srslot

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srwarm"
)

// Defaults of Options.
const (
	defaultGrantTTL     = time.Second
	defaultUnlisted     = 30 * time.Second
	defaultNetDelay     = 250 * time.Millisecond
	defaultBlindWait    = 10 * time.Second
	defaultBreakerLeast = 500 * time.Millisecond
	defaultBreakerMost  = 8 * time.Second
	defaultFloorEvery   = 500 * time.Millisecond
	defaultShedHold     = 2 * time.Second
	defaultScanEvery    = 25 * time.Millisecond
	defaultRevokeEvery  = time.Second
	defaultQueue        = 1024
	defaultHardQueue    = 8
	defaultQueueWork    = 4 << 20
	defaultQueueAge     = time.Minute
	defaultSlotWork     = 16 << 10
	defaultRetryLeast   = 200 * time.Millisecond
	defaultRetryMost    = 30 * time.Second
	defaultIdleFlows    = 1024
	defaultRemember     = 1024
	defaultTries        = 16
)

// Options sets the bounds and habits of a pool. Zero values take the defaults.
type Options struct {
	// GrantTTL is how long after its grant a lease may be started.
	GrantTTL time.Duration
	// Unlisted is how long a holder may leave a lease out of its lists, or send
	// none, before load reports decide whether the lease still runs.
	Unlisted time.Duration
	// NetDelay is the longest time that a load report or a release takes to
	// arrive: what they say about a time is sure only beyond it.
	NetDelay time.Duration
	// BlindWait is how long after a takeover without a handover an endpoint
	// without a load report is granted nothing. A negative value means no wait.
	BlindWait time.Duration
	// BreakerLeast and BreakerMost bound the time after which a request is tried at
	// an endpoint that refused one and has sent no report since.
	BreakerLeast time.Duration
	BreakerMost  time.Duration
	// FloorEvery is the time between two announcements of the same pressure.
	FloorEvery time.Duration
	// ShedHold is how long lower tiers are granted nothing after a tier was shed.
	ShedHold time.Duration
	// ScanEvery is the time between two looks at the waiting asks.
	ScanEvery time.Duration
	// RevokeEvery is the time after which a revoke is repeated.
	RevokeEvery time.Duration
	// Queue, QueueWork (tokens) and QueueAge bound the waiting asks: beyond
	// them refusals are due.
	Queue     int
	QueueWork int
	QueueAge  time.Duration
	// HardQueue is the multiple of Queue at which asks are refused even when
	// the tier may not be shed yet, to bound memory.
	HardQueue int
	// SlotWork is the pending work in tokens that an endpoint bears per slot.
	SlotWork int
	// RetryMin and RetryMax bound the time that refused callers are sent away.
	RetryMin time.Duration
	RetryMax time.Duration
	// IdleFlows is how many workspaces without a waiting ask are remembered per tier.
	IdleFlows int
	// Remember is how many ended asks are remembered for repeats.
	Remember int
	// Tries is how many asks of a tier are offered to the placer per decision
	// when it prefers to wait.
	Tries int
	// PreemptOff never revokes a lease.
	PreemptOff bool
	// FirstTier is the least important tier for whose late first tokens lower
	// work is cut; by default only the top one.
	FirstTier sr.Tier
	// Headroom slots are kept free for tiers at or above HeadroomTier.
	Headroom     int
	HeadroomTier sr.Tier
	// Warm sets the cold ramps.
	Warm srwarm.Options
	// Without turns single mechanisms off, for benches and tests only.
	Without Without
}

// Without names mechanisms that a bench or a test turns off to show what they do.
type Without struct {
	// FairShare serves asks of a tier in order of arrival.
	FairShare bool
	// Ramp grants a cold endpoint all slots of its class.
	Ramp bool
	// Orphans frees the leases of a lost holder at once.
	Orphans bool
	// Blind grants before the first report after a takeover.
	Blind bool
	// Floor grants tiers below the floor.
	Floor bool
	// Settling sheds a tier without waiting for its floor and for the
	// cancellable work below it.
	Settling bool
	// Remember forgets granted asks.
	Remember bool
	// Confirm grants a warm endpoint all slots of its class at once.
	Confirm bool
}

func (o Options) withDefaults() Options {
	orDuration(&o.GrantTTL, defaultGrantTTL)
	orDuration(&o.Unlisted, defaultUnlisted)
	orDuration(&o.NetDelay, defaultNetDelay)
	orDuration(&o.BlindWait, defaultBlindWait)
	orDuration(&o.BreakerLeast, defaultBreakerLeast)
	orDuration(&o.BreakerMost, defaultBreakerMost)
	orDuration(&o.FloorEvery, defaultFloorEvery)
	orDuration(&o.ShedHold, defaultShedHold)
	orDuration(&o.ScanEvery, defaultScanEvery)
	orDuration(&o.RevokeEvery, defaultRevokeEvery)
	orDuration(&o.QueueAge, defaultQueueAge)
	orDuration(&o.RetryMin, defaultRetryLeast)
	orDuration(&o.RetryMax, defaultRetryMost)
	orInt(&o.Queue, defaultQueue)
	orInt(&o.HardQueue, defaultHardQueue)
	orInt(&o.QueueWork, defaultQueueWork)
	orInt(&o.SlotWork, defaultSlotWork)
	orInt(&o.IdleFlows, defaultIdleFlows)
	orInt(&o.Remember, defaultRemember)
	orInt(&o.Tries, defaultTries)
	if o.FirstTier == 0 {
		o.FirstTier = sr.TopTier
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
