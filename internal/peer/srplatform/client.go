// Package srplatform reads the platform's configuration service and instance
// list over HTTP, by the protocol in docs/PROTOCOLS.md. It never writes.
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
	// MaxValue is the greatest size of a value in bytes.
	MaxValue = 1 << 20

	maxList      = 1 << 20
	maxInstances = 4096
	defaultWait  = 30 * time.Second
	// minPoll is the least time between two calls of a watch.
	minPoll = time.Second
	// spare is the part of the idle timeout that a watch leaves for the answer.
	spare = 2
)

// Options configure a Client.
type Options struct {
	Address string
	Conn    srconn.Options
	// Wait is how long one call of a watch waits at the service. It is shorter
	// than the idle timeout of the connection.
	Wait time.Duration
}

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	address   string
	wait      time.Duration
	transport *http.Transport
}

// New returns a Client. ErrInvalid when the address is not IP:PORT or the wait
// does not fit into the idle timeout.
func New(o Options) (*Client, error) {
	if _, err := srconn.URL(o.Address, "/"); err != nil {
		return nil, errors.Wrap(err, "srplatform")
	}
	idle := o.Conn.Timeouts.Idle
	if idle <= 0 {
		idle = srconn.DefaultTimeouts().Idle
	}
	if o.Wait <= 0 {
		o.Wait = max(min(defaultWait, idle/spare).Truncate(time.Second), time.Second)
	}
	if o.Wait < time.Second || o.Wait >= idle {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: wait of %v with an idle timeout of %v", o.Wait, idle)
	}
	return &Client{address: o.Address, wait: o.Wait, transport: srconn.NewTransport(o.Conn)}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read implements sr.Platform.
func (c *Client) Read(ctx context.Context, key string) (sr.Value, error) {
	v, _, err := c.value(ctx, key, "")
	return v, err
}

// Watch implements sr.Platform. It repeats the call each time its wait is over.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (sr.Value, error) {
	query := fmt.Sprintf("?after=%d&wait=%d", after, int(c.wait/time.Second))
	for {
		pace := time.After(minPoll)
		v, ok, err := c.value(ctx, key, query)
		switch {
		case err != nil:
			return sr.Value{}, err
		case ok && v.Revision > after:
			return v, nil
		case ok:
			return sr.Value{}, errors.Wrapf(sr.ErrInvalid, "srplatform: %s: revision %d is not above %d", key, v.Revision, after)
		}
		select {
		case <-pace:
		case <-ctx.Done():
			return sr.Value{}, errors.Wrap(ctx.Err(), "srplatform: watch")
		}
	}
}

// Instances implements sr.Platform. Entries without an address by IP number are
// an error.
func (c *Client) Instances(ctx context.Context) ([]sr.Instance, error) {
	resp, err := c.get(ctx, "/v1/instances")
	if err != nil {
		return nil, err
	}
	defer srconn.CloseBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, failure(resp, "instances")
	}
	body, err := srconn.ReadBody(resp, maxList)
	if err != nil {
		return nil, errors.Wrapf(sr.ErrUnreachable, "srplatform: instances: %v", err)
	}
	var list []srwire.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: instances: %v", err)
	}
	return checked(list)
}

// value reads a value; ok is false when the wait is over.
func (c *Client) value(ctx context.Context, key, query string) (v sr.Value, ok bool, err error) {
	resp, err := c.get(ctx, "/v1/values/"+escape(key)+query)
	if err != nil {
		return sr.Value{}, false, err
	}
	defer srconn.CloseBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return sr.Value{}, false, nil
	default:
		return sr.Value{}, false, failure(resp, key)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(srwire.HeaderRevision), 10, 64)
	if err != nil {
		return sr.Value{}, false, errors.Wrapf(sr.ErrInvalid, "srplatform: %s: revision: %v", key, err)
	}
	data, err := srconn.ReadBody(resp, MaxValue)
	if err != nil {
		return sr.Value{}, false, errors.Wrapf(sr.ErrUnreachable, "srplatform: %s: %v", key, err)
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
		return nil, errors.Wrapf(sr.ErrUnreachable, "srplatform: %s: %v", path, err)
	}
	return resp, nil
}

func failure(resp *http.Response, what string) error {
	err := sr.ErrUnreachable
	switch resp.StatusCode {
	case http.StatusNotFound:
		err = sr.ErrMissing
	case http.StatusTooManyRequests:
		err = sr.ErrLimited
	}
	return errors.Wrapf(err, "srplatform: %s: status %d", what, resp.StatusCode)
}

func checked(list []srwire.Instance) ([]sr.Instance, error) {
	if len(list) > maxInstances {
		return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: %d instances, at most %d", len(list), maxInstances)
	}
	instances := make([]sr.Instance, 0, len(list))
	for _, in := range list {
		if _, err := netip.ParseAddrPort(in.Address); err != nil {
			return nil, errors.Wrapf(sr.ErrInvalid, "srplatform: instance %q is not IP:PORT", in.Address)
		}
		instances = append(instances, sr.Instance(in))
	}
	return instances, nil
}

// escape escapes each part of a key between slashes.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
