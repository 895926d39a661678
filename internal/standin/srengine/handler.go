package srengine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

type handler struct{ e *Engine }

// Handler serves e over HTTP. The paths below /control/ inject faults and read
// counters.
func Handler(e *Engine) http.Handler {
	h := handler{e: e}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", h.generate)
	mux.HandleFunc("GET /v1/streams/{stream}", h.resume)
	mux.HandleFunc("DELETE /v1/streams/{stream}", h.cancel)
	mux.HandleFunc("GET /v1/load", h.load)
	mux.HandleFunc("POST /control/cold", h.control(e.GoCold))
	mux.HandleFunc("POST /control/freeze", h.control(e.Freeze))
	mux.HandleFunc("POST /control/thaw", h.control(e.Thaw))
	mux.HandleFunc("POST /control/disconnect", h.control(e.Disconnect))
	mux.HandleFunc("POST /control/speed", h.speed)
	mux.HandleFunc("GET /control/stats", h.stats)
	mux.HandleFunc("GET /control/runs", h.runs)
	return mux
}

func (h handler) generate(w http.ResponseWriter, r *http.Request) {
	var body srwire.Dispatch
	if !srweb.ReadJSON(w, r, &body) {
		return
	}
	s, err := h.e.Dispatch(r.Context(), sr.Dispatch{
		Stream:    body.Stream,
		Workspace: body.Workspace,
		Model:     body.Model,
		Prompt:    body.Prompt,
		Tokens:    body.Tokens,
	})
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	defer s.Close()
	writeStream(r.Context(), w, s)
}

func (h handler) resume(w http.ResponseWriter, r *http.Request) {
	after, ok := srweb.UintParam(w, r, "after")
	if !ok {
		return
	}
	s, err := h.e.Resume(r.Context(), r.PathValue("stream"), int(after))
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	defer s.Close()
	writeStream(r.Context(), w, s)
}

func (h handler) cancel(w http.ResponseWriter, r *http.Request) {
	if err := h.e.Cancel(r.Context(), r.PathValue("stream")); err != nil {
		srweb.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) load(w http.ResponseWriter, r *http.Request) {
	after, ok := srweb.UintParam(w, r, "after")
	if !ok {
		return
	}
	l, err := h.e.Load(r.Context(), after)
	if err != nil {
		srweb.WriteError(w, err)
		return
	}
	srweb.WriteJSON(w, http.StatusOK, srwire.NewLoad(l))
}

func (h handler) control(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h handler) speed(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err == nil {
		err = h.e.SetSpeed(factor)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) stats(w http.ResponseWriter, _ *http.Request) {
	srweb.WriteJSON(w, http.StatusOK, h.e.Stats())
}

// runs returns how often a stream, or a prompt given by its digest, was accepted.
func (h handler) runs(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if stream := q.Get("stream"); stream != "" {
		srweb.WriteJSON(w, http.StatusOK, h.e.StreamRuns(stream))
		return
	}
	digest, err := strconv.ParseUint(q.Get("digest"), 16, 64)
	if err != nil {
		http.Error(w, "digest is not a hexadecimal number", http.StatusBadRequest)
		return
	}
	srweb.WriteJSON(w, http.StatusOK, h.e.digestRuns(digest))
}

// writeStream writes the tokens of an answer, one per line, as they are generated.
func writeStream(ctx context.Context, w http.ResponseWriter, s sr.Stream) {
	w.Header().Set("Content-Type", srwire.Lines)
	w.Header().Set(srwire.HeaderStart, s.Start())
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for {
		// Flush and Encode fail only when the client has disconnected.
		if rc.Flush() != nil {
			return
		}
		t, err := s.Next(ctx)
		if err != nil {
			srweb.Abort()
		}
		if enc.Encode(srwire.NewToken(t)) != nil || t.End {
			return
		}
	}
}
