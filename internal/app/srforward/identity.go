package srforward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
)

// identify returns the ID that the request shares with one that comes again: the same
// method, host, path, workspace and body, whatever its id, key and timeout. The request must
// have been resolved and its body read.
func (q *request) identify() string {
	d := xxhash.New()
	// Neither the request line nor a header contains the separator.
	for _, text := range []string{q.r.Method, q.r.Host, q.uri(), q.workspace.Name} {
		_, _ = d.WriteString(text + "\x00")
	}
	_, _ = d.Write(q.body)
	return srsuspect.Identity(d.Sum64())
}

// uri returns the path and query as they are sent to an endpoint.
func (q *request) uri() string {
	if q.r.URL.IsAbs() {
		return q.r.URL.RequestURI()
	}
	return q.r.RequestURI
}
