package srplainservice

import (
	"io"
	"net/http"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

type handler struct{ s *Service }

// Handler serves s over HTTP. The paths below /control/ inject faults and read
// counters.
func Handler(s *Service) http.Handler {
	h := handler{s: s}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{operation}", h.call)
	mux.HandleFunc("GET /v1/load", h.load)
	mux.HandleFunc("POST /control/fault", h.fault)
	mux.HandleFunc("GET /control/count", h.count)
	mux.HandleFunc("GET /control/stats", h.stats)
	return mux
}

func (h handler) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := h.s.Call(r.Context(), sr.Call{
		Operation: r.PathValue("operation"),
		ID:        r.Header.Get(srwire.HeaderRequestID),
		Workspace: r.Header.Get(srwire.HeaderWorkspace),
		Body:      string(body),
	})
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", srwire.Text)
	w.WriteHeader(answer.Code)
	_, _ = io.WriteString(w, answer.Body)
}

func (h handler) load(w http.ResponseWriter, r *http.Request) {
	l, err := h.s.Load(r.Context())
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	srweb.WriteJSON(w, http.StatusOK, srwire.NewLoad(l))
}

func (h handler) fault(w http.ResponseWriter, r *http.Request) {
	if err := h.s.SetFault(Fault(r.URL.Query().Get("kind"))); err != nil {
		srweb.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) count(w http.ResponseWriter, r *http.Request) {
	srweb.WriteJSON(w, http.StatusOK, h.s.Runs(r.URL.Query().Get("id")))
}

func (h handler) stats(w http.ResponseWriter, _ *http.Request) {
	srweb.WriteJSON(w, http.StatusOK, h.s.Stats())
}
