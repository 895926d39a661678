package srserve

import (
	"math/rand/v2"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srroute"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srslot"
)

// classedPool tells its placer the seed rates of each manifest.
type classedPool struct {
	sr.Pool
	placer *srroute.Placer
}

// Configure applies a manifest.
func (p classedPool) Configure(now time.Time, c sr.PoolConfig) {
	classes := make(map[string]sr.Class)
	for _, e := range c.Endpoints {
		classes[e.Class.Name] = e.Class
	}
	p.placer.SetClasses(classes)
	p.Pool.Configure(now, c)
}

// newPool returns the policy of one pool.
func (i *Instance) newPool(sr.PoolID) sr.Pool {
	seed := i.nextSeed()
	placer := srroute.New(srroute.Options{Seed: seed})
	opts := srslot.Options{GrantTTL: i.deps.Settings.Lease}
	rng := rand.New(rand.NewPCG(seed, i.deps.Self.Incarnation))
	return classedPool{Pool: srslot.New(opts, placer, rng), placer: placer}
}
