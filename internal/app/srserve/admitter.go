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

// admitter makes the admission policy safe for concurrent use and keeps it informed
// of the number of live instances.
type admitter struct {
	mu     sync.Mutex
	policy *sradmit.Admission
	fleet  *srfleet.Fleet
}

func newAdmitter(policy *sradmit.Admission, fleet *srfleet.Fleet) *admitter {
	return &admitter{policy: policy, fleet: fleet}
}

// Admit admits a request, or returns why it is refused.
func (a *admitter) Admit(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	live := len(a.fleet.Live())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetInstances(live)
	return a.policy.Admit(now, w)
}

// Dequeue stops counting an admitted request as waiting.
func (a *admitter) Dequeue(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.Dequeue(workspace)
}

// AdmitRetry takes one retry from a workspace's retry budget, or returns why it is
// refused.
func (a *admitter) AdmitRetry(now time.Time, w sr.Workspace) (sr.Refusal, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.AdmitRetry(now, w)
}

// newStreamNames returns a function that returns a new unguessable stream name. It
// panics if the random source fails, since no request can be sent without a name.
func newStreamNames(random io.Reader) func() string {
	return func() string {
		name := make([]byte, streamNameBytes)
		if _, err := io.ReadFull(random, name); err != nil {
			panic("srserve: cannot read the random source: " + err.Error())
		}
		return hex.EncodeToString(name)
	}
}
