package srconn

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// headState is the position of the next byte in a head.
type headState uint8

const (
	// headDone: no head is expected, or it has ended.
	headDone headState = iota
	headStatus
	// headLine: the first byte of a line after the status line.
	headLine
	headName
	headValue
)

const (
	// statusSize is the length of "HTTP/1.1 200".
	statusSize = 12
	// statusMinor is the position of the minor version in it.
	statusMinor = 7
	// statusSwitching is the interim status after which another protocol follows.
	statusSwitching = "101"
	statusNoContent = "204"

	headerEncoding = "Transfer-Encoding"
	headerLength   = "Content-Length"
	// nameSize is the length of the longest of these names.
	nameSize = len(headerEncoding)
)

// Head checks the head of an answer while its bytes arrive: the status line and the lines up
// to the empty one, of interim answers too. It rejects what the parser of net/http lets pass
// although it is malformed. It holds no line, so its size is bounded. The zero value expects no
// head.
type Head struct {
	state headState
	// status is the start of the status line, size how many bytes it has so far.
	status [statusSize]byte
	size   int
	// cr is set if the last byte was a CR, fields once the name of a field has begun.
	cr     bool
	fields bool
	// name is the start of the name of the current field, nameLen how many bytes the name has.
	name     [nameSize]byte
	nameLen  int
	interim  bool
	bodiless bool
	err      error
}

// Begin expects the head of the next answer.
func (h *Head) Begin() { *h = Head{state: headStatus} }

// Err returns the error of Add, nil for none.
func (h *Head) Err() error { return h.err }

// Add takes the bytes that have arrived next and ignores those after the head. It returns the
// number of bytes before the first malformed one, and ErrMalformed from then on.
func (h *Head) Add(b []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	for i, c := range b {
		if h.state == headDone {
			break
		}
		if err := h.add(c); err != nil {
			h.err = fmt.Errorf("%w: %w", sr.ErrMalformed, err)
			return i, h.err
		}
	}
	return len(b), nil
}

func (h *Head) add(c byte) error {
	if h.cr && c != '\n' {
		return errors.New("CR within a line")
	}
	h.cr = c == '\r'
	switch c {
	case '\n':
		return h.endLine()
	case '\r':
		return nil
	}
	switch h.state {
	case headStatus:
		return h.addStatus(c)
	case headLine:
		return h.beginField(c)
	case headName:
		return h.addName(c)
	}
	return h.addValue(c)
}

// endLine ends a line, and with an empty one the head.
func (h *Head) endLine() error {
	switch {
	case h.state == headStatus && h.size < statusSize:
		return errors.Errorf("status line %q", h.status[:h.size])
	case h.state == headName:
		return errors.New("field without a colon")
	case h.state != headLine:
		h.state = headLine
	case h.interim:
		h.Begin()
	default:
		h.state = headDone
	}
	return nil
}

// addStatus adds a byte of the status line.
func (h *Head) addStatus(c byte) error {
	switch {
	case h.size < statusSize:
		h.status[h.size] = c
		if h.size++; h.size == statusSize {
			return h.checkStatus()
		}
	case h.size == statusSize:
		h.size++
		if c != ' ' {
			return errors.Errorf("byte %#02x after status %s", c, h.code())
		}
	case isControl(c):
		return errors.Errorf("byte %#02x in the status line", c)
	}
	return nil
}

// code returns the status code as it was sent.
func (h *Head) code() string { return string(h.status[statusSize-3:]) }

func (h *Head) checkStatus() error {
	line, code := string(h.status[:]), h.code()
	switch {
	case line[:statusMinor] != "HTTP/1." || !isDigit(line[statusMinor]) || line[statusMinor+1] != ' ':
		return errors.Errorf("status line %q", line)
	case !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]), code[0] == '0':
		return errors.Errorf("status %q", code)
	case code == statusSwitching:
		return errors.Errorf("status %s, which was not asked for", code)
	}
	h.interim = code[0] == '1'
	h.bodiless = h.interim || code == statusNoContent
	return nil
}

// beginField takes the first byte of a line that is not empty: a blank continues the value of
// the field before.
func (h *Head) beginField(c byte) error {
	switch {
	case (c == ' ' || c == '\t') && h.fields:
		h.state = headValue
		return nil
	case c == ':':
		return errors.New("field without a name")
	}
	h.state, h.fields, h.nameLen = headName, true, 0
	return h.addName(c)
}

// addName adds a byte of the name of a field. The parser lets blanks pass, and does not know
// such a name as that of a field which states the framing.
func (h *Head) addName(c byte) error {
	if c == ':' {
		h.state = headValue
		return h.checkField()
	}
	if !isTokenByte(c) {
		return errors.Errorf("byte %#02x in the name of a field", c)
	}
	if h.nameLen < nameSize {
		h.name[h.nameLen] = c
	}
	h.nameLen++
	return nil
}

// checkField checks whether the answer may have a field with the current name. The parser ignores
// an encoding where there must be none, and takes what it encodes for something else.
func (h *Head) checkField() error {
	switch {
	case !h.isField(headerEncoding):
		return nil
	case h.bodiless:
		return errors.Errorf("encoded body with status %s", h.code())
	case h.status[statusMinor] == '0':
		return errors.New("encoded body in HTTP/1.0")
	}
	return nil
}

// addValue adds a byte of the value of a field.
func (h *Head) addValue(c byte) error {
	if isControl(c) {
		return errors.Errorf("byte %#02x in the value of a field", c)
	}
	if h.bodiless && c >= '1' && c <= '9' && h.isField(headerLength) {
		return errors.Errorf("length of a body with status %s", h.code())
	}
	return nil
}

// isField reports whether the current field has a name.
func (h *Head) isField(name string) bool {
	return h.nameLen == len(name) && strings.EqualFold(string(h.name[:h.nameLen]), name)
}

// CheckTrailer returns ErrMalformed if the trailer of an answer has a field with a malformed name.
// It is known at the end of the body.
func CheckTrailer(resp *http.Response) error {
	for name, values := range resp.Trailer {
		for _, c := range []byte(name) {
			// Without a value it was announced and did not come.
			if !isTokenByte(c) && len(values) > 0 {
				return fmt.Errorf("%w: byte %#02x in the name of a field of the trailer", sr.ErrMalformed, c)
			}
		}
	}
	return nil
}

// isTokenByte reports whether a name may have a byte (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isControl reports whether a byte may not be in a value or a reason.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
