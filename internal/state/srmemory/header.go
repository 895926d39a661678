package srmemory

import "github.com/pkg/errors"

const (
	// headerByteCost is how many bytes a byte of a header takes: the buffer of its line,
	// which doubles, and its value.
	headerByteCost = 4
	// headerLineCost is how many bytes a line takes besides. Parsed and copied three times
	// on its way, a short line takes 270 to 450.
	headerLineCost = 512
)

// HeaderCost returns the memory that a header of some bytes and lines takes, in bytes.
func HeaderCost(bytes, lines int) int64 {
	return int64(bytes)*headerByteCost + int64(lines)*headerLineCost
}

// Header reserves memory for the header of an HTTP message while its bytes arrive. The zero
// value takes none.
type Header struct {
	held *Reservation
	// most is how many bytes the header may have, 0 for any number.
	most  int
	bytes int
	// reserved is what was reserved for the bytes so far.
	reserved int64
	// begun is set once a line has a character: servers ignore empty lines before a request.
	// blank is set while the current line has none, open until the header ends.
	begun bool
	blank bool
	open  bool
	err   error
}

// NewHeader returns a Header of up to most bytes, or of any length if most is 0. No memory is
// reserved if held is nil.
func NewHeader(held *Reservation, most int) Header {
	if held == nil {
		held = new(Reservation)
	}
	return Header{held: held, most: most, open: true}
}

// Add takes the bytes that have arrived next and ignores those after the header's end. It
// returns ErrTooLarge, ErrUsedUp or ErrShare, and the same error from then on.
func (h *Header) Add(b []byte) error {
	if !h.open || h.err != nil || len(b) == 0 {
		return h.err
	}
	n, lines := h.scan(b)
	h.bytes += n
	cost := HeaderCost(n, lines)
	switch {
	case h.most > 0 && h.bytes > h.most:
		h.err = errors.Wrapf(ErrTooLarge, "header of %d bytes, at most %d", h.bytes, h.most)
	case !h.held.Grow(cost):
		h.err = errors.Wrapf(h.held.Refusal(cost), "header of %d bytes", h.bytes)
	default:
		h.reserved += cost
	}
	return h.err
}

// scan returns how many of the bytes belong to the header, and how many lines these end.
func (h *Header) scan(b []byte) (n, lines int) {
	for i, c := range b {
		switch {
		case c == '\n' && h.blank && h.begun:
			h.open = false
			return i + 1, lines
		case c == '\n':
			h.blank = true
			lines++
		case c != '\r':
			h.blank, h.begun = false, true
		}
	}
	return len(b), lines
}

// Next begins with a further header, to whose length that of the earlier ones counts.
func (h *Header) Next() { h.open, h.begun, h.blank = true, false, false }

// Open reports whether the end of the header has not arrived yet.
func (h *Header) Open() bool { return h.open }

// Err returns the error of Add, nil for none.
func (h *Header) Err() error { return h.err }

// Release returns the memory.
func (h *Header) Release() {
	if h.held != nil {
		h.held.Shrink(h.reserved)
	}
	h.reserved = 0
}
