// Package srgob bounds the memory that a gob decoder takes for what another process sends. A
// decoder allocates what a message states: a map of any stated size, a slice of up to 10 MB
// for a few bytes, and whole messages of up to 8 GB.
//
// # Usage
//
//	pool := srgob.NewPool(16<<20, 4<<20)
//	r := srgob.NewReader(conn, srgob.Options{Pool: pool, Message: 1 << 20, Types: 16 << 10})
//	defer r.Close()
//	dec := gob.NewDecoder(r)
//
// A Reader passes on whole messages that it has checked: each count is at most what the rest
// of the message can hold. The estimated memory of a message is taken from the pool until the
// next one is read, that of definitions of types until the connection ends.
package srgob

import (
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrTooLong means that a message or the definitions of types are longer than allowed.
	ErrTooLong = errors.New("gob: message is too long")
	// ErrMalformed means that a message is no gob, or has a count that it cannot hold.
	ErrMalformed = errors.New("gob: message is malformed")
	// ErrMemory means that the pool had not enough memory for a message.
	ErrMemory = errors.New("gob: no memory for the message")
)

const (
	// firstBytes is the maximum size in bytes of the first buffer of a message, which grows as
	// bytes arrive. Gossip that names 1,000 instances fits.
	firstBytes = 32 << 10
	// headroom is the estimated memory of the elements of the first buffer, by its bytes. It is
	// taken with the buffer, so that short messages wait for memory before they hold any.
	headroom = 9
	// copies is how often the bytes of a message are held at once: in the Reader, in the
	// decoder and as strings.
	copies = 3
	// typeCopies estimates the memory of a type by the bytes of its definition: names, fields
	// and the functions that the decoder compiles.
	typeCopies = 16
)

// Options configure a Reader.
type Options struct {
	Pool *Pool
	// Message is the maximum length of a message, in bytes.
	Message int
	// Types is the maximum length of all definitions of types, in bytes.
	Types int
	// Idle is the maximum time between two values, Arrive that in which one arrives. Zero
	// stands for no limit.
	Idle   time.Duration
	Arrive time.Duration
	// Report is called with the first error that a limit has caused. It may be nil.
	Report func(error)
}

// Decode decodes one value from r with the limits of o.
func Decode(r io.Reader, o Options, v any) error {
	reader := NewReader(unconnected{Reader: r}, o)
	defer reader.Close()
	return gob.NewDecoder(reader).Decode(v)
}

// unconnected is a reader in place of a connection.
type unconnected struct {
	net.Conn
	io.Reader
}

func (u unconnected) Read(p []byte) (int, error)      { return u.Reader.Read(p) }
func (u unconnected) SetReadDeadline(time.Time) error { return nil }

// Reader reads the messages of a connection. It is not safe for concurrent use, except
// for Close.
type Reader struct {
	conn   net.Conn
	opts   Options
	check  *checker
	holder *holder
	// message is what is left of the current message.
	message []byte
	// typeBytes is the length of the definitions so far.
	typeBytes int
	// within is set between the definitions of types and the value that they precede.
	within bool
	err    error
}

// NewReader returns a Reader for what arrives on conn.
func NewReader(conn net.Conn, o Options) *Reader {
	return &Reader{conn: conn, opts: o, check: newChecker(), holder: o.Pool.hold(conn)}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(p, r.message)
	r.consume(n)
	return n, nil
}

// ReadByte implements io.ByteReader, for which a gob decoder reads no further than it needs.
func (r *Reader) ReadByte() (byte, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	b := r.message[0]
	r.consume(1)
	return b, nil
}

// consume removes n bytes from the message. An idle connection does not keep the last one.
func (r *Reader) consume(n int) {
	if r.message = r.message[n:]; len(r.message) == 0 {
		r.message = nil
	}
}

// Close returns the memory of the Reader to the pool. The connection is left open.
func (r *Reader) Close() { r.holder.close() }

// fill reads the next message if nothing is left of the last one. After an error it returns the
// same one.
func (r *Reader) fill() error {
	if len(r.message) > 0 {
		return nil
	}
	if r.err != nil {
		return r.err
	}
	if r.message, r.err = r.next(); r.err == nil {
		return nil
	}
	switch closed, evicted := r.holder.state(); {
	case evicted:
		r.err = errors.Wrap(ErrMemory, "largest of the messages that arrive")
	case closed:
		r.err = net.ErrClosed
	}
	if r.opts.Report != nil && (errors.Is(r.err, ErrTooLong) || errors.Is(r.err, ErrMalformed) || errors.Is(r.err, ErrMemory)) {
		r.opts.Report(r.err)
	}
	r.message = nil
	return r.err
}

// next returns the next message with its length.
func (r *Reader) next() ([]byte, error) {
	if !r.within {
		r.holder.release()
		if err := r.setDeadline(r.opts.Idle); err != nil {
			return nil, err
		}
	}
	head := make([]byte, 1, maxUintBytes)
	if _, err := io.ReadFull(r.conn, head); err != nil {
		return nil, err
	}
	if !r.within {
		if err := r.setDeadline(r.opts.Arrive); err != nil {
			return nil, err
		}
	}
	n := uintBytes(head[0])
	if n > maxUintBytes {
		return nil, errors.Wrap(ErrMalformed, "length")
	}
	head = head[:n]
	if _, err := io.ReadFull(r.conn, head[1:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	length, _, _ := cutUint(head)
	if length == 0 || length > uint64(r.opts.Message) {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes, want 1 to %d", length, r.opts.Message)
	}
	message, err := r.readAll(head, int(length))
	if err != nil {
		return nil, err
	}
	return message, r.admit(message[len(head):])
}

// readAll reads length bytes after head. The buffer grows with what has arrived.
func (r *Reader) readAll(head []byte, length int) ([]byte, error) {
	out := head
	for read := 0; read < length; {
		n := min(max(read, firstBytes), length-read)
		bytes := int64(n) * copies
		if read == 0 {
			bytes += int64(n) * headroom
		}
		if !r.holder.grow(bytes) {
			return nil, ErrMemory
		}
		grown := make([]byte, len(out)+n)
		copy(grown, out)
		if _, err := io.ReadFull(r.conn, grown[len(out):]); err != nil {
			return nil, unexpectedEOF(err)
		}
		out, read = grown, read+n
	}
	return out, nil
}

// admit checks a message and takes the memory of its decoded form from the pool.
func (r *Reader) admit(body []byte) error {
	cost, isType, err := r.check.message(body)
	if err != nil {
		return err
	}
	if isType {
		if r.typeBytes += len(body); r.typeBytes > r.opts.Types {
			return errors.Wrapf(ErrTooLong, "types have %d bytes, want at most %d", r.typeBytes, r.opts.Types)
		}
		if !r.holder.keep(int64(len(body)) * typeCopies) {
			return ErrMemory
		}
	}
	r.within = isType
	if extra := cost - int64(min(len(body), firstBytes))*headroom; extra > 0 && !r.holder.grow(extra) {
		return ErrMemory
	}
	if !isType {
		r.holder.arrived()
	}
	return nil
}

func (r *Reader) setDeadline(d time.Duration) error {
	if d <= 0 {
		return r.conn.SetReadDeadline(time.Time{})
	}
	return r.conn.SetReadDeadline(time.Now().Add(d))
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
