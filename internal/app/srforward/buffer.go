package srforward

import "github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"

const (
	// minBuffer is the least capacity of a buffer in bytes.
	minBuffer = 1 << 10
	// maxIdleBuffer is the capacity in bytes up to which a buffer is kept for the next event.
	maxIdleBuffer = 16 << 10
)

// buffer holds input from outside. It reserves memory before it grows.
type buffer struct {
	held  *srmemory.Reservation
	bytes []byte
}

// room makes room for n further bytes. The capacity doubles, but does not exceed most unless
// n requires it; 0 means no such limit. It returns srmemory.ErrUsedUp or srmemory.ErrShare.
func (b *buffer) room(n, most int) error {
	if cap(b.bytes)-len(b.bytes) >= n {
		return nil
	}
	size := max(2*cap(b.bytes), minBuffer)
	if most > 0 {
		size = min(size, most)
	}
	size = max(size, len(b.bytes)+n)
	if !b.held.Grow(int64(size)) {
		return b.held.Refusal(int64(size))
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.held.Shrink(int64(cap(b.bytes)))
	b.bytes = grown
	return nil
}

// append appends p, for a total of up to about most bytes.
func (b *buffer) append(p []byte, most int) error {
	if err := b.room(len(p), most); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// reset empties the buffer, and drops its memory if that is large.
func (b *buffer) reset() {
	if cap(b.bytes) > maxIdleBuffer {
		b.release()
	}
	b.bytes = b.bytes[:0]
}

// release drops the memory.
func (b *buffer) release() {
	b.held.Shrink(int64(cap(b.bytes)))
	b.bytes = nil
}
