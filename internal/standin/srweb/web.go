// Package srweb holds the code that the HTTP servers of the stand-ins share: JSON
// bodies, query parameters, error answers, aborted connections, and a server that
// stops with its context.
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
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody = 8 << 20

	maxHeader     = 16 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// Serve serves requests on l until ctx is done, then closes every connection.
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

// Abort closes the connection without an answer. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// WriteJSON answers with v in JSON.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", srwire.JSON)
	w.WriteHeader(code)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the body of r into v. When it returns false, it has sent an
// error answer.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// UintParam returns a query parameter, 0 when it is missing. When it returns false,
// it has sent an error answer.
func UintParam(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	// 63 bits, so that the number fits an int.
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		http.Error(w, name+" is not a number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// WriteError answers with the status for an error of a stand-in. For an error that
// stands for a failed connection, it aborts the connection instead.
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
