package srforward

import (
	"path"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srsuspect"
)

// identify returns the ID that the request shares with one that comes again: that of its path,
// workspace and body, whatever else it states. Two spellings of a path have the same ID. The
// request must have been resolved and its body read.
func (q *request) identify() string {
	d := xxhash.New()
	for _, field := range []string{path.Clean(q.r.URL.Path), q.workspace.Name} {
		_, _ = d.WriteString(strconv.Quote(field))
	}
	_, _ = d.Write(q.body)
	return srsuspect.Identity(d.Sum64())
}

// identifyVariant returns the ID that the request shares with one that comes again in the same
// form: the same method, host, path, query, workspace, parts of its prompt and body, whatever its
// id, key and timeout.
func (q *request) identifyVariant() string {
	d := xxhash.New()
	fields := []string{q.r.Method, q.r.Host, q.uri(), q.workspace.Name}
	for _, p := range q.inbound.Parts {
		fields = append(fields, p.ID)
	}
	// Neither the request line nor a header contains the separators.
	_, _ = d.WriteString(strings.Join(fields, "\x00") + "\x01")
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
