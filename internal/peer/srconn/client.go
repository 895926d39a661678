package srconn

import "net/http"

// Client sends to endpoints both what must not be repeated and what may be.
type Client struct {
	Once   *Once
	Repeat *http.Transport
}

// NewClient returns a Client.
func NewClient(o Options) Client {
	return Client{Once: NewOnce(o), Repeat: NewTransport(o)}
}

// Close closes the idle connections.
func (c Client) Close() { c.Repeat.CloseIdleConnections() }
