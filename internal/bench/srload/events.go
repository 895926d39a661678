package srload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	maxEventLineBytes = 64 << 10
	maxBodyBytes      = 1 << 20
)

// problem is the body of a refusal.
type problem struct {
	Name    string `json:"name"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

// eventReader reads server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, maxEventLineBytes)}
}

// next returns the next event. The error wraps io.EOF at the end of the stream.
func (e *eventReader) next() (sr.Event, error) {
	var ev sr.Event
	for {
		line, err := e.r.ReadSlice('\n')
		if err != nil {
			return sr.Event{}, errors.Wrap(err, "srload: read an event")
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if ev.Seq > 0 {
				return ev, nil
			}
			continue
		}
		if err := setField(&ev, line); err != nil {
			return sr.Event{}, err
		}
	}
}

func setField(ev *sr.Event, line []byte) (err error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.Seq, err = strconv.Atoi(string(value))
	case "event":
		ev.Type = sr.EventType(value)
	case "data":
		// encoding/json matches field names case-insensitively.
		err = json.Unmarshal(value, ev)
	}
	return errors.Wrapf(err, "srload: event field %s", name)
}
