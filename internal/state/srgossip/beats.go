package srgossip

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// beat is a new version of a record of which nothing else changed. It is encoded in 8 bytes for the
// key and two or three for the version and the age in milliseconds each.
type beat struct {
	key     uint64
	version uint64
	age     time.Duration
}

// maxBeats bounds the beats of a message, in bytes.
const maxBeats = maxRecords * (8 + 2*binary.MaxVarintLen64)

func appendBeat(out []byte, b beat) []byte {
	out = binary.BigEndian.AppendUint64(out, b.key)
	out = binary.AppendUvarint(out, b.version)
	return binary.AppendUvarint(out, uint64(b.age.Milliseconds()))
}

// parseBeats returns the beats of a message, or ErrInvalid.
func parseBeats(data []byte) ([]beat, error) {
	if len(data) > maxBeats {
		return nil, errors.Wrap(sr.ErrInvalid, "srgossip: length of the beats")
	}
	var out []beat
	for len(data) > 0 {
		if len(data) < 8 {
			return nil, errors.Wrap(sr.ErrInvalid, "srgossip: key of a beat")
		}
		b := beat{key: binary.BigEndian.Uint64(data)}
		data = data[8:]
		version, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, errors.Wrap(sr.ErrInvalid, "srgossip: version of a beat")
		}
		data = data[n:]
		age, n := binary.Uvarint(data)
		if n <= 0 || age > uint64(retention.Milliseconds()) {
			return nil, errors.Wrap(sr.ErrInvalid, "srgossip: age of a beat")
		}
		data = data[n:]
		b.version, b.age = version, time.Duration(age)*time.Millisecond
		out = append(out, b)
	}
	return out, nil
}
