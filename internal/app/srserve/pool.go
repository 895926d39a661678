package srserve

import (
	"math/rand/v2"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// classAwarePool is a pool that passes the endpoint classes of each manifest, with
// their initial rates, to its placer.
type classAwarePool struct {
	sr.Pool
	placer *srroute.Placer
}

// Configure applies a manifest.
func (p classAwarePool) Configure(now time.Time, c sr.PoolConfig) {
	classes := make(map[string]sr.Class)
	for _, e := range c.Endpoints {
		classes[e.Class.Name] = e.Class
	}
	p.placer.SetClasses(classes)
	p.Pool.Configure(now, c)
}

// newPool returns a new pool with its placer.
func (i *Instance) newPool(sr.PoolID) sr.Pool {
	seed := i.nextSeed()
	placer := srroute.New(srroute.Options{Seed: seed})
	opts := srslot.Options{GrantTTL: i.deps.Settings.Lease}
	rng := rand.New(rand.NewPCG(seed, i.deps.Self.Incarnation))
	return classAwarePool{Pool: srslot.New(opts, placer, rng), placer: placer}
}
