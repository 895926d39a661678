package srinstance

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxRoutingBytes is the maximum size of a configuration before compression.
const maxRoutingBytes = 32 << 20

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
	if err := gob.NewDecoder(io.LimitReader(r, maxRoutingBytes)).Decode(c); err != nil {
		return nil, errors.Wrapf(sr.ErrInvalid, "srinstance: decode configuration: %v", err)
	}
	return c, nil
}
