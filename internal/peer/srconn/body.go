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
	// maxRefusalBytes is the maximum size of the body of a refusal.
	maxRefusalBytes = 1 << 10
	// maxDrainBytes is how much of an unread body is read to keep its connection
	// reusable.
	maxDrainBytes = 4 << 10
)

// ErrBodyTooLong means that a body is longer than its limit.
var ErrBodyTooLong = errors.New("body is too long")

// URL returns the URL of a path at a peer. The address must be an IP address with a
// port.
func URL(address, path string) (string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", errors.Wrapf(sr.ErrInvalid, "srconn: address %q is not IP:PORT", address)
	}
	return "http://" + address + path, nil
}

// ReadBody reads a whole body of at most limit bytes. It returns ErrBodyTooLong for a
// longer one, and ErrMalformed for one with a malformed trailer.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "srconn: read body")
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(ErrBodyTooLong, "srconn: more than %d bytes", limit)
	}
	return body, errors.Wrap(CheckTrailer(resp), "srconn: read body")
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that
// nothing shows whether its body is complete.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// CloseBody closes the body of a response. A short unread remainder is read first, so
// that the connection can be reused.
func CloseBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// ReadRefusal reads the body of a refusal, which has a size limit.
func ReadRefusal(resp *http.Response) ([]byte, error) { return ReadBody(resp, maxRefusalBytes) }

// NotTaken reports whether the body of a response with status 503 states that the
// request will not run. It returns false for every other body, also for one that is
// too long.
func NotTaken(body []byte) bool {
	var refusal srwire.Refusal
	if len(body) > maxRefusalBytes || json.Unmarshal(body, &refusal) != nil {
		return false
	}
	return refusal.Taken != nil && !*refusal.Taken
}
