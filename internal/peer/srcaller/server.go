package srcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/http/requests/server"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// bodiesAtOnce is the number of bodies of the maximum size that may be read at once. Shorter
	// ones count by their size.
	bodiesAtOnce = 32
	// lingerTimeout is how long a caller whose body was given up may take to read why.
	lingerTimeout = 500 * time.Millisecond
)

// writerKey is the context key of the http.ResponseWriter.
type writerKey struct{}

// writeTimeoutKey is the context key of the write timeout.
type writeTimeoutKey struct{}

// Handler returns the HTTP handler of the caller interface.
func (c *Caller) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(requests.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	server.Mount(mux, s)
	return c.bufferBody(mux)
}

// NewServer returns an HTTP server for the caller interface, with the limits on sizes and the
// timeouts of its options. The timeouts of headers and of idle connections are those of the
// connections.
func NewServer(c *Caller) *http.Server {
	return &http.Server{
		Handler:        c.Handler(),
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// bufferBody reads the whole body, within the limits on its size and time, before the
// request is handled.
func (c *Caller) bufferBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := c.bodies.Hold()
		defer held.Release()
		body, err := c.readBody(w, r, held)
		if err != nil {
			writeProblem(w, err)
			return
		}
		r.Body = &heldBody{rest: bytes.NewReader(body), held: held}
		ctx := context.WithValue(r.Context(), writerKey{}, w)
		ctx = context.WithValue(ctx, writeTimeoutKey{}, c.opts.Write)
		next.ServeHTTP(w, r.WithContext(ctx))
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	})
}

// heldBody is a body whose memory counts until it has been read. The request is decoded from it,
// and counts as a record then.
type heldBody struct {
	rest *bytes.Reader
	held *srmemory.Reservation
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if b.rest.Len() == 0 {
		b.rest.Reset(nil)
		b.held.Release()
	}
	return n, err
}

func (b *heldBody) Close() error { return nil }

// countedReader takes the memory of what it reads from a budget. It returns errNoMemory when there
// is none.
type countedReader struct {
	io.Reader
	held *srmemory.Reservation
}

func (r countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.held.Grow(int64(n)) {
		return n, errNoMemory
	}
	return n, err
}

// errNoMemory means that the bodies of other requests use up the memory for bodies.
var errNoMemory = errors.New("srcaller: no memory for the body")

func (c *Caller) readBody(w http.ResponseWriter, r *http.Request, held *srmemory.Reservation) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(c.opts.ReadBody))
	body, err := io.ReadAll(countedReader{Reader: http.MaxBytesReader(w, r.Body, c.opts.Body), held: held})
	end := time.Time{}
	if err != nil {
		// net/http reads on before it closes the connection.
		end = time.Now().Add(lingerTimeout)
	}
	_ = controller.SetReadDeadline(end)
	return body, errors.Wrap(err, "srcaller: read body")
}

// writeProblem answers a request whose body could not be read and closes the connection.
func writeProblem(w http.ResponseWriter, err error) {
	status := http.StatusRequestTimeout
	p := newProblem("invalid", "the body did not arrive whole in time", sr.OutcomeNotRun)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
		p = newProblem("too-large", "the body is larger than the limit", sr.OutcomeNotRun)
	}
	if errors.Is(err, errNoMemory) {
		status = http.StatusServiceUnavailable
		p = newProblem("overloaded", "the bodies of other requests use up the memory", sr.OutcomeNotRun)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newProblemBody(p, status))
}

// problemBody is the JSON body of a refusal.
type problemBody struct {
	Name    string  `json:"name"`
	Reason  string  `json:"reason"`
	Outcome string  `json:"outcome"`
	Ticket  *string `json:"ticket,omitempty"`
	Retry   *int    `json:"retry,omitempty"`
	status  int
}

func newProblemBody(p *requests.Problem, status int) problemBody {
	return problemBody{
		Name:    p.Name,
		Reason:  p.Reason,
		Outcome: p.Outcome,
		Ticket:  p.Ticket,
		Retry:   p.Retry,
		status:  status,
	}
}

// StatusCode implements goahttp.Statuser.
func (p problemBody) StatusCode() int { return p.status }

// formatError converts every error into a refusal. The HTTP status of a Problem is
// set by the generated code.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var p *requests.Problem
	if errors.As(err, &p) {
		return newProblemBody(p, http.StatusInternalServerError)
	}
	var named *goa.ServiceError
	if errors.As(err, &named) && !named.Fault {
		return newProblemBody(newProblem("invalid", named.Message, sr.OutcomeNotRun), http.StatusBadRequest)
	}
	return newProblemBody(newProblem("unknown-outcome", err.Error(), sr.OutcomeUnknown), http.StatusInternalServerError)
}

// extendWriteDeadline restarts the write timeout for the next write to the caller.
func extendWriteDeadline(ctx context.Context) {
	w, ok := ctx.Value(writerKey{}).(http.ResponseWriter)
	if !ok {
		return
	}
	timeout, _ := ctx.Value(writeTimeoutKey{}).(time.Duration)
	if timeout > 0 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	}
}
