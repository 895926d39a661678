package srforward

import (
	"encoding/json"
	"net/http"
	"time"
)

// dump is the state of a process for people.
type dump struct {
	Instance  string
	Domain    string
	Ready     bool
	Draining  bool
	Revision  uint64
	Age       string
	Version   uint64
	Reader    bool
	Fleet     int
	Alive     []string
	Endpoints []endpointDump
	Evacuated []string
	Queues    map[string]queueDump
	Spent     map[string]float64
	Dropped   int64
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
}

// dump collects the state.
func (n *Instance) dump() dump {
	now, boot := time.Now(), n.Clock()
	st := n.view.State()
	revision, age := n.view.AsOf(boot)
	d := dump{
		Instance: n.Settings.Name,
		Domain:   n.Settings.Domain,
		Ready:    n.Ready(),
		Draining: n.draining.Load(),
		Revision: revision,
		Age:      age.String(),
		Reader:   n.members.reads(now),
		Fleet:    n.members.size(now),
		Alive:    n.members.alive(now),
		Queues:   make(map[string]queueDump),
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
				Usable: st.Usable(id, boot), Cold: boot.Before(e.ColdUntil), Revision: e.Revision,
			})
		}
	}
	for name, q := range n.queues.all() {
		running := make(map[string]int)
		q.mu.Lock()
		q.service.Running(running)
		d.Queues[name] = queueDump{Waiting: q.service.Waiting(), Running: running}
		q.mu.Unlock()
	}
	return d
}

// operate serves the state dump and the figures.
func (n *Instance) operate() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		// The reader of the page may have left.
		_ = e.Encode(n.dump())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.figures.write(w)
	})
	return mux
}

// readiness answers the balancer.
func (n *Instance) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.Wire.Ready(), func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
