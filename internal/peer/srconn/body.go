package srconn

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

const (
	// maxRefusal is the greatest size of a refusal in bytes.
	maxRefusal = 1 << 10
	// maxDrain is the most bytes read to keep a connection in use.
	maxDrain = 4 << 10
)

// URL returns the URL of a path at a peer. The address must be an IP number
// with a port.
func URL(address, path string) (string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", errors.Wrapf(sr.ErrInvalid, "srconn: address %q is not IP:PORT", address)
	}
	return "http://" + address + path, nil
}

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "srconn: read body")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("srconn: body is longer than %d bytes", limit)
	}
	return body, nil
}

// CloseBody reads a short rest of the body, so that the connection can be used
// again, and closes it.
func CloseBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain)
	_ = resp.Body.Close()
}

// ReadRefusal reads the body of a refusal.
func ReadRefusal(resp *http.Response) ([]byte, error) { return ReadBody(resp, maxRefusal) }

// NotTaken reports whether a body of status 503 says that the request does not
// run. A body that is too long or is anything else says nothing.
func NotTaken(body []byte) bool {
	var refusal srwire.Refusal
	if len(body) > maxRefusal || json.Unmarshal(body, &refusal) != nil {
		return false
	}
	return refusal.Taken != nil && !*refusal.Taken
}
