// Package srplatform is the HTTP client of the platform's configuration service and
// instance list. It is read-only. docs/PROTOCOLS.md specifies the protocol.
//
// # Usage
//
//	c, err := srplatform.New(srplatform.Options{Address: "10.0.0.1:9000"})
//	defer c.Close()
//	v, err := c.Watch(ctx, "manifest", after)
package srplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

var _ sr.Platform = (*Client)(nil)

const (
	// MaxValueBytes is the maximum size of a value, in bytes.
	MaxValueBytes = 1 << 20

	// maxListBytes is the maximum size of the instance list.
	maxListBytes = 1 << 20
	// maxInstances is the maximum number of instances in the list.
	maxInstances     = 4096
	defaultWatchWait = 30 * time.Second
	// minWatchInterval is the minimum time between the starts of two calls of a watch.
	minWatchInterval = time.Second
	// idleTimeoutDivisor is the ratio of the idle timeout to the longest default wait.
	// The rest of the idle timeout is left for the response to arrive.
	idleTimeoutDivisor = 2
)

// Options configure a Client.
type Options struct {
	Address string
	Conn    srconn.Options
	// Wait is how long the service holds one call of a watch open. It must be shorter
	// than the idle timeout of the connection.
	Wait time.Duration
}

// Client reads values and the instance list. It is safe for concurrent use.
type Client struct {
	address   string
	wait      time.Duration
	transport srconn.Transport
}

// New returns a Client. It returns ErrInvalid when the address is not IP:PORT or the
// wait is below one second or not shorter than the idle timeout.
func New(o Options) (*Client, error) {
	if _, err := srconn.URL(o.Address, "/"); err != nil {
		return nil, errors.Wrap(err, "srplatform")
	}
	idle := o.Conn.Timeouts.Idle
	if idle <= 0 {
		idle = srconn.DefaultTimeouts().Idle
	}
	if o.Wait <= 0 {
		o.Wait = max(min(defaultWatchWait, idle/idleTimeoutDivisor).Truncate(time.Second), time.Second)
	}
	if o.Wait < time.Second || o.Wait >= idle {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: wait of %v is below 1s or not shorter than the idle timeout of %v", o.Wait, idle)
	}
	return &Client{address: o.Address, wait: o.Wait, transport: srconn.NewTransport(o.Conn)}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read implements sr.Platform.
func (c *Client) Read(ctx context.Context, key string) (sr.Value, error) {
	v, _, err := c.fetchValue(ctx, key, "")
	return v, err
}

// Watch implements sr.Platform. It repeats the call each time the wait ends without a
// new revision.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (sr.Value, error) {
	query := fmt.Sprintf("?after=%d&wait=%d", after, int(c.wait/time.Second))
	for {
		interval := time.After(minWatchInterval)
		v, ok, err := c.fetchValue(ctx, key, query)
		switch {
		case err != nil:
			return sr.Value{}, err
		case ok && v.Revision > after:
			return v, nil
		case ok:
			return sr.Value{}, errors.Wrapf(sr.ErrInvalid, "srplatform: %s: revision %d is not above %d", key, v.Revision, after)
		}
		select {
		case <-interval:
		case <-ctx.Done():
			return sr.Value{}, errors.Wrap(ctx.Err(), "srplatform: watch")
		}
	}
}

// Instances implements sr.Platform. An entry whose address is not IP:PORT is an error.
func (c *Client) Instances(ctx context.Context) ([]sr.Instance, error) {
	resp, err := c.get(ctx, "/v1/instances")
	if err != nil {
		return nil, err
	}
	defer srconn.CloseBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, "instances")
	}
	body, err := srconn.ReadBody(resp, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("srplatform: instances: %w: %w", err, sr.ErrUnreachable)
	}
	var list []srwire.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: instances: %v", err)
	}
	return convertInstances(list)
}

// fetchValue reads a value. ok is false when the wait ended without a new revision.
func (c *Client) fetchValue(ctx context.Context, key, query string) (v sr.Value, ok bool, err error) {
	resp, err := c.get(ctx, "/v1/values/"+escapeKey(key)+query)
	if err != nil {
		return sr.Value{}, false, err
	}
	defer srconn.CloseBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return sr.Value{}, false, nil
	default:
		return sr.Value{}, false, statusError(resp, key)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(srwire.HeaderRevision), 10, 64)
	if err != nil {
		return sr.Value{}, false, errors.Wrapf(sr.ErrInvalid, "srplatform: %s: revision: %v", key, err)
	}
	data, err := srconn.ReadBody(resp, MaxValueBytes)
	if err != nil {
		return sr.Value{}, false, fmt.Errorf("srplatform: %s: %w: %w", key, err, sr.ErrUnreachable)
	}
	return sr.Value{Revision: revision, Data: data}, true, nil
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: %v", err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("srplatform: %s: %w: %w", path, err, sr.ErrUnreachable)
	}
	return resp, nil
}

// statusError converts the status of a failed request for subject into an error.
func statusError(resp *http.Response, subject string) error {
	err := sr.ErrUnreachable
	switch resp.StatusCode {
	case http.StatusNotFound:
		err = sr.ErrMissing
	case http.StatusTooManyRequests:
		err = sr.ErrLimited
	}
	return errors.Wrapf(err, "srplatform: %s: status %d", subject, resp.StatusCode)
}

// convertInstances validates the entries of the instance list and converts them.
func convertInstances(list []srwire.Instance) ([]sr.Instance, error) {
	if len(list) > maxInstances {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: list of %d instances is longer than %d", len(list), maxInstances)
	}
	instances := make([]sr.Instance, 0, len(list))
	for _, in := range list {
		if _, err := netip.ParseAddrPort(in.Address); err != nil {
			return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: instance address %q is not IP:PORT", in.Address)
		}
		instances = append(instances, sr.Instance(in))
	}
	return instances, nil
}

// escapeKey escapes a key for use in a path. Slashes remain separators.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
