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

// Dump is the state of a process for people and programs.
type Dump struct {
	Instance string
	Domain   string
	Uptime   string
	Ready    bool
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

// ManifestDump is the manifest in force and what became of the offered ones.
type ManifestDump struct {
	Version sr.Version
	Counts  srmanifest.Counts
	// Problem is why the last complete manifest was kept out, "" when none was
	// since the one in force.
	Problem string
	// Reader is the state of the reader of the configuration service.
	Reader srmanifest.ReaderState
	Out    []string
}

// RecordDump says how many decisions are kept for explain.
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

// State returns the state of the instance for JSON.
func (i *Instance) State(ctx context.Context) any { return i.Dump(ctx) }

// Metrics returns every metric by name.
func (i *Instance) Metrics() map[string]map[string]any {
	all := make(map[string]map[string]any)
	if r, ok := i.deps.Metrics.(*metrics.StandardRegistry); ok {
		all = r.GetAll()
	}
	return all
}

// Ask returns the decisions for a ticket from whichever instance issued it.
func (i *Instance) Ask(ctx context.Context, ticket string) (sr.Explanation, error) {
	return i.entry.Ask(ctx, ticket)
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
			Proved:      m.Proved,
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
