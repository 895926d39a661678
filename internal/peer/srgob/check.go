package srgob

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

const (
	// maxUintBytes is the maximum length of an encoded number, in bytes.
	maxUintBytes = 9
	// maxFields is more than the number of fields of any struct.
	maxFields = 1 << 10
	// maxDepth is the maximum depth of a value. Those of the calls have less than ten levels.
	maxDepth = 32
	// StructBytes and elementBytes are the memory of an element of a slice or a map, in bytes,
	// beside its strings. The largest struct of the calls has 240 bytes, a place in a map some
	// more than its key and value.
	StructBytes  = 256
	elementBytes = 64
)

// Numbers that gob gives to its types.
const (
	typeBool      = 1
	typeInt       = 2
	typeUint      = 3
	typeFloat     = 4
	typeBytes     = 5
	typeString    = 6
	typeComplex   = 7
	firstUserType = 64
)

// shape is a type of the sender.
type shape struct {
	kind   byte
	fields []int64
	key    int64
	elem   int64
}

// Kinds of shapes. They are the fields of gob's description of a type.
const (
	kindArray byte = iota + 1
	kindSlice
	kindStruct
	kindMap
	kindGobEncoder
	kindBinary
	kindText
)

// checker checks messages against the types that it has read.
type checker struct {
	types map[int64]shape
	// rest is what is left of the message, cost the memory of the values read.
	rest []byte
	cost int64
}

func newChecker() *checker { return &checker{types: make(map[int64]shape)} }

// message checks a message, and returns the memory of its decoded form in bytes beside the copies
// of the message, and whether it defines a type.
func (c *checker) message(body []byte) (cost int64, isType bool, err error) {
	c.rest, c.cost = body, 0
	defer func() { c.rest = nil }()
	id, err := c.int()
	if err != nil {
		return 0, false, err
	}
	if id < 0 {
		return 0, true, c.define(-id)
	}
	if t, ok := c.types[id]; !ok || t.kind != kindStruct {
		return 0, false, errors.Wrapf(ErrMalformed, "value of type %d", id)
	}
	if err := c.value(id, 0); err != nil {
		return 0, false, err
	}
	if len(c.rest) > 0 {
		return 0, false, errors.Wrap(ErrMalformed, "bytes after the value")
	}
	return c.cost, false, nil
}

// define reads the description of a type.
func (c *checker) define(id int64) error {
	if _, ok := c.types[id]; ok || id < firstUserType {
		return errors.Wrapf(ErrMalformed, "type %d is defined again", id)
	}
	var t shape
	err := c.structure(func(kind int64) error {
		if t.kind != 0 || kind < int64(kindArray) || kind > int64(kindText) {
			return errors.Wrap(ErrMalformed, "kind of a type")
		}
		t.kind = byte(kind)
		return c.structure(func(field int64) error { return c.describe(&t, field) })
	})
	if err != nil {
		return err
	}
	if t.kind == 0 || len(c.rest) > 0 {
		return errors.Wrap(ErrMalformed, "type")
	}
	c.types[id] = t
	return nil
}

// describe reads a field of the description of a type.
func (c *checker) describe(t *shape, field int64) (err error) {
	switch {
	case field == 1:
		return c.nameAndNumber(nil)
	case t.kind == kindStruct && field == 2:
		n, err := c.count(1)
		for range n {
			var id int64
			if err = c.nameAndNumber(&id); err != nil {
				return err
			}
			t.fields = append(t.fields, id)
		}
		return err
	case t.kind == kindMap && field == 2:
		t.key, err = c.int()
	case t.kind == kindMap && field == 3, (t.kind == kindSlice || t.kind == kindArray) && field == 2:
		t.elem, err = c.int()
	case t.kind == kindArray && field == 3:
		_, err = c.int()
	default:
		return errors.Wrap(ErrMalformed, "field of a type")
	}
	return err
}

// nameAndNumber reads a struct of a name and the number of a type.
func (c *checker) nameAndNumber(id *int64) error {
	return c.structure(func(field int64) error {
		switch field {
		case 1:
			return c.skipBytes()
		case 2:
			n, err := c.int()
			if id != nil {
				*id = n
			}
			return err
		}
		return errors.Wrap(ErrMalformed, "field of a type")
	})
}

// structure calls read with the number of each field of a struct, from 1.
func (c *checker) structure(read func(field int64) error) error {
	field := int64(0)
	for {
		delta, err := c.uint()
		if err != nil {
			return err
		}
		if delta == 0 {
			return nil
		}
		if delta > maxFields {
			return errors.Wrap(ErrMalformed, "number of a field")
		}
		field += int64(delta)
		if err := read(field); err != nil {
			return err
		}
	}
}

// value reads a value of a type.
func (c *checker) value(id int64, depth int) error {
	if depth > maxDepth {
		return errors.Wrap(ErrMalformed, "depth")
	}
	switch id {
	case typeBool, typeInt, typeUint, typeFloat:
		_, err := c.uint()
		return err
	case typeComplex:
		if _, err := c.uint(); err != nil {
			return err
		}
		_, err := c.uint()
		return err
	case typeBytes, typeString:
		return c.skipBytes()
	}
	switch t := c.types[id]; t.kind {
	case kindStruct:
		return c.structure(func(field int64) error {
			if field > int64(len(t.fields)) {
				return errors.Wrap(ErrMalformed, "number of a field")
			}
			return c.value(t.fields[field-1], depth+1)
		})
	case kindSlice, kindArray:
		return c.elements(depth, t.elem)
	case kindMap:
		return c.elements(depth, t.key, t.elem)
	case kindGobEncoder, kindBinary, kindText:
		return c.skipBytes()
	}
	return errors.Wrapf(ErrMalformed, "value of type %d", id)
}

// elements reads the elements of a slice, or the keys and values of a map.
func (c *checker) elements(depth int, types ...int64) error {
	n, err := c.count(len(types))
	if err != nil {
		return err
	}
	for _, id := range types {
		if c.types[id].kind == kindStruct {
			c.cost += int64(n) * StructBytes
		} else {
			c.cost += int64(n) * elementBytes
		}
	}
	for range n {
		for _, id := range types {
			if err := c.value(id, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// count reads a number of elements, each of which has at least the given number of bytes.
func (c *checker) count(atLeast int) (int, error) {
	n, err := c.uint()
	if err == nil && n > uint64(len(c.rest)/atLeast) {
		return 0, errors.Wrapf(ErrMalformed, "%d elements in %d bytes", n, len(c.rest))
	}
	return int(n), err
}

// skipBytes reads a text with its length.
func (c *checker) skipBytes() error {
	n, err := c.count(1)
	if err != nil {
		return err
	}
	c.rest = c.rest[n:]
	return nil
}

func (c *checker) int() (int64, error) {
	n, err := c.uint()
	if n&1 != 0 {
		return ^int64(n >> 1), err
	}
	return int64(n >> 1), err
}

func (c *checker) uint() (n uint64, err error) {
	n, c.rest, err = cutUint(c.rest)
	return n, err
}

// uintBytes returns the length in bytes of a number that begins with b.
func uintBytes(b byte) int {
	if b < 1<<7 {
		return 1
	}
	return 1 + int(-b)
}

// cutUint cuts a number from the start of b.
func cutUint(b []byte) (n uint64, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, errors.Wrap(ErrMalformed, "message ends in a value")
	}
	length := uintBytes(b[0])
	switch {
	case length == 1:
		return uint64(b[0]), b[1:], nil
	case length > maxUintBytes || length > len(b):
		return 0, nil, errors.Wrap(ErrMalformed, "number")
	}
	var full [8]byte
	copy(full[maxUintBytes-length:], b[1:length])
	return binary.BigEndian.Uint64(full[:]), b[length:], nil
}
