package srconn

import (
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// The time before the next accept, after one has failed for lack of resources or because
	// the peer left, doubles from minAcceptDelay to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// KeepAccepting returns a listener that tries again when an accept fails for lack of resources
// or because of the connection that it accepts. A net/http server ends at some of these errors.
func KeepAccepting(ln net.Listener) net.Listener { return acceptor{ln} }

type acceptor struct{ net.Listener }

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := a.Listener.Accept()
		if err == nil || !temporary(err) {
			return conn, err
		}
		time.Sleep(delay)
	}
}

// temporaryErrors are the errors after which an accept may succeed later. The second line has
// those of the accepted connection, which accept(2) passes on.
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPERM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// temporary reports whether an accept may succeed later.
func temporary(err error) bool {
	return slices.ContainsFunc(temporaryErrors, func(e error) bool { return errors.Is(err, e) })
}
