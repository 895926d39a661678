// Package srweb holds what the HTTP servers of the stand-ins share: bodies in
// JSON, broken connections, and a server that ends with its context.
//
// # Usage
//
//	err := srweb.Serve(ctx, listener, handler)
package srweb

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

const (
	// MaxBody is the greatest size of a request body in bytes.
	MaxBody = 8 << 20

	maxHeader     = 16 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// Serve answers requests at l until ctx ends, then breaks every connection.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{
		Handler:           http.MaxBytesHandler(h, MaxBody),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "srweb: serve")
}

// Break ends the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Write answers with v in JSON.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", srwire.JSON)
	w.WriteHeader(code)
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of r into v. When it fails it has answered.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Uint returns a query parameter, 0 when it is not there. When it fails it has
// answered.
func UintParam(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		http.Error(w, name+" is not a number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// Fail answers an error of a stand-in, or breaks the connection when the
// stand-in is gone.
func WriteError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, sr.ErrNotTaken):
		WriteJSON(w, http.StatusServiceUnavailable, srwire.NotTaken())
	case errors.Is(err, sr.ErrNotSent), errors.Is(err, sr.ErrConnectionLost), errors.Is(err, sr.ErrUnreachable):
		Abort()
	case errors.Is(err, sr.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, sr.ErrNoStream), errors.Is(err, sr.ErrMissing):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, sr.ErrLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
