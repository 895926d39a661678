package srinstance

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srgob"
)

const (
	// arriveTimeout bounds the time in which one message arrives. The longest call takes no
	// longer.
	arriveTimeout = maxCallDuration
	// replyTimeout bounds one write of a reply to an instance that does not read.
	replyTimeout = 5 * time.Second
	// idleServerTimeout is the time without a call after which a server closes a connection.
	// A client closes its own sooner.
	idleServerTimeout = 2 * idleTimeout
)

// Limits bound what an instance holds for the calls and replies of the others.
type Limits struct {
	// Memory is the memory for messages, in bytes, for calls and for replies each.
	Memory int64
	// TypeMemory is the memory for definitions of types of all connections, in bytes, TypeBytes the
	// maximum length of those of one connection.
	TypeMemory int64
	TypeBytes  int
	// Call and Reply are the maximum lengths of a call and of a reply, in bytes.
	Call, Reply int
	// Calls is the maximum number of calls of one connection that are handled at once. Further
	// ones are read when others have been answered.
	Calls int
	// Conns is the maximum number of connections to a server.
	Conns int
	// Report is called when a connection to or from an address was closed because of a limit.
	Report func(address string, err error)
}

const (
	// maxConns is the maximum number of connections to a server: two of each instance of a fleet
	// of 1,000.
	maxConns = 2048

	// entryMemory, entryMessage and entryCalls are the limits of entry instances. A message
	// holds a request, a batch of events or a manifest, and a connection the long polls of all
	// requests between two instances.
	entryMemory  = 128 << 20
	entryMessage = 32 << 20
	entryCalls   = 4096
	// entryTypeMemory and entryTypeBytes are for definitions of types.
	entryTypeMemory = 64 << 20
	entryTypeBytes  = 8 << 10

	// fleetMemoryRatio is the fraction of a forwarding instance's memory for messages. A listing of
	// 12,000 endpoints takes 6.5 MB.
	fleetMemoryRatio = 1.0 / 12
	// fleetTypeRatio is the fraction of the memory for definitions of types. The connections of a
	// fleet of 1,000 take 15 MB.
	fleetTypeRatio = 0.2
	// fleetTypeBytes is the maximum length of the definitions on one connection, in bytes. Those of
	// all calls have 1.6 kB.
	fleetTypeBytes = 4 << 10
	// maxGossipBytes is the maximum length of a call of a forwarding instance, in bytes. With
	// 1,000 instances and 12,000 endpoints, all of them in use, gossip has 360 kB.
	maxGossipBytes = 1 << 20
	// maxEntriesBytes is the maximum length of a reply, in bytes, which may be a listing. That of
	// 12,000 endpoints has 1.1 MB.
	maxEntriesBytes = 4 << 20
	// fleetCalls is the number of calls of one connection that a forwarding instance handles at
	// once. Clients send one after the other.
	fleetCalls = 1
)

// EntryLimits returns the limits of entry instances.
func EntryLimits() Limits {
	return Limits{Memory: entryMemory, TypeMemory: entryTypeMemory, TypeBytes: entryTypeBytes, Call: entryMessage, Reply: entryMessage, Calls: entryCalls, Conns: maxConns}
}

// FleetLimits returns the limits of a forwarding instance with an amount of memory in MB.
func FleetLimits(memory int, report func(address string, err error)) Limits {
	return Limits{
		Memory:     int64(float64(memory) * fleetMemoryRatio * (1 << 20)),
		TypeMemory: int64(float64(memory) * fleetTypeRatio * (1 << 20)),
		TypeBytes:  fleetTypeBytes,
		Call:       maxGossipBytes,
		Reply:      maxEntriesBytes,
		Calls:      fleetCalls,
		Conns:      maxConns,
		Report:     report,
	}
}

// options returns the options of a reader of messages on conn.
func (l Limits) options(pool *srgob.Pool, conn net.Conn, message int) srgob.Options {
	o := srgob.Options{Pool: pool, Message: message, Types: l.TypeBytes, Arrive: arriveTimeout}
	if l.Report != nil {
		o.Report = func(err error) { l.Report(conn.RemoteAddr().String(), err) }
	}
	return o
}

// clientConn is the connection of a client, with limits on the replies.
type clientConn struct {
	net.Conn
	*srgob.Reader
}

func newClientConn(conn net.Conn, p *Peers) clientConn {
	return clientConn{Conn: conn, Reader: srgob.NewReader(conn, p.limits.options(p.pool, conn, p.limits.Reply))}
}

func (c clientConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (c clientConn) Close() error {
	c.Reader.Close()
	return c.Conn.Close()
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	reader     *srgob.Reader
	acceptedAt time.Time
	// answered is set once a call is answered.
	answered atomic.Bool
}

// Close closes the connection, also if its reader waits for memory.
func (c *serverConn) Close() error {
	c.reader.Close()
	return c.Conn.Close()
}

// serverCodec is the codec of net/rpc, with limits on the calls. It reads no further call while
// Limits.Calls of them are handled.
type serverCodec struct {
	conn  *serverConn
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
	calls chan struct{}
}

func newServerCodec(conn *serverConn, calls int) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, dec: gob.NewDecoder(conn.reader), enc: gob.NewEncoder(buf), buf: buf, calls: make(chan struct{}, calls)}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.calls <- struct{}{}
	return c.dec.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec. After an error it closes the connection.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	c.conn.answered.Store(true)
	if l, ok := body.(interface{ release() }); ok {
		defer l.release()
	}
	err := c.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	for _, v := range []any{r, body} {
		if err == nil {
			err = c.enc.Encode(v)
		}
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
