package srforward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A large fleet that is killed and starts again serves soon, and so do the instances of a failure
// domain that was lost, and the others meanwhile.
func TestLargeFleetServesSoonAfterAKill(t *testing.T) {
	const (
		size  = 72
		bound = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, size, restoreSettings)
		f.put(testRouting(1, 3))
		f.run(t)
		time.Sleep(5 * time.Second)
		addresses := f.addresses()
		check := func(when string, from int) {
			t.Helper()
			ready := 0
			for _, address := range addresses[from:] {
				if f.instance(address).Ready() {
					ready++
				}
			}
			assert.Check(t, ready == size-from, "%s: %d are ready", when, ready)
		}
		check("calm", 0)
		for _, address := range addresses {
			f.replace(t.Context(), address)
		}
		time.Sleep(bound)
		check("after a kill of all", 0)
		time.Sleep(5 * time.Second)
		const lost = size / 4
		for _, address := range addresses[:lost] {
			f.setCut(address, true)
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			check("while a failure domain is lost", lost)
		}
		for _, address := range addresses[:lost] {
			f.setCut(address, false)
			f.replace(t.Context(), address)
		}
		time.Sleep(bound)
		check("after it is back", 0)
	})
}
