package srforward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// TestOperatorSeesThatAnEndpointSlowsDown: an endpoint that slows down at half of its slots is in
// the counters and in the dump.
func TestOperatorSeesThatAnEndpointSlowsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 8
		n := newLoneInstance()
		defer n.Log.Close()
		n.Upstream = srupstream.New(srupstream.Options{})
		ids := []string{"e-1", "e-2", "e-3"}
		var list []srdispatch.Endpoint
		for _, id := range ids {
			list = append(list, srdispatch.Endpoint{ID: id, Slots: slots, Share: slots})
		}
		n.queues.configure(map[string][]srdispatch.Endpoint{"s": list})
		q := n.queues.get("s")
		running := 0
		// The load grows and falls again, from one request at each endpoint to all slots.
		for i := range 400 {
			for target := 1 + i/20%slots; running != target; {
				for _, id := range ids {
					if running < target {
						q.update(func(now time.Time) []srdispatch.Decision {
							q.dispatcher.Adopt(now, id, 0)
							return nil
						})
						continue
					}
					q.release(id, srdispatch.Result{Unsent: true})
				}
				if running < target {
					running++
				} else {
					running--
				}
			}
			time.Sleep(100 * time.Millisecond)
			for _, id := range ids {
				took := 20 * time.Millisecond
				if id == "e-1" && running > slots/2 {
					took *= 6
				}
				q.release(id, srdispatch.Result{Pace: took})
				q.update(func(now time.Time) []srdispatch.Decision {
					q.dispatcher.Adopt(now, id, 0)
					return nil
				})
			}
		}
		limits := n.dump().Queues["s"].Limits
		assert.Assert(t, limits["e-1"] < slots, "%v", limits)
		assert.Equal(t, limits["e-2"], slots)
		var metrics strings.Builder
		n.stats.write(&metrics)
		assert.Assert(t, strings.Contains(metrics.String(), "endpoint.limit.slow "), metrics.String())
	})
}
