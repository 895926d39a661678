package srbench

import (
	"encoding/gob"
	"net/rpc"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// wire sizes control messages as net/rpc sends them: a header and a body by
// gob on a long-lived connection, so that types are described once.
type wire struct {
	messages int
	bytes    int
	encoder  *gob.Encoder
	seq      uint64
	err      error
}

// counter counts the bytes written to it.
type counter struct{ n *int }

// Write implements io.Writer.
func (c counter) Write(b []byte) (int, error) {
	*c.n += len(b)
	return len(b), nil
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(counter{&w.bytes})
	for _, m := range []any{sr.Ask{}, sr.Grant{}, sr.Release{}, sr.Revoke{}, sr.Heartbeat{}} {
		w.call("Instance.Describe", m)
	}
	w.answer(sr.Grant{})
	w.messages, w.bytes = 0, 0
	return w
}

// call counts a request message.
func (w *wire) call(method string, body any) {
	w.seq++
	w.send(rpc.Request{ServiceMethod: method, Seq: w.seq}, body)
}

// answer counts a response message.
func (w *wire) answer(body any) {
	w.send(rpc.Response{ServiceMethod: "Instance.Acquire", Seq: w.seq}, body)
}

func (w *wire) send(header, body any) {
	w.messages++
	for _, v := range [...]any{header, body} {
		if err := w.encoder.Encode(v); err != nil && w.err == nil {
			w.err = err
		}
	}
}
