package srforward

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

const (
	// maxOperatorHeader is the size in bytes up to which headers of health checks and operators
	// are read. net/http reads 4 kB more.
	maxOperatorHeader = 4 << 10
	// headerSlack is what a header may have on the wire beyond the configured limit, in bytes:
	// spaces that are not part of any name or value.
	headerSlack = 1 << 10
	// connMemoryRatio is the fraction of the process's memory that connections of clients may
	// take. It is less than the heap, so that the collector need not run all the time.
	connMemoryRatio = 0.4
)

// beginHeader returns the reservation of memory for a client's header. net/http has a limit for
// one header, which does not count its lines, and none for all of them.
func (n *Instance) beginHeader() srmemory.Header {
	most := 0
	if st := n.view.State(); st.Routing != nil && st.Routing.Limits.Header > 0 {
		most = st.Routing.Limits.Header + headerSlack
	}
	return srmemory.NewHeader(n.memory.Hold(), most)
}

// headerUnheld counts and logs a header that cannot be held, and returns the response to it.
// No handler runs at that point.
func (c *clientReports) headerUnheld(address string, err error) []byte {
	status, reason := http.StatusServiceUnavailable, reasonMemory
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if errors.Is(err, srmemory.ErrTooLarge) {
		status, reason = http.StatusRequestHeaderFieldsTooLarge, reasonHeaderSize
	} else {
		c.n.Codec.SetRetryAfter(h, shortRetryAfter)
	}
	c.n.stats.count("refused." + reason)
	c.n.Log.Failed("header-refused", srlog.Address, address, srlog.Status, status, srlog.Reason, reason, srlog.Error, err.Error())
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writing to a buffer does not fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// connectionRefused counts and logs a connection that was closed since there are too many.
func (c *clientReports) connectionRefused(address string) {
	c.n.stats.count("connections.refused")
	c.n.Log.Failed("connection-refused", srlog.Address, address)
}
