package srserve

import (
	"encoding/hex"
	"io"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srfleet"
)

// admitter shares the admission policy among the requests of an instance.
type admitter struct {
	mu    sync.Mutex
	admit tmpAdmit
	fleet *srfleet.Fleet
}

func newAdmitter(a tmpAdmit, fleet *srfleet.Fleet) *admitter {
	return &admitter{admit: a, fleet: fleet}
}

// Admit refuses a request over the workspace's rate or queue.
func (a *admitter) Admit(now time.Time, w sr.Workspace, waiting int) (sr.Refusal, bool) {
	live := len(a.fleet.Live())
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admit.Admit(now, w, live, waiting)
}

// Retry reports whether the retry budget allows one more try.
func (a *admitter) Retry(now time.Time, workspace string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admit.Retry(now, workspace)
}

// newStreamNames returns a function that draws unguessable stream names.
func newStreamNames(random io.Reader) func() string {
	return func() string {
		name := make([]byte, streamNameBytes)
		if _, err := io.ReadFull(random, name); err != nil {
			panic("srserve: the random source failed: " + err.Error())
		}
		return hex.EncodeToString(name)
	}
}
