package srconn

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNoSocket means that a connection is not a socket, such as one in memory.
var ErrNoSocket = errors.New("connection is not a socket")

// Socket returns access to the socket of a connection. It returns ErrNoSocket for other
// connections.
func Socket(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, ErrNoSocket
	}
	return sc.SyscallConn()
}

// SetUnackedTimeout limits the time for which bytes that were sent on a socket may stay
// unacknowledged, also because the peer does not read. Accepted sockets inherit it.
func SetUnackedTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	ctl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if ctl != nil {
		return ctl
	}
	return err
}

// Peek returns the first bytes that can be read from a socket, at most size. Without any it
// returns io.EOF if the peer has closed its side, and another error if the connection was reset.
// The socket reports a reset once only: later reads end with io.EOF.
func Peek(fd uintptr, size int) ([]byte, error) {
	data := make([]byte, size)
	n, _, err := syscall.Recvfrom(int(fd), data, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return data[:n], nil
	case err == nil:
		return nil, io.EOF
	case err == syscall.EAGAIN:
		return nil, nil
	}
	return nil, err
}

// Unread is Peek for a connection. It returns ErrNoSocket for one that is no socket.
func Unread(c net.Conn, size int) (data []byte, err error) {
	raw, err := Socket(c)
	if err != nil {
		return nil, err
	}
	if ctl := raw.Control(func(fd uintptr) { data, err = Peek(fd, size) }); ctl != nil {
		return nil, ctl
	}
	return data, err
}
