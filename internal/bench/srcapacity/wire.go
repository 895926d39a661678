package srcapacity

import (
	"encoding/gob"
	"net/rpc"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
)

// wireMeter counts the bytes that net/rpc sends for calls on a long-lived connection:
// headers and bodies in gob encoding.
type wireMeter struct {
	encoder *gob.Encoder
	bytes   int
}

// Write implements io.Writer. It counts the bytes.
func (w *wireMeter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func newWireMeter() *wireMeter {
	w := &wireMeter{}
	w.encoder = gob.NewEncoder(w)
	return w
}

// sizeOf returns the bytes of a call and its answer on a connection on which the gob
// descriptions of the types have already been sent.
func sizeOf[A, R any](method string, args A, reply R) int {
	w := newWireMeter()
	w.countCall(method, srinstance.Args[A]{Value: args}, srinstance.Reply[R]{Value: reply})
	first := w.bytes
	w.countCall(method, srinstance.Args[A]{Value: args}, srinstance.Reply[R]{Value: reply})
	return w.bytes - first
}

// countCall counts a request and its response.
func (w *wireMeter) countCall(method string, args, reply any) {
	for _, v := range []any{
		rpc.Request{ServiceMethod: method, Seq: 1},
		args,
		rpc.Response{ServiceMethod: method, Seq: 1},
		reply,
	} {
		if err := w.encoder.Encode(v); err != nil {
			panic("srcapacity: encode " + method + ": " + err.Error())
		}
	}
}

// requestBytes returns the bytes of the control messages of one request with the
// given number of prefix blocks: the ask and the grant that answers it, and the
// confirmation of the start and the release with their empty answers.
func requestBytes(blocks int) int {
	ask := newAsk(blocks)
	grant := sr.Grant{Lease: sr.Lease{
		ID: 1 << 62, Pool: ask.Pool, Owner: instanceID(2), Endpoint: "runner0123", Address: "10.0.12.34:8000",
		TTL: leaseTTL, Waited: leaseTTL / 10, Cached: 512, Confirm: true, Why: "512 tokens cached, 3 running, first token in 0.105 s, end in 2.8 s, best of 12",
	}}
	release := sr.Release{Lease: 1 << 62, Pool: ask.Pool, Holder: ask.Holder, Result: sr.ReleaseDone, First: leaseTTL / 4, Total: 3 * leaseTTL, Tokens: 200}
	confirmation := sr.Release{Lease: 1 << 62, Pool: ask.Pool, Holder: ask.Holder, Result: sr.ReleaseTaken, Start: "3w5e11264sgsf"}
	return sizeOf("Instance.Acquire", ask, grant) +
		sizeOf("Instance.Release", confirmation, srinstance.None{}) +
		sizeOf("Instance.Release", release, srinstance.None{})
}

func newAsk(blocks int) sr.Ask {
	a := sr.Ask{
		ID:          "3w5e11264sgsf.1000.1.1",
		Holder:      instanceID(1),
		Pool:        poolID(0),
		Tier:        1,
		Workspace:   "workspace-12345",
		Share:       1,
		Work:        sr.Work{Prefill: 64 * blocks, Decode: 256},
		Cancellable: true,
		Budget:      leaseTTL * 30,
		First:       leaseTTL / 2,
	}
	for i := range blocks {
		a.Blocks = append(a.Blocks, 1<<63+uint64(i)*0x9e3779b97f4a7c15)
	}
	return a
}
