package srconn

// Client holds the two ways to send requests to endpoints: Once for requests that must
// not be repeated, Repeat for requests that are safe to repeat.
type Client struct {
	Once   *Once
	Repeat Transport
}

// NewClient returns a Client with the options o for both.
func NewClient(o Options) Client {
	return Client{Once: NewOnce(o), Repeat: NewTransport(o)}
}

// Close closes the idle connections.
func (c Client) Close() { c.Repeat.CloseIdleConnections() }
