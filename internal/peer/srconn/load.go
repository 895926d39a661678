package srconn

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

const (
	// maxStartBytes is the maximum length of the identifier of an engine process's run.
	maxStartBytes = 128
	// maxAgeMicroseconds is the maximum age of a load report, in microseconds.
	maxAgeMicroseconds = int64(24 * time.Hour / time.Microsecond)
)

// Load requests a load report of at most limit bytes. It returns ErrUnreachable when
// the endpoint does not return one and ErrInvalid when the report is malformed or has
// values out of range.
func Load(t http.RoundTripper, req *http.Request, limit int64) (sr.Load, error) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return sr.Load{}, fmt.Errorf("%s: %w: %w", req.URL.Host, err, sr.ErrUnreachable)
	}
	defer CloseBody(resp)
	if resp.StatusCode != http.StatusOK {
		return sr.Load{}, errors.Wrapf(sr.ErrUnreachable, "%s answered status %d", req.URL.Host, resp.StatusCode)
	}
	body, err := ReadBody(resp, limit)
	if err != nil {
		return sr.Load{}, fmt.Errorf("%s: %w: %w", req.URL.Host, err, sr.ErrUnreachable)
	}
	var l srwire.Load
	if err := json.Unmarshal(body, &l); err != nil {
		return sr.Load{}, errors.Wrapf(sr.ErrInvalid, "%s: %v", req.URL.Host, err)
	}
	if err := checkLoad(l); err != nil {
		return sr.Load{}, errors.Wrap(err, req.URL.Host)
	}
	return l.Load(), nil
}

// checkLoad validates a load report.
func checkLoad(l srwire.Load) error {
	if l.Age < 0 || l.Age > maxAgeMicroseconds {
		return errors.Wrapf(sr.ErrInvalid, "age of %d microseconds is out of range", l.Age)
	}
	if l.Start == "" || len(l.Start) > maxStartBytes {
		return errors.Wrapf(sr.ErrInvalid, "start has an invalid length of %d bytes", len(l.Start))
	}
	if l.Running < 0 || l.Waiting < 0 || l.Cached < 0 {
		return errors.Wrap(sr.ErrInvalid, "running, waiting or cached is negative")
	}
	for i := 1; i < len(l.Events); i++ {
		if l.Events[i].Seq <= l.Events[i-1].Seq {
			return errors.Wrapf(sr.ErrInvalid, "cache event %d follows cache event %d", l.Events[i].Seq, l.Events[i-1].Seq)
		}
	}
	return nil
}
