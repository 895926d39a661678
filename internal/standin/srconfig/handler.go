package srconfig

import (
	"io"
	"net/http"
	"strconv"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

// maxWaitSeconds bounds the query parameter wait, so that it fits a time.Duration.
// Store.Poll waits for at most Config.Wait.
const maxWaitSeconds = 3600

type handler struct{ s *Store }

// Handler serves s over HTTP. The paths below /control/ publish values, inject
// faults and read counters.
func Handler(s *Store) http.Handler {
	h := handler{s: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", h.value)
	mux.HandleFunc("GET /v1/instances", h.instances)
	mux.HandleFunc("PUT /control/values/{key...}", h.set)
	mux.HandleFunc("POST /control/replay/{key...}", h.replay)
	mux.HandleFunc("PUT /control/instances", h.setInstances)
	mux.HandleFunc("POST /control/stop", h.toggle(s.SetStopped))
	mux.HandleFunc("POST /control/stale", h.toggle(s.SetStale))
	mux.HandleFunc("GET /control/calls", h.calls)
	return mux
}

func (h handler) value(w http.ResponseWriter, r *http.Request) {
	after, ok := srweb.UintParam(w, r, "after")
	if !ok {
		return
	}
	wait, ok := srweb.UintParam(w, r, "wait")
	if !ok {
		return
	}
	v, ok, err := h.readOrPoll(r, after, min(wait, maxWaitSeconds))
	switch {
	case err != nil:
		srweb.WriteError(w, err)
	case !ok:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set(srwire.HeaderRevision, strconv.FormatUint(v.Revision, 10))
		_, _ = w.Write(v.Data)
	}
}

// readOrPoll returns the value when its revision is above after. It polls for such
// a revision when wait, in seconds, is above 0.
func (h handler) readOrPoll(r *http.Request, after, wait uint64) (sr.Value, bool, error) {
	key := r.PathValue("key")
	if wait > 0 {
		return h.s.Poll(r.Context(), key, after, time.Duration(wait)*time.Second)
	}
	v, err := h.s.Read(r.Context(), key)
	return v, err == nil && v.Revision > after, err
}

func (h handler) instances(w http.ResponseWriter, r *http.Request) {
	list, err := h.s.Instances(r.Context())
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	body := make([]srwire.Instance, 0, len(list))
	for _, in := range list {
		body = append(body, srwire.Instance(in))
	}
	srweb.WriteJSON(w, http.StatusOK, body)
}

func (h handler) set(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := h.s.Set(r.PathValue("key"), data)
	h.writeRevision(w, revision, err)
}

func (h handler) replay(w http.ResponseWriter, r *http.Request) {
	old, ok := srweb.UintParam(w, r, "revision")
	if !ok {
		return
	}
	revision, err := h.s.Replay(r.PathValue("key"), old)
	h.writeRevision(w, revision, err)
}

// writeRevision answers with the revision of a published value, or with err.
func (h handler) writeRevision(w http.ResponseWriter, revision uint64, err error) {
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	w.Header().Set(srwire.HeaderRevision, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) setInstances(w http.ResponseWriter, r *http.Request) {
	var body []srwire.Instance
	if !srweb.ReadJSON(w, r, &body) {
		return
	}
	list := make([]sr.Instance, 0, len(body))
	for _, in := range body {
		list = append(list, sr.Instance(in))
	}
	if err := h.s.SetInstances(list); err != nil {
		srweb.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// toggle turns a fault on or off according to the query parameter "on".
func (h handler) toggle(set func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		on, err := strconv.ParseBool(r.URL.Query().Get("on"))
		if err != nil {
			http.Error(w, "on is neither true nor false", http.StatusBadRequest)
			return
		}
		set(on)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h handler) calls(w http.ResponseWriter, _ *http.Request) {
	srweb.WriteJSON(w, http.StatusOK, h.s.Calls())
}
