package srserve

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srrequest"
)

// Dump is the state of an instance, as /v1/dump returns it.
type Dump struct {
	Instance string
	Domain   string
	Uptime   string
	Ready    bool
	// Why is why the instance is not ready, "" when it is.
	Why      string
	Leaving  bool
	Manifest ManifestDump
	Members  []MemberDump
	Majority bool
	Requests srrequest.Count
	Records  RecordDump
	Pools    []sr.PoolDump
}

// MemberDump is a live instance as this one sees it.
type MemberDump struct {
	Address     string
	Incarnation string
	Domain      string
	Leaving     bool
	// Proved reports whether an exchange with it succeeded within the lapse.
	Proved  bool
	Version uint64
}

// ManifestDump describes the manifest in force and the manifests that were offered.
type ManifestDump struct {
	Version sr.Version
	Counts  srmanifest.Counts
	// Problem is why the last complete manifest was rejected, "" if none was rejected
	// since the one in force was accepted.
	Problem string
	// Reader is the state of the reader of the configuration service.
	Reader srmanifest.ReaderState
	// Out lists the failure domains that the manifest takes out of service.
	Out []string
}

// RecordDump counts the decisions that are kept for explain, and those dropped.
type RecordDump struct {
	Kept    int
	Dropped int64
}

// Dump returns the state of the instance.
func (i *Instance) Dump(ctx context.Context) Dump {
	ready, why := i.Ready()
	kept, dropped := i.record.Len()
	return Dump{
		Instance: i.deps.Self.Address,
		Domain:   i.deps.Settings.Domain,
		Uptime:   time.Since(i.started).Round(time.Second).String(),
		Ready:    ready,
		Why:      why,
		Leaving:  i.leaving.Load(),
		Manifest: i.dumpManifest(),
		Members:  i.dumpMembers(),
		Majority: i.fleet.Majority(),
		Requests: i.entry.Count(),
		Records:  RecordDump{Kept: kept, Dropped: dropped},
		Pools:    i.owners.Dump(ctx),
	}
}

// State returns the state of the instance in a form that encodes to JSON.
func (i *Instance) State(ctx context.Context) any { return i.Dump(ctx) }

// Metrics returns the values of every metric by name.
func (i *Instance) Metrics() map[string]map[string]any {
	all := make(map[string]map[string]any)
	if r, ok := i.deps.Metrics.(*metrics.StandardRegistry); ok {
		all = r.GetAll()
	}
	return all
}

// ExplainAnywhere returns the recorded decisions for a ticket of any instance.
func (i *Instance) ExplainAnywhere(ctx context.Context, ticket string) (sr.Explanation, error) {
	return i.entry.ExplainAnywhere(ctx, ticket)
}

func (i *Instance) dumpMembers() []MemberDump {
	own, _ := i.store.Version()
	var dumps []MemberDump
	for _, m := range i.fleet.Live() {
		d := MemberDump{
			Address:     m.ID.Address,
			Incarnation: fmt.Sprintf("%016x", m.ID.Incarnation),
			Domain:      m.Domain,
			Leaving:     m.Leaving,
			Proved:      m.Acknowledged,
			Version:     m.Version.Number,
		}
		if m.ID == i.deps.Self {
			d.Version = own.Number
		}
		dumps = append(dumps, d)
	}
	return dumps
}

func (i *Instance) dumpManifest() ManifestDump {
	m, _ := i.store.Current()
	d := ManifestDump{Version: m.Version, Counts: i.store.Counts(), Reader: i.reader.State()}
	if err := i.store.Problem(); err != nil {
		d.Problem = err.Error()
	}
	for name, domain := range m.Domains {
		if domain.Out {
			d.Out = append(d.Out, name)
		}
	}
	return d
}
