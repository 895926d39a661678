package srinstance

import (
	"bytes"
	"compress/flate"
	"encoding/gob"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srgob"
)

const (
	// MaxRoutingBytes is the maximum size of an encoded configuration. Uncompressed in the
	// registry it has at most 1 MB.
	MaxRoutingBytes = 1 << 20
	// maxPlainBytes is the maximum size of a configuration before compression. It has fewer bytes
	// than in the registry, except for numbers and empty texts.
	maxPlainBytes = 2 << 20
	// routingMemory is the memory that a configuration may take when it is decoded, in bytes. One
	// of 1 MB takes less than half.
	routingMemory = 20 << 20
)

// EncodeRouting encodes and compresses a configuration for the transfer in parts.
func EncodeRouting(c *sr.Routing) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "srinstance: encode configuration")
	}
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		return nil, errors.Wrap(err, "srinstance: encode configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "srinstance: encode configuration")
	}
	return b.Bytes(), nil
}

// DecodeRouting decodes a configuration that EncodeRouting has encoded. It returns
// ErrInvalid for other data.
func DecodeRouting(data []byte) (*sr.Routing, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	c := &sr.Routing{}
	o := srgob.Options{Pool: srgob.NewPool(routingMemory, routingMemory), Message: maxPlainBytes, Types: fleetTypeBytes}
	if err := srgob.Decode(r, o, c); err != nil {
		return nil, errors.Wrapf(sr.ErrInvalid, "srinstance: decode configuration: %v", err)
	}
	return c, nil
}
