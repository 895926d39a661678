package srentry

import (
	"context"
	"crypto/rand"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtrace"
)

// raceRounds is how often the race between submissions and a shutdown is run.
const raceRounds = 5000

// newEntryWithoutManifest returns an entry without a manifest, which refuses every
// request.
func newEntryWithoutManifest(t *testing.T) *Entry {
	t.Helper()
	self := sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 1}
	issuer, err := srticket.New(self, time.Minute, rand.Reader, time.Now())
	assert.NilError(t, err)
	return New(Deps{
		Self:     self,
		Issuer:   issuer,
		Manifest: func() (sr.Manifest, bool) { return sr.Manifest{}, false },
		Record:   srtrace.New(100),
		Limits:   Limits{Requests: 10, Events: 10, Batch: 1, Retain: time.Minute},
		Metrics:  metrics.NewRegistry(),
	})
}

// A ticket submitted several times during a shutdown must not be accepted once
// and refused as not run another time: the caller of the refused copy would then
// believe that a running request had not run.
func TestShutdownRefusesATicketForAllOrNone(t *testing.T) {
	for range raceRounds {
		e := newEntryWithoutManifest(t)
		tickets, err := e.Tickets("intake", 1)
		assert.NilError(t, err)
		s := sr.Submission{Ticket: tickets[0], Request: sr.Request{Workspace: "intake"}}
		var wg sync.WaitGroup
		var mu sync.Mutex
		taken, refused := 0, 0
		for range 4 {
			wg.Go(func() {
				_, err := e.Submit(context.Background(), s)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, sr.ErrDraining) {
					refused++
				} else {
					taken++
				}
			})
		}
		wg.Go(func() {
			e.Drain()
			assert.Check(t, e.Wait(context.Background()))
		})
		wg.Wait()
		assert.Assert(t, taken == 0 || refused == 0, "%d taken, %d refused as not run", taken, refused)
	}
}
