package srbench

import (
	"encoding/gob"
	"net/rpc"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// wireMeter counts control messages and their size as net/rpc sends them: a header
// and a body in gob encoding on a long-lived connection, on which the description
// of each type is sent once.
type wireMeter struct {
	messages int
	bytes    int
	encoder  *gob.Encoder
	seq      uint64
	err      error
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ total *int }

// Write implements io.Writer.
func (c byteCounter) Write(b []byte) (int, error) {
	*c.total += len(b)
	return len(b), nil
}

func newWireMeter() *wireMeter {
	w := &wireMeter{}
	w.encoder = gob.NewEncoder(byteCounter{&w.bytes})
	// Each type is encoded once here, so that its description is not counted.
	for _, m := range []any{sr.Ask{}, sr.Grant{}, sr.Release{}, sr.Revoke{}, sr.Heartbeat{}} {
		w.countCall("Instance.Describe", m)
	}
	w.countReply(sr.Grant{})
	w.messages, w.bytes = 0, 0
	return w
}

// countCall counts a request message.
func (w *wireMeter) countCall(method string, body any) {
	w.seq++
	w.encode(rpc.Request{ServiceMethod: method, Seq: w.seq}, body)
}

// countReply counts a response message. Its header names Instance.Acquire for every
// method.
func (w *wireMeter) countReply(body any) {
	w.encode(rpc.Response{ServiceMethod: "Instance.Acquire", Seq: w.seq}, body)
}

func (w *wireMeter) encode(header, body any) {
	w.messages++
	for _, v := range [...]any{header, body} {
		if err := w.encoder.Encode(v); err != nil && w.err == nil {
			w.err = err
		}
	}
}
