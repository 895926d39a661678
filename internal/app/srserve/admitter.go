package srserve

import (
	"encoding/hex"
	"io"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srfleet"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/sradmit"
)

// admitter shares the admission policy among the requests of an instance.
type admitter struct {
	mu     sync.Mutex
	policy *sradmit.Admission
	fleet  *srfleet.Fleet
}

func newAdmitter(policy *sradmit.Admission, fleet *srfleet.Fleet) *admitter {
	return &admitter{policy: policy, fleet: fleet}
}

// Admit takes a request in, or returns why not.
func (a *admitter) Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	live := len(a.fleet.Live())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetLive(live)
	return a.policy.Admit(now, w)
}

// Leave says that an admitted request no longer waits.
func (a *admitter) Leave(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.Leave(workspace)
}

// Retry takes one retry from a workspace's budget, or returns why not.
func (a *admitter) Retry(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.Retry(now, w)
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
