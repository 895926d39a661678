package srforward

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// dump is the state of an instance that operators can retrieve as JSON.
type dump struct {
	Instance  string
	Domain    string
	Ready     bool
	Draining  bool
	Era       uint64
	Revision  uint64
	Age       string
	Version   uint64
	Reader    bool
	Fleet     int
	Alive     []string
	Endpoints []endpointDump
	Evacuated []string
	Queues    map[string]queueDump
	// Groups are those that this instance coordinates.
	Groups  map[string]groupDump
	Spent   map[string]float64
	Dropped int64
	// Opened is the number of connections opened to endpoints.
	Opened int64
}

type endpointDump struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Usable   bool
	Cold     bool
	Revision uint64
}

type queueDump struct {
	Waiting int
	Running map[string]int
	// Limits has the number of requests that an endpoint gets at most at once, by endpoint.
	Limits map[string]int
}

type groupDump struct {
	Waiting int
	Limits  map[string]int
}

// dump returns the current state.
func (n *Instance) dump() dump {
	now, bootNow := time.Now(), n.Clock()
	st := n.view.State()
	position, age := n.view.AsOf(bootNow)
	d := dump{
		Instance: n.Settings.Name,
		Domain:   n.Settings.Domain,
		Ready:    n.Ready(),
		Draining: n.draining.Load(),
		Era:      position.Era,
		Revision: position.Revision,
		Age:      age.String(),
		Reader:   n.members.watchesRegistry(now),
		Fleet:    n.members.fleetSize(now),
		Alive:    n.members.alive(now),
		Queues:   make(map[string]queueDump),
		Groups:   n.coordinator.dump(),
		Spent:    n.limits.spent(),
		Dropped:  n.Log.Dropped(),
		Opened:   n.Upstream.Opened(),
	}
	if st.Routing != nil {
		d.Version = st.Routing.Version
	}
	for domain := range st.Evacuated {
		d.Evacuated = append(d.Evacuated, domain)
	}
	for _, ids := range st.Services {
		for _, id := range ids {
			e := st.Endpoints[id]
			d.Endpoints = append(d.Endpoints, endpointDump{
				ID: id, Service: e.Service, Address: e.Address, Domain: e.Domain,
				Usable: st.Usable(id, bootNow), Cold: bootNow.Before(e.ColdUntil), Revision: e.Revision,
			})
		}
	}
	for name, q := range n.queues.all() {
		load := make(map[string]srdispatch.Load)
		q.mu.Lock()
		q.dispatcher.AddLoad(load)
		d.Queues[name] = queueDump{Waiting: q.dispatcher.Waiting(), Running: runningOf(load), Limits: q.dispatcher.Limits()}
		q.mu.Unlock()
	}
	return d
}

// operatorHandler serves the state dump, explanations of placements and the metrics.
func (n *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		// The operator may have disconnected.
		_ = e.Encode(n.dump())
	})
	mux.HandleFunc("GET "+PlacePath, n.servePlace)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.stats.write(w)
	})
	return mux
}

// readyHandler answers the balancer's health checks.
func (n *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.Codec.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
